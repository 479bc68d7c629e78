//! Exchanges gossip with peers.

use std::sync::Arc;

use crate::{
    instance::{Instance, action::Action},
    membership::{ConfigMark, EndpointState, Envelope, Gossip, LeavingMark, LocalState},
    record::Snapshot,
};

impl Instance {
    /// Sends a round of gossip if one is due.
    pub(super) fn send_gossip(&mut self) {
        if self.members.next_wake().is_none_or(|at| at > self.now) {
            return;
        }
        let facts = self.local_facts();
        let envelopes = self.members.tick(self.now, &facts.local());
        envelopes.into_iter().for_each(|envelope| self.send_envelope(envelope));
    }

    pub(super) fn on_gossip(&mut self, message: &Gossip) {
        self.counters.gossip_received += 1;
        if let Some(snapshot) = &message.snapshot {
            let changes = self.config_reader.adopt(snapshot);
            self.apply(changes);
        }
        for mark in &message.leaving {
            self.mark_leaving(&mark.endpoint, mark.incarnation);
        }
        for state in &message.endpoints {
            if let Some(load) = state.load {
                self.table.load_reported(self.now, &state.endpoint, load);
            }
        }
        let facts = self.local_facts();
        let reply = self.members.receive(self.now, message, &facts.local());
        if let Some(envelope) = reply {
            self.send_envelope(envelope);
        }
    }

    fn send_envelope(&mut self, envelope: Envelope) {
        self.counters.gossip_sent += 1;
        let Envelope { to, addr, message } = envelope;
        self.actions.push(Action::Gossip { to, addr, message });
    }

    fn local_facts(&self) -> LocalFacts {
        LocalFacts {
            mark: self.config_reader.mark(),
            snapshot: self.config_reader.shared(),
            is_ready: self.unready_reasons().is_empty(),
            leaving: self.table.leaving_marks(),
            endpoints: self.table.states(self.now),
        }
    }
}

/// The state of this instance that goes into a gossip message.
struct LocalFacts {
    mark: ConfigMark,
    snapshot: Option<Arc<Snapshot>>,
    is_ready: bool,
    leaving: Vec<LeavingMark>,
    endpoints: Vec<EndpointState>,
}

impl LocalFacts {
    fn local(&self) -> LocalState<'_> {
        LocalState {
            mark: self.mark,
            snapshot: self.snapshot.clone(),
            ready: self.is_ready,
            leaving: &self.leaving,
            endpoints: &self.endpoints,
        }
    }
}
