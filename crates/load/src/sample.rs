//! What became of one request, as its caller saw it.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::message;
use peatdeck_wire::caller;

/// One request's end.
#[message]
pub struct Sample {
    /// The caller's id.
    pub id: Arc<str>,
    /// The team.
    pub team: Arc<str>,
    /// The pipeline.
    pub pipeline: Arc<str>,
    /// Whether it was idempotent.
    pub idempotent: bool,
    /// When it was to be sent, from the start of the run.
    pub planned: Duration,
    /// How much later than planned it was sent: the tool's own delay.
    pub lag: Duration,
    /// How long its caller waits, from the planned time.
    pub deadline: Duration,
    /// From the planned time to the end.
    pub took: Duration,
    /// From the planned time to the first piece of a streamed answer.
    pub first_token: Option<Duration>,
    /// Times it was sent.
    pub sends: u32,
    /// Whether an earlier send of it may have run.
    pub doubted: bool,
    /// How it ended.
    pub ending: Ending,
    /// The stages of a whole answer.
    pub stages: Vec<caller::StageBody>,
}

/// How a request ended for its caller.
#[message]
#[serde(tag = "ending", content = "code", rename_all = "snake_case")]
pub enum Ending {
    /// The whole answer, and the right one.
    Answered,
    /// Called an answer, but not the answer to this request.
    Wrong(Arc<str>),
    /// Nothing of it ran.
    NotRun(Arc<str>),
    /// Something of it may have run.
    MayHaveRun(Arc<str>),
    /// The request was called wrong in itself.
    Invalid(Arc<str>),
    /// No connection could be made: not a byte was sent.
    Unreachable,
    /// The connection or the answer was cut.
    Cut,
    /// No answer by the deadline, nor in the time that the tool waits beyond.
    Silent,
}

impl Ending {
    /// Its kind and code, as the reports print it.
    pub fn label(&self) -> String {
        match self {
            Ending::Answered => "answered".to_owned(),
            Ending::Wrong(_) => "wrong".to_owned(),
            Ending::NotRun(code) => format!("not_run/{code}"),
            Ending::MayHaveRun(code) => format!("may_have_run/{code}"),
            Ending::Invalid(code) => format!("invalid/{code}"),
            Ending::Unreachable => "unreachable".to_owned(),
            Ending::Cut => "cut".to_owned(),
            Ending::Silent => "silent".to_owned(),
        }
    }
}

impl Sample {
    /// Whether the whole answer was there within the deadline.
    pub fn in_time(&self) -> bool {
        self.ending == Ending::Answered && self.took <= self.deadline
    }
}
