//! Calls that are given up and made elsewhere, without a word of their endpoint:
//! its first token is overdue, or it has started again.

use std::time::Duration;

use crate::relay::{
    choice::Candidate,
    exchange::{CallPurpose, Exchange},
    machine::Relay,
    model::{Action, CallKey, EndpointKey, ExchangeKey, Failure, Step},
};

/// An engine's first token is overdue after so many times the time that nine of
/// ten take. A slow engine is waited for, since its prompt would be read twice.
/// Chosen, not measured: with 99 of 100 first tokens within 0.7 s few calls get there.
const OVERDUE_FACTOR: f64 = 3.0;
/// The same, as time on top: connections and a loaded instance.
const OVERDUE_SLACK: Duration = Duration::from_millis(300);

impl Relay {
    /// An endpoint has started again: whatever an earlier life of it was sent
    /// comes to nothing. What it holds of connections and calls would otherwise
    /// be waited for, where the endpoint died behind a cut and nothing says so.
    pub(super) fn end_life(&mut self, now: Duration, endpoint: EndpointKey, is_planned: bool) {
        let Some(ended) = self.directory.get(endpoint) else { return };
        self.actions.push(Action::Disconnect(ended.entry.addr.clone()));
        if !is_planned {
            self.note_end(now, endpoint, Vec::new());
        }
        let open = self.calls.iter().filter(|(_, state)| state.endpoint == endpoint);
        let open: Vec<_> = open.map(|(call, state)| (call, state.exchange)).collect();
        for (call, exchange) in open {
            self.actions.push(Action::Cancel(call));
            match exchange {
                CallPurpose::Exchange(_) => self.on_call_failure(now, call, Failure::Cut),
                CallPurpose::Pieces => self.on_pieces_failure(now, call, Failure::Cut, false),
            }
        }
    }

    /// Remembers when an engine's first token is overdue.
    pub(super) fn watch(&mut self, now: Duration, call: CallKey, chosen: &Candidate) {
        let service = &self.directory.get(chosen.endpoint).expect("it is called").entry.service;
        let speed = self.speeds.get(service).cloned().unwrap_or_default();
        let usual = chosen.wait + chosen.copy_time + speed.time_to_first_token(chosen.tokens);
        let at = now + usual.mul_f64(OVERDUE_FACTOR) + OVERDUE_SLACK;
        self.calls[call].overdue_at = Some(at);
        self.overdue.insert((at, call));
    }

    /// Has calls whose first tokens are overdue made elsewhere, where that does no
    /// harm, is in time and within the bound on repetition: their engines hang, or
    /// have more to do than was reckoned with.
    pub(super) fn move_overdue(&mut self, now: Duration) {
        while let Some(&(at, call)) = self.overdue.first()
            && at <= now
        {
            self.overdue.remove(&(at, call));
            let Some(key) = self.exchange_of(call) else { continue };
            if self.calls[call].answered_at.is_some() || !self.may_move(now, key) {
                continue;
            }
            let service = self.exchanges[key].service.clone();
            if self.spend(now, &service, 1) {
                self.actions.push(Action::Cancel(call));
                self.end_call(now, call, Step::Failed(Failure::Cut));
                self.exchanges[key].was_called = true;
                self.advance(now, key);
            }
        }
    }

    /// Whether a call of an exchange may be made again elsewhere.
    fn may_move(&self, now: Duration, key: ExchangeKey) -> bool {
        let Exchange { route, attempts, deadline, has_sent_head, service, tried, .. } =
            &self.exchanges[key];
        let may_repeat =
            route.kind.is_repeatable() && !has_sent_head && *attempts < route.max_attempts;
        let is_sound =
            |key: &EndpointKey| self.directory.get(*key).is_some_and(|it| !it.is_paused(now));
        let others = self.directory.usable(now, service).into_iter();
        let has_other = others.filter(|key| !tried.contains(key)).any(|key| is_sound(&key));
        may_repeat && has_other && *deadline > now + OVERDUE_SLACK
    }
}
