//! Rounds of gossip: which peers get a message, and which one is asked for its configuration.

use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::membership::{
    ConfigMark,
    members::{Members, NEAR_MESSAGES, PeerKey, SnapshotRequest},
};

/// Every this many rounds, one peer that is not known to be alive gets a message.
const PROBE_ROUNDS: u64 = 4;

impl Members {
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
    pub(super) fn choose_ahead(&mut self, now: Duration, mark: ConfigMark) -> Option<PeerKey> {
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
    pub(super) fn targets(&mut self, now: Duration, ahead: Option<PeerKey>) -> Vec<PeerKey> {
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
    pub(super) fn begin_request(&mut self, now: Duration, peer: PeerKey) -> bool {
        if self.snapshot_request.as_ref().is_some_and(|request| now < request.until) {
            return false;
        }
        self.snapshot_request =
            Some(SnapshotRequest { peer, until: now + self.settings.snapshot_timeout });
        true
    }

    /// Ends the request to a peer, which has sent its configuration or cannot be reached.
    pub(super) fn end_request(&mut self, peer: PeerKey) {
        self.snapshot_request.take_if(|request| request.peer == peer);
    }
}
