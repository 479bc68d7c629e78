//! The state of one peer, as seen by this instance.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    membership::{ConfigMark, EndpointState, MemberState},
    model::{EndpointName, Incarnation, InstanceEntry, InstanceName, Presence},
    record::Version,
    relay::region::RegionName,
};

/// Consecutive failed messages, without a new counter in between, after which a peer is considered
/// dead.
const DEAD_FAILURES: u32 = 3;

/// One peer, as seen by this instance.
pub struct Peer {
    /// Its name.
    pub name: InstanceName,
    /// The address on which it listens; `None` until a list has named it.
    pub addr: Option<Arc<str>>,
    /// Its region; `None` if there is one region, or no list has named the peer.
    pub region: Option<RegionName>,
    /// Whether it is in another region than this instance.
    pub is_remote: bool,
    /// Its presence in the newest list; `None` if the list doesn't name it.
    pub presence: Option<Presence>,
    /// Its newest state that was received.
    pub state: MemberState,
    /// When a new counter was last received; `None` if none was yet.
    pub updated_at: Option<Duration>,
    /// When the peer was last listed, or a message or a counter of it was last received.
    pub seen_at: Duration,
    /// How often its newest counter was sent to other peers.
    pub sends: u32,
    /// The configuration that it has, by its last message.
    pub mark: Option<ConfigMark>,
    failures: u32,
    counts: HashMap<EndpointName, Count>,
    counts_version: (Incarnation, u64),
}

struct Count {
    in_flight: u32,
    received_at: Duration,
}

impl Peer {
    /// A peer of which only the name is known.
    pub fn new(now: Duration, name: InstanceName) -> Peer {
        let state = MemberState {
            name: name.clone(),
            incarnation: Incarnation(0),
            heartbeat: 0,
            version: 0,
            ready: false,
        };
        Peer {
            name,
            addr: None,
            region: None,
            is_remote: false,
            presence: None,
            state,
            updated_at: None,
            seen_at: now,
            sends: 0,
            mark: None,
            failures: 0,
            counts: HashMap::new(),
            counts_version: (Incarnation(0), 0),
        }
    }

    /// Applies its entry of the list.
    pub fn apply_entry(&mut self, now: Duration, entry: &InstanceEntry) {
        self.addr = Some(entry.peer_addr.clone());
        self.presence = Some(entry.presence);
        self.seen_at = now;
    }

    /// Applies its state, from whichever peer it came. Returns whether the state is new.
    pub fn update_state(&mut self, now: Duration, state: &MemberState) -> bool {
        if state_version(state) <= state_version(&self.state) {
            return false;
        }
        if state.incarnation != self.state.incarnation {
            self.counts.clear();
            self.mark = None;
        }
        self.state = state.clone();
        self.updated_at = Some(now);
        self.seen_at = now;
        self.sends = 0;
        self.failures = 0;
        true
    }

    /// Applies the counts of the peer's own message, unless a later one was received already.
    pub fn update_counts(
        &mut self,
        now: Duration,
        sent: &MemberState,
        endpoints: &[EndpointState],
    ) {
        if state_version(sent) < self.counts_version {
            return;
        }
        self.counts_version = state_version(sent);
        for state in endpoints {
            let count = Count { in_flight: state.in_flight, received_at: now };
            self.counts.insert(state.endpoint.clone(), count);
        }
    }

    /// Drops counts that are too old to be used.
    pub fn prune_counts(&mut self, now: Duration, age: Duration) {
        self.counts.retain(|_, count| now.saturating_sub(count.received_at) <= age);
    }

    /// Its calls in flight to an endpoint, 0 if it has not reported them lately.
    pub fn in_flight(&self, now: Duration, endpoint: &str, age: Duration) -> u32 {
        let Some(count) = self.counts.get(endpoint) else { return 0 };
        let is_fresh = now.saturating_sub(count.received_at) <= age;
        if is_fresh { count.in_flight } else { 0 }
    }

    /// Records that a message to it could not be delivered.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether a new counter was received within `dead_after` and messages to it don't fail.
    pub fn is_alive(&self, now: Duration, dead_after: Duration) -> bool {
        let Some(updated_at) = self.updated_at else { return false };
        self.failures < DEAD_FAILURES && now.saturating_sub(updated_at) <= dead_after
    }

    /// Whether no counter was received yet and no message to it has failed.
    pub fn is_unknown(&self) -> bool {
        self.updated_at.is_none() && self.failures == 0
    }

    /// Whether it lacks a configuration that this instance has.
    pub fn is_behind(&self, local: ConfigMark) -> bool {
        let Some(mark) = self.mark else { return false };
        let lacks_start = mark.offset.is_none() && local.offset.is_some();
        mark.version < local.version || lacks_start
    }

    /// Whether it has a configuration that this instance lacks.
    pub fn is_ahead(&self, local: ConfigMark) -> bool {
        let has_start = self.mark.is_some_and(|mark| mark.offset.is_some());
        self.version() > local.version || (local.offset.is_none() && has_start)
    }

    /// The version that it has in force, as far as is known.
    pub fn version(&self) -> Version {
        let reported = self.mark.map_or(0, |mark| mark.version);
        reported.max(self.state.version)
    }

    /// Shifts its times by the length of a pause of this instance.
    pub fn shift_times(&mut self, pause: Duration) {
        self.updated_at = self.updated_at.map(|at| at + pause);
        self.seen_at += pause;
    }
}

fn state_version(state: &MemberState) -> (Incarnation, u64) {
    (state.incarnation, state.heartbeat)
}
