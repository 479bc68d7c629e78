//! Gossip, from the instance's side.

use std::sync::Arc;

use crate::{
    instance::{Instance, action::Action},
    membership::{ConfigMark, EndpointState, Envelope, Gossip, LeavingMark, LocalState},
    record::Snapshot,
};

impl Instance {
    /// Sends the round of gossip that is due.
    pub(super) fn gossip_round(&mut self) {
        if self.members.next_wake().is_none_or(|at| at > self.now) {
            return;
        }
        let facts = self.local_facts();
        let envelopes = self.members.tick(self.now, &facts.local());
        envelopes.into_iter().for_each(|envelope| self.post(envelope));
    }

    pub(super) fn gossip(&mut self, message: &Gossip) {
        self.counters.gossip_received += 1;
        if let Some(snapshot) = &message.snapshot {
            let changes = self.fold.adopt(snapshot);
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
            self.post(envelope);
        }
    }

    fn post(&mut self, envelope: Envelope) {
        self.counters.gossip_sent += 1;
        let Envelope { to, addr, message } = envelope;
        self.actions.push(Action::Gossip { to, addr, message });
    }

    fn local_facts(&self) -> Facts {
        Facts {
            mark: self.fold.mark(),
            snapshot: self.fold.shared(),
            ready: self.unready_reasons().is_empty(),
            leaving: self.table.leaving_marks(),
            endpoints: self.table.states(self.now),
        }
    }
}

/// What this instance can tell, gathered for one message.
struct Facts {
    mark: ConfigMark,
    snapshot: Option<Arc<Snapshot>>,
    ready: bool,
    leaving: Vec<LeavingMark>,
    endpoints: Vec<EndpointState>,
}

impl Facts {
    fn local(&self) -> LocalState<'_> {
        LocalState {
            mark: self.mark,
            snapshot: self.snapshot.clone(),
            ready: self.ready,
            leaving: &self.leaving,
            endpoints: &self.endpoints,
        }
    }
}
