//! Outcome of one request from the view of its caller.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::message;
use peatdeck_wire::caller;

/// Outcome of one request.
#[message]
pub struct Sample {
    /// Id that the caller gave it.
    pub id: Arc<str>,
    /// Name of the team.
    pub team: Arc<str>,
    /// Name of the pipeline.
    pub pipeline: Arc<str>,
    /// Whether the request was idempotent.
    pub idempotent: bool,
    /// Planned time, from the start of the run.
    pub planned: Duration,
    /// Delay of the tool itself between the planned time and the first send.
    pub lag: Duration,
    /// How long its caller waits, from the planned time.
    pub deadline: Duration,
    /// Time from the planned time to the end.
    pub took: Duration,
    /// Time from the planned time to the first piece of a streamed answer, if any.
    pub first_token: Option<Duration>,
    /// Number of sends.
    pub sends: u32,
    /// Whether an earlier send, before the last one, may have run.
    pub doubted: bool,
    /// How the last send ended.
    pub ending: Ending,
    /// The stages of an answer; empty for any other ending.
    pub stages: Vec<caller::StageBody>,
}

/// How a request ended for its caller.
#[message]
#[serde(tag = "ending", content = "code", rename_all = "snake_case")]
pub enum Ending {
    /// The caller received the complete and correct answer.
    Answered,
    /// The caller received a reply that is not a correct answer to this request. Contains the
    /// difference.
    Wrong(Arc<str>),
    /// The reply states that no stage ran. Contains its error code.
    NotRun(Arc<str>),
    /// The reply states that some stage may have run. Contains its error code.
    MayHaveRun(Arc<str>),
    /// The reply states that the request is invalid. Contains its error code.
    Invalid(Arc<str>),
    /// No connection could be established; nothing was sent.
    Unreachable,
    /// The connection failed before the answer was complete.
    Cut,
    /// No complete answer by the deadline, nor in the time for which the tool waits after it.
    Silent,
}

impl Ending {
    /// Kind and code, as reports print them.
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
    /// Whether the complete and correct answer arrived within the deadline.
    pub fn in_time(&self) -> bool {
        self.ending == Ending::Answered && self.took <= self.deadline
    }
}
