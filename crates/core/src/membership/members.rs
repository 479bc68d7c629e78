//! The state machine of membership and gossip.

use std::{collections::HashMap, sync::Arc, time::Duration};

use peatdeck_macros::data;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use slotmap::SlotMap;

use crate::{
    instance::input::Identity,
    membership::{
        ConfigMark, EndpointState, Gossip, LeavingMark, MemberState, Settings,
        peer::Peer,
        spread::{self, EndpointSelector, LeavingSelector},
    },
    model::{Incarnation, InstanceEntry, InstanceName, Presence},
    record::{Snapshot, Version},
};

/// The most peers that are kept although no list has named them.
const MAX_UNLISTED: usize = 1024;
/// Every this many rounds, one peer that is not known to be alive gets a message.
const PROBE_ROUNDS: u64 = 4;
/// With several regions, a message to another region is added to this many messages within the
/// region, so that it is one in eight. A byte between regions costs about thirty times as much. If
/// it replaced one within the region, counters would spread a seventh more slowly there, and among
/// 300 instances in two regions four times as many would be mistaken for dead at a time.
const NEAR_MESSAGES: u64 = 7;
/// If the clock advances by more than this many rounds at once, this instance was paused.
const PAUSE_ROUNDS: u32 = 4;

/// While this many messages have room for all counters, every counter reaches all instances within
/// the configured time.
const FULL_MESSAGES: usize = 2;

/// How long it takes until an instance that has just started has received, through gossip, the
/// counters of all peers that are alive: six rounds of 400 ms.
const DISCOVERY_TIME: Duration = Duration::from_millis(2500);

slotmap::new_key_type! {
    struct PeerKey;
}

/// A request to a peer for its configuration.
struct SnapshotRequest {
    peer: PeerKey,
    until: Duration,
}

/// What a message is sent for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// A round of gossip.
    Round,
    /// A round of gossip that also requests the peer's configuration.
    RequestSnapshot,
    /// A reply.
    Reply,
    /// A reply to a peer that has requested this instance's configuration and has an older one.
    SendSnapshot,
}

/// The state of this instance that it sends to peers.
pub struct LocalState<'a> {
    /// How new its configuration is.
    pub mark: ConfigMark,
    /// Its configuration; `None` if it is not known.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Endpoints that are known to be leaving.
    pub leaving: &'a [LeavingMark],
    /// Its calls in flight and the loads that it has seen.
    pub endpoints: &'a [EndpointState],
}

/// A message and its receiver.
#[data]
pub struct Envelope {
    /// The receiver.
    pub to: InstanceName,
    /// The address on which the receiver listens, `ip:port`. Empty for a reply to a peer that is
    /// not listed yet; a reply is sent back on the connection of the message that it answers.
    pub addr: Arc<str>,
    /// The message to send.
    pub message: Gossip,
}

/// What is known of a peer.
#[data]
pub struct PeerStatus {
    /// The peer.
    pub name: InstanceName,
    /// The newest version that the peer has reported as in force.
    pub version: Version,
    /// Whether the peer accepts requests.
    pub is_ready: bool,
    /// Whether the peer is considered alive.
    pub is_alive: bool,
    /// Whether no counter of the peer was received yet and no message to it has failed.
    pub is_unknown: bool,
    /// Whether the newest list names the peer.
    pub is_listed: bool,
}

impl PeerStatus {
    /// Whether work may be handed over to the peer by an instance that has run for `run_time`. An
    /// instance that has just started also relies on peers of which it has received nothing yet: a
    /// peer that is dead is detected by the first hand-over, but if each instance did the work
    /// itself meanwhile, they would interfere with each other.
    pub fn is_usable(&self, run_time: Duration) -> bool {
        let is_serving = self.is_alive && self.is_ready;
        is_serving || (run_time < DISCOVERY_TIME && (self.is_alive || self.is_unknown))
    }
}

/// The peers of one instance.
pub struct Members {
    identity: Identity,
    settings: Settings,
    rng: SmallRng,
    peers: SlotMap<PeerKey, Peer>,
    by_name: HashMap<InstanceName, PeerKey>,
    leaving: LeavingSelector,
    endpoints: EndpointSelector,
    heartbeat: u64,
    /// Number of messages of rounds sent within the region; determines when one is added.
    next_slot: u64,
    next_tick: Duration,
    last_now: Duration,
    last_received: Option<Duration>,
    snapshot_request: Option<SnapshotRequest>,
}

impl Members {
    /// The state before any peer is known.
    pub fn new(identity: Identity, settings: Settings, seed: u64) -> Members {
        Members {
            identity,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            peers: SlotMap::with_key(),
            by_name: HashMap::new(),
            leaving: LeavingSelector::default(),
            endpoints: EndpointSelector::default(),
            heartbeat: 0,
            // Instances begin at different positions of the interval.
            next_slot: seed % NEAR_MESSAGES,
            next_tick: Duration::ZERO,
            last_now: Duration::ZERO,
            last_received: None,
            snapshot_request: None,
        }
    }

    /// The name and the incarnation of this instance.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Applies the platform's list.
    pub fn apply_listing(&mut self, now: Duration, instances: &[InstanceEntry]) {
        self.record_time(now);
        for peer in self.peers.values_mut() {
            peer.presence = None;
        }
        for entry in instances {
            if entry.name == self.identity.name {
                continue;
            }
            let key = self.key_for(now, &entry.name);
            self.peers[key].apply_entry(now, entry);
            let region = self.settings.regions.region_of(&entry.data_centre);
            let own = self.settings.regions.region_of(&self.identity.data_centre);
            self.peers[key].is_remote = region != own;
            self.peers[key].region = region.map(Arc::from);
        }
    }

    /// The messages of the round, if one is due.
    pub fn tick(&mut self, now: Duration, local: &LocalState<'_>) -> Vec<Envelope> {
        self.record_time(now);
        if now < self.next_tick {
            return Vec::new();
        }
        self.next_tick = now + self.jittered_tick();
        self.heartbeat += 1;
        self.remove_expired(now);
        let ahead = self.choose_ahead(now, local.mark);
        let targets = self.targets(now, ahead);
        let requested = ahead.filter(|key| self.begin_request(now, *key));
        let purpose =
            |key| if requested == Some(key) { Purpose::RequestSnapshot } else { Purpose::Round };
        let envelopes = targets.into_iter().map(|key| self.envelope(now, key, purpose(key), local));
        envelopes.collect()
    }

    /// Applies a peer's message. Returns the reply, if the peer wants one.
    pub fn receive(
        &mut self,
        now: Duration,
        message: &Gossip,
        local: &LocalState<'_>,
    ) -> Option<Envelope> {
        self.record_time(now);
        if message.from == self.identity.name {
            return None;
        }
        self.last_received = Some(now);
        for state in &message.members {
            self.update_member(now, state);
        }
        let key = self.known_key(now, &message.from)?;
        if message.snapshot.is_some() {
            self.end_request(key);
        }
        let peer = &mut self.peers[key];
        peer.mark = Some(message.mark);
        peer.seen_at = now;
        let sent = message.members.iter().find(|state| state.name == message.from);
        if let Some(sent) = sent {
            peer.update_counts(now, sent, &message.endpoints);
        }
        let is_wanted = message.wants_snapshot && peer.is_behind(local.mark);
        let purpose = if is_wanted { Purpose::SendSnapshot } else { Purpose::Reply };
        message.wants_reply.then(|| self.envelope(now, key, purpose, local))
    }

    /// Records that a message to a peer could not be delivered.
    pub fn send_failed(&mut self, now: Duration, peer: &InstanceName) {
        self.record_time(now);
        if let Some(&key) = self.by_name.get(peer) {
            self.peers[key].record_failure();
            self.end_request(key);
        }
    }

    /// The names of the peers that are considered alive.
    pub fn alive(&self, now: Duration) -> Vec<InstanceName> {
        self.alive_peers(now).map(|peer| peer.name.clone()).collect()
    }

    /// Whether the given incarnation of a peer is considered alive.
    pub fn is_alive(&self, now: Duration, peer: &str, incarnation: Incarnation) -> bool {
        let mut alive = self.alive_peers(now);
        alive.any(|known| *known.name == *peer && known.state.incarnation == incarnation)
    }

    /// The address on which a peer listens; `None` if no list has named the peer.
    pub fn addr(&self, peer: &str) -> Option<Arc<str>> {
        let key = self.by_name.get(peer)?;
        self.peers[*key].addr.clone()
    }

    /// Whether the newest list names a peer that is not leaving.
    pub fn has_listed_peers(&self) -> bool {
        self.peers.values().any(|peer| peer.presence == Some(Presence::Live))
    }

    /// When the last message of any peer was received.
    pub fn last_received(&self) -> Option<Duration> {
        self.last_received
    }

    /// When [`Members::tick`] should be called next.
    pub fn next_wake(&self) -> Option<Duration> {
        Some(self.next_tick)
    }

    /// What is known of each peer, ordered by name.
    pub fn peer_statuses(&self, now: Duration) -> Vec<PeerStatus> {
        let (time, dead_after) = (self.time_before_pause(now), self.dead_after());
        let mut statuses: Vec<_> = self
            .peers
            .values()
            .map(|peer| PeerStatus {
                name: peer.name.clone(),
                version: peer.version(),
                is_ready: peer.state.ready,
                is_alive: peer.is_alive(time, dead_after),
                is_unknown: peer.is_unknown(),
                is_listed: peer.presence.is_some(),
            })
            .collect();
        statuses.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        statuses
    }

    /// The calls that live peers have in flight to an endpoint, by their recent messages.
    pub fn in_flight(&self, now: Duration, endpoint: &str) -> u32 {
        let time = self.time_before_pause(now);
        let age = self.settings.max_count_age;
        let counts = self.alive_peers(now).map(|peer| peer.in_flight(time, endpoint, age));
        counts.fold(0, u32::saturating_add)
    }

    fn alive_peers(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let (time, dead_after) = (self.time_before_pause(now), self.dead_after());
        self.peers.values().filter(move |peer| peer.is_alive(time, dead_after))
    }

    /// Records the time. A paused instance cannot receive messages, so a long step does not count
    /// against the peers.
    fn record_time(&mut self, now: Duration) {
        let step = now.saturating_sub(self.last_now);
        if step > self.pause_threshold() {
            for peer in self.peers.values_mut() {
                peer.shift_times(step);
            }
        }
        self.last_now = self.last_now.max(now);
    }

    /// The time at which the liveness of peers is judged: the last recorded time if this instance
    /// was paused since then.
    fn time_before_pause(&self, now: Duration) -> Duration {
        let step = now.saturating_sub(self.last_now);
        if step > self.pause_threshold() { self.last_now } else { now }
    }

    /// The time without a new counter after which a peer is considered dead. A message has room for
    /// a limited number of counters, so in a large group each one takes longer to spread.
    fn dead_after(&self) -> Duration {
        let room = FULL_MESSAGES * self.settings.max_members;
        let crowding = self.peers.len() as f64 / room as f64;
        self.settings.dead_after.mul_f64(crowding.max(1.0))
    }

    fn pause_threshold(&self) -> Duration {
        self.settings.tick * PAUSE_ROUNDS
    }

    fn jittered_tick(&mut self) -> Duration {
        self.settings.tick.mul_f64(self.rng.random_range(0.9..1.1))
    }

    fn update_member(&mut self, now: Duration, state: &MemberState) {
        if state.name == self.identity.name {
            return;
        }
        let Some(key) = self.known_key(now, &state.name) else { return };
        self.peers[key].update_state(now, state);
    }

    /// The key of the peer with the given name; it is added if there is room for another peer that
    /// is not listed.
    fn known_key(&mut self, now: Duration, name: &InstanceName) -> Option<PeerKey> {
        if let Some(&key) = self.by_name.get(name) {
            return Some(key);
        }
        let unlisted = self.peers.values().filter(|peer| peer.addr.is_none()).count();
        (unlisted < MAX_UNLISTED).then(|| self.key_for(now, name))
    }

    fn key_for(&mut self, now: Duration, name: &InstanceName) -> PeerKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let key = self.peers.insert(Peer::new(now, name.clone()));
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Removes peers that are no longer listed and of which nothing was received for long, and
    /// outdated counts.
    fn remove_expired(&mut self, now: Duration) {
        let Settings { remove_after, max_count_age, .. } = self.settings;
        let by_name = &mut self.by_name;
        self.peers.retain(|_, peer| {
            peer.prune_counts(now, max_count_age);
            let is_gone =
                peer.presence.is_none() && now.saturating_sub(peer.seen_at) > remove_after;
            if is_gone {
                by_name.remove(&peer.name);
            }
            !is_gone
        });
    }

    /// The peers with a known address: those that may be alive, and the others.
    fn reachable(&self, now: Duration) -> (Vec<PeerKey>, Vec<PeerKey>) {
        let dead_after = self.dead_after();
        let may_be_alive = |key: &PeerKey| {
            self.peers[*key].is_unknown() || self.peers[*key].is_alive(now, dead_after)
        };
        let reachable = self.peers.iter().filter(|(_, peer)| peer.addr.is_some());
        reachable.map(|(key, _)| key).partition(may_be_alive)
    }

    /// A random peer that has a newer configuration, if there is one; one of this region if
    /// possible.
    fn choose_ahead(&mut self, now: Duration, mark: ConfigMark) -> Option<PeerKey> {
        let (mut live, _) = self.reachable(now);
        let is_ahead = |key: &PeerKey| self.peers[*key].is_ahead(mark);
        if live.iter().any(|key| !self.peers[*key].is_remote && is_ahead(key)) {
            live.retain(|key| !self.peers[*key].is_remote);
        }
        let ahead = live.into_iter().filter(|key| self.peers[*key].is_ahead(mark));
        ahead.choose(&mut self.rng)
    }

    /// The receivers of a round: some peers that may be alive, the one that has a newer
    /// configuration, and every few rounds one that seems dead.
    fn targets(&mut self, now: Duration, ahead: Option<PeerKey>) -> Vec<PeerKey> {
        let (live, dead) = self.reachable(now);
        let mut targets = self.choose_live(live);
        targets.extend(ahead.filter(|key| !targets.contains(key)));
        if self.heartbeat.is_multiple_of(PROBE_ROUNDS) || targets.is_empty() {
            targets.extend(dead.into_iter().choose(&mut self.rng));
        }
        targets
    }

    /// Random peers among those that may be alive. With several regions, they are in this region,
    /// and for each [`NEAR_MESSAGES`] messages one of another region is added.
    fn choose_live(&mut self, live: Vec<PeerKey>) -> Vec<PeerKey> {
        let fanout = self.settings.fanout;
        let (remote, near): (Vec<_>, Vec<_>) =
            live.into_iter().partition(|key| self.peers[*key].is_remote);
        if remote.is_empty() || near.is_empty() {
            let live = near.into_iter().chain(remote);
            return live.choose_multiple(&mut self.rng, fanout);
        }
        let slots = self.next_slot..self.next_slot + fanout as u64;
        self.next_slot = slots.end;
        let remote_count = slots.filter(|slot| slot.is_multiple_of(NEAR_MESSAGES)).count();
        let mut targets = near.into_iter().choose_multiple(&mut self.rng, fanout);
        targets.extend(remote.into_iter().choose_multiple(&mut self.rng, remote_count));
        targets
    }

    /// Records that a peer is asked for its configuration. Returns `false` if another peer may
    /// still be sending its own: copies sent at the same time would delay each other past their
    /// timeout.
    fn begin_request(&mut self, now: Duration, peer: PeerKey) -> bool {
        if self.snapshot_request.as_ref().is_some_and(|request| now < request.until) {
            return false;
        }
        self.snapshot_request =
            Some(SnapshotRequest { peer, until: now + self.settings.snapshot_timeout });
        true
    }

    /// Ends the request to a peer, which has sent its configuration or cannot be reached.
    fn end_request(&mut self, peer: PeerKey) {
        self.snapshot_request.take_if(|request| request.peer == peer);
    }

    fn envelope(
        &mut self,
        now: Duration,
        to: PeerKey,
        purpose: Purpose,
        local: &LocalState<'_>,
    ) -> Envelope {
        let limit = spread::send_limit(self.peers.len());
        let Settings { max_members, max_leaving, max_endpoints, .. } = self.settings;
        let members = self.pick_members(now, to, limit, max_members, local);
        let leaving = self.leaving.pick(&mut self.rng, local.leaving, limit, max_leaving);
        let endpoints = self.endpoints.pick(local.endpoints, limit, max_endpoints);
        let message = Gossip {
            from: self.identity.name.clone(),
            wants_reply: matches!(purpose, Purpose::Round | Purpose::RequestSnapshot),
            mark: local.mark,
            snapshot: local.snapshot.clone().filter(|_| purpose == Purpose::SendSnapshot),
            wants_snapshot: purpose == Purpose::RequestSnapshot,
            members,
            leaving,
            endpoints,
        };
        let peer = &self.peers[to];
        let addr = peer.addr.clone().unwrap_or_else(|| Arc::from(""));
        Envelope { to: peer.name.clone(), addr, message }
    }

    /// This instance's own counter, and those of other instances that were sent least often.
    fn pick_members(
        &mut self,
        now: Duration,
        to: PeerKey,
        limit: u32,
        max: usize,
        local: &LocalState<'_>,
    ) -> Vec<MemberState> {
        let dead_after = self.dead_after();
        // The receiver's region has its own counters sooner than another one.
        let receiver = self.peers[to].region.clone().filter(|_| self.peers[to].is_remote);
        let others = self.peers.iter().filter(|&(key, peer)| {
            let has_state = peer.updated_at.is_some();
            let is_known_there = receiver.is_some() && peer.region == receiver;
            key != to && has_state && !is_known_there && peer.is_alive(now, dead_after)
        });
        let news = others.map(|(key, peer)| (key, peer.sends));
        let picked = spread::least_sent(&mut self.rng, news, limit, max.saturating_sub(1));
        let mut states = vec![self.own_state(local)];
        for key in picked {
            let peer = &mut self.peers[key];
            // A message to another region does not spread the counter within this one.
            peer.sends += u32::from(receiver.is_none());
            states.push(peer.state.clone());
        }
        states
    }

    fn own_state(&self, local: &LocalState<'_>) -> MemberState {
        MemberState {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            heartbeat: self.heartbeat,
            version: local.mark.version,
            ready: local.ready,
        }
    }
}
