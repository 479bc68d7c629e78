//! One peer, as this instance knows it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    membership::{ConfigMark, EndpointState, MemberState},
    model::{EndpointName, Incarnation, InstanceEntry, InstanceName, Presence},
    record::Version,
};

/// Failed messages in a row, with no news between, that make a peer dead.
const DEAD_FAILURES: u32 = 3;

/// One peer.
pub struct Peer {
    /// Its name.
    pub name: InstanceName,
    /// Where it listens; `None` until the list tells.
    pub addr: Option<Arc<str>>,
    /// What the newest list says of it; `None` if it is not in there.
    pub presence: Option<Presence>,
    /// The newest counter that was heard of.
    pub state: MemberState,
    /// When the counter last rose, or the peer was first listed.
    pub updated_at: Option<Duration>,
    /// When the peer was last listed or heard of.
    pub seen_at: Duration,
    /// How often the newest counter was sent on.
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

    /// Takes in its line of the list.
    pub fn listed(&mut self, now: Duration, entry: &InstanceEntry) {
        self.addr = Some(entry.peer_addr.clone());
        self.presence = Some(entry.presence);
        self.seen_at = now;
    }

    /// Takes in its counter. Returns whether that was news.
    pub fn heard_of(&mut self, now: Duration, state: &MemberState) -> bool {
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

    /// Takes in the counts of its own message, unless a later one was heard.
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

    /// Forgets counts that are too old to be used.
    pub fn prune_counts(&mut self, now: Duration, age: Duration) {
        self.counts.retain(|_, count| now.saturating_sub(count.received_at) <= age);
    }

    /// Its calls in flight to an endpoint, if it told lately.
    pub fn in_flight(&self, now: Duration, endpoint: &str, age: Duration) -> u32 {
        let Some(count) = self.counts.get(endpoint) else { return 0 };
        let is_fresh = now.saturating_sub(count.received_at) <= age;
        if is_fresh { count.in_flight } else { 0 }
    }

    /// A message to it failed.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether its counter rose lately.
    pub fn is_alive(&self, now: Duration, dead_after: Duration) -> bool {
        let Some(heard_at) = self.updated_at else { return false };
        self.failures < DEAD_FAILURES && now.saturating_sub(heard_at) <= dead_after
    }

    /// Whether nothing was heard of it and nothing speaks against it.
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
        let told = self.mark.map_or(0, |mark| mark.version);
        told.max(self.state.version)
    }

    /// Moves its times on, since this instance was paused.
    pub fn shift_times(&mut self, pause: Duration) {
        self.updated_at = self.updated_at.map(|at| at + pause);
        self.seen_at += pause;
    }
}

fn state_version(state: &MemberState) -> (Incarnation, u64) {
    (state.incarnation, state.heartbeat)
}
