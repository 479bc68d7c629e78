//! Calls that are cancelled and retried elsewhere without an answer of their endpoint: its
//! first token is overdue, or it has restarted.

use std::time::Duration;

use crate::relay::{
    choice::Candidate,
    exchange::{CallPurpose, Exchange},
    machine::Relay,
    model::{Action, CallKey, EndpointKey, ExchangeKey, Failure, Step},
    rollout::counting::Ending,
};

/// An engine's first token is overdue after this multiple of the time within which nine of
/// ten arrive. The factor is high because a retry reads the prompt a second time. Chosen, not
/// measured: with 99 of 100 first tokens within 0.7 s few calls get there.
const OVERDUE_FACTOR: f64 = 3.0;
/// Time added to that limit for connecting and for a loaded instance.
const OVERDUE_SLACK: Duration = Duration::from_millis(300);

impl Relay {
    /// Ends all calls to an endpoint's earlier incarnation after it has restarted, and closes
    /// the connections to it. Otherwise calls would wait for replies that cannot come, if the
    /// endpoint crashed behind a network partition and the connections were never closed.
    pub(super) fn end_incarnation(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        is_planned: bool,
    ) {
        let Some(ended) = self.directory.get(endpoint) else { return };
        self.actions.push(Action::Disconnect(ended.entry.addr.clone()));
        if !is_planned {
            self.record_endpoint_end(now, endpoint, Vec::new());
        }
        let open = self.calls.iter().filter(|(_, state)| state.endpoint == endpoint);
        let open: Vec<_> = open.map(|(call, state)| (call, state.purpose)).collect();
        for (call, exchange) in open {
            self.actions.push(Action::Cancel(call));
            match exchange {
                CallPurpose::Exchange(_) => self.on_call_failure(now, call, Failure::Cut),
                CallPurpose::Pieces => self.on_pieces_failure(now, call, Failure::Cut, false),
            }
        }
    }

    /// Sets the time at which an engine's first token becomes overdue.
    pub(super) fn watch_first_token(&mut self, now: Duration, call: CallKey, chosen: &Candidate) {
        let service = &self
            .directory
            .get(chosen.endpoint)
            .expect("the directory has the called endpoint")
            .entry
            .service;
        let speed = self.prefill_speeds.get(service).cloned().unwrap_or_default();
        let usual = chosen.wait + chosen.copy_time + speed.time_to_first_token(chosen.tokens);
        let at = now + usual.mul_f64(OVERDUE_FACTOR) + OVERDUE_SLACK;
        self.calls[call].overdue_at = Some(at);
        self.token_deadlines.insert((at, call));
    }

    /// Cancels calls whose first token is overdue and retries them elsewhere, if that is
    /// safe, in time and within the retry budget. Their engines hang, or are slower than was
    /// estimated.
    pub(super) fn retry_overdue(&mut self, now: Duration) {
        while let Some(&(at, call)) = self.token_deadlines.first()
            && at <= now
        {
            self.token_deadlines.remove(&(at, call));
            let Some(key) = self.exchange_of(call) else { continue };
            if self.calls[call].answered_at.is_some() || !self.may_retry_elsewhere(now, key) {
                continue;
            }
            let service = self.exchanges[key].service.clone();
            if self.try_withdraw(now, &service, 1) {
                self.actions.push(Action::Cancel(call));
                self.count_ending(now, call, Ending::Open);
                self.end_call(now, call, Step::Failed(Failure::Cut));
                self.exchanges[key].was_called = true;
                self.advance(now, key);
            }
        }
    }

    /// Whether the call of an exchange may be retried on another endpoint.
    fn may_retry_elsewhere(&self, now: Duration, key: ExchangeKey) -> bool {
        let exchange = &self.exchanges[key];
        let Exchange { route, attempts, deadline, has_sent_head, tried, .. } = exchange;
        let may_repeat =
            route.kind.is_repeatable() && !has_sent_head && *attempts < route.max_attempts;
        let is_available =
            |key: &EndpointKey| self.directory.get(*key).is_some_and(|it| !it.is_paused(now));
        let others = self.directory.usable(now, exchange.pool()).into_iter();
        let has_other = others.filter(|key| !tried.contains(key)).any(|key| is_available(&key));
        let may_leave = exchange.allowed.allows(exchange.region.as_deref());
        may_repeat && may_leave && has_other && *deadline > now + OVERDUE_SLACK
    }
}
