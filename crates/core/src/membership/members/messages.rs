//! The messages of gossip: what goes into one.

use std::{sync::Arc, time::Duration};

use crate::membership::{
    Gossip, MemberState, Settings,
    members::{Envelope, LocalState, Members, PeerKey, Purpose},
    spread,
};

impl Members {
    pub(super) fn envelope(
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
