//! What other modules ask of the membership: which peers are alive, and what they run.

use std::{sync::Arc, time::Duration};

use crate::{
    membership::{members::Members, peer::Peer, status::PeerStatus},
    model::{Incarnation, InstanceName, Presence},
};

impl Members {
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

    /// What is known of each peer, ordered by name.
    pub fn peer_statuses(&self, now: Duration) -> Vec<PeerStatus> {
        let (time, dead_after) = (self.time_before_pause(now), self.dead_after());
        let mut statuses: Vec<_> = self
            .peers
            .values()
            .map(|peer| PeerStatus {
                name: peer.name.clone(),
                incarnation: peer.state.incarnation,
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
}
