//! Feeds a trace to a new instance and compares the answers.

use std::{collections::VecDeque, io, io::BufRead, time::Duration};

use serde::de::DeserializeOwned;

use crate::{
    content::Content,
    instance::{Instance, action::Action, input::Input},
    model::{CallerId, Outcome},
    trace::{
        Expect, Header, Line, OutcomeKind, VERSION,
        invariants::InvariantChecker,
        report::{Caller, Fault, Finding, Report},
    },
};

/// Why a trace cannot be replayed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The trace could not be read.
    #[error("the trace could not be read: {0}; check the file")]
    Read(#[from] io::Error),
    /// A line is not a valid record.
    #[error("line {line} is no valid trace record: {cause}; correct or remove it")]
    Line {
        /// The number of the line, from 1.
        line: u64,
        /// What is wrong.
        cause: String,
    },
    /// The trace has another version of the format.
    #[error(
        "the trace has format version {0}; replay it with the version of peatdeck that wrote it"
    )]
    Version(u32),
}

/// Replays a trace.
///
/// # Errors
/// If the trace cannot be read. Differences and violations are in the [`Report`].
pub fn replay(trace: impl BufRead) -> Result<Report, Error> {
    let mut lines = Lines { trace, line: 0, text: String::new(), is_truncated: false };
    let header: Header = lines.next()?.ok_or_else(|| lines.line_error("the header is missing"))?;
    if header.peatdeck_inputs != VERSION {
        return Err(Error::Version(header.peatdeck_inputs));
    }
    let mut replay = Replay::new(header);
    while let Some(record) = lines.next::<Line>()? {
        replay.line = lines.line;
        replay.apply(record).map_err(|cause| lines.line_error(cause))?;
    }
    Ok(replay.finish(lines.is_truncated))
}

/// Reads a trace line by line.
struct Lines<R> {
    trace: R,
    line: u64,
    text: String,
    is_truncated: bool,
}

impl<R: BufRead> Lines<R> {
    /// The next record. A last line without a newline was cut off and is ignored.
    fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        self.text.clear();
        if self.trace.read_line(&mut self.text)? == 0 {
            return Ok(None);
        }
        self.line += 1;
        if !self.text.ends_with('\n') {
            self.is_truncated = true;
            return Ok(None);
        }
        let record = serde_json::from_str(&self.text);
        record.map(Some).map_err(|cause| self.line_error(&cause.to_string()))
    }

    fn line_error(&self, cause: &str) -> Error {
        Error::Line { line: self.line, cause: cause.to_owned() }
    }
}

struct Replay {
    instance: Instance,
    content: Content,
    report: Report,
    checker: InvariantChecker,
    unmatched: VecDeque<(CallerId, Outcome)>,
    expectations: Vec<(u64, Expect)>,
    recorded: Vec<(CallerId, OutcomeKind)>,
    line: u64,
}

impl Replay {
    fn new(header: Header) -> Replay {
        let Header { content, identity, settings, seed, .. } = header;
        let report = Report {
            identity: identity.clone(),
            inputs: 0,
            calls: 0,
            torn: false,
            callers: Vec::new(),
            faults: Vec::new(),
        };
        Replay {
            instance: Instance::new(identity, settings, seed).with_content(content),
            content,
            report,
            checker: InvariantChecker::default(),
            unmatched: VecDeque::new(),
            expectations: Vec::new(),
            recorded: Vec::new(),
            line: 0,
        }
    }

    fn apply(&mut self, record: Line) -> Result<(), &'static str> {
        match record {
            Line {
                at_us: Some(at),
                input: Some(input),
                answer: None,
                outcome: None,
                expect: None,
            } => {
                self.check_no_unmatched();
                self.feed(Duration::from_micros(at), input);
            }
            Line {
                at_us: Some(_),
                answer: Some(caller),
                outcome: Some(outcome),
                input: None,
                expect: None,
            } => {
                self.answer(caller, &outcome);
            }
            Line {
                expect: Some(expect),
                at_us: None,
                input: None,
                answer: None,
                outcome: None,
            } => {
                self.expectations.push((self.line, expect));
            }
            _ => return Err("its fields cannot be combined"),
        }
        Ok(())
    }

    fn feed(&mut self, now: Duration, input: Input) {
        self.report.inputs += 1;
        self.checker.before_input(&input, &self.instance);
        let is_timer_due = self.instance.next_wake().is_some_and(|wake| wake <= now);
        if !is_timer_due {
            self.checker.update_endpoints(&input);
        }
        for action in self.instance.handle(now, input.clone()) {
            self.checker.apply_action(&action);
            if let Action::Answer { caller, outcome } = action {
                self.unmatched.push_back((caller, outcome));
            }
        }
        self.checker.update_endpoints(&input);
        self.checker.check_version(self.instance.in_force());
        let faults = self.checker.take_faults();
        faults.into_iter().for_each(|fault| self.record_fault(fault));
    }

    /// Compares an answer of the trace with the next one of the replay.
    fn answer(&mut self, caller: CallerId, outcome: &Outcome) {
        self.recorded.push((caller, OutcomeKind::of(outcome)));
        let Some((other, replayed)) = self.unmatched.pop_front() else {
            return self.record_fault(Fault::Missing { caller, recorded: summary(outcome) });
        };
        if caller != other || !is_same(self.content, outcome, &replayed) {
            let (recorded, replayed) = (summary(outcome), summary(&replayed));
            self.record_fault(Fault::Differs { caller, other, recorded, replayed });
        }
    }

    /// Reports every answer of the replay that the trace does not have before the next input.
    fn check_no_unmatched(&mut self) {
        while let Some((caller, outcome)) = self.unmatched.pop_front() {
            self.record_fault(Fault::Added { caller, replayed: summary(&outcome) });
        }
    }

    fn record_fault(&mut self, fault: Fault) {
        self.report.faults.push(Finding { line: self.line, fault });
    }

    /// Checks the expectations and builds the report. Answers to the last input may be missing in
    /// the trace, since the process may have been killed before it wrote them.
    fn finish(mut self, torn: bool) -> Report {
        for (line, expect) in std::mem::take(&mut self.expectations) {
            self.line = line;
            self.check(&expect);
        }
        self.report.torn = torn;
        self.report.calls = self.checker.total_calls();
        let recorded = |caller| self.recorded.iter().find(|(other, _)| *other == caller);
        let callers = self.checker.callers().map(|(caller, record)| Caller {
            caller,
            key: record.key.clone(),
            calls: record.calls,
            recorded: recorded(caller).map(|(_, kind)| *kind),
            replayed: record.outcome,
        });
        self.report.callers = callers.collect();
        self.report
    }

    fn check(&mut self, expect: &Expect) {
        let (stated, found, is_met) = match expect {
            Expect::Told { caller, kind } => {
                let outcome = self.checker.caller(*caller).and_then(|record| record.outcome);
                let found = outcome.map_or("nothing", OutcomeKind::name).to_owned();
                let stated = format!("caller {} is sent {}", caller.0, kind.name());
                (stated, found, outcome == Some(*kind))
            }
            Expect::RunsOnce { key, stage } => {
                let runs = self.checker.stage_runs(key, stage).possible_runs;
                let stated = format!("stage {stage} of {} runs at most once", key.id);
                (stated, format!("{runs} calls that may have run"), runs <= 1)
            }
            Expect::Calls { key, least, most } => {
                let calls = self.checker.call_count(key);
                let stated = format!("{least} to {most} calls for {}", key.id);
                (stated, format!("{calls}"), (*least..=*most).contains(&calls))
            }
            Expect::InForce { version } => {
                let found = self.instance.in_force().map_or(0, |snapshot| snapshot.version);
                let stated = format!("version {version} is in force at the end");
                (stated, format!("version {found}"), found == *version)
            }
        };
        if !is_met {
            self.record_fault(Fault::Unmet { stated, found });
        }
    }
}

fn is_same(content: Content, one: &Outcome, other: &Outcome) -> bool {
    match (one, other) {
        (Outcome::Answered(one), Outcome::Answered(other)) => {
            one.stages == other.stages && content.is_same(&one.output, &other.output)
        }
        _ => one == other,
    }
}

/// A short form of an outcome, without the caller's text.
fn summary(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered(answer) => {
            let stages = answer.stages.iter();
            let stages = stages.map(|s| {
                format!("{} at {} by {} in {:?}", s.stage, s.endpoint, s.attempts, s.took)
            });
            let bytes = answer.output.len();
            format!("answered ({}; {bytes} bytes)", stages.collect::<Vec<_>>().join(", "))
        }
        Outcome::NotRun(refusal) => format!("not run ({:?})", refusal.kind),
        Outcome::MayHaveRun(uncertainty) => {
            format!(
                "may have run ({:?}, stage {:?})",
                uncertainty.kind,
                uncertainty.stage.as_deref()
            )
        }
        Outcome::Invalid(kind) => format!("invalid ({kind:?})"),
    }
}
