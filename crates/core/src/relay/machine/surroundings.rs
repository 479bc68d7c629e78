//! What the instance learns of its surroundings: the configuration, the directory of endpoints, its
//! peers, and how up to date the tables are.

use std::{sync::Arc, time::Duration};

use crate::relay::{
    config::Config,
    directory::{Change, ChangeEffect, EndedEndpoint, Outage},
    machine::Relay,
    model::Peer,
    peer_losses::Incarnations,
};

impl Relay {
    /// Applies a configuration. Returns false if the one in force is as new or newer.
    pub fn configure(&mut self, config: Arc<Config>) -> bool {
        if self.config.as_ref().is_some_and(|known| known.version >= config.version) {
            return false;
        }
        self.update_allowed_regions(&config);
        self.config = Some(config);
        true
    }

    /// Records that the platform's store was away. Removals that are applied from then on may be
    /// expiries.
    pub fn record_outage(&mut self, outage: Outage) {
        self.directory.record_outage(outage);
    }

    /// Applies a change of the directory.
    pub fn apply_change(&mut self, now: Duration, change: Change) -> ChangeEffect {
        let change = self.keep_unassigned(change);
        let service = match &change {
            Change::Put(entry) => Some(entry.service.clone()),
            Change::Removed(_) | Change::Unreadable(_) => None,
        };
        let had_several = service.as_ref().is_some_and(|it| self.has_several_versions(it));
        let changed = self.directory.apply_change(now, change);
        if let Some(service) = service.filter(|_| changed.is_new_version) {
            if !had_several && self.has_several_versions(&service) {
                self.report_streams(now, &service);
            }
            self.register_versions(now);
            self.confirm_version(&service);
        }
        if let Some(EndedEndpoint { endpoint, is_planned }) = changed.ended {
            self.end_incarnation(now, endpoint, is_planned);
        }
        if changed.is_new {
            self.refresh_gates(now);
            self.recheck_restricted(now);
            self.search(now);
            self.dispatch_all(now);
        }
        changed
    }

    /// Stops batching pieces wherever a peer can do so. Peers exclude this instance as a
    /// batcher from now on.
    pub fn stop_batching(&mut self) {
        self.is_batching = false;
    }

    /// Replaces the list of live peers. `announced` is the number of instances that ever
    /// announced themselves, an upper bound of those that are alive.
    pub fn set_peers(&mut self, now: Duration, peers: Vec<Peer>, announced: usize) {
        self.unresponsive_peers.retain(|_, until| now < *until);
        self.unresponsive_placers.retain(|_, until| now < *until);
        let is_known = |peer: &Peer| self.peers.iter().any(|known| known.name == peer.name);
        let has_joined = !peers.iter().all(is_known);
        self.peers = peers;
        self.announced_count = announced;
        if has_joined {
            self.notify_new_peers();
        }
    }

    /// These incarnations of peers are alive, by what they have reported.
    pub fn set_live_peers(&mut self, now: Duration, live: Incarnations) {
        self.losses.observe(now, live);
    }

    /// Makes requests with stages or prompts wait until the peers are known, or until the
    /// given time. An instance that has just started has no list of peers yet. When 295
    /// instances were restarted together, 173 of them sent calls for pieces themselves in the
    /// 0.2 s before they had the list, and 8,000 of these calls found their endpoint full.
    pub fn hold_for_peers(&mut self, until: Duration) {
        self.peers_deadline = until;
    }

    /// Makes all requests wait until the tables have been read again, or until the given
    /// time, after the event loop stood still. An instance that was suspended for 30 s used
    /// outdated routes until it first read the tables.
    pub fn hold_for_tables(&mut self, until: Duration) {
        self.tables_deadline = until;
        self.rollouts.forget_verdicts();
        self.observed_since = until;
    }

    /// The tables have been read again: requests that wait for them go on.
    pub fn mark_tables_read(&mut self, now: Duration) {
        if now < std::mem::take(&mut self.tables_deadline) {
            self.search(now);
        }
    }

    /// The peers are known: requests that wait for them go on.
    pub fn mark_peers_known(&mut self, now: Duration) {
        if now < std::mem::take(&mut self.peers_deadline) {
            self.search(now);
        }
    }
}
