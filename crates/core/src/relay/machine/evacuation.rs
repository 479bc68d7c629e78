//! Data centres whose endpoints get nothing more, by the operators' order.
//!
//! The order binds whatever is sent from the moment on at which this instance hears
//! of it: calls, pieces, what is repeated, moved or resumed, and what a peer has
//! placed there. [`Directory::usable`](crate::relay::directory::Directory::usable)
//! leaves these endpoints out, and nothing is sent to an endpoint that it did not
//! give just before. What runs there ends there: a stream that is moved is read
//! again elsewhere, for nothing. Results that lie there are still read, and given
//! up there. Engines there are no source of copies either, since a copy is asked of
//! them.

use std::time::Duration;

use crate::relay::{
    machine::Relay,
    model::{ExchangeKey, Refusal},
    operator::Act,
};

impl Relay {
    /// Takes in what operators ordered, the oldest first. Returns for each whether it
    /// changed anything. Nothing is sent before all of it is in force.
    pub fn apply_operator_changes(&mut self, now: Duration, acts: Vec<Act>) -> Vec<bool> {
        let taken = acts.into_iter().map(|act| self.apply_operator_change(act)).collect();
        self.refuse_evacuated(now);
        self.search(now);
        self.dispatch_all(now);
        taken
    }

    fn apply_operator_change(&mut self, act: Act) -> bool {
        match act {
            Act::Configure(config) => self.configure(config.into()),
            Act::Evacuate(data_centre) => self.directory.evacuate(data_centre),
            Act::Restore(data_centre) => self.directory.restore(&data_centre),
        }
    }

    /// Whether an exchange still needs a service all of whose endpoints are
    /// evacuated. Its stages that have been started may still be made.
    pub(super) fn needs_evacuated(&self, now: Duration, key: ExchangeKey) -> bool {
        if self.directory.evacuated().next().is_none() {
            return false;
        }
        let exchange = &self.exchanges[key];
        let stages = exchange.graph.unstarted();
        let services = stages.map(|idx| &exchange.route.stages[idx].service);
        let mut services = services.chain([&exchange.service]);
        services.any(|service| self.directory.is_evacuated(now, service))
    }

    /// Ends those that nobody can serve, so that their callers hear so at once.
    fn refuse_evacuated(&mut self, now: Duration) {
        let open = self.exchanges.iter().filter(|(_, exchange)| exchange.call.is_none());
        let open: Vec<_> = open.map(|(key, _)| key).collect();
        for key in open {
            if self.needs_evacuated(now, key) {
                self.give_up(now, key, Refusal::Evacuated);
            }
        }
    }
}
