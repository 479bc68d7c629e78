//! Admits requests or refuses them at once.

use std::{rc::Rc, time::Duration};

use crate::{
    admission,
    document::{Pipeline, Team},
    instance::{
        Instance,
        action::Action,
        finished::FinishedRequest,
        held::{ActiveRequest, Claim, ClaimState, RequestKey, StageProgress},
        plan::Plan,
        timers::Timer,
    },
    model::{
        CallerId, Invalid, Outcome, Refusal, RefusalKind, Request, RequestId, StageName,
        Uncertainty, UncertaintyKind,
    },
};

/// `retry_after` of an instance that is not ready or is stopping. It is short because the balancer
/// can send the retry to another instance at once.
pub const RETRY_ELSEWHERE: Duration = Duration::from_secs(1);
/// `retry_after` for the outcome of a request that is still running.
pub const RETRY_IN_PROGRESS: Duration = Duration::from_secs(1);

impl Instance {
    pub(super) fn on_submit(&mut self, caller: CallerId, request: Request) {
        self.counters.received += 1;
        match self.admit(&request) {
            Ok(resolved) => self.start_request(caller, request, resolved),
            Err(outcome) => self.send_outcome(caller, qualify_not_run(&request, false, outcome)),
        }
    }

    /// Checks all reasons to reject a request, cheapest first.
    fn admit(&mut self, request: &Request) -> Result<ResolvedRequest, Outcome> {
        let digest = self.content.digest(request);
        self.check_duplicate(&request.id, digest)?;
        let claimed = !request.idempotent && self.claims.holder(&request.id).is_some();
        if !claimed {
            self.check_open()?;
        }
        let plan = self.plan.clone().ok_or_else(|| refusal_outcome(RefusalKind::NotReady))?;
        let resolved = resolve_request(&plan, request, digest)?;
        if claimed {
            // `NotRun` could be false here, so the holder of the claim is asked for the outcome.
            return Ok(resolved);
        }
        self.check_endpoints(&resolved.pipeline)?;
        let is_probe = self.check_feasible(request, &plan, &resolved)?;
        Ok(ResolvedRequest { is_probe, ..resolved })
    }

    fn check_open(&self) -> Result<(), Outcome> {
        if let Some(stop) = self.stopping
            && self.now >= stop.since + self.settings.grace
        {
            return Err(refusal_outcome(RefusalKind::Stopping));
        }
        if !self.is_serving() {
            return Err(refusal_outcome(RefusalKind::NotReady));
        }
        Ok(())
    }

    /// Rejects or answers a key that is active, finished or claimed already.
    fn check_duplicate(&self, key: &RequestId, digest: u64) -> Result<(), Outcome> {
        if let Some(active) = self.claimants.get(key).and_then(|key| self.requests.get(*key)) {
            return Err(if active.digest == digest { in_progress() } else { key_reused() });
        }
        if let Some(FinishedRequest { digest: known, outcome }) = self.finished.get(key) {
            return Err(if *known == digest { outcome.clone() } else { key_reused() });
        }
        match self.claims.holder(key) {
            Some(holder) if holder.digest != digest => Err(key_reused()),
            _ => Ok(()),
        }
    }

    fn check_endpoints(&self, pipeline: &Pipeline) -> Result<(), Outcome> {
        let all = pipeline.stages.iter().all(|s| self.table.pool_usable(self.now, &s.pool) > 0);
        if all { Ok(()) } else { Err(refusal_outcome(RefusalKind::NoEndpoint)) }
    }

    /// Returns true for a request that is admitted as a probe against the estimate.
    fn check_feasible(
        &mut self,
        request: &Request,
        plan: &Plan,
        resolved: &ResolvedRequest,
    ) -> Result<bool, Outcome> {
        if !self.settings.decisions.admission {
            return Ok(false);
        }
        let ResolvedRequest { pipeline, team, .. } = resolved;
        let estimate = self.estimate(request, pipeline, team.weight, team.max_running);
        let decision = self.decide_admission(request, plan, &estimate);
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

    fn start_request(&mut self, caller: CallerId, request: Request, resolved: ResolvedRequest) {
        let deadline = self.now + request.deadline.min(resolved.pipeline.max_deadline());
        let progress = StageProgress::new(0, request.input.clone(), self.now);
        let key = self.requests.insert(ActiveRequest {
            caller: Some(caller),
            pipeline: resolved.pipeline,
            digest: resolved.digest,
            deadline,
            claim: None,
            possible_runs: 0,
            progress,
            reports: Vec::new(),
            is_probe: resolved.is_probe,
            weight: resolved.team.weight,
            request,
        });
        let team = self.requests[key].request.id.team.clone();
        self.add_team_request(&team, resolved.team.weight);
        self.callers.insert(caller, key);
        self.timers.set(deadline, Timer::Deadline(key));
        if self.requests[key].request.idempotent {
            self.begin_stage(key);
        } else {
            self.start_claim(key);
        }
    }

    pub(super) fn on_caller_gone(&mut self, caller: CallerId) {
        let Some(key) = self.callers.remove(&caller) else { return };
        self.counters.callers_gone += 1;
        self.requests[key].caller = None;
        // A non-idempotent request that runs is completed: its caller may retry to get the outcome.
        if self.requests[key].request.idempotent {
            self.conclude(key, uncertain_outcome(UncertaintyKind::TimedOut, None, None));
        } else if self.requests[key].possible_runs == 0 {
            self.conclude(key, refusal_outcome(RefusalKind::Expired));
        }
    }

    /// Sends the outcome of a request that isn't active.
    pub(super) fn send_outcome(&mut self, caller: CallerId, outcome: Outcome) {
        self.count_outcome(&outcome);
        self.actions.push(Action::Answer { caller, outcome });
    }

    /// The active request whose claim attempt `nonce` is undecided.
    pub(super) fn waiting_claimant(&self, id: &RequestId, nonce: u64) -> Option<RequestKey> {
        let key = *self.claimants.get(id)?;
        let waiting = Claim { nonce, state: ClaimState::Waiting };
        (self.requests.get(key)?.claim == Some(waiting)).then_some(key)
    }
}

/// A request's pipeline and team in the configuration in force.
pub(super) struct ResolvedRequest {
    pub(super) pipeline: Rc<Pipeline>,
    pub(super) team: Rc<Team>,
    digest: u64,
    is_probe: bool,
}

fn resolve_request(
    plan: &Plan,
    request: &Request,
    digest: u64,
) -> Result<ResolvedRequest, Outcome> {
    let pipeline = plan.pipeline(&request.pipeline);
    let pipeline = pipeline.ok_or(Outcome::Invalid(Invalid::UnknownPipeline))?;
    let team = plan.team(&request.id.team).ok_or(Outcome::Invalid(Invalid::UnknownTeam))?;
    Ok(ResolvedRequest { pipeline: pipeline.clone(), team: team.clone(), digest, is_probe: false })
}

/// Outcome of a request that arrives after [`Action::Exit`].
pub fn outcome_after_exit(request: &Request) -> Outcome {
    qualify_not_run(request, false, refusal_outcome(RefusalKind::Stopping))
}

/// Turns `NotRun` into `MayHaveRun` for a repeat whose claim was not won: `NotRun` covers all
/// attempts at the request, and without the claim the earlier ones are unknown.
pub(super) fn qualify_not_run(request: &Request, won: bool, outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::NotRun(refusal) if request.repeat && !request.idempotent && !won => {
            uncertain_outcome(UncertaintyKind::EarlierUnknown, None, Some(refusal.retry_after))
        }
        outcome => outcome,
    }
}

/// A refusal for a reason that may not apply to other instances.
pub(super) fn refusal_outcome(kind: RefusalKind) -> Outcome {
    Outcome::NotRun(Refusal { kind, retry_after: RETRY_ELSEWHERE })
}

pub(super) fn uncertain_outcome(
    kind: UncertaintyKind,
    stage: Option<StageName>,
    retry_after: Option<Duration>,
) -> Outcome {
    Outcome::MayHaveRun(Uncertainty { kind, stage, retry_after })
}

pub(super) fn in_progress() -> Outcome {
    uncertain_outcome(UncertaintyKind::InProgress, None, Some(RETRY_IN_PROGRESS))
}

pub(super) fn key_reused() -> Outcome {
    Outcome::Invalid(Invalid::KeyReused)
}
