//! Handles the claims of active non-idempotent requests.
//!
//! [`crate::claims`] decides the claims. Here a request waits for the decision, runs if its claim
//! has won, and otherwise gets its outcome from the instance that won.

use rand::Rng;

use crate::{
    claims::{self, ClaimDecision, Verdict},
    instance::{
        AppendKind, Instance,
        action::Action,
        admit::{RETRY_IN_PROGRESS, in_progress, key_reused, refusal_outcome, uncertain_outcome},
        held::{Claim, ClaimState, RequestKey},
        input::PeerOutcome,
        timers::Timer,
    },
    model::{AppendId, Outcome, RefusalKind, RequestId, UncertaintyKind},
    record::{Batch, ClaimBatch},
};

impl Instance {
    /// Requests the claim of a newly admitted request.
    pub(super) fn start_claim(&mut self, key: RequestKey) {
        let nonce: u64 = self.rng.random();
        let active = &mut self.requests[key];
        active.claim = Some(Claim { nonce, state: ClaimState::Waiting });
        let id = active.request.id.clone();
        let digest = active.digest;
        self.claimants.insert(id.clone(), key);
        self.counters.claims += 1;
        let verdict = self.claims.request(self.now, id, digest, nonce);
        self.apply_verdict(key, verdict);
    }

    fn apply_verdict(&mut self, key: RequestKey, verdict: Verdict) {
        match verdict {
            Verdict::Waiting | Verdict::Won => {}
            Verdict::Lost(holder) => self.ask_winner(key, &holder),
            Verdict::Mismatch => self.conclude_lost(key, key_reused()),
            Verdict::Unready(kind) => self.conclude_lost(key, refusal_outcome(kind.refusal())),
        }
    }

    pub(super) fn on_claims_read(&mut self, batch: &Batch<ClaimBatch>) {
        self.last_log_read = Some(self.now);
        for decision in self.claims.read(self.now, batch) {
            self.on_claim_decision(decision);
        }
    }

    fn on_claim_decision(&mut self, decision: ClaimDecision) {
        let Some(key) = self.waiting_claimant(&decision.key, decision.nonce) else { return };
        match decision.verdict {
            Verdict::Won => self.on_claim_won(key),
            other => self.apply_verdict(key, other),
        }
    }

    fn on_claim_won(&mut self, key: RequestKey) {
        self.counters.claims_won += 1;
        if let Some(claim) = &mut self.requests[key].claim {
            claim.state = ClaimState::Won;
        }
        self.requests[key].progress.started_at = self.now;
        self.begin_stage(key);
    }

    /// Asks the winner for the outcome if its address is known, with a time limit.
    fn ask_winner(&mut self, key: RequestKey, holder: &claims::Holder) {
        self.counters.claims_lost += 1;
        let addr = self.members.addr(&holder.instance);
        let same = holder.instance == self.identity.name;
        let Some(addr) = addr.filter(|_| !same) else {
            let outcome = self.unknown_winner_outcome(holder);
            return self.conclude_lost(key, outcome);
        };
        let id = self.requests[key].request.id.clone();
        if let Some(claim) = &mut self.requests[key].claim {
            claim.state = ClaimState::Lost;
        }
        self.actions.push(Action::AskOutcome { to: holder.instance.clone(), addr, key: id });
        let left = self.requests[key].deadline.saturating_sub(self.now);
        let wait = self.settings.ask.min(left / 2);
        self.timers.set(self.now + wait, Timer::WinnerReply(key));
    }

    pub(super) fn on_outcome_reply(&mut self, id: &RequestId, answer: Option<PeerOutcome>) {
        let Some(key) = self.claimants.get(id).copied() else { return };
        if !self.is_awaiting_winner(key) {
            return;
        }
        let outcome = match answer {
            Some(PeerOutcome::Finished(outcome)) => outcome,
            Some(PeerOutcome::Running) => in_progress(),
            Some(PeerOutcome::Unknown) | None => self.unanswered_outcome(id),
        };
        self.conclude_lost(key, outcome);
    }

    pub(super) fn on_winner_timeout(&mut self, key: RequestKey) {
        if !self.is_awaiting_winner(key) {
            return;
        }
        let id = self.requests[key].request.id.clone();
        let outcome = self.unanswered_outcome(&id);
        self.conclude_lost(key, outcome);
    }

    fn is_awaiting_winner(&self, key: RequestKey) -> bool {
        let claim = self.requests.get(key).and_then(|active| active.claim);
        claim.is_some_and(|claim| claim.state == ClaimState::Lost)
    }

    pub(super) fn unanswered_outcome(&self, id: &RequestId) -> Outcome {
        match self.claims.holder(id) {
            Some(holder) => self.unknown_winner_outcome(holder),
            None => in_progress(),
        }
    }

    /// Outcome for a request that lost its claim to a winner that did not answer. A retry can help
    /// only while that incarnation of the winner is alive.
    fn unknown_winner_outcome(&self, holder: &claims::Holder) -> Outcome {
        let finished = holder.finished.is_some();
        let kind = if finished {
            UncertaintyKind::AlreadyFinished
        } else {
            UncertaintyKind::ClaimedElsewhere
        };
        let is_alive = self.members.is_alive(self.now, &holder.instance, holder.incarnation);
        uncertain_outcome(kind, None, is_alive.then_some(RETRY_IN_PROGRESS))
    }

    /// Concludes a request that does not hold its claim.
    fn conclude_lost(&mut self, key: RequestKey, outcome: Outcome) {
        if let Some(claim) = &mut self.requests[key].claim {
            claim.state = ClaimState::Lost;
        }
        self.conclude(key, outcome);
    }

    /// Answers a peer's query for the outcome of a request whose claim this instance holds.
    pub(super) fn on_outcome_query(&mut self, question: u64, id: &RequestId) {
        let answer = match (self.finished.get(id), self.claimants.contains_key(id)) {
            (Some(finished), _) => PeerOutcome::Finished(finished.outcome.clone()),
            (None, true) => PeerOutcome::Running,
            (None, false) => PeerOutcome::Unknown,
        };
        self.actions.push(Action::TellOutcome { question, answer });
    }

    /// Appends the pending facts to the claims stream once they are due.
    pub(super) fn flush_claims(&mut self) {
        let Some(facts) = self.claims.flush(self.now) else { return };
        let append = self.next_append(AppendKind::Claims);
        let batch = ClaimBatch {
            instance: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            facts,
        };
        self.actions.push(Action::AppendClaims { append, batch });
    }

    pub(super) fn next_append(&mut self, kind: AppendKind) -> AppendId {
        self.last_append += 1;
        let append = AppendId(self.last_append);
        self.pending_appends.insert(append, kind);
        append
    }
}

impl claims::UnreadyKind {
    /// Maps the reason to the refusal that a caller gets.
    pub fn refusal(self) -> RefusalKind {
        match self {
            claims::UnreadyKind::CatchingUp | claims::UnreadyKind::LogUnavailable => {
                RefusalKind::ClaimUnknown
            }
            claims::UnreadyKind::HistoryIncomplete => RefusalKind::ClaimHorizon,
        }
    }
}
