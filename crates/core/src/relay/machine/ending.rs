//! How exchanges end.

use std::time::Duration;

use crate::relay::{
    batch::Holder,
    machine::Relay,
    model::{Action, ExchangeKey, Refusal},
};

/// Share of the remaining time that a caller may be told to stay away.
const RETRY_AFTER_SHARE: f64 = 0.3;
/// Shortest time that a caller is told to stay away.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time until an endpoint that failed is usable again, as callers are told.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Time until a queue that is too long has got shorter, as callers are told. It
/// is not worked out from the queue; three tenths of what is left is nearly
/// always less.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(3);

impl Relay {
    /// Ends all exchanges: the instance is about to end. Callers that hold no
    /// part of an answer are told, instead of being cut off.
    pub fn end_all_exchanges(&mut self, now: Duration) {
        for key in self.exchanges.keys().collect::<Vec<_>>() {
            self.stop_work(now, key);
            self.give_up(now, key, Refusal::Unserved);
        }
    }

    /// Gives up what is under way for an exchange. It may have run.
    pub(super) fn stop_work(&mut self, now: Duration, key: ExchangeKey) {
        if let Some(call) = self.exchanges[key].call {
            self.cancel(now, call);
            self.mark_may_have_run(key);
        }
        if !self.exchanges[key].graph.is_complete() {
            self.mark_may_have_run(key);
        }
    }

    /// A caller has gone before its answer was whole.
    pub fn on_caller_disconnect(&mut self, now: Duration, key: ExchangeKey) {
        if let Some(call) = self.exchanges.get(key).and_then(|exchange| exchange.call) {
            self.cancel(now, call);
        }
        self.close(key);
    }

    pub(super) fn time_out_due(&mut self, now: Duration) {
        while let Some(&(at, key)) = self.deadlines.first()
            && at <= now
        {
            self.deadlines.remove(&(at, key));
            self.time_out(now, key);
        }
    }

    pub(super) fn time_out(&mut self, now: Duration, key: ExchangeKey) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let is_making = !exchange.graph.is_complete();
        let (has_run, call) = (is_making || exchange.has_run || exchange.was_called, exchange.call);
        if let Some(call) = call {
            self.cancel(now, call);
        }
        let refusal =
            if has_run || call.is_some() { Refusal::TimedOut } else { Refusal::Infeasible };
        self.give_up(now, key, refusal);
    }

    /// Some of an exchange's work may have been done.
    pub(super) fn mark_may_have_run(&mut self, key: ExchangeKey) {
        if let Some(exchange) = self.exchanges.get_mut(key) {
            exchange.has_run = true;
        }
    }

    /// Ends an exchange without an endpoint's answer.
    pub(super) fn give_up(&mut self, now: Duration, key: ExchangeKey, refusal: Refusal) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        if exchange.has_begun {
            self.actions.push(Action::Break(key));
            self.close(key);
            return;
        }
        let has_run = exchange.has_run || exchange.was_called || refusal == Refusal::TimedOut;
        let may_come_back = !has_run || exchange.route.kind.may_repeat();
        let away = self.retry_after(now, key, refusal);
        let refusal = refusal.after(has_run);
        let retry_after = (may_come_back && away >= MIN_RETRY_AFTER).then_some(away);
        self.actions.push(Action::Refuse { exchange: key, refusal, retry_after });
        self.close(key);
    }

    /// How long its caller should stay away. What is held back stays so for longer
    /// than any caller waits: a sooner time would not be true.
    fn retry_after(&self, now: Duration, key: ExchangeKey, refusal: Refusal) -> Duration {
        if refusal == Refusal::Quarantined {
            return self.quarantined_for(now, key).unwrap_or_default();
        }
        let usual = match refusal {
            // An evacuation ends when the operators say so; no sooner than this.
            Refusal::Infeasible | Refusal::Evacuated => OVERLOAD_RETRY_AFTER,
            _ => DEFAULT_RETRY_AFTER,
        };
        let remaining = self.exchanges[key].due.saturating_sub(now);
        self.policy_retry_after(now, key, usual).min(remaining.mul_f64(RETRY_AFTER_SHARE))
    }

    /// Forgets an exchange and gives up all that it holds.
    pub(super) fn close(&mut self, key: ExchangeKey) {
        let Some(mut exchange) = self.exchanges.remove(key) else { return };
        self.deadlines.remove(&(exchange.due, key));
        self.searching.remove(&key);
        self.batches.drop_waiting(Holder::Own(key));
        for handover in exchange.handovers.drain(..) {
            self.handovers.remove(handover);
            self.actions.push(Action::Recall(handover));
        }
        let held = exchange.graph.take_all();
        self.free(&exchange.route, held);
    }
}
