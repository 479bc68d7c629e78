//! Checks the invariants of a trace, from inputs and actions alone.
//!
//! The checker keeps its own records and asks the instance only for the configuration in force, so
//! that it detects errors in the instance's own records.
//!
//! Pitfalls:
//!
//! - A call names its request, not its caller. Where several idempotent requests with the same id
//!   wait at once, their calls are not attributed to any of them.
//! - Timers fire before an input is applied. If one was due, what the input states about leaving
//!   endpoints counts only from the next input on.

use std::collections::{BTreeMap, HashMap};

use crate::{
    document::Pipeline,
    instance::{
        Instance,
        action::{Action, Call},
        input::{CallEvent, CallFailure, Input, RefuseReason},
    },
    model::{
        CallId, CallerId, EndpointName, Incarnation, Outcome, Presence, Request, RequestId,
        StageName,
    },
    record::{Snapshot, Version},
    trace::{OutcomeKind, report::Fault},
};

/// Follows a trace and collects violations of the invariants.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    callers: HashMap<CallerId, CallerRecord>,
    order: Vec<CallerId>,
    waiting: HashMap<RequestId, Vec<CallerId>>,
    stages: HashMap<(RequestId, StageName), Runs>,
    calls: HashMap<CallId, OpenCall>,
    leaving: BTreeMap<EndpointName, Incarnation>,
    incarnations: HashMap<EndpointName, Incarnation>,
    version: Version,
    faults: Vec<Fault>,
    total_calls: u64,
}

/// The request of one caller.
#[derive(Debug)]
pub struct CallerRecord {
    /// The id of the request.
    pub key: RequestId,
    /// The kind of the outcome that the caller got; `None` if it got none yet.
    pub outcome: Option<OutcomeKind>,
    /// The number of calls that were made for it.
    pub calls: u32,
    /// The number of those calls that may have run.
    possible_runs: u32,
    idempotent: bool,
    pipeline: Option<Pipeline>,
}

/// Numbers of calls for one stage of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Runs {
    /// All calls.
    pub calls: u32,
    /// Calls that may have run, made while only non-idempotent requests waited.
    non_idempotent: u32,
    /// Calls that may have run.
    pub possible_runs: u32,
}

#[derive(Debug)]
struct OpenCall {
    key: RequestId,
    stage: StageName,
    endpoint: EndpointName,
    caller: Option<CallerId>,
    is_non_idempotent: bool,
}

impl InvariantChecker {
    /// Records an input that the instance is about to handle.
    pub fn before_input(&mut self, input: &Input, instance: &Instance) {
        match input {
            Input::Submit { caller, request } => self.submitted(*caller, request, instance),
            Input::CallerGone(caller) => self.disconnected(*caller),
            Input::Call { call, event } => self.call_event(*call, event),
            _ => {}
        }
    }

    /// Records what an input states about endpoints.
    pub fn update_endpoints(&mut self, input: &Input) {
        match input {
            Input::Listed(listing) => {
                for entry in &listing.endpoints {
                    let incarnation =
                        self.incarnations.entry(entry.name.clone()).or_insert(entry.incarnation);
                    *incarnation = entry.incarnation.max(*incarnation);
                    if entry.presence == Presence::Leaving {
                        self.mark_leaving(&entry.name, entry.incarnation);
                    }
                }
            }
            Input::Gossip(message) => {
                for mark in &message.leaving {
                    self.mark_leaving(&mark.endpoint, mark.incarnation);
                }
            }
            _ => {}
        }
    }

    /// Checks and records the configuration that the instance has in force after an input.
    pub fn check_version(&mut self, snapshot: Option<&Snapshot>) {
        let version = snapshot.map_or(0, |snapshot| snapshot.version);
        if version < self.version {
            self.faults.push(Fault::Back { from: self.version, to: version });
        }
        self.version = version;
        for drain in snapshot.iter().flat_map(|snapshot| &snapshot.drains) {
            self.mark_leaving(&drain.endpoint, drain.incarnation);
        }
    }

    /// Checks and records an action of the instance.
    pub fn apply_action(&mut self, action: &Action) {
        match action {
            Action::Call(call) => self.called(call),
            Action::Cancel(call) => drop(self.calls.remove(call)),
            Action::Answer { caller, outcome } => self.answered(*caller, outcome),
            _ => {}
        }
    }

    /// Returns the violations that were found since the last call.
    pub fn take_faults(&mut self) -> Vec<Fault> {
        std::mem::take(&mut self.faults)
    }

    /// All callers, in the order in which they arrived.
    pub fn callers(&self) -> impl Iterator<Item = (CallerId, &CallerRecord)> {
        self.order.iter().map(|caller| (*caller, &self.callers[caller]))
    }

    /// The request of a caller.
    pub fn caller(&self, caller: CallerId) -> Option<&CallerRecord> {
        self.callers.get(&caller)
    }

    /// The calls for one stage of a request.
    pub fn stage_runs(&self, key: &RequestId, stage: &StageName) -> Runs {
        self.stages.get(&(key.clone(), stage.clone())).copied().unwrap_or_default()
    }

    /// The number of calls for all stages of a request.
    pub fn call_count(&self, key: &RequestId) -> u32 {
        let stages = self.stages.iter().filter(|((of, _), _)| of == key);
        stages.map(|(_, runs)| runs.calls).sum()
    }

    /// The number of calls for all requests.
    pub fn total_calls(&self) -> u64 {
        self.total_calls
    }

    fn submitted(&mut self, caller: CallerId, request: &Request, instance: &Instance) {
        let document = instance.in_force().map(|snapshot| &snapshot.document);
        let pipeline = document.and_then(|document| document.pipeline(&request.pipeline));
        let record = CallerRecord {
            key: request.id.clone(),
            outcome: None,
            calls: 0,
            possible_runs: 0,
            idempotent: request.idempotent,
            pipeline: pipeline.cloned(),
        };
        self.waiting.entry(request.id.clone()).or_default().push(caller);
        self.callers.insert(caller, record);
        self.order.push(caller);
    }

    /// An idempotent request ends when its caller disconnects. A non-idempotent one may run on
    /// without its caller.
    fn disconnected(&mut self, caller: CallerId) {
        if self.callers.get(&caller).is_some_and(|record| record.idempotent) {
            self.close(caller);
        }
    }

    fn close(&mut self, caller: CallerId) {
        let Some(record) = self.callers.get(&caller) else { return };
        if let Some(waiting) = self.waiting.get_mut(&record.key) {
            waiting.retain(|other| *other != caller);
        }
    }

    fn call_event(&mut self, call: CallId, event: &CallEvent) {
        if matches!(event, CallEvent::Chunk { .. }) {
            return;
        }
        let Some(open_call) = self.calls.remove(&call) else { return };
        match event {
            CallEvent::Refused { reason, .. } => {
                self.record_not_run(&open_call);
                if *reason == RefuseReason::Leaving
                    && let Some(incarnation) = self.incarnations.get(&open_call.endpoint).copied()
                {
                    self.mark_leaving(&open_call.endpoint, incarnation);
                }
            }
            CallEvent::Failed(CallFailure::NotSent) => self.record_not_run(&open_call),
            _ => {}
        }
    }

    /// Corrects the counters for a call of which nothing ran.
    fn record_not_run(&mut self, open_call: &OpenCall) {
        if let Some(record) = open_call.caller.and_then(|caller| self.callers.get_mut(&caller)) {
            record.possible_runs -= 1;
        }
        let runs = self.stages.entry((open_call.key.clone(), open_call.stage.clone())).or_default();
        runs.possible_runs -= 1;
        runs.non_idempotent -= u32::from(open_call.is_non_idempotent);
    }

    fn mark_leaving(&mut self, endpoint: &EndpointName, incarnation: Incarnation) {
        let newest = self.leaving.entry(endpoint.clone()).or_insert(incarnation);
        *newest = incarnation.max(*newest);
    }

    fn called(&mut self, call: &Call) {
        self.total_calls += 1;
        let Call { endpoint, stage, .. } = call;
        let key = &call.echo.request;
        let incarnation = self.incarnations.get(endpoint);
        if incarnation.is_some() && self.leaving.get(endpoint) >= incarnation {
            self.faults.push(Fault::Leaving { endpoint: endpoint.clone() });
        }
        let waiting = self.waiting.get(key).map_or(&[][..], Vec::as_slice);
        if waiting.is_empty() {
            self.faults.push(Fault::AfterEnd { key: key.clone(), stage: stage.clone() });
        }
        let is_non_idempotent =
            !waiting.is_empty() && waiting.iter().all(|caller| !self.callers[caller].idempotent);
        let owner = waiting.first().map(|caller| &self.callers[caller]);
        let is_repeatable = owner.is_some_and(|record| record.is_repeatable(stage));
        let caller = <[CallerId; 1]>::try_from(waiting).ok().map(|[caller]| caller);
        let runs = self.stages.entry((key.clone(), stage.clone())).or_default();
        if is_non_idempotent && !is_repeatable && runs.non_idempotent > 0 {
            self.faults.push(Fault::SecondRun { key: key.clone(), stage: stage.clone() });
        }
        runs.calls += 1;
        runs.possible_runs += 1;
        runs.non_idempotent += u32::from(is_non_idempotent);
        if let Some(record) = caller.and_then(|caller| self.callers.get_mut(&caller)) {
            record.calls += 1;
            record.possible_runs += 1;
        }
        let (key, stage, endpoint) = (key.clone(), stage.clone(), endpoint.clone());
        self.calls.insert(call.id, OpenCall { key, stage, endpoint, caller, is_non_idempotent });
    }

    fn answered(&mut self, caller: CallerId, outcome: &Outcome) {
        let Some(record) = self.callers.get(&caller) else {
            return self.faults.push(Fault::Unasked { caller });
        };
        if record.outcome.is_some() {
            self.faults.push(Fault::SecondOutcome { caller });
        }
        let key = record.key.clone();
        if matches!(outcome, Outcome::NotRun(_)) && self.may_have_run(record) {
            self.faults.push(Fault::Ran { caller, key });
        }
        self.close(caller);
        if let Some(record) = self.callers.get_mut(&caller) {
            record.outcome = Some(OutcomeKind::of(outcome));
        }
    }

    /// Whether "not run" would be wrong for a caller. For a non-idempotent request, all calls with
    /// its id count; for an idempotent one, only those that were made for this caller.
    fn may_have_run(&self, record: &CallerRecord) -> bool {
        if record.idempotent {
            return record.possible_runs > 0;
        }
        self.stages.iter().any(|((key, _), runs)| *key == record.key && runs.non_idempotent > 0)
    }
}

impl CallerRecord {
    fn is_repeatable(&self, stage: &StageName) -> bool {
        let stages = self.pipeline.iter().flat_map(|pipeline| &pipeline.stages);
        let found = stages.filter(|known| known.name == *stage).any(|known| known.repeatable);
        self.idempotent || found
    }
}
