//! Claims of non-idempotent requests, from the instance's side.
//!
//! The claim itself is decided in [`crate::claims`]; here a held request waits
//! for the decision, runs when it has won, and learns from the winner what to
//! tell its caller when it has lost.

use rand::Rng;

use crate::{
    claims::{self, ClaimDecision, Verdict},
    instance::{
        Append, Instance,
        action::Action,
        admit::{RETRY_IN_PROGRESS, doubt, in_progress, key_reused, refused},
        held::{Claim, ClaimState, RequestKey},
        input::PeerOutcome,
        timers::Timer,
    },
    model::{AppendId, Outcome, RefusalKind, RequestId, UncertaintyKind},
    record::{Batch, ClaimBatch},
};

impl Instance {
    /// Asks for the claim of a request that was just taken in.
    pub(super) fn claim(&mut self, key: RequestKey) {
        let nonce: u64 = self.rng.random();
        let held = &mut self.held[key];
        held.claim = Some(Claim { nonce, state: ClaimState::Waiting });
        let id = held.request.id.clone();
        let digest = held.digest;
        self.single.insert(id.clone(), key);
        self.counters.claims += 1;
        let verdict = self.claims.request(self.now, id, digest, nonce);
        self.not_won(key, verdict);
    }

    fn not_won(&mut self, key: RequestKey, verdict: Verdict) {
        match verdict {
            Verdict::Waiting | Verdict::Won => {}
            Verdict::Lost(holder) => self.lost(key, &holder),
            Verdict::Mismatch => self.lose(key, key_reused()),
            Verdict::Unready(kind) => self.lose(key, refused(kind.refusal())),
        }
    }

    pub(super) fn claims_read(&mut self, batch: &Batch<ClaimBatch>) {
        self.last_read = Some(self.now);
        for decided in self.claims.read(self.now, batch) {
            self.decided(decided);
        }
    }

    fn decided(&mut self, decided: ClaimDecision) {
        let Some(key) = self.claimant(&decided.key, decided.nonce) else { return };
        match decided.verdict {
            Verdict::Won => self.won(key),
            other => self.not_won(key, other),
        }
    }

    fn won(&mut self, key: RequestKey) {
        self.counters.claims_won += 1;
        if let Some(claim) = &mut self.held[key].claim {
            claim.state = ClaimState::Won;
        }
        self.held[key].progress.since = self.now;
        self.begin_stage(key);
    }

    /// Asks the winner, where it can be reached, and bounds the wait.
    fn lost(&mut self, key: RequestKey, holder: &claims::Holder) {
        self.counters.claims_lost += 1;
        let addr = self.members.addr(&holder.instance);
        let same = holder.instance == self.identity.name;
        let Some(addr) = addr.filter(|_| !same) else {
            let outcome = self.winner_unknown(holder);
            return self.lose(key, outcome);
        };
        let id = self.held[key].request.id.clone();
        if let Some(claim) = &mut self.held[key].claim {
            claim.state = ClaimState::Lost;
        }
        self.actions.push(Action::AskOutcome { to: holder.instance.clone(), addr, key: id });
        let left = self.held[key].due.saturating_sub(self.now);
        let wait = self.settings.ask.min(left / 2);
        self.timers.set(self.now + wait, Timer::Ask(key));
    }

    pub(super) fn outcome_told(&mut self, id: &RequestId, answer: Option<PeerOutcome>) {
        let Some(key) = self.single.get(id).copied() else { return };
        if !self.awaits_winner(key) {
            return;
        }
        let outcome = match answer {
            Some(PeerOutcome::Finished(outcome)) => outcome,
            Some(PeerOutcome::Running) => in_progress(),
            Some(PeerOutcome::Unknown) | None => self.winner_silent(id),
        };
        self.lose(key, outcome);
    }

    pub(super) fn ask_expired(&mut self, key: RequestKey) {
        if !self.awaits_winner(key) {
            return;
        }
        let id = self.held[key].request.id.clone();
        let outcome = self.winner_silent(&id);
        self.lose(key, outcome);
    }

    fn awaits_winner(&self, key: RequestKey) -> bool {
        let claim = self.held.get(key).and_then(|held| held.claim);
        claim.is_some_and(|claim| claim.state == ClaimState::Lost)
    }

    pub(super) fn winner_silent(&self, id: &RequestId) -> Outcome {
        match self.claims.holder(id) {
            Some(holder) => self.winner_unknown(holder),
            None => in_progress(),
        }
    }

    /// What a loser says that the winner did not answer. Asking again helps
    /// only while that life of the winner may still answer.
    fn winner_unknown(&self, holder: &claims::Holder) -> Outcome {
        let finished = holder.finished.is_some();
        let kind = if finished {
            UncertaintyKind::AlreadyFinished
        } else {
            UncertaintyKind::ClaimedElsewhere
        };
        let lives = self.members.is_alive(self.now, &holder.instance, holder.incarnation);
        doubt(kind, None, lives.then_some(RETRY_IN_PROGRESS))
    }

    /// Ends a request that does not hold its claim.
    fn lose(&mut self, key: RequestKey, outcome: Outcome) {
        if let Some(claim) = &mut self.held[key].claim {
            claim.state = ClaimState::Lost;
        }
        self.conclude(key, outcome);
    }

    /// Tells a peer what became of a request whose claim this instance holds.
    pub(super) fn outcome_asked(&mut self, question: u64, id: &RequestId) {
        let answer = match (self.finished.find(id), self.single.contains_key(id)) {
            (Some(ended), _) => PeerOutcome::Finished(ended.outcome.clone()),
            (None, true) => PeerOutcome::Running,
            (None, false) => PeerOutcome::Unknown,
        };
        self.actions.push(Action::TellOutcome { question, answer });
    }

    /// Appends what is owed to the claims stream, once its time has come.
    pub(super) fn flush_claims(&mut self) {
        let Some(facts) = self.claims.flush(self.now) else { return };
        let append = self.next_append(Append::Claims);
        let batch = ClaimBatch {
            instance: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            facts,
        };
        self.actions.push(Action::AppendClaims { append, batch });
    }

    pub(super) fn next_append(&mut self, kind: Append) -> AppendId {
        self.last_append += 1;
        let append = AppendId(self.last_append);
        self.appends.insert(append, kind);
        append
    }
}

impl claims::UnreadyKind {
    /// What a caller is told.
    pub fn refusal(self) -> RefusalKind {
        match self {
            claims::UnreadyKind::CatchingUp | claims::UnreadyKind::LogUnavailable => {
                RefusalKind::ClaimUnknown
            }
            claims::UnreadyKind::HistoryIncomplete => RefusalKind::ClaimHorizon,
        }
    }
}
