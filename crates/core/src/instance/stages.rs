//! Runs stages: queues calls, chooses endpoints, hedges and retries.

use std::time::Duration;

use crate::{
    document::{PoolKind, Stage},
    endpoints::{CallEnd, CallResult, Endpoint, State},
    instance::{
        Instance,
        action::{Action, Call},
        admit::{refusal_outcome, uncertain_outcome},
        held::{CallInFlight, CallKey, ClaimState, RequestKey},
        timers::Timer,
    },
    model::{Echo, EndpointName, Outcome, PoolName, Refusal, RefusalKind, UncertaintyKind},
    policy::Function,
    queue, routing, timing,
};

/// The most calls for one stage of one request, hedges included.
pub const MAX_ATTEMPTS: u32 = 8;
/// The most calls for one stage if the retry budget is disabled, as in the baseline.
const BASELINE_ATTEMPTS: u32 = 2;
/// Delay before a refused request is queued again; doubles with each attempt.
const REQUEUE_DELAY: Duration = Duration::from_millis(10);
/// The longest such delay.
const MAX_REQUEUE_DELAY: Duration = Duration::from_millis(500);
/// Delay after which a hedge that found its pool full is tried again.
const HEDGE_RECHECK_DELAY: Duration = Duration::from_millis(20);
/// The shortest delay of a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(20);

/// Why a call is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallReason {
    First,
    Retry,
    Hedge,
}

impl Instance {
    /// Queues a call for a request's current stage.
    pub(super) fn begin_stage(&mut self, key: RequestKey) {
        if self.is_infeasible(key) {
            return self.on_deadline(key);
        }
        let priority = self.priority(key);
        let active = &mut self.requests[key];
        active.progress.is_queued = true;
        let team = active.request.id.team.clone();
        let (weight, deadline) = (active.weight, active.deadline);
        let pool = active.stage().pool.clone();
        let cost = self.cost(&pool);
        let waiting = queue::WaitingCall { key, team, weight, deadline, cost, priority };
        self.queues.push(self.now, &pool, waiting);
    }

    /// Sends waiting calls to all pools with free slots.
    pub(super) fn dispatch_all(&mut self) {
        for pool in self.queues.pools() {
            self.dispatch_pool(&pool);
        }
    }

    fn dispatch_pool(&mut self, pool: &PoolName) {
        while self.table.pool_free_slots(self.now, pool) > 0 {
            let Some(key) = self.queues.pop(self.now, pool) else { return };
            self.requests[key].progress.is_queued = false;
            if self.is_infeasible(key) {
                self.refund_queue(key, pool);
                self.on_deadline(key);
                continue;
            }
            let is_first = self.requests[key].progress.attempts == 0;
            let reason = if is_first { CallReason::First } else { CallReason::Retry };
            if !self.send_call(key, reason) {
                self.refund_queue(key, pool);
                self.schedule_requeue(key);
                return;
            }
            let team = &self.requests[key].request.id.team;
            self.queues.record_dispatch(self.now, pool, team, self.cost(pool));
        }
    }

    /// Refunds a call that left its queue and gets no slot.
    fn refund_queue(&mut self, key: RequestKey, pool: &str) {
        let active = &self.requests[key];
        // A call past its deadline left the queue at no cost.
        let cost = if active.deadline <= self.now { 0.0 } else { self.cost(pool) };
        self.queues.refund(self.now, pool, &active.request.id.team, cost);
    }

    /// Sends one call. False if no endpoint may get it now.
    fn send_call(&mut self, key: RequestKey, reason: CallReason) -> bool {
        let Some(endpoint) = self.choose_endpoint(key, reason) else { return false };
        let known = self.table.endpoint(&endpoint);
        let Some((addr, software)) = known.map(|it| (it.addr.clone(), it.software.clone())) else {
            return false;
        };
        let active = &mut self.requests[key];
        active.progress.attempts += 1;
        active.progress.tried.push(endpoint.clone());
        active.possible_runs += 1;
        let call = self.calls.insert(CallInFlight {
            request: key,
            endpoint: endpoint.clone(),
            software,
            stage: u32::try_from(active.progress.stage)
                .expect("a pipeline has fewer than 2^32 stages"),
            attempt: active.progress.attempts,
            sent_at: self.now,
            last_piece_at: None,
            pieces: 0,
            out_of_order: Default::default(),
        });
        active.progress.calls.push(call);
        self.table.call_started(self.now, &endpoint);
        self.count_call(reason);
        let call = self.build_call(call, addr);
        self.set_hedge_timer(key, call.id.into());
        self.actions.push(Action::Call(call));
        true
    }

    fn choose_endpoint(&mut self, key: RequestKey, reason: CallReason) -> Option<EndpointName> {
        let tried = self.requests[key].progress.tried.clone();
        let untried = self.choose_excluding(key, &tried, reason);
        if untried.is_some() || reason == CallReason::Hedge || tried.is_empty() {
            return untried;
        }
        // All endpoints were tried, so a repeated one is better than none.
        self.choose_excluding(key, &[], reason)
    }

    fn choose_excluding(
        &mut self,
        key: RequestKey,
        exclude: &[EndpointName],
        reason: CallReason,
    ) -> Option<EndpointName> {
        let decisions = self.settings.decisions;
        let active = &self.requests[key];
        let stage = active.stage();
        let uses_prefix = decisions.affinity && self.is_engine(stage);
        let prefix = uses_prefix.then(|| self.content.prefix(&active.progress.input));
        let mut rng = self.rng.clone();
        let peers = |name: &str| self.members.in_flight(self.now, name);
        let software = active.progress.software.as_deref();
        let criteria =
            routing::Criteria { pool: &stage.pool, prefix, exclude, software, peers: &peers };
        let chosen = if !decisions.load_aware {
            routing::choose_scored(&self.table, self.now, &criteria, &mut rng, &|_| Some(0.0))
        } else if let Some(program) =
            self.program(key).filter(|program| program.defines(Function::Route))
        {
            let facts = self.stage_facts(key);
            let score =
                |endpoint: &Endpoint| program.route(&facts, &self.endpoint_facts(endpoint)).given();
            routing::choose_scored(&self.table, self.now, &criteria, &mut rng, &score)
        } else if reason == CallReason::First {
            routing::choose(&self.table, self.now, &criteria, &mut rng)
        } else {
            routing::choose_avoiding_probes(&self.table, self.now, &criteria, &mut rng)
        };
        self.rng = rng;
        chosen
    }

    fn build_call(&self, call: CallKey, addr: std::sync::Arc<str>) -> Call {
        let flight = &self.calls[call];
        let active = &self.requests[flight.request];
        let stage = active.stage();
        Call {
            id: call.id(),
            endpoint: flight.endpoint.clone(),
            addr,
            echo: self.echo(flight),
            stage: stage.name.clone(),
            input: active.progress.input.clone(),
            deadline: self
                .stage_time(flight.request)
                .unwrap_or(active.deadline.saturating_sub(self.now)),
            engine: self.is_engine(stage),
            max_tokens: stage.max_tokens,
            resume: active.progress.pieces.clone(),
        }
    }

    /// The echo that a reply to the call must contain.
    pub(super) fn echo(&self, flight: &CallInFlight) -> Echo {
        Echo {
            request: self.requests[flight.request].request.id.clone(),
            stage: flight.stage,
            attempt: flight.attempt,
        }
    }

    fn is_infeasible(&self, key: RequestKey) -> bool {
        if !self.settings.decisions.admission || self.requests[key].is_probe {
            return false;
        }
        self.stage_time(key).is_none()
    }

    /// Ends a request whose deadline has passed or can no longer be met.
    pub(super) fn on_deadline(&mut self, key: RequestKey) {
        let Some(active) = self.requests.get(key) else { return };
        let outcome = if active.possible_runs > 0 {
            let stage = active.stage().name.clone();
            let retry_after = active.request.idempotent.then(|| self.retry_after(key));
            uncertain_outcome(UncertaintyKind::TimedOut, Some(stage), retry_after)
        } else {
            self.not_run_outcome(key)
        };
        self.conclude(key, outcome);
    }

    /// The outcome of a request of which nothing ran.
    fn not_run_outcome(&self, key: RequestKey) -> Outcome {
        match self.requests[key].claim.map(|claim| claim.state) {
            Some(ClaimState::Waiting) => refusal_outcome(RefusalKind::ClaimUnknown),
            Some(ClaimState::Lost) => self.unanswered_outcome(&self.requests[key].request.id),
            Some(ClaimState::Won) | None => {
                let retry_after = self.retry_after(key);
                Outcome::NotRun(Refusal { kind: RefusalKind::Expired, retry_after })
            }
        }
    }

    /// Queues a request again after a delay.
    fn schedule_requeue(&mut self, key: RequestKey) {
        let attempts = self.requests[key].progress.attempts.min(6);
        let wait = (REQUEUE_DELAY * 2u32.pow(attempts)).min(MAX_REQUEUE_DELAY);
        self.timers.set(self.now + wait, Timer::Requeue(key));
    }

    pub(super) fn on_requeue_timer(&mut self, key: RequestKey) {
        let Some(active) = self.requests.get(key) else { return };
        if !active.progress.is_queued && active.progress.calls.is_empty() {
            self.begin_stage(key);
        }
    }

    /// Retries after a call of which nothing ran.
    pub(super) fn retry_not_run(&mut self, key: RequestKey) {
        if self.requests[key].progress.calls.is_empty() {
            self.schedule_requeue(key);
        }
    }

    /// Retries after a failed call that may have run, if the stage may be repeated.
    pub(super) fn retry_failed(&mut self, key: RequestKey) {
        if !self.requests[key].progress.calls.is_empty() {
            return;
        }
        if !self.is_repeatable(key) || !self.may_retry(key) {
            return self.conclude_failed(key);
        }
        if !self.ensure_version_left(key) {
            return self.conclude_failed(key);
        }
        if !self.requests[key].progress.pieces.is_empty() {
            self.counters.resumes += 1;
        }
        self.begin_stage(key);
    }

    /// Whether an interrupted generation can go on: at the version that began it, or from its
    /// start if that version has no endpoint left and the caller has received nothing.
    fn ensure_version_left(&mut self, key: RequestKey) -> bool {
        let active = &self.requests[key];
        let Some(software) = &active.progress.software else { return true };
        let is_expected = |endpoint: &Endpoint| {
            let is_listed = matches!(endpoint.state(), State::Usable | State::Ejected);
            is_listed && endpoint.software == *software
        };
        if self.table.pool(&active.stage().pool).any(is_expected) {
            return true;
        }
        let is_last = active.progress.stage + 1 == active.pipeline.stages.len();
        if active.caller.is_some() && active.request.stream && is_last {
            return false;
        }
        let progress = &mut self.requests[key].progress;
        progress.pieces.clear();
        progress.software = None;
        true
    }

    fn may_retry(&mut self, key: RequestKey) -> bool {
        let attempts = self.requests[key].progress.attempts;
        if !self.settings.decisions.budget {
            return attempts < BASELINE_ATTEMPTS;
        }
        attempts < MAX_ATTEMPTS && self.try_withdraw()
    }

    /// Withdraws a retry or a hedge from the shared budget.
    pub(super) fn try_withdraw(&mut self) -> bool {
        let allowed = self.budget.try_withdraw();
        self.counters.budget_denied += u64::from(!allowed);
        allowed
    }

    fn conclude_failed(&mut self, key: RequestKey) {
        let active = &self.requests[key];
        let stage = active.stage().name.clone();
        let retry_after = active.request.idempotent.then(|| self.retry_after(key));
        self.conclude(
            key,
            uncertain_outcome(UncertaintyKind::StageFailed, Some(stage), retry_after),
        );
    }

    fn is_repeatable(&self, key: RequestKey) -> bool {
        let active = &self.requests[key];
        active.request.idempotent || active.stage().repeatable
    }

    /// Sets the timer for a hedge of a call.
    fn set_hedge_timer(&mut self, key: RequestKey, call: CallKey) {
        let active = &self.requests[key];
        if !self.settings.decisions.hedging || !self.is_repeatable(key) {
            return;
        }
        let estimator = self.estimator(&active.pipeline.name, &active.stage().name);
        let Some(left) = self.stage_time(key) else { return };
        let early = timing::early_hedge_delay(estimator, left);
        let after = early.or_else(|| timing::hedge_delay(estimator?, left));
        let Some(after) = after else { return };
        self.timers.set(self.now + after.max(MIN_HEDGE_DELAY), Timer::Hedge(call));
    }

    /// Sends a hedge for a slow call, if the retry budget allows it. If the pool has no free slot for
    /// it, checks again after a short time, since the call may stay without a reply until its
    /// deadline.
    pub(super) fn on_hedge_timer(&mut self, call: CallKey) {
        let Some(flight) = self.calls.get(call) else { return };
        let key = flight.request;
        let progress = &self.requests[key].progress;
        if flight.last_piece_at.is_some()
            || progress.calls.len() > 1
            || progress.attempts >= MAX_ATTEMPTS
        {
            return;
        }
        let stage = &self.requests[key].pipeline.stages[progress.stage];
        let pool = stage.pool.clone();
        if self.table.pool_free_slots(self.now, &pool) == 0 || !self.queues.is_empty(&pool) {
            self.timers.set(self.now + HEDGE_RECHECK_DELAY, Timer::Hedge(call));
            return;
        }
        if self.try_withdraw() {
            self.send_call(key, CallReason::Hedge);
        }
    }

    /// Cancels a call and frees its slot.
    pub(super) fn cancel(&mut self, call: CallKey) {
        let Some(flight) = self.calls.remove(call) else { return };
        self.counters.cancelled += 1;
        self.end_call(&flight, CallResult::Cancelled, (flight.pieces > 0).then_some(flight.pieces));
        self.actions.push(Action::Cancel(call.id()));
    }

    /// Records the end of a call in the endpoint table.
    pub(super) fn end_call(
        &mut self,
        flight: &CallInFlight,
        result: CallResult,
        tokens: Option<u32>,
    ) {
        let took = self.now.saturating_sub(flight.sent_at);
        self.table.call_ended(self.now, &flight.endpoint, CallEnd { took, result, tokens });
    }

    pub(super) fn is_engine(&self, stage: &Stage) -> bool {
        let pool = self.plan.as_ref().and_then(|plan| plan.document.pool(&stage.pool));
        pool.is_some_and(|pool| pool.kind == PoolKind::Engine)
    }

    fn count_call(&mut self, reason: CallReason) {
        self.counters.calls += 1;
        match reason {
            CallReason::First => self.budget.deposit(),
            CallReason::Retry => self.counters.retries += 1,
            CallReason::Hedge => self.counters.hedges += 1,
        }
    }
}
