//! Ending a request: its one outcome is sent, everything of it is let go.

use std::time::Duration;

use crate::{
    instance::{
        Instance, Stopping,
        action::Action,
        admit::truthful,
        finished::Ended,
        held::{ClaimState, Held, RequestKey},
    },
    model::{Outcome, RequestId},
};

impl Instance {
    /// Sends a held request's outcome and forgets the request.
    pub(super) fn conclude(&mut self, key: RequestKey, outcome: Outcome) {
        let Some(held) = self.held.remove(key) else { return };
        self.release(key, &held);
        self.settle_claim(&held, &outcome);
        if let Some(caller) = held.caller {
            self.callers.remove(&caller);
            let won = held.claim.is_some_and(|claim| claim.state == ClaimState::Won);
            self.send(caller, truthful(&held.request, won, outcome));
        }
    }

    /// Cancels its calls and takes it out of its queue.
    fn release(&mut self, key: RequestKey, held: &Held) {
        for call in &held.progress.calls {
            self.cancel(*call);
        }
        if held.progress.queued {
            self.lanes.remove(self.now, &held.stage().pool, key);
        }
        self.team_out(&held.request.id.team);
    }

    /// Tells the log what became of a claim: void where nothing ran, finished
    /// otherwise. A claim that was lost is somebody else's to settle.
    fn settle_claim(&mut self, held: &Held, outcome: &Outcome) {
        let Some(claim) = held.claim else { return };
        let id = &held.request.id;
        self.single.remove(id);
        match claim.state {
            ClaimState::Lost => {}
            ClaimState::Waiting => self.void(id, claim.nonce),
            ClaimState::Won if held.written == 0 => self.void(id, claim.nonce),
            ClaimState::Won => {
                let answered = matches!(outcome, Outcome::Answered(_));
                self.claims.finished(self.now, id, claim.nonce, answered);
                let ended = Ended { digest: held.digest, outcome: outcome.clone() };
                self.finished.insert(id.clone(), ended);
            }
        }
    }

    fn void(&mut self, id: &RequestId, nonce: u64) {
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
    pub(super) fn stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(Stopping { since: self.now, idle: None, exited: false });
    }

    /// Exits once nothing is held and the log has what it is owed.
    pub(super) fn check_stop(&mut self) {
        let Some(mut stop) = self.stopping.filter(|stop| !stop.exited) else { return };
        let idle = self.held.is_empty() && self.now >= stop.since + self.settings.grace;
        if !idle {
            return;
        }
        let since = *stop.idle.get_or_insert(self.now);
        let settled = self.claims.is_flushed() || self.now >= since + self.settings.settle;
        if settled {
            stop.exited = true;
            self.actions.push(Action::Exit);
        }
        self.stopping = Some(stop);
    }

    /// When a stop should be looked at again by time alone; while requests
    /// are held, their ends bring it on.
    pub(super) fn stop_wake(&self) -> Option<Duration> {
        let stop = self.stopping.filter(|stop| !stop.exited)?;
        let next = match stop.idle {
            Some(since) => since + self.settings.settle,
            None => stop.since + self.settings.grace,
        };
        (next > self.now).then_some(next)
    }
}
