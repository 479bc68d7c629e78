@0xa63d0b1f5e2c9847;
# What instances that relay tell each other. One connection carries one way.

using Peer = import "peer.capnp";

interface Relay {
  gossip @0 (message :Peer.Gossip, unused1 :List(UInt64), notices :List(Notice))
      -> (reply :Peer.Gossip, unused1 :AnyPointer, ageMs :UInt32, ends :List(UInt64),
          notices :List(Notice), timelines :List(UInt64), rolloutsAgeMs :UInt32);
  # Exchanges what both sides know of all instances. `ends` are the ends of the
  # receiver's copies of the shared tables, `timelines` the timelines that these belong
  # to, 0 where one is missing; `learn` asks for what they hold.
  # `ageMs` says how long ago the receiver's copies were compared with the
  # platform's store, by itself or by whom it has them from. `notices` tell what
  # endpoints said of themselves. The table of rollouts is left out of both lists while
  # the receiver has no order of one; `rolloutsAgeMs` is the age of its copy of that.

  make @1 (pieces :List(Piece)) -> (results :List(Result));
  # Has pieces made by the receiver's calls. Dropping the call takes back the
  # pieces that still wait.

  ping @2 () -> ();
  # Asks whether the receiver still works.

  free @3 (handles :List(Text), isSpare :Bool) -> ();
  # Has the receiver give up results that its calls made. Those that are spare
  # have probably been read: they are given up once room for others is scarce.

  place @4 (question :Question) -> (placement :Placement);
  # Asks which engine should read a prompt.

  learn @5 (asks :List(Ask))
      -> (portions :List(Portion), ageMs :UInt32, rolloutsAgeMs :UInt32);
  # Asks for what the asker lacks of each shared table. An answer is bounded;
  # for the rest the asker asks again. `ageMs` and `rolloutsAgeMs` as in `gossip`.

  report @6 (progress :List(Progress), from :Text, notices :List(Notice)) -> ();
  # Tells the placer that was asked how the calls that it placed go on, and what
  # their engines said of themselves.

  accuse @7 (crashes :List(Crash)) -> ();
  # Tells a keeper of contents which endpoints ended under them.

  consult @8 (content :Data, ageMs :UInt32) -> (wasAnswered :Bool);
  # Asks whether the receiver had a content answered within that time.

  quarantine @9 (content :Data, crashes :UInt32) -> ();
  # Says that a content is held back: so many endpoints ended under it.

  queue @10 (service :Text) -> ();
  # Says that pieces wait for their turn at a service that the sender batches.

  config @11 (at :UInt64) -> (version :UInt64, key :Text, size :UInt64, bytes :Data);
  # Asks for the record of the configuration that the receiver serves by, whatever
  # its table says: its value from that byte on, bounded. `size` is 0 without one.

  evidence @12 (from :Text, evidence :Evidence) -> (decides :Bool, verdict :Verdict);
  # Sends the sender's counts of a rollout to the instance that decides on it. `verdict`
  # is valid only if the receiver decides on the service.

  reach @13 (endpoint :Text, incarnation :UInt64, isSilent :Bool) -> (answer :Reach);
  # Asks whether the receiver can open a connection to an endpoint. With `isSilent`, asks
  # instead whether the endpoint answers a request of the receiver.

  detour @14 (endpoint :Text, incarnation :UInt64, request :Request, sink :ReplySink)
      -> (end :DetourEnd, cause :Text);
  # Has the receiver make a call to an endpoint that the sender cannot connect to. The
  # reply goes to `sink`; it is whole only if `end` says so. Dropping the call cancels it.

  recordStreams @15 (records :List(StreamRecords)) -> ();
  # Has the receiver remember which versions began streams.

  streamOrigin @16 (stream :Data, service :Text) -> (origin :Origin, version :Text, ageMs :UInt32);
  # Asks which version of a service began a stream. `ageMs` is how long the receiver has
  # known the version.
}

struct StreamRecords {
  version @0 :Text;
  streams @1 :Data;
  # The ids of the streams that it began, 16 bytes each.
}

struct LoggedStreams {
  # A record of the platform's log of streams.
  records @0 :List(StreamRecords);
  # As above, but with the lower 8 bytes of each id, in big-endian order.
  writtenMs @1 :UInt64;
  # When it was written, in Unix milliseconds by the writer's clock; for log lines only.
}

enum Origin {
  ambiguous @0;
  # Not known, and the receiver knows several versions of the service.
  unrecorded @1;
  # Not known, and the receiver knows at most one version of the service.
  version @2;
}

enum Reach {
  unknown @0;
  # The receiver does not use the endpoint.
  reached @1;
  unreached @2;
  # The receiver reaches other endpoints.
  cutOff @3;
  # The receiver reaches no other endpoint either.
  answered @4;
  # The endpoint answers the receiver.
}

struct Request {
  method @0 :Text;
  target @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;
}

struct Header {
  name @0 :Text;
  value @1 :Data;
}

interface ReplySink {
  head @0 (status :UInt16, headers :List(Header)) -> ();
  data @1 (bytes :Data) -> ();
}

enum DetourEnd {
  whole @0;
  refused @1;
  # Nothing was sent: the receiver does not use the endpoint, or is cut off itself.
  unsent @2;
  # Nothing was sent: the receiver could not connect to the endpoint.
  cut @3;
  # The connection to the endpoint ended after bytes of the request were sent.
}

enum Phase {
  canary @0;
  shifting @1;
  completed @2;
  rolledBack @3;
}

struct Evidence {
  service @0 :Text;
  orderTimeline @1 :UInt64;
  orderOffset @2 :UInt64;
  # Position of the order in the operators' log.
  ageMs @3 :UInt32;
  # How long the sender has known the order.
  phase @4 :Phase;
  isHalted @5 :Bool;
  # Whether the sender sends the new version nothing more.
  oldCalls @6 :UInt32;
  # Calls that run on endpoints of another version.
  routes @7 :List(RouteCounts);
  endpoints @8 :List(EndpointCounts);
  content @9 :UInt64;
  # Hash of the order's destination and duration.
}

struct Counts {
  good @0 :UInt32;
  failed @1 :UInt32;
  slow @2 :UInt32;
}

struct RouteCounts {
  route @0 :Text;
  stable @1 :Counts;
  canary @2 :Counts;
}

struct EndpointCounts {
  endpoint @0 :Text;
  incarnation @1 :UInt64;
  counts @2 :Counts;
}

struct Verdict {
  service @0 :Text;
  orderTimeline @1 :UInt64;
  orderOffset @2 :UInt64;
  phase @3 :Phase;
  isHalted @4 :Bool;
  # Whether the new version gets nothing more.
  ageMs @5 :UInt32;
  # How long the deciding instance has known the order.
  content @6 :UInt64;
  # Hash of the order's destination and duration.
}

struct Notice {
  endpoint @0 :Text;
  incarnation @1 :UInt64;
  # The endpoint's life that said so.
  ageMs @2 :UInt32;
  isLimited @3 :Bool;
  # Whether it names a limit; if not, it names none any more.
  limit @4 :UInt64;
  # Thousandths of a call a second, from all instances together.
  isLeaving @5 :Bool;
}

struct Crash {
  content @0 :Data;
  # 16 bytes.
  endpoint @1 :Text;
  incarnation @2 :UInt64;
  # The endpoint's life that ended.
  ageMs @3 :UInt32;
  isLate @4 :Bool;
  # Whether the run had gone on for a while.
  isPart @5 :Bool;
  # Whether `content` identifies a part of prompts. False from an earlier build.
}

struct Progress {
  number @0 :UInt64;
  # The placer's number of the call.
  step @1 :Step;
  hasLoad @2 :Bool;
  running @3 :UInt32;
  waiting @4 :UInt32;
  # The engine's load, as its reply says.
  isRefused @5 :Bool;
  # Whether it has ended since the engine turned it away.
}

enum Step {
  firstToken @0;
  ended @1;
  unsent @2;
  # Nothing was sent: there was no connection.
  cut @3;
  # The connection ended or went silent, or the call was given up as overdue.
  foreign @4;
  # What came back was no answer to it.
}

struct Question {
  service @0 :Text;
  parts @1 :List(Part);
  # The parts of the prompt, in order.
  input @2 :UInt32;
  output @3 :UInt32;
  inputs @4 :List(Input);
  # What the call takes in.
  avoided @5 :List(Text);
  # Engines that are out of the question.
  avoidedLives @6 :List(UInt64);
  # Their incarnations, in the same order.
  region @7 :Text;
  # The only region of the engine. Empty for any, as from an earlier build.
}

struct Part {
  id @0 :UInt64;
  tokens @1 :UInt32;
}

struct Input {
  place @0 :Text;
  bytes @1 :UInt64;
}

struct Placement {
  endpoint @0 :Text;
  # Empty where no engine can take the prompt.
  source @1 :Text;
  # Empty where nothing is to be fetched.
  tokens @2 :UInt64;
  waitMicros @3 :UInt64;
  # How long it reads what it was given before.
  incarnation @4 :UInt64;
  # Which life of the engine is meant.
  number @5 :UInt64;
  # The placer's number of the call, for `report`.
}

struct Ask {
  from @0 :UInt64;
  # The end of the asker's copy; within a listing, how far that has got.
  isListing @1 :Bool;
  # Whether a listing goes on.
  base @2 :UInt64;
  # The base of the listing that goes on.
  isBegun @3 :Bool;
  # Whether part of a record has come already.
  begunOffset @4 :UInt64;
  begunLen @5 :UInt64;
  timeline @6 :UInt64;
  # The timeline of the asker's copy, or of the listing.
}

struct Portion {
  base @0 :UInt64;
  # From here on the teller knows every change.
  from @1 :UInt64;
  end @2 :UInt64;
  # Nothing between these two is missing.
  isListing @3 :Bool;
  # Whether it goes through the newest records of all keys.
  hasMore @4 :Bool;
  records @5 :List(Record);
  slice @6 :Slice;
  # Of the record behind them; none where its size is 0.
  timeline @7 :UInt64;
  # The timeline that all offsets belong to.
}

struct Slice {
  key @0 :Text;
  offset @1 :UInt64;
  at @2 :UInt64;
  size @3 :UInt64;
  # Bytes of the record's value before this slice, and of all of it.
  bytes @4 :Data;
}

struct Record {
  key @0 :Text;
  offset @1 :UInt64;
  isRemoved @2 :Bool;
  value @3 :Data;
}

struct Piece {
  service @0 :Text;
  request @1 :Text;
  stage @2 :UInt16;
  number @3 :UInt16;
  key @4 :Text;
  # Empty where the piece is made from inputs.
  inputs @5 :List(Text);
  bytes @6 :UInt64;
  dueMicros @7 :UInt64;
  # Time left when the call was sent.
  aimMicros @8 :UInt64;
  priority @9 :UInt8;
  home @10 :Text;
  # Empty where the place of the result does not matter.
  isRepeat @11 :Bool;
  tries @12 :UInt8;
  round @13 :UInt8;
  unused14 @14 :UInt64;
  isBegun @15 :Bool;
  # Whether any other work of its request has been done.
  content @16 :Data;
  # What its request asks for: 16 bytes, or none from an earlier build.
  isApart @17 :Bool;
  # Whether it is made without pieces of other requests.
  isLastReader @18 :Bool;
  # Whether nothing needs its inputs once all pieces of its stage have read them.
  region @19 :Text;
  # The only region of its endpoint. Empty for any, as from an earlier build.
  route @20 :Text;
  # The route of its request. Empty from an earlier build.
  isResumed @21 :Bool;
  # Whether its request goes on with a stream that has begun. False from an earlier build.
}

struct Result {
  handle @0 :Text;
  # Empty where there is no result.
  failure @1 :Failure;
}

enum Failure {
  late @0;
  inputGone @1;
  noRoom @2;
  failed @3;
}
