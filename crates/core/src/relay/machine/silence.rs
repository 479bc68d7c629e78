//! Connections to endpoints that open, or stay open, and carry nothing.
//!
//! A call without an answer does not show whether its endpoint is slow or its path carries
//! nothing. If not one byte has come from any endpoint for a while, this instance sends the
//! endpoints that calls wait for a request which each refuses at once. Where no refusal comes,
//! peers try the same; if one gets it, the path is interrupted. Calls then go through peers, and
//! those that wait are repeated if they may be.

use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::{
    model::InstanceName,
    relay::{
        exchange::CallPurpose,
        machine::Relay,
        model::{Action, CallKey, EndpointKey, Step},
        rollout::counting::Ending,
    },
};

/// Time without a byte from any endpoint, while calls wait, after which the paths are checked.
const SILENCE_TIME: Duration = Duration::from_millis(600);
/// Interval at which they are checked again.
const CHECK_INTERVAL: Duration = Duration::from_millis(600);
/// Endpoints whose paths are checked at the same time.
const MAX_ENDPOINTS: usize = 3;
/// Peers that are asked about an endpoint; others may hear nothing either.
const WITNESSES: usize = 3;

impl Relay {
    /// A call waits for the first byte of its answer on a connection of this instance.
    pub(super) fn record_waiting(&mut self, now: Duration, call: CallKey) {
        self.waiting_calls.insert((now, call));
    }

    /// A call has ended, or its answer has begun.
    pub(super) fn record_not_waiting(&mut self, started_at: Duration, call: CallKey) {
        self.waiting_calls.remove(&(started_at, call));
    }

    /// Bytes of a call's answer have come.
    pub(super) fn record_heard(&mut self, now: Duration, call: CallKey) {
        let Some(state) = self.calls.get(call).filter(|state| state.via.is_none()) else { return };
        self.heard_at = now;
        let started_at = state.started_at;
        self.record_not_waiting(started_at, call);
    }

    /// When it is to be checked whether all endpoints are silent; `None` if no call waits.
    pub(super) fn next_silence_check(&self) -> Option<Duration> {
        let (oldest, _) = self.waiting_calls.first()?;
        Some(
            (self.heard_at.max(*oldest) + SILENCE_TIME)
                .max(self.silence_checked_at + CHECK_INTERVAL),
        )
    }

    /// Checks the paths to the endpoints that calls wait for, if none has sent a byte for a while.
    pub(super) fn check_silence(&mut self, now: Duration) {
        if self.next_silence_check().is_none_or(|at| now < at) || self.paths.is_cut_off() {
            return;
        }
        self.silence_checked_at = now;
        let mut checked: Vec<EndpointKey> = Vec::new();
        for (started_at, call) in self.waiting_calls.clone() {
            let endpoint = self.calls[call].endpoint;
            if now < started_at + SILENCE_TIME || checked.len() == MAX_ENDPOINTS {
                break;
            }
            let Some(known) = self.directory.get(endpoint) else { continue };
            if !checked.contains(&endpoint) && !self.paths.is_interrupted(endpoint) {
                checked.push(endpoint);
                let addr = known.entry.addr.clone();
                self.actions.push(Action::CheckAnswer { endpoint, addr });
            }
        }
    }

    /// The check of a path has ended: a refusal came, or none did.
    pub fn on_answer_check(&mut self, now: Duration, endpoint: EndpointKey, has_answered: bool) {
        if has_answered {
            self.heard_at = now;
            return;
        }
        let Some(id) = self.directory.get(endpoint).map(|known| known.id()) else { return };
        let candidates = self.detour_peers(now, endpoint);
        let peers: Vec<_> = candidates.choose_multiple(&mut self.rng, WITNESSES).cloned().collect();
        if !peers.is_empty() {
            self.actions.push(Action::AskAnswered { endpoint, id, peers });
        }
    }

    /// Peers checked their paths to an endpoint from which this instance hears nothing. That
    /// endpoint has refused the request of `witnesses`.
    pub fn on_silence_answers(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        witnesses: &[InstanceName],
    ) {
        let is_silent = now >= self.heard_at + SILENCE_TIME;
        if witnesses.is_empty() || !is_silent {
            return;
        }
        for peer in witnesses {
            self.paths.record_help(now, peer, true);
        }
        self.interrupt_silent_path(now, endpoint);
        self.repeat_waiting(now);
    }

    /// Repeats the calls that wait for endpoints which only peers reach now, where that is safe,
    /// in time and within the retry budget.
    fn repeat_waiting(&mut self, now: Duration) {
        for (_, call) in self.waiting_calls.clone() {
            let Some(state) = self.calls.get(call) else { continue };
            let CallPurpose::Exchange(key) = state.purpose else { continue };
            let endpoint = state.endpoint;
            let Some(exchange) = self.exchanges.get(key) else { continue };
            let may_repeat = exchange.route.kind.is_repeatable()
                && self.paths.is_interrupted(endpoint)
                && exchange.attempts < exchange.route.max_attempts
                && self.has_time_for_call(now, key);
            let service = exchange.service.clone();
            if !may_repeat || !self.try_withdraw(now, &service, 1) {
                continue;
            }
            self.actions.push(Action::Cancel(call));
            self.count_ending(now, call, Ending::Open);
            self.end_call(now, call, Step::Ended);
            let exchange = &mut self.exchanges[key];
            exchange.was_called = true;
            // The endpoint is as good as any other, by another path.
            exchange.tried.retain(|tried| *tried != endpoint);
            self.advance(now, key);
        }
    }
}
