@0xd1c6e2b49a7f3058;
# What instances tell each other. One connection carries both ways.

interface Peer {
  gossip @0 (message :Gossip) -> (reply :Gossip);
  # Exchanges what both sides know. The reply is empty (no `from`) where the
  # receiver has nothing to say.

  outcome @1 (team :Text, id :Text) -> (answer :Data);
  # Asks what became of a request. The answer is JSON of `PeerOutcome`, since
  # it carries a caller's whole answer in the form that callers get it.
}

struct Gossip {
  from @0 :Text;
  wantsReply @1 :Bool;
  mark @2 :ConfigMark;
  snapshot @3 :Data;
  # JSON of `Snapshot`; empty where the receiver has not asked for it.
  members @4 :List(MemberState);
  leaving @5 :List(LeavingMark);
  endpoints @6 :List(EndpointState);
  wantsSnapshot @7 :Bool;
  # Whether the reply should hold the snapshot if it is newer.
}

struct ConfigMark {
  version @0 :UInt64;
  offset @1 :UInt64;
  # Offset plus one; 0 before the first record.
}

struct MemberState {
  name @0 :Text;
  incarnation @1 :UInt64;
  heartbeat @2 :UInt64;
  version @3 :UInt64;
  ready @4 :Bool;
}

struct LeavingMark {
  endpoint @0 :Text;
  incarnation @1 :UInt64;
}

struct EndpointState {
  endpoint @0 :Text;
  inFlight @1 :UInt32;
  hasLoad @2 :Bool;
  running @3 :UInt32;
  queued @4 :UInt32;
  places @5 :UInt32;
  ageMs @6 :UInt32;
}
