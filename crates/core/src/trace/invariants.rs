//! What must hold over any trace, told from inputs and actions alone.
//!
//! It keeps its own account and asks the instance only for the configuration
//! in force, so that a fault of the instance's own account shows.
//!
//! The traps:
//!
//! - A call names its request, not its caller. Where several idempotent
//!   requests of one id wait at once, their calls count for none of them.
//! - Timers fire before an input is taken. Where one was due, what the input
//!   says of leaving endpoints holds from the next input on.

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

/// The account of a trace.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    callers: HashMap<CallerId, CallerRecord>,
    order: Vec<CallerId>,
    open: HashMap<RequestId, Vec<CallerId>>,
    stages: HashMap<(RequestId, StageName), Runs>,
    calls: HashMap<CallId, Sent>,
    leaving: BTreeMap<EndpointName, Incarnation>,
    lives: HashMap<EndpointName, Incarnation>,
    version: Version,
    faults: Vec<Fault>,
    count: u64,
}

/// One caller's request.
#[derive(Debug)]
pub struct CallerRecord {
    /// The request.
    pub key: RequestId,
    /// What it was told.
    pub told: Option<OutcomeKind>,
    /// Calls made for it.
    pub calls: u32,
    /// Of those, the ones that may have run.
    written: u32,
    idempotent: bool,
    pipeline: Option<Pipeline>,
}

/// Calls of one stage of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Runs {
    /// All of them.
    pub calls: u32,
    /// Those of a request that is not idempotent, which may have run.
    single: u32,
    /// Those that may have run.
    pub written: u32,
}

#[derive(Debug)]
struct Sent {
    key: RequestId,
    stage: StageName,
    endpoint: EndpointName,
    caller: Option<CallerId>,
    single: bool,
}

impl InvariantChecker {
    /// Notes an input that an instance is about to take.
    pub fn before(&mut self, input: &Input, instance: &Instance) {
        match input {
            Input::Submit { caller, request } => self.submitted(*caller, request, instance),
            Input::CallerGone(caller) => self.gone(*caller),
            Input::Call { call, event } => self.call_event(*call, event),
            _ => {}
        }
    }

    /// Notes what an input says of endpoints.
    pub fn learn(&mut self, input: &Input) {
        match input {
            Input::Listed(listing) => {
                for entry in &listing.endpoints {
                    let life = self.lives.entry(entry.name.clone()).or_insert(entry.incarnation);
                    *life = entry.incarnation.max(*life);
                    if entry.presence == Presence::Leaving {
                        self.leaves(&entry.name, entry.incarnation);
                    }
                }
            }
            Input::Gossip(message) => {
                for mark in &message.leaving {
                    self.leaves(&mark.endpoint, mark.incarnation);
                }
            }
            _ => {}
        }
    }

    /// Notes what the instance has in force after an input.
    pub fn in_force(&mut self, snapshot: Option<&Snapshot>) {
        let version = snapshot.map_or(0, |snapshot| snapshot.version);
        if version < self.version {
            self.faults.push(Fault::Back { from: self.version, to: version });
        }
        self.version = version;
        for drain in snapshot.iter().flat_map(|snapshot| &snapshot.drains) {
            self.leaves(&drain.endpoint, drain.incarnation);
        }
    }

    /// Notes what an instance wants done.
    pub fn action(&mut self, action: &Action) {
        match action {
            Action::Call(call) => self.called(call),
            Action::Cancel(call) => drop(self.calls.remove(call)),
            Action::Answer { caller, outcome } => self.answered(*caller, outcome),
            _ => {}
        }
    }

    /// Takes the faults found since it was last asked.
    pub fn take_faults(&mut self) -> Vec<Fault> {
        std::mem::take(&mut self.faults)
    }

    /// Every caller, in the order in which they came.
    pub fn callers(&self) -> impl Iterator<Item = (CallerId, &CallerRecord)> {
        self.order.iter().map(|caller| (*caller, &self.callers[caller]))
    }

    /// A caller's request.
    pub fn asked(&self, caller: CallerId) -> Option<&CallerRecord> {
        self.callers.get(&caller)
    }

    /// Calls of one stage of a request.
    pub fn runs(&self, key: &RequestId, stage: &StageName) -> Runs {
        self.stages.get(&(key.clone(), stage.clone())).copied().unwrap_or_default()
    }

    /// Calls of all stages of a request.
    pub fn calls(&self, key: &RequestId) -> u32 {
        let stages = self.stages.iter().filter(|((of, _), _)| of == key);
        stages.map(|(_, runs)| runs.calls).sum()
    }

    /// Calls of all requests.
    pub fn count(&self) -> u64 {
        self.count
    }

    fn submitted(&mut self, caller: CallerId, request: &Request, instance: &Instance) {
        let document = instance.in_force().map(|snapshot| &snapshot.document);
        let pipeline = document.and_then(|document| document.pipeline(&request.pipeline));
        let asked = CallerRecord {
            key: request.id.clone(),
            told: None,
            calls: 0,
            written: 0,
            idempotent: request.idempotent,
            pipeline: pipeline.cloned(),
        };
        self.open.entry(request.id.clone()).or_default().push(caller);
        self.callers.insert(caller, asked);
        self.order.push(caller);
    }

    /// A non-idempotent request may run on without its caller.
    fn gone(&mut self, caller: CallerId) {
        if self.callers.get(&caller).is_some_and(|asked| asked.idempotent) {
            self.close(caller);
        }
    }

    fn close(&mut self, caller: CallerId) {
        let Some(asked) = self.callers.get(&caller) else { return };
        if let Some(open) = self.open.get_mut(&asked.key) {
            open.retain(|other| *other != caller);
        }
    }

    fn call_event(&mut self, call: CallId, event: &CallEvent) {
        if matches!(event, CallEvent::Chunk { .. }) {
            return;
        }
        let Some(sent) = self.calls.remove(&call) else { return };
        match event {
            CallEvent::Refused { reason, .. } => {
                self.unwritten(&sent);
                if *reason == RefuseReason::Leaving
                    && let Some(life) = self.lives.get(&sent.endpoint).copied()
                {
                    self.leaves(&sent.endpoint, life);
                }
            }
            CallEvent::Failed(CallFailure::NotSent) => self.unwritten(&sent),
            _ => {}
        }
    }

    /// Nothing of a call ran.
    fn unwritten(&mut self, sent: &Sent) {
        if let Some(asked) = sent.caller.and_then(|caller| self.callers.get_mut(&caller)) {
            asked.written -= 1;
        }
        let runs = self.stages.entry((sent.key.clone(), sent.stage.clone())).or_default();
        runs.written -= 1;
        runs.single -= u32::from(sent.single);
    }

    fn leaves(&mut self, endpoint: &EndpointName, life: Incarnation) {
        let newest = self.leaving.entry(endpoint.clone()).or_insert(life);
        *newest = life.max(*newest);
    }

    fn called(&mut self, call: &Call) {
        self.count += 1;
        let Call { endpoint, stage, .. } = call;
        let key = &call.echo.request;
        let life = self.lives.get(endpoint);
        if life.is_some() && self.leaving.get(endpoint) >= life {
            self.faults.push(Fault::Leaving { endpoint: endpoint.clone() });
        }
        let open = self.open.get(key).map_or(&[][..], Vec::as_slice);
        if open.is_empty() {
            self.faults.push(Fault::AfterEnd { key: key.clone(), stage: stage.clone() });
        }
        let single = !open.is_empty() && open.iter().all(|caller| !self.callers[caller].idempotent);
        let owner = open.first().map(|caller| &self.callers[caller]);
        let repeatable = owner.is_some_and(|asked| asked.is_repeatable(stage));
        let caller = <[CallerId; 1]>::try_from(open).ok().map(|[caller]| caller);
        let runs = self.stages.entry((key.clone(), stage.clone())).or_default();
        if single && !repeatable && runs.single > 0 {
            self.faults.push(Fault::SecondRun { key: key.clone(), stage: stage.clone() });
        }
        runs.calls += 1;
        runs.written += 1;
        runs.single += u32::from(single);
        if let Some(asked) = caller.and_then(|caller| self.callers.get_mut(&caller)) {
            asked.calls += 1;
            asked.written += 1;
        }
        let (key, stage, endpoint) = (key.clone(), stage.clone(), endpoint.clone());
        self.calls.insert(call.id, Sent { key, stage, endpoint, caller, single });
    }

    fn answered(&mut self, caller: CallerId, outcome: &Outcome) {
        let Some(asked) = self.callers.get(&caller) else {
            return self.faults.push(Fault::Unasked { caller });
        };
        if asked.told.is_some() {
            self.faults.push(Fault::SecondOutcome { caller });
        }
        let key = asked.key.clone();
        if matches!(outcome, Outcome::NotRun(_)) && self.may_have_run(asked) {
            self.faults.push(Fault::Ran { caller, key });
        }
        self.close(caller);
        if let Some(asked) = self.callers.get_mut(&caller) {
            asked.told = Some(OutcomeKind::of(outcome));
        }
    }

    /// "Not run" speaks for the request where it is not idempotent, and for
    /// this caller's sending of it otherwise.
    fn may_have_run(&self, asked: &CallerRecord) -> bool {
        if asked.idempotent {
            return asked.written > 0;
        }
        self.stages.iter().any(|((key, _), runs)| *key == asked.key && runs.single > 0)
    }
}

impl CallerRecord {
    fn is_repeatable(&self, stage: &StageName) -> bool {
        let stages = self.pipeline.iter().flat_map(|pipeline| &pipeline.stages);
        let found = stages.filter(|known| known.name == *stage).any(|known| known.repeatable);
        self.idempotent || found
    }
}
