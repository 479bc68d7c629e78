//! How exchanges end.

use std::time::Duration;

use crate::relay::{
    batch::Requester,
    machine::Relay,
    model::{Action, ExchangeKey, Refusal},
};

/// `retry_after` is at most this share of the time that the caller has left.
const RETRY_AFTER_SHARE: f64 = 0.3;
/// Shortest `retry_after` that is sent; below this, none is.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// `retry_after` of other refusals: the usual time until an endpoint that failed is usable
/// again.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// `retry_after` while the platform's store cannot be read.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `retry_after` while queues are too long. It is not computed from the queue, since
/// [`RETRY_AFTER_SHARE`] of the time left is nearly always less.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(3);

impl Relay {
    /// Ends all exchanges before the instance stops. Callers that have received no part of an
    /// answer get a refusal instead of a broken connection.
    pub fn end_all_exchanges(&mut self, now: Duration) {
        for key in self.exchanges.keys().collect::<Vec<_>>() {
            self.stop_work(now, key);
            self.give_up(now, key, Refusal::Unserved);
        }
    }

    /// Cancels the call of an exchange and records that its work may have run.
    pub(super) fn stop_work(&mut self, now: Duration, key: ExchangeKey) {
        if let Some(call) = self.exchanges[key].call {
            self.cancel(now, call);
            self.mark_may_have_run(key);
        }
        if !self.exchanges[key].graph.is_complete() {
            self.mark_may_have_run(key);
        }
    }

    /// A caller disconnected before its answer was complete.
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
        let is_incomplete = !exchange.graph.is_complete();
        let (has_run, call) =
            (is_incomplete || exchange.has_run || exchange.was_called, exchange.call);
        if let Some(call) = call {
            self.cancel(now, call);
        }
        let refusal =
            if has_run || call.is_some() { Refusal::TimedOut } else { Refusal::Infeasible };
        self.give_up(now, key, refusal);
    }

    /// Records that some of an exchange's work may have run.
    pub(super) fn mark_may_have_run(&mut self, key: ExchangeKey) {
        if let Some(exchange) = self.exchanges.get_mut(key) {
            exchange.has_run = true;
        }
    }

    /// Ends an exchange without an endpoint's answer.
    pub(super) fn give_up(&mut self, now: Duration, key: ExchangeKey, refusal: Refusal) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        if exchange.has_sent_head {
            self.actions.push(Action::AbortStream(key));
            self.close(key);
            return;
        }
        let has_run = exchange.has_run
            || exchange.was_called
            || refusal == Refusal::TimedOut
            || self.batcher.has_running(Requester::Local(key));
        // No instance can go on with such a stream, now or later.
        let is_final = matches!(refusal, Refusal::UnknownVersion | Refusal::VersionGone);
        let may_retry = !is_final && (!has_run || exchange.route.kind.is_repeatable());
        let pause = self.retry_after(now, key, refusal);
        let refusal = refusal.after(has_run);
        let retry_after = (may_retry && pause >= MIN_RETRY_AFTER).then_some(pause);
        self.actions.push(Action::Refuse { exchange: key, refusal, retry_after });
        self.close(key);
    }

    /// When the caller should retry. Quarantined content is refused for longer than any
    /// caller waits, so the whole rest of that time is stated.
    fn retry_after(&self, now: Duration, key: ExchangeKey, refusal: Refusal) -> Duration {
        if refusal == Refusal::Quarantined {
            return self.quarantined_for(now, key).unwrap_or_default();
        }
        let usual = match refusal {
            // Operators end an evacuation or a restriction, so the longest pause is stated.
            Refusal::Infeasible | Refusal::Evacuated | Refusal::NoAllowedRegion => {
                OVERLOAD_RETRY_AFTER
            }
            Refusal::OriginUnavailable => STORE_RETRY_AFTER,
            _ => DEFAULT_RETRY_AFTER,
        };
        let remaining = self.exchanges[key].deadline.saturating_sub(now);
        self.policy_retry_after(now, key, usual).min(remaining.mul_f64(RETRY_AFTER_SHARE))
    }

    /// Removes an exchange and releases all that it holds.
    pub(super) fn close(&mut self, key: ExchangeKey) {
        let Some(mut exchange) = self.exchanges.remove(key) else { return };
        self.deadlines.remove(&(exchange.deadline, key));
        self.searching.remove(&key);
        self.batcher.cancel(Requester::Local(key));
        for handover in exchange.handovers.drain(..) {
            self.handovers.remove(handover);
            self.actions.push(Action::RecallPieces(handover));
        }
        let unfreed = exchange.graph.take_unfreed();
        self.free(&exchange.route, exchange.region.as_deref(), unfreed);
    }
}
