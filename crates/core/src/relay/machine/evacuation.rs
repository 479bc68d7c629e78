//! Data centres whose endpoints get no work, by the operators' command.
//!
//! The command applies to everything that is sent after this instance has received it: calls,
//! pieces, retried, moved or resumed requests, and calls that a peer placed there.
//! [`Directory::usable`](crate::relay::directory::Directory::usable) leaves these endpoints
//! out, and each endpoint that is sent anything was listed by it just before. Calls that run
//! there run to their end, since a moved stream would have its prompt read again elsewhere
//! for nothing. Results that lie there are still read, and freed there. Engines there do not
//! serve as sources of copies either, since that is a request to them.

use std::time::Duration;

use crate::relay::{
    machine::Relay,
    model::{ExchangeKey, Refusal},
    operator::OperatorCommand,
    pool::Pool,
};

impl Relay {
    /// Applies operators' commands, oldest first. Returns for each whether it changed
    /// anything. Nothing is sent before all of them are applied.
    pub fn apply_operator_changes(
        &mut self,
        now: Duration,
        commands: Vec<OperatorCommand>,
    ) -> Vec<bool> {
        let results = commands.into_iter().map(|it| self.apply_operator_change(now, it)).collect();
        self.recheck_regions(now);
        self.refresh_gates(now);
        self.register_versions(now);
        self.refuse_evacuated(now);
        self.search(now);
        self.dispatch_all(now);
        results
    }

    fn apply_operator_change(&mut self, now: Duration, command: OperatorCommand) -> bool {
        match command {
            OperatorCommand::Configure(config) => self.configure(config.into()),
            OperatorCommand::Evacuate(data_centre) => self.directory.evacuate(data_centre),
            OperatorCommand::Restore(data_centre) => self.directory.restore(&data_centre),
            OperatorCommand::RollOut(order) => self.apply_order(now, order),
            OperatorCommand::WithdrawRollout(service) => self.withdraw_order(&service),
        }
    }

    /// Whether an exchange still needs a service all of whose endpoints are evacuated. Stages
    /// that have been started do not count, since their pieces may still be made.
    pub(super) fn needs_evacuated_service(&self, now: Duration, key: ExchangeKey) -> bool {
        if self.directory.evacuated().next().is_none() {
            return false;
        }
        let exchange = &self.exchanges[key];
        let stages = exchange.graph.unstarted();
        let mut pools = stages.map(|idx| exchange.stage_pool(idx));
        let is_evacuated = |pool: Pool<'_>| self.directory.is_evacuated(now, pool);
        is_evacuated(exchange.pool()) || pools.any(|key| is_evacuated(key.pool()))
    }

    /// Refuses the exchanges that no endpoint can serve any more, at once rather than at
    /// their deadlines.
    fn refuse_evacuated(&mut self, now: Duration) {
        let open = self.exchanges.iter().filter(|(_, exchange)| exchange.call.is_none());
        let open: Vec<_> = open.map(|(key, _)| key).collect();
        for key in open {
            if self.needs_evacuated_service(now, key) {
                self.give_up(now, key, Refusal::Evacuated);
            }
        }
    }
}
