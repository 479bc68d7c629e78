//! What the instances of the site send each other, and what they decide.

use std::{sync::Arc, time::Duration};

use peatdeck_core::relay::{
    directory::Change,
    fingerprint::Fingerprint,
    model::{Action, ExchangeKey, Peer, PlacementRequest},
};

use super::{LATE, Site, events::Event, name, relay};
use crate::relay::fixture::ms;

impl Site {
    pub(super) fn perform(&mut self, idx: usize, action: Action) {
        match action {
            Action::Send(call) => self.after(ms(1), Event::Run { from: idx, call }),
            Action::Cancel(call) => {
                for endpoint in self.endpoints.values_mut() {
                    endpoint.runs.retain(|(from, _), key| *from != idx || *key != call);
                }
            }
            Action::FinishStream(exchange) => {
                let is_sound =
                    self.loads.remove(&(idx, exchange)).is_some_and(|it| !it.is_deadly());
                self.outcome.sound_served += usize::from(is_sound);
                self.outcome.served_late += usize::from(is_sound && self.now > LATE);
            }
            Action::QuarantineHit { exchange, .. } => {
                let is_sound = self.loads.get(&(idx, exchange)).is_some_and(|it| !it.is_deadly());
                self.outcome.sound_refused += usize::from(is_sound);
            }
            Action::Probe { endpoint, .. } => {
                if let Some(id) = self.relays[idx].directory().get(endpoint).map(|it| it.id()) {
                    self.after(ms(1), Event::Probed { to: idx, endpoint, id });
                }
            }
            Action::AskPeers { endpoint, id, own, peers } => {
                let by = peers;
                self.after(ms(4), Event::Reached { to: idx, endpoint, id, own, by });
            }
            Action::CheckPath { endpoint, .. } => {
                self.after(ms(1), Event::PathChecked { to: idx, endpoint });
            }
            Action::RequestPlacement { exchange, peer, request } => {
                self.after(
                    ms(1),
                    Event::Place { to: index_of(&peer), from: idx, exchange, request },
                );
            }
            Action::ReportProgress { peer, progress, notices } => {
                let to = index_of(&peer);
                self.after(ms(1), Event::Progress { to, from: idx, progress, notices });
            }
            Action::ReportCrashes { peer, crashes } => {
                let delay = self.delay();
                self.after(delay, Event::Report { to: index_of(&peer), crashes });
            }
            Action::QueryAnswered { content, since } => self.ask_all(idx, content, since),
            Action::CrashesCombined { .. } => self.outcome.combined += 1,
            Action::Quarantined { content, .. } => drop(self.outcome.quarantined.insert(content.0)),
            Action::AnnounceQuarantine { content, crashes } => {
                self.recorded.insert(content.0);
                for to in (0..self.relays.len()).filter(|to| *to != idx) {
                    let delay = self.delay();
                    self.after(delay, Event::Announce { to, content, crashes });
                }
            }
            _ => {}
        }
    }

    pub(super) fn place(
        &mut self,
        to: usize,
        from: usize,
        exchange: ExchangeKey,
        request: &PlacementRequest,
    ) {
        let now = self.now;
        let mut placement = None;
        self.with_relay(to, |relay| placement = relay.place_prompt(now, request));
        self.after(ms(1), Event::Placed { to: from, by: to, exchange, placement });
    }

    fn ask_all(&mut self, from: usize, content: Fingerprint, since: Duration) {
        self.asked.insert((from, content.0), false);
        let (age, mut longest) = (self.now.saturating_sub(since), ms(1));
        for to in (0..self.relays.len()).filter(|to| *to != from) {
            let delay = self.delay();
            longest = longest.max(2 * delay);
            self.after(delay, Event::Ask { to, from, content, age });
        }
        self.after(longest, Event::Answered { to: from, content });
    }

    pub(super) fn ask(&mut self, to: usize, from: usize, content: Fingerprint, age: Duration) {
        let since = self.now.saturating_sub(age);
        if self.alive[to] && self.relays[to].was_answered(content, since) {
            self.asked.insert((from, content.0), true);
        }
    }

    pub(super) fn conclude(&mut self, to: usize, content: Fingerprint) {
        let was_answered = self.asked.remove(&(to, content.0)).unwrap_or_default();
        let now = self.now;
        self.with_relay(to, |relay| relay.on_query_result(now, content, was_answered));
    }

    /// An instance starts: it reads the directory and the platform's quarantine table.
    pub(super) fn start(&mut self, idx: usize) {
        self.alive[idx] = true;
        self.relays[idx] = relay(idx);
        self.read_directory(idx);
        self.set_peers();
        let now = self.now;
        for content in self.recorded.clone() {
            self.with_relay(idx, |relay| relay.on_quarantine_record(now, Fingerprint(content), 4));
        }
    }

    pub(super) fn read_directory(&mut self, idx: usize) {
        let now = self.now;
        let entries: Vec<_> = self.endpoints.values().map(|it| it.entry.clone()).collect();
        for entry in entries {
            self.with_relay(idx, |relay| relay.apply_change(now, Change::Put(entry)));
        }
    }

    pub(super) fn set_peers(&mut self) {
        let now = self.now;
        let alive: Vec<_> = (0..self.relays.len()).filter(|idx| self.alive[*idx]).collect();
        for &idx in &alive {
            let peers = alive.iter().filter(|other| **other != idx);
            let peer = |idx: &usize| Peer {
                name: name(*idx),
                millicores: 250,
                data_centre: Arc::from("east"),
            };
            let peers = peers.map(peer).collect();
            self.with_relay(idx, |relay| {
                relay.set_peers(now, peers, alive.len());
                relay.mark_peers_known(now);
            });
        }
    }
}

fn index_of(peer: &str) -> usize {
    peer[1..].parse().unwrap()
}
