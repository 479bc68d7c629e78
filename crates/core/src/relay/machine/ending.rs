//! How exchanges end.

use std::time::Duration;

use crate::relay::{
    batch::Requester,
    machine::Relay,
    model::{Action, ExchangeKey, Refusal},
};

/// Share of the remaining time that a caller may be told to stay away.
const AWAY_SHARE: f64 = 0.3;
/// Shortest time that a caller is told to stay away.
const SHORTEST_AWAY: Duration = Duration::from_millis(50);
/// Time until an endpoint that failed is usable again, as callers are told.
const USUAL_AWAY: Duration = Duration::from_millis(400);
/// Time until a queue that is too long has got shorter, as callers are told. It
/// is not worked out from the queue; three tenths of what is left is nearly
/// always less.
const LONG_AWAY: Duration = Duration::from_secs(3);

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
            self.note_run(key);
        }
        if !self.exchanges[key].graph.is_complete() {
            self.note_run(key);
        }
    }

    /// A caller has gone before its answer was whole.
    pub fn on_caller_disconnect(&mut self, now: Duration, key: ExchangeKey) {
        if let Some(call) = self.exchanges.get(key).and_then(|exchange| exchange.call) {
            self.cancel(now, call);
        }
        self.close(key);
    }

    pub(super) fn tick_quietly(&mut self, now: Duration) {
        while let Some(&(at, key)) = self.due.first()
            && at <= now
        {
            self.due.remove(&(at, key));
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
    pub(super) fn note_run(&mut self, key: ExchangeKey) {
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
        let has_run = exchange.has_run || exchange.was_called || refusal == Refusal::TimedOut;
        let may_come_back = !has_run || exchange.route.kind.is_repeatable();
        let away = self.away(now, key, refusal);
        let refusal = refusal.after(has_run);
        let retry_after = (may_come_back && away >= SHORTEST_AWAY).then_some(away);
        self.actions.push(Action::Refuse { exchange: key, refusal, retry_after });
        self.close(key);
    }

    /// How long its caller should stay away. What is held back stays so for longer
    /// than any caller waits: a sooner time would not be true.
    fn away(&self, now: Duration, key: ExchangeKey, refusal: Refusal) -> Duration {
        if refusal == Refusal::Quarantined {
            return self.held_for(now, key).unwrap_or_default();
        }
        let usual = match refusal {
            // An evacuation ends when the operators say so; no sooner than this.
            Refusal::Infeasible | Refusal::Evacuated => LONG_AWAY,
            _ => USUAL_AWAY,
        };
        let remaining = self.exchanges[key].deadline.saturating_sub(now);
        self.policy_away(now, key, usual).min(remaining.mul_f64(AWAY_SHARE))
    }

    /// Forgets an exchange and gives up all that it holds.
    pub(super) fn close(&mut self, key: ExchangeKey) {
        let Some(mut exchange) = self.exchanges.remove(key) else { return };
        self.due.remove(&(exchange.deadline, key));
        self.searching.remove(&key);
        self.batches.cancel(Requester::Local(key));
        for handover in exchange.handovers.drain(..) {
            self.handovers.remove(handover);
            self.actions.push(Action::RecallPieces(handover));
        }
        let held = exchange.graph.take_unfreed();
        self.free(&exchange.route, held);
    }
}
