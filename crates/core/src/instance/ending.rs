//! Ends requests: sends their one outcome and releases what they hold.

use std::time::Duration;

use crate::{
    instance::{
        Instance, Stopping,
        action::Action,
        admit::qualify_not_run,
        finished::FinishedRequest,
        held::{ActiveRequest, ClaimState, RequestKey},
    },
    model::{Outcome, RequestId},
};

impl Instance {
    /// Sends an active request's outcome and removes the request.
    pub(super) fn conclude(&mut self, key: RequestKey, outcome: Outcome) {
        let Some(active) = self.requests.remove(key) else { return };
        self.release_resources(key, &active);
        self.resolve_claim(&active, &outcome);
        if let Some(caller) = active.caller {
            self.callers.remove(&caller);
            let won = active.claim.is_some_and(|claim| claim.state == ClaimState::Won);
            self.send_outcome(caller, qualify_not_run(&active.request, won, outcome));
        }
    }

    /// Cancels a request's calls and removes it from its queue.
    fn release_resources(&mut self, key: RequestKey, active: &ActiveRequest) {
        for call in &active.progress.calls {
            self.cancel(*call);
        }
        if active.progress.is_queued {
            self.queues.remove(self.now, &active.stage().pool, key);
        }
        self.remove_team_request(&active.request.id.team);
    }

    /// Appends the result of a claim to the log: void if nothing ran, finished otherwise. Lost
    /// claims are resolved by the winner.
    fn resolve_claim(&mut self, active: &ActiveRequest, outcome: &Outcome) {
        let Some(claim) = active.claim else { return };
        let id = &active.request.id;
        self.claimants.remove(id);
        match claim.state {
            ClaimState::Lost => {}
            ClaimState::Waiting => self.void_claim(id, claim.nonce),
            ClaimState::Won if active.possible_runs == 0 => self.void_claim(id, claim.nonce),
            ClaimState::Won => {
                let answered = matches!(outcome, Outcome::Answered(_));
                self.claims.finished(self.now, id, claim.nonce, answered);
                let finished = FinishedRequest { digest: active.digest, outcome: outcome.clone() };
                self.finished.insert(id.clone(), finished);
            }
        }
    }

    fn void_claim(&mut self, id: &RequestId, nonce: u64) {
        self.counters.claims_voided += 1;
        self.claims.give_up(self.now, id, nonce);
    }

    pub(super) fn count_outcome(&mut self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Answered(_) => &mut self.counters.answered,
            Outcome::NotRun(_) => &mut self.counters.not_run,
            Outcome::MayHaveRun(_) => &mut self.counters.may_have_run,
            Outcome::Invalid(_) => &mut self.counters.invalid,
        };
        *counter += 1;
    }

    /// Begins a planned stop.
    pub(super) fn on_stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(Stopping { since: self.now, idle_since: None, has_exited: false });
    }

    /// Requests the exit once no request is active and all claim facts are in the log.
    pub(super) fn check_stop(&mut self) {
        let Some(mut stop) = self.stopping.filter(|stop| !stop.has_exited) else { return };
        let is_idle = self.requests.is_empty() && self.now >= stop.since + self.settings.grace;
        if !is_idle {
            return;
        }
        let since = *stop.idle_since.get_or_insert(self.now);
        let is_settled = self.claims.is_flushed() || self.now >= since + self.settings.settle;
        if is_settled {
            stop.has_exited = true;
            self.actions.push(Action::Exit);
        }
        self.stopping = Some(stop);
    }

    /// When a stop proceeds by time alone. While requests are active, their ends make it proceed.
    pub(super) fn stop_wake(&self) -> Option<Duration> {
        let stop = self.stopping.filter(|stop| !stop.has_exited)?;
        let next = match stop.idle_since {
            Some(since) => since + self.settings.settle,
            None => stop.since + self.settings.grace,
        };
        (next > self.now).then_some(next)
    }
}
