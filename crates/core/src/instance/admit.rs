//! Taking a request in, or telling its caller at once why not.

use std::{rc::Rc, time::Duration};

use crate::{
    admission,
    document::{Pipeline, Team},
    instance::{
        Instance,
        action::Action,
        finished::Ended,
        held::{Claim, ClaimState, Held, Progress, RequestKey},
        plan::Plan,
        timers::Timer,
    },
    model::{
        CallerId, Invalid, Outcome, Refusal, RefusalKind, Request, RequestId, StageName,
        Uncertainty, UncertaintyKind,
    },
};

/// When to come back to an instance that is not ready or is stopping: another
/// one behind the balancer can be asked at once, so the time is short.
pub const RETRY_ELSEWHERE: Duration = Duration::from_secs(1);
/// When to ask again for the outcome of a request that still runs.
pub const RETRY_IN_PROGRESS: Duration = Duration::from_secs(1);

impl Instance {
    pub(super) fn submit(&mut self, caller: CallerId, request: Request) {
        self.counters.received += 1;
        match self.admit(&request) {
            Ok(accepted) => self.hold(caller, request, accepted),
            Err(outcome) => self.send(caller, truthful(&request, false, outcome)),
        }
    }

    /// Every reason not to take a request, cheapest first.
    fn admit(&mut self, request: &Request) -> Result<Accepted, Outcome> {
        let digest = self.content.digest(request);
        self.check_repeat(&request.id, digest)?;
        let claimed = !request.idempotent && self.claims.holder(&request.id).is_some();
        if !claimed {
            self.check_open()?;
        }
        let plan = self.plan.clone().ok_or_else(|| refused(RefusalKind::NotReady))?;
        let accepted = accepted(&plan, request, digest)?;
        if claimed {
            // "Not run" would be untrue: the holder of the claim is asked instead.
            return Ok(accepted);
        }
        self.check_endpoints(&accepted.pipeline)?;
        let probe = self.check_feasible(request, &plan, &accepted)?;
        Ok(Accepted { probe, ..accepted })
    }

    fn check_open(&self) -> Result<(), Outcome> {
        if let Some(stop) = self.stopping
            && self.now >= stop.since + self.settings.grace
        {
            return Err(refused(RefusalKind::Stopping));
        }
        if !self.is_serving() {
            return Err(refused(RefusalKind::NotReady));
        }
        Ok(())
    }

    /// A key that is held here, was held here or is claimed already.
    fn check_repeat(&self, key: &RequestId, digest: u64) -> Result<(), Outcome> {
        if let Some(held) = self.single.get(key).and_then(|key| self.held.get(*key)) {
            return Err(if held.digest == digest { in_progress() } else { key_reused() });
        }
        if let Some(Ended { digest: known, outcome }) = self.finished.find(key) {
            return Err(if *known == digest { outcome.clone() } else { key_reused() });
        }
        match self.claims.holder(key) {
            Some(holder) if holder.digest != digest => Err(key_reused()),
            _ => Ok(()),
        }
    }

    fn check_endpoints(&self, pipeline: &Pipeline) -> Result<(), Outcome> {
        let all = pipeline.stages.iter().all(|s| self.table.pool_usable(self.now, &s.pool) > 0);
        if all { Ok(()) } else { Err(refused(RefusalKind::NoEndpoint)) }
    }

    /// True for a request that is let through against the estimate.
    fn check_feasible(
        &mut self,
        request: &Request,
        plan: &Plan,
        accepted: &Accepted,
    ) -> Result<bool, Outcome> {
        if !self.settings.decisions.admission {
            return Ok(false);
        }
        let Accepted { pipeline, team, .. } = accepted;
        let estimate = self.estimate(request, pipeline, team.weight, team.max_running);
        let decision = self.decide(request, plan, &estimate);
        let probe = self.probes.entry(pipeline.name.clone()).or_default();
        match decision {
            Ok(()) => {
                probe.record_admission(self.now);
                Ok(false)
            }
            Err(refusal) if refusal.kind == RefusalKind::Infeasible && probe.is_due(self.now) => {
                probe.record_admission(self.now);
                Ok(true)
            }
            Err(refusal) => Err(Outcome::NotRun(admission::add_jitter(refusal, &mut self.rng))),
        }
    }

    fn hold(&mut self, caller: CallerId, request: Request, accepted: Accepted) {
        let due = self.now + request.deadline.min(accepted.pipeline.max_deadline());
        let progress = Progress::new(0, request.input.clone(), self.now);
        let key = self.held.insert(Held {
            caller: Some(caller),
            pipeline: accepted.pipeline,
            digest: accepted.digest,
            due,
            claim: None,
            written: 0,
            progress,
            reports: Vec::new(),
            probe: accepted.probe,
            weight: accepted.team.weight,
            request,
        });
        let team = self.held[key].request.id.team.clone();
        self.team_in(&team, accepted.team.weight);
        self.callers.insert(caller, key);
        self.timers.set(due, Timer::Due(key));
        if self.held[key].request.idempotent {
            self.begin_stage(key);
        } else {
            self.claim(key);
        }
    }

    pub(super) fn caller_gone(&mut self, caller: CallerId) {
        let Some(key) = self.callers.remove(&caller) else { return };
        self.counters.callers_gone += 1;
        self.held[key].caller = None;
        // A non-idempotent request that runs is left to its end: its caller
        // may come back for the outcome.
        if self.held[key].request.idempotent {
            self.conclude(key, doubt(UncertaintyKind::TimedOut, None, None));
        } else if self.held[key].written == 0 {
            self.conclude(key, refused(RefusalKind::Expired));
        }
    }

    /// Sends a caller that is not held its outcome.
    pub(super) fn send(&mut self, caller: CallerId, outcome: Outcome) {
        self.count_outcome(&outcome);
        self.actions.push(Action::Answer { caller, outcome });
    }

    /// The held request of a claim attempt that is not decided yet.
    pub(super) fn claimant(&self, id: &RequestId, nonce: u64) -> Option<RequestKey> {
        let key = *self.single.get(id)?;
        let waiting = Claim { nonce, state: ClaimState::Waiting };
        (self.held.get(key)?.claim == Some(waiting)).then_some(key)
    }
}

/// What the configuration says of a request that may be taken in.
pub(super) struct Accepted {
    pub(super) pipeline: Rc<Pipeline>,
    pub(super) team: Rc<Team>,
    digest: u64,
    probe: bool,
}

fn accepted(plan: &Plan, request: &Request, digest: u64) -> Result<Accepted, Outcome> {
    let pipeline = plan.pipeline(&request.pipeline);
    let pipeline = pipeline.ok_or(Outcome::Invalid(Invalid::UnknownPipeline))?;
    let team = plan.team(&request.id.team).ok_or(Outcome::Invalid(Invalid::UnknownTeam))?;
    Ok(Accepted { pipeline: pipeline.clone(), team: team.clone(), digest, probe: false })
}

/// What a request is told that arrives after the instance's exit.
pub fn outcome_after_exit(request: &Request) -> Outcome {
    truthful(request, false, refused(RefusalKind::Stopping))
}

/// The outcome as it may be told. "Not run" speaks for the request, and a
/// repeat whose claim was not read cannot know of its earlier attempts.
pub(super) fn truthful(request: &Request, won: bool, outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::NotRun(refusal) if request.repeat && !request.idempotent && !won => {
            doubt(UncertaintyKind::EarlierUnknown, None, Some(refusal.retry_after))
        }
        outcome => outcome,
    }
}

/// A refusal by this instance that another instance may not share.
pub(super) fn refused(kind: RefusalKind) -> Outcome {
    Outcome::NotRun(Refusal { kind, retry_after: RETRY_ELSEWHERE })
}

pub(super) fn doubt(
    kind: UncertaintyKind,
    stage: Option<StageName>,
    retry_after: Option<Duration>,
) -> Outcome {
    Outcome::MayHaveRun(Uncertainty { kind, stage, retry_after })
}

pub(super) fn in_progress() -> Outcome {
    doubt(UncertaintyKind::InProgress, None, Some(RETRY_IN_PROGRESS))
}

pub(super) fn key_reused() -> Outcome {
    Outcome::Invalid(Invalid::KeyReused)
}
