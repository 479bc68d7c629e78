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
        spread::{self, EndpointSpread, LeavingSpread},
    },
    model::{Incarnation, InstanceEntry, InstanceName, Presence},
    record::{Snapshot, Version},
};

/// Peers that no list has named are remembered up to this number.
const MAX_UNLISTED: usize = 1024;
/// One peer that is not known to live is tried every so many rounds.
const PROBE_ROUNDS: u64 = 4;
/// A step of the clock over so many rounds is a pause of this instance.
const PAUSE_ROUNDS: u32 = 4;

/// A counter reaches everybody in time while this many messages hold them all.
const SPREAD_MESSAGES: usize = 2;

/// Time until gossip has told an instance that has just started of all peers
/// that live: six rounds of 400 ms.
const SETTLE_TIME: Duration = Duration::from_millis(2500);

slotmap::new_key_type! {
    struct PeerKey;
}

/// A peer that was asked for its configuration.
struct Asked {
    peer: PeerKey,
    until: Duration,
}

/// What a message is for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// A round of gossip.
    Round,
    /// A round of gossip; the peer is asked for its configuration besides.
    Ask,
    /// A reply.
    Reply,
    /// A reply to a peer that lacks this instance's configuration and asks for
    /// it.
    Give,
}

/// What the instance itself has to tell.
pub struct LocalState<'a> {
    /// How far its configuration is.
    pub mark: ConfigMark,
    /// Its configuration; `None` if it is not known.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether it takes requests.
    pub ready: bool,
    /// Endpoints that it knows to be leaving.
    pub leaving: &'a [LeavingMark],
    /// Its calls in flight and the loads that it saw.
    pub endpoints: &'a [EndpointState],
}

/// A message and where it goes.
#[data]
pub struct Envelope {
    /// The peer.
    pub to: InstanceName,
    /// Where it listens, `ip:port`. Empty for a reply to a peer that is not
    /// listed yet; replies go back the way that the question came.
    pub addr: Arc<str>,
    /// The message.
    pub message: Gossip,
}

/// What a peer is known to have in force.
#[data]
pub struct PeerStatus {
    /// The peer.
    pub name: InstanceName,
    /// The newest version that it said is in force there.
    pub version: Version,
    /// Whether it takes requests.
    pub is_ready: bool,
    /// Whether it is taken for alive.
    pub is_alive: bool,
    /// Whether nothing was heard of it yet, and nothing speaks against it.
    pub is_unknown: bool,
    /// Whether the newest list names it.
    pub is_listed: bool,
}

impl PeerStatus {
    /// Whether work may be handed to it by an instance that has run for so
    /// long. One that has just started counts on peers which it has not heard
    /// of yet: a peer that is dead is found out by the first hand-over, but if
    /// each did the work itself meanwhile, they would be in each other's way.
    pub fn is_usable(&self, run_time: Duration) -> bool {
        let is_sound = self.is_alive && self.is_ready;
        is_sound || (run_time < SETTLE_TIME && (self.is_alive || self.is_unknown))
    }
}

/// The peers of one instance.
pub struct Members {
    identity: Identity,
    settings: Settings,
    rng: SmallRng,
    peers: SlotMap<PeerKey, Peer>,
    by_name: HashMap<InstanceName, PeerKey>,
    leaving: LeavingSpread,
    endpoints: EndpointSpread,
    heartbeat: u64,
    next_tick: Duration,
    last_now: Duration,
    last_heard: Option<Duration>,
    asked: Option<Asked>,
}

impl Members {
    /// An instance that knows no peer.
    pub fn new(identity: Identity, settings: Settings, seed: u64) -> Members {
        Members {
            identity,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            peers: SlotMap::with_key(),
            by_name: HashMap::new(),
            leaving: LeavingSpread::default(),
            endpoints: EndpointSpread::default(),
            heartbeat: 0,
            next_tick: Duration::ZERO,
            last_now: Duration::ZERO,
            last_heard: None,
            asked: None,
        }
    }

    /// Who the instance is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Takes in the platform's list.
    pub fn apply_listing(&mut self, now: Duration, instances: &[InstanceEntry]) {
        self.observe(now);
        for peer in self.peers.values_mut() {
            peer.presence = None;
        }
        for entry in instances {
            if entry.name == self.identity.name {
                continue;
            }
            let key = self.key_for(now, &entry.name);
            self.peers[key].listed(now, entry);
        }
    }

    /// Sends the round's messages, if it is time for one.
    pub fn tick(&mut self, now: Duration, local: &LocalState<'_>) -> Vec<Envelope> {
        self.observe(now);
        if now < self.next_tick {
            return Vec::new();
        }
        self.next_tick = now + self.jittered_tick();
        self.heartbeat += 1;
        self.forget(now);
        let ahead = self.one_ahead(now, local.mark);
        let targets = self.targets(now, ahead);
        let asked = ahead.filter(|key| self.begin_ask(now, *key));
        let purpose = |key| if asked == Some(key) { Purpose::Ask } else { Purpose::Round };
        let envelopes = targets.into_iter().map(|key| self.envelope(now, key, purpose(key), local));
        envelopes.collect()
    }

    /// Takes in a peer's message; the reply, if it wants one.
    pub fn receive(
        &mut self,
        now: Duration,
        message: &Gossip,
        local: &LocalState<'_>,
    ) -> Option<Envelope> {
        self.observe(now);
        if message.from == self.identity.name {
            return None;
        }
        self.last_heard = Some(now);
        for state in &message.members {
            self.heard_of(now, state);
        }
        let key = self.known_key(now, &message.from)?;
        if message.snapshot.is_some() {
            self.end_ask(key);
        }
        let peer = &mut self.peers[key];
        peer.mark = Some(message.mark);
        peer.seen_at = now;
        let sent = message.members.iter().find(|state| state.name == message.from);
        if let Some(sent) = sent {
            peer.tell_counts(now, sent, &message.endpoints);
        }
        let is_given = message.wants_snapshot && peer.is_behind(local.mark);
        let purpose = if is_given { Purpose::Give } else { Purpose::Reply };
        message.wants_reply.then(|| self.envelope(now, key, purpose, local))
    }

    /// A message to a peer failed.
    pub fn send_failed(&mut self, now: Duration, peer: &InstanceName) {
        self.observe(now);
        if let Some(&key) = self.by_name.get(peer) {
            self.peers[key].failed();
            self.end_ask(key);
        }
    }

    /// The peers that are taken for alive.
    pub fn alive(&self, now: Duration) -> Vec<InstanceName> {
        self.alive_peers(now).map(|peer| peer.name.clone()).collect()
    }

    /// Whether that life of a peer is taken for alive.
    pub fn is_alive(&self, now: Duration, peer: &str, incarnation: Incarnation) -> bool {
        let mut alive = self.alive_peers(now);
        alive.any(|known| *known.name == *peer && known.state.incarnation == incarnation)
    }

    /// Where a peer listens, if the list has told.
    pub fn addr(&self, peer: &str) -> Option<Arc<str>> {
        let key = self.by_name.get(peer)?;
        self.peers[*key].addr.clone()
    }

    /// Whether the newest list names a peer that stays.
    pub fn has_listed_peers(&self) -> bool {
        self.peers.values().any(|peer| peer.presence == Some(Presence::Live))
    }

    /// When any peer was last heard.
    pub fn last_received(&self) -> Option<Duration> {
        self.last_heard
    }

    /// When [`Members::tick`] should be called next.
    pub fn next_wake(&self) -> Option<Duration> {
        Some(self.next_tick)
    }

    /// What each peer has in force, by name.
    pub fn peer_statuses(&self, now: Duration) -> Vec<PeerStatus> {
        let (time, dead_after) = (self.unpaused(now), self.dead_after());
        let mut versions: Vec<_> = self
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
        versions.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        versions
    }

    /// The peers' calls in flight to an endpoint, as they told lately.
    pub fn in_flight(&self, now: Duration, endpoint: &str) -> u32 {
        let time = self.unpaused(now);
        let age = self.settings.count_age;
        let counts = self.alive_peers(now).map(|peer| peer.in_flight(time, endpoint, age));
        counts.fold(0, u32::saturating_add)
    }

    fn alive_peers(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let (time, dead_after) = (self.unpaused(now), self.dead_after());
        self.peers.values().filter(move |peer| peer.is_alive(time, dead_after))
    }

    /// Notes the time. While this instance was paused it could hear nobody, so
    /// a long step does not count against the peers.
    fn observe(&mut self, now: Duration) {
        let step = now.saturating_sub(self.last_now);
        if step > self.pause() {
            for peer in self.peers.values_mut() {
                peer.skip(step);
            }
        }
        self.last_now = self.last_now.max(now);
    }

    /// The time by which peers are judged before a pause was noted.
    fn unpaused(&self, now: Duration) -> Duration {
        let step = now.saturating_sub(self.last_now);
        if step > self.pause() { self.last_now } else { now }
    }

    /// The silence that makes a peer dead. A message has room for a limited
    /// number of counters, so in a large group each one takes longer to spread.
    fn dead_after(&self) -> Duration {
        let room = SPREAD_MESSAGES * self.settings.max_members;
        let crowding = self.peers.len() as f64 / room as f64;
        self.settings.dead_after.mul_f64(crowding.max(1.0))
    }

    fn pause(&self) -> Duration {
        self.settings.tick * PAUSE_ROUNDS
    }

    fn jittered_tick(&mut self) -> Duration {
        self.settings.tick.mul_f64(self.rng.random_range(0.9..1.1))
    }

    fn heard_of(&mut self, now: Duration, state: &MemberState) {
        if state.name == self.identity.name {
            return;
        }
        let Some(key) = self.known_key(now, &state.name) else { return };
        self.peers[key].heard_of(now, state);
    }

    /// The peer of that name; a new one if there is room for one not listed.
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

    /// Forgets peers that are neither listed nor heard of, and old counts.
    fn forget(&mut self, now: Duration) {
        let Settings { forget_after, count_age, .. } = self.settings;
        let by_name = &mut self.by_name;
        self.peers.retain(|_, peer| {
            peer.prune_counts(now, count_age);
            let is_gone =
                peer.presence.is_none() && now.saturating_sub(peer.seen_at) > forget_after;
            if is_gone {
                by_name.remove(&peer.name);
            }
            !is_gone
        });
    }

    /// The peers that can be reached: those that may live, and the others.
    fn reachable(&self, now: Duration) -> (Vec<PeerKey>, Vec<PeerKey>) {
        let dead_after = self.dead_after();
        let may_live = |key: &PeerKey| {
            self.peers[*key].is_unknown() || self.peers[*key].is_alive(now, dead_after)
        };
        let reachable = self.peers.iter().filter(|(_, peer)| peer.addr.is_some());
        reachable.map(|(key, _)| key).partition(may_live)
    }

    /// A peer that has a newer configuration, if there is one.
    fn one_ahead(&mut self, now: Duration, mark: ConfigMark) -> Option<PeerKey> {
        let (live, _) = self.reachable(now);
        let ahead = live.into_iter().filter(|key| self.peers[*key].is_ahead(mark));
        ahead.choose(&mut self.rng)
    }

    /// Whom to send to: some peers that may live, the one that has a newer
    /// configuration, and now and then one that seems dead.
    fn targets(&mut self, now: Duration, ahead: Option<PeerKey>) -> Vec<PeerKey> {
        let (live, dead) = self.reachable(now);
        let mut targets = live.into_iter().choose_multiple(&mut self.rng, self.settings.fanout);
        targets.extend(ahead.filter(|key| !targets.contains(key)));
        if self.heartbeat.is_multiple_of(PROBE_ROUNDS) || targets.is_empty() {
            targets.extend(dead.into_iter().choose(&mut self.rng));
        }
        targets
    }

    /// Notes that a peer is asked for its configuration. False if another one
    /// may still be sending its own: copies under way together would keep each
    /// other from arriving in time.
    fn begin_ask(&mut self, now: Duration, peer: PeerKey) -> bool {
        if self.asked.as_ref().is_some_and(|asked| now < asked.until) {
            return false;
        }
        self.asked = Some(Asked { peer, until: now + self.settings.snapshot_timeout });
        true
    }

    /// A peer has sent its configuration, or cannot.
    fn end_ask(&mut self, peer: PeerKey) {
        self.asked.take_if(|asked| asked.peer == peer);
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
            wants_reply: matches!(purpose, Purpose::Round | Purpose::Ask),
            mark: local.mark,
            snapshot: local.snapshot.clone().filter(|_| purpose == Purpose::Give),
            wants_snapshot: purpose == Purpose::Ask,
            members,
            leaving,
            endpoints,
        };
        let peer = &self.peers[to];
        let addr = peer.addr.clone().unwrap_or_else(|| Arc::from(""));
        Envelope { to: peer.name.clone(), addr, message }
    }

    /// The own counter and those of others that were sent least often.
    fn pick_members(
        &mut self,
        now: Duration,
        to: PeerKey,
        limit: u32,
        max: usize,
        local: &LocalState<'_>,
    ) -> Vec<MemberState> {
        let dead_after = self.dead_after();
        let others = self.peers.iter().filter(|&(key, peer)| {
            let is_told = peer.heard_at.is_some();
            key != to && is_told && peer.is_alive(now, dead_after)
        });
        let news = others.map(|(key, peer)| (key, peer.sends));
        let picked = spread::least_sent(&mut self.rng, news, limit, max.saturating_sub(1));
        let mut states = vec![self.own_state(local)];
        for key in picked {
            let peer = &mut self.peers[key];
            peer.sends += 1;
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
