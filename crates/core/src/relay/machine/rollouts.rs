//! Rollouts: orders, records and counts of replies are passed to [`rollout`](crate::relay::rollout),
//! and its decisions carried out.

use std::time::Duration;

use crate::{
    model::InstanceName,
    relay::{
        machine::Relay,
        rollout::{Evidence, Order, RolloutRecord, Verdict},
    },
};

impl Relay {
    /// Applies an operator's order. Returns whether it is new.
    pub(super) fn apply_order(&mut self, _order: Order) -> bool {
        false
    }

    /// An operator has withdrawn the order for a service. Returns whether there was one.
    pub(super) fn withdraw_order(&mut self, _service: &str) -> bool {
        false
    }

    /// Whether the operators' table holds an order that the status table has to be read for.
    pub fn has_rollout_orders(&self) -> bool {
        false
    }

    /// Takes in the record of a service's rollout; `None` if it was removed.
    pub fn on_rollout_record(
        &mut self,
        _now: Duration,
        _service: &str,
        _record: Option<RolloutRecord>,
    ) {
    }

    /// The status table has been read whole.
    pub fn mark_rollouts_read(&mut self, _now: Duration) {}

    /// A record could not be written: the store failed, or the table has changed meanwhile.
    pub fn on_rollout_unwritten(&mut self, _now: Duration, _service: &str) {}

    /// A peer reports what it has counted. Returns the verdict of this instance if it decides on
    /// the service.
    pub fn on_evidence(
        &mut self,
        _now: Duration,
        _from: &InstanceName,
        _evidence: Evidence,
    ) -> Option<Verdict> {
        None
    }

    /// The deciding instance has replied to a report; `None` if it could not be reached.
    pub fn on_verdict(&mut self, _now: Duration, _service: &str, _verdict: Option<Verdict>) {}
}
