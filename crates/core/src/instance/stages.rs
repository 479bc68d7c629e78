//! Sending stage calls: queueing, choosing an endpoint, hedging, retrying.

use std::time::Duration;

use crate::{
    document::{PoolKind, Stage},
    endpoints::{CallEnd, CallResult, Endpoint},
    instance::{
        Instance,
        action::{Action, Call},
        admit::{doubt, refused},
        held::{CallKey, ClaimState, Flight, RequestKey},
        timers::Timer,
    },
    model::{Echo, EndpointName, Outcome, PoolName, Refusal, RefusalKind, UncertaintyKind},
    policy::Function,
    queue, routing, timing,
};

/// Calls of one stage of one request at the most, hedges included.
pub const MAX_ATTEMPTS: u32 = 8;
/// Calls of one stage without the shared budget, in the plain baseline.
const PLAIN_ATTEMPTS: u32 = 2;
/// How long a request waits before it is queued again after a refusal; doubles each time.
const REQUEUE: Duration = Duration::from_millis(10);
/// The longest such wait.
const MAX_REQUEUE: Duration = Duration::from_millis(500);
/// A hedge is never sent sooner than this.
const MIN_HEDGE: Duration = Duration::from_millis(20);

/// Why a call is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Why {
    First,
    Retry,
    Hedge,
}

impl Instance {
    /// Puts a request into the queue of its current stage's pool.
    pub(super) fn begin_stage(&mut self, key: RequestKey) {
        if self.is_hopeless(key) {
            return self.due(key);
        }
        let priority = self.priority(key);
        let held = &mut self.held[key];
        held.progress.queued = true;
        let team = held.request.id.team.clone();
        let (weight, deadline) = (held.weight, held.due);
        let pool = held.stage().pool.clone();
        let cost = self.cost(&pool);
        let waiting = queue::WaitingCall { key, team, weight, deadline, cost, priority };
        self.lanes.push(self.now, &pool, waiting);
    }

    /// Sends what the pools have room for.
    pub(super) fn pump_all(&mut self) {
        for pool in self.lanes.pools() {
            self.pump(&pool);
        }
    }

    fn pump(&mut self, pool: &PoolName) {
        while self.table.pool_free_slots(self.now, pool) > 0 {
            let Some(key) = self.lanes.pop(self.now, pool) else { return };
            self.held[key].progress.queued = false;
            if self.is_hopeless(key) {
                self.leave_lane(key, pool);
                self.due(key);
                continue;
            }
            let first = self.held[key].progress.attempts == 0;
            let why = if first { Why::First } else { Why::Retry };
            if !self.dispatch(key, why) {
                self.leave_lane(key, pool);
                self.back_off(key);
                return;
            }
            let team = &self.held[key].request.id.team;
            self.lanes.record_dispatch(self.now, pool, team, self.cost(pool));
        }
    }

    /// A call that came out of its queue gets no place after all.
    fn leave_lane(&mut self, key: RequestKey, pool: &str) {
        let held = &self.held[key];
        // Past its deadline it came out at no cost.
        let cost = if held.due <= self.now { 0.0 } else { self.cost(pool) };
        self.lanes.refund(self.now, pool, &held.request.id.team, cost);
    }

    /// Sends one call. False if no endpoint may take it now.
    fn dispatch(&mut self, key: RequestKey, why: Why) -> bool {
        let Some(endpoint) = self.choose(key, why) else { return false };
        let Some(addr) = self.table.endpoint(&endpoint).map(|known| known.addr.clone()) else {
            return false;
        };
        let held = &mut self.held[key];
        held.progress.attempts += 1;
        held.progress.tried.push(endpoint.clone());
        held.written += 1;
        let call = self.calls.insert(Flight {
            request: key,
            endpoint: endpoint.clone(),
            stage: u32::try_from(held.progress.stage).expect("pipelines are short"),
            attempt: held.progress.attempts,
            sent: self.now,
            heard: None,
            pieces: 0,
            early: Default::default(),
        });
        held.progress.calls.push(call);
        self.table.call_started(self.now, &endpoint);
        self.count_call(why);
        let call = self.call(call, addr);
        self.set_hedge(key, call.id.into());
        self.actions.push(Action::Call(call));
        true
    }

    fn choose(&mut self, key: RequestKey, why: Why) -> Option<EndpointName> {
        let tried = self.held[key].progress.tried.clone();
        let fresh = self.choose_but(key, &tried, why);
        if fresh.is_some() || why == Why::Hedge || tried.is_empty() {
            return fresh;
        }
        // Every endpoint was tried: better one of them again than none.
        self.choose_but(key, &[], why)
    }

    fn choose_but(
        &mut self,
        key: RequestKey,
        exclude: &[EndpointName],
        why: Why,
    ) -> Option<EndpointName> {
        let decisions = self.settings.decisions;
        let held = &self.held[key];
        let stage = held.stage();
        let prefixed = decisions.affinity && self.is_engine(stage);
        let prefix = prefixed.then(|| self.content.prefix(&held.progress.input));
        let mut rng = self.rng.clone();
        let peers = |name: &str| self.members.in_flight(self.now, name);
        let demand = routing::Criteria { pool: &stage.pool, prefix, exclude, peers: &peers };
        let chosen = if !decisions.load_aware {
            routing::choose_scored(&self.table, self.now, &demand, &mut rng, &|_| Some(0.0))
        } else if let Some(program) =
            self.program(key).filter(|program| program.defines(Function::Route))
        {
            let facts = self.stage_facts(key);
            let score =
                |endpoint: &Endpoint| program.route(&facts, &self.endpoint_facts(endpoint)).given();
            routing::choose_scored(&self.table, self.now, &demand, &mut rng, &score)
        } else if why == Why::First {
            routing::choose(&self.table, self.now, &demand, &mut rng)
        } else {
            routing::choose_avoiding_probes(&self.table, self.now, &demand, &mut rng)
        };
        self.rng = rng;
        chosen
    }

    fn call(&self, call: CallKey, addr: std::sync::Arc<str>) -> Call {
        let flight = &self.calls[call];
        let held = &self.held[flight.request];
        let stage = held.stage();
        Call {
            id: call.id(),
            endpoint: flight.endpoint.clone(),
            addr,
            echo: self.echo(flight),
            stage: stage.name.clone(),
            input: held.progress.input.clone(),
            deadline: self.stage_time(flight.request).unwrap_or(held.due.saturating_sub(self.now)),
            engine: self.is_engine(stage),
            max_tokens: stage.max_tokens,
            resume: held.progress.pieces.clone(),
        }
    }

    /// What a reply to a call must send back.
    pub(super) fn echo(&self, flight: &Flight) -> Echo {
        Echo {
            request: self.held[flight.request].request.id.clone(),
            stage: flight.stage,
            attempt: flight.attempt,
        }
    }

    fn is_hopeless(&self, key: RequestKey) -> bool {
        if !self.settings.decisions.admission || self.held[key].probe {
            return false;
        }
        self.stage_time(key).is_none()
    }

    /// The deadline has passed, or is out of reach.
    pub(super) fn due(&mut self, key: RequestKey) {
        let Some(held) = self.held.get(key) else { return };
        let outcome = if held.written > 0 {
            let stage = held.stage().name.clone();
            let again = held.request.idempotent.then(|| self.retry_after(key));
            doubt(UncertaintyKind::TimedOut, Some(stage), again)
        } else {
            self.unrun(key)
        };
        self.conclude(key, outcome);
    }

    /// How a request ends of which nothing ran.
    fn unrun(&self, key: RequestKey) -> Outcome {
        match self.held[key].claim.map(|claim| claim.state) {
            Some(ClaimState::Waiting) => refused(RefusalKind::ClaimUnknown),
            Some(ClaimState::Lost) => self.winner_silent(&self.held[key].request.id),
            Some(ClaimState::Won) | None => {
                let retry_after = self.retry_after(key);
                Outcome::NotRun(Refusal { kind: RefusalKind::Expired, retry_after })
            }
        }
    }

    /// Puts a request back into its queue after a while.
    fn back_off(&mut self, key: RequestKey) {
        let attempts = self.held[key].progress.attempts.min(6);
        let wait = (REQUEUE * 2u32.pow(attempts)).min(MAX_REQUEUE);
        self.timers.set(self.now + wait, Timer::Requeue(key));
    }

    pub(super) fn requeue(&mut self, key: RequestKey) {
        let Some(held) = self.held.get(key) else { return };
        if !held.progress.queued && held.progress.calls.is_empty() {
            self.begin_stage(key);
        }
    }

    /// A call ended without a reply and without having run: tries again.
    pub(super) fn retry_unrun(&mut self, key: RequestKey) {
        if self.held[key].progress.calls.is_empty() {
            self.back_off(key);
        }
    }

    /// A call failed and may have run: tries again where that does no harm.
    pub(super) fn retry_failed(&mut self, key: RequestKey) {
        if !self.held[key].progress.calls.is_empty() {
            return;
        }
        if !self.is_repeatable(key) || !self.may_retry(key) {
            return self.stage_failed(key);
        }
        if !self.held[key].progress.pieces.is_empty() {
            self.counters.resumes += 1;
        }
        self.begin_stage(key);
    }

    fn may_retry(&mut self, key: RequestKey) -> bool {
        let attempts = self.held[key].progress.attempts;
        if !self.settings.decisions.budget {
            return attempts < PLAIN_ATTEMPTS;
        }
        attempts < MAX_ATTEMPTS && self.spend()
    }

    /// Takes a repetition out of the shared budget.
    pub(super) fn spend(&mut self) -> bool {
        let allowed = self.budget.try_withdraw();
        self.counters.budget_denied += u64::from(!allowed);
        allowed
    }

    fn stage_failed(&mut self, key: RequestKey) {
        let held = &self.held[key];
        let stage = held.stage().name.clone();
        let again = held.request.idempotent.then(|| self.retry_after(key));
        self.conclude(key, doubt(UncertaintyKind::StageFailed, Some(stage), again));
    }

    fn is_repeatable(&self, key: RequestKey) -> bool {
        let held = &self.held[key];
        held.request.idempotent || held.stage().repeatable
    }

    /// Sets the timer for a second call beside this one.
    fn set_hedge(&mut self, key: RequestKey, call: CallKey) {
        let held = &self.held[key];
        if !self.settings.decisions.hedging || !self.is_repeatable(key) {
            return;
        }
        let known = self.estimator(&held.pipeline.name, &held.stage().name);
        let Some(left) = self.stage_time(key) else { return };
        let Some(after) = known.and_then(|known| timing::hedge_delay(known, left)) else { return };
        self.timers.set(self.now + after.max(MIN_HEDGE), Timer::Hedge(call));
    }

    /// The call has been slow: sends another beside it, if that is allowed.
    pub(super) fn hedge(&mut self, call: CallKey) {
        let Some(flight) = self.calls.get(call) else { return };
        let key = flight.request;
        let progress = &self.held[key].progress;
        if flight.heard.is_some() || progress.calls.len() > 1 || progress.attempts >= MAX_ATTEMPTS {
            return;
        }
        let stage = &self.held[key].pipeline.stages[progress.stage];
        let pool = stage.pool.clone();
        if self.table.pool_free_slots(self.now, &pool) == 0 || !self.lanes.is_empty(&pool) {
            return;
        }
        if self.spend() {
            self.dispatch(key, Why::Hedge);
        }
    }

    /// Cancels a call and frees its place.
    pub(super) fn cancel(&mut self, call: CallKey) {
        let Some(flight) = self.calls.remove(call) else { return };
        self.counters.cancelled += 1;
        self.end_call(&flight, CallResult::Cancelled, (flight.pieces > 0).then_some(flight.pieces));
        self.actions.push(Action::Cancel(call.id()));
    }

    /// Tells the endpoint's record how a call ended.
    pub(super) fn end_call(&mut self, flight: &Flight, result: CallResult, tokens: Option<u32>) {
        let took = self.now.saturating_sub(flight.sent);
        self.table.call_ended(self.now, &flight.endpoint, CallEnd { took, result, tokens });
    }

    pub(super) fn is_engine(&self, stage: &Stage) -> bool {
        let pool = self.plan.as_ref().and_then(|plan| plan.document.pool(&stage.pool));
        pool.is_some_and(|pool| pool.kind == PoolKind::Engine)
    }

    fn count_call(&mut self, why: Why) {
        self.counters.calls += 1;
        match why {
            Why::First => self.budget.deposit(),
            Why::Retry => self.counters.retries += 1,
            Why::Hedge => self.counters.hedges += 1,
        }
    }
}
