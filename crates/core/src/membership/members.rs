//! The state machine of membership and gossip.
//!
//! This module holds the state, and takes in lists, messages and time. `rounds` selects the
//! receivers of messages, `messages` composes them, `queries` answers other modules.

mod messages;
mod queries;
mod rounds;

use std::{collections::HashMap, sync::Arc, time::Duration};

use peatdeck_macros::data;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    instance::input::Identity,
    membership::{
        ConfigMark, EndpointState, Gossip, LeavingMark, MemberState, Settings,
        peer::Peer,
        spread::{EndpointSelector, LeavingSelector},
    },
    model::{InstanceEntry, InstanceName},
    record::Snapshot,
};

/// The most peers that are kept although no list has named them.
const MAX_UNLISTED: usize = 1024;
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

    /// When [`Members::tick`] should be called next.
    pub fn next_wake(&self) -> Option<Duration> {
        Some(self.next_tick)
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
}
