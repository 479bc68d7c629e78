//! Feeds a trace to a fresh instance and compares.

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
    /// It could not be read.
    #[error("the trace could not be read: {0}; check the file")]
    Read(#[from] io::Error),
    /// A line is no record.
    #[error("line {line} is no record of a trace: {cause}; mend or remove it")]
    Line {
        /// The line, from 1.
        line: u64,
        /// What is wrong.
        cause: String,
    },
    /// The format is of another version.
    #[error("the trace is of version {0}; replay it with the peatdeck that wrote it")]
    Version(u32),
}

/// Replays a trace.
///
/// # Errors
/// If it cannot be read. What a replay finds is in the [`Report`].
pub fn replay(trace: impl BufRead) -> Result<Report, Error> {
    let mut lines = Lines { trace, line: 0, text: String::new(), torn: false };
    let header: Header = lines.next()?.ok_or_else(|| lines.wrong("the header is missing"))?;
    if header.peatdeck_inputs != VERSION {
        return Err(Error::Version(header.peatdeck_inputs));
    }
    let mut replay = Replay::new(header);
    while let Some(record) = lines.next::<Line>()? {
        replay.line = lines.line;
        replay.take(record).map_err(|cause| lines.wrong(cause))?;
    }
    Ok(replay.finish(lines.torn))
}

/// The lines of a trace.
struct Lines<R> {
    trace: R,
    line: u64,
    text: String,
    torn: bool,
}

impl<R: BufRead> Lines<R> {
    /// The next record. A last line without its end was cut off and is none.
    fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        self.text.clear();
        if self.trace.read_line(&mut self.text)? == 0 {
            return Ok(None);
        }
        self.line += 1;
        if !self.text.ends_with('\n') {
            self.torn = true;
            return Ok(None);
        }
        let record = serde_json::from_str(&self.text);
        record.map(Some).map_err(|cause| self.wrong(&cause.to_string()))
    }

    fn wrong(&self, cause: &str) -> Error {
        Error::Line { line: self.line, cause: cause.to_owned() }
    }
}

struct Replay {
    instance: Instance,
    content: Content,
    report: Report,
    account: InvariantChecker,
    told: VecDeque<(CallerId, Outcome)>,
    expects: Vec<(u64, Expect)>,
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
            account: InvariantChecker::default(),
            told: VecDeque::new(),
            expects: Vec::new(),
            recorded: Vec::new(),
            line: 0,
        }
    }

    fn take(&mut self, record: Line) -> Result<(), &'static str> {
        match record {
            Line {
                at_us: Some(at),
                input: Some(input),
                answer: None,
                outcome: None,
                expect: None,
            } => {
                self.check_no_more();
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
                self.expects.push((self.line, expect));
            }
            _ => return Err("its fields do not go together"),
        }
        Ok(())
    }

    fn feed(&mut self, now: Duration, input: Input) {
        self.report.inputs += 1;
        self.account.before(&input, &self.instance);
        let is_timer_due = self.instance.next_wake().is_some_and(|wake| wake <= now);
        if !is_timer_due {
            self.account.learn(&input);
        }
        for action in self.instance.handle(now, input.clone()) {
            self.account.action(&action);
            if let Action::Answer { caller, outcome } = action {
                self.told.push_back((caller, outcome));
            }
        }
        self.account.learn(&input);
        self.account.in_force(self.instance.in_force());
        let faults = self.account.take_faults();
        faults.into_iter().for_each(|fault| self.found(fault));
    }

    /// Compares an answer of the trace with the next one of the replay.
    fn answer(&mut self, caller: CallerId, outcome: &Outcome) {
        self.recorded.push((caller, OutcomeKind::of(outcome)));
        let Some((other, replayed)) = self.told.pop_front() else {
            return self.found(Fault::Missing { caller, recorded: shown(outcome) });
        };
        if caller != other || !is_same(self.content, outcome, &replayed) {
            let (recorded, replayed) = (shown(outcome), shown(&replayed));
            self.found(Fault::Differs { caller, other, recorded, replayed });
        }
    }

    /// Every answer of the replay must have been in the trace by now.
    fn check_no_more(&mut self) {
        while let Some((caller, outcome)) = self.told.pop_front() {
            self.found(Fault::Added { caller, replayed: shown(&outcome) });
        }
    }

    fn found(&mut self, fault: Fault) {
        self.report.faults.push(Finding { line: self.line, fault });
    }

    /// The answers to the last input may be missing: the process may have been
    /// killed before it wrote them.
    fn finish(mut self, torn: bool) -> Report {
        for (line, expect) in std::mem::take(&mut self.expects) {
            self.line = line;
            self.check(&expect);
        }
        self.report.torn = torn;
        self.report.calls = self.account.count();
        let recorded = |caller| self.recorded.iter().find(|(other, _)| *other == caller);
        let callers = self.account.callers().map(|(caller, asked)| Caller {
            caller,
            key: asked.key.clone(),
            calls: asked.calls,
            recorded: recorded(caller).map(|(_, kind)| *kind),
            replayed: asked.told,
        });
        self.report.callers = callers.collect();
        self.report
    }

    fn check(&mut self, expect: &Expect) {
        let (stated, found, is_met) = match expect {
            Expect::Told { caller, kind } => {
                let told = self.account.asked(*caller).and_then(|asked| asked.told);
                let found = told.map_or("nothing", OutcomeKind::name).to_owned();
                let stated = format!("caller {} is told {}", caller.0, kind.name());
                (stated, found, told == Some(*kind))
            }
            Expect::RunsOnce { key, stage } => {
                let runs = self.account.runs(key, stage).written;
                let stated = format!("stage {stage} of {} runs at most once", key.id);
                (stated, format!("{runs} calls that may have run"), runs <= 1)
            }
            Expect::Calls { key, least, most } => {
                let calls = self.account.calls(key);
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
            self.found(Fault::Unmet { stated, found });
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

/// An outcome in short, without the caller's text.
fn shown(outcome: &Outcome) -> String {
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
        Outcome::MayHaveRun(doubt) => {
            format!("may have run ({:?}, stage {:?})", doubt.kind, doubt.stage.as_deref())
        }
        Outcome::Invalid(kind) => format!("invalid ({kind:?})"),
    }
}
