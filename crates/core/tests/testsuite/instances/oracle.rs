//! Invariants of instances, as their callers and endpoints observe them.

use std::{collections::HashMap, time::Duration};

use peatdeck_core::{
    instance::action::Call,
    model::{CallerId, Outcome},
};

use super::{endpoints, world::RequestSpec};

/// The stages of a pipeline: name, whether it runs on an engine, whether it runs at most once.
pub const DRAFT: [(&str, bool, bool); 2] = [("encode", false, false), ("generate", true, false)];
/// The stages of the pipeline for requests that run at most once, as in [`DRAFT`].
pub const TICKET: [(&str, bool, bool); 2] = [("encode", false, false), ("ledger", false, true)];

/// A process: the index of its node and its incarnation.
pub type Process = (usize, u64);

/// A request from the view of its caller.
#[derive(Debug)]
pub struct Submitted {
    /// The process that received it.
    pub process: Process,
    /// Its id.
    pub id: String,
    /// Its input.
    pub input: String,
    /// What was requested.
    pub spec: RequestSpec,
    /// Whether an earlier request has the same id.
    pub is_repeat: bool,
    /// The time by which the caller must have an outcome.
    pub deadline: Duration,
    /// Text streamed so far.
    pub streamed: String,
    /// Its outcome, once the caller has it.
    pub outcome: Option<Outcome>,
    /// Whether a call of it has run.
    pub has_run: bool,
    /// Whether its process crashed or was paused, so that an outcome by the deadline is not
    /// required.
    pub is_exempt: bool,
}

/// Records what callers and endpoints observe, and panics if an invariant is violated.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Every request submitted.
    pub submitted: HashMap<CallerId, Submitted>,
    /// Number of runs, by request id, of the stage that runs at most once.
    single_runs: HashMap<String, u32>,
    /// Number of calls that have run, by request id.
    ran_ids: HashMap<String, u32>,
    /// The newest version that each process has had in force.
    versions: HashMap<Process, u64>,
}

impl Oracle {
    /// The caller whose request a call is for. A process has at most one active request with an id,
    /// the latest.
    pub fn caller_of(&self, process: Process, call: &Call) -> Option<CallerId> {
        let candidates = self.submitted.iter().filter(|(_, request)| {
            request.process == process && *request.id == *call.echo.request.id
        });
        candidates.map(|(caller, _)| *caller).max()
    }

    /// Records that a call starts to run at an endpoint.
    pub fn record_run(&mut self, caller: CallerId, call: &Call) {
        let id = call.echo.request.id.to_string();
        *self.ran_ids.entry(id.clone()).or_default() += 1;
        let request = self.submitted.get_mut(&caller).expect("calls have a caller");
        request.has_run = true;
        assert!(
            !matches!(request.outcome, Some(Outcome::NotRun(_))),
            "{id} runs {} after the outcome \"not run\"",
            call.stage
        );
        if request.spec.runs_once && &*call.stage == "ledger" {
            let runs = self.single_runs.entry(id.clone()).or_default();
            *runs += 1;
            assert_eq!(*runs, 1, "{id} ran more than once");
        }
    }

    /// Records a piece of text that a caller receives.
    pub fn record_text(&mut self, caller: CallerId, text: &str) {
        let request = self.submitted.get_mut(&caller).expect("known caller");
        assert!(request.outcome.is_none(), "{} received text after its outcome", request.id);
        request.streamed.push_str(text);
        let answer = expected(request);
        assert!(
            answer.starts_with(&request.streamed),
            "{} received text of another request",
            request.id
        );
    }

    /// Records the outcome that a caller receives.
    pub fn record_outcome(&mut self, now: Duration, caller: CallerId, outcome: Outcome) {
        let request = self.submitted.get_mut(&caller).expect("known caller");
        assert_eq!(request.outcome, None, "{} received two outcomes", request.id);
        let id = &request.id;
        match &outcome {
            Outcome::Answered(answer) => {
                assert_eq!(
                    &*answer.output,
                    expected(request),
                    "{id} received the answer of another request"
                );
                assert!(
                    now <= request.deadline || request.is_exempt,
                    "{id} was answered after its deadline"
                );
            }
            Outcome::NotRun(_) => {
                assert!(!request.has_run, "{id} ran, but its outcome is \"not run\"");
                let has_run_earlier = request.is_repeat && self.ran_ids.contains_key(id);
                assert!(
                    !has_run_earlier,
                    "{id} ran in an earlier attempt, but the outcome of a repeat is \"not run\""
                );
            }
            Outcome::MayHaveRun(_) => {}
            Outcome::Invalid(kind) => panic!("{id} is valid, but its outcome is {kind:?}"),
        }
        request.outcome = Some(outcome);
    }

    /// Checks that every caller has an outcome by its deadline, unless it is exempt.
    pub fn check_deadlines(&self, now: Duration) {
        for request in self.submitted.values().filter(|request| !request.is_exempt) {
            let is_late = now > request.deadline && request.outcome.is_none();
            assert!(!is_late, "{} has no outcome after its deadline", request.id);
        }
    }

    /// Exempts the unfinished requests of a process that crashes or is paused from their deadlines.
    pub fn exempt(&mut self, process: Process) {
        let open = self.submitted.values_mut();
        open.filter(|request| request.process == process && request.outcome.is_none())
            .for_each(|request| request.is_exempt = true);
    }

    /// Checks that a process that exits has no unfinished requests.
    pub fn check_exit(&self, process: Process) {
        let unfinished =
            self.submitted.values().find(|r| r.process == process && r.outcome.is_none());
        assert!(unfinished.is_none(), "a planned stop left {unfinished:?} without an outcome");
    }

    /// Records the version that a process has in force.
    pub fn record_version(&mut self, process: Process, version: u64) {
        let newest = self.versions.entry(process).or_default();
        assert!(version >= *newest, "{process:?} went back from {newest} to {version}");
        *newest = version;
    }
}

/// The complete answer to a request.
fn expected(request: &Submitted) -> String {
    let stages = if request.spec.runs_once { TICKET } else { DRAFT };
    let mut text = request.input.clone();
    for (stage, is_engine, _) in stages {
        text = endpoints::output(stage, &request.id, &text, is_engine).to_string();
    }
    text
}
