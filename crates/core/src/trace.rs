//! Recorded traces of one instance: every input, and every answer to a caller.
//!
//! The decisions of an instance depend only on its inputs, their times and its seed. A trace
//! contains these, so that a replay gives the same answers to the same callers, in the same order.
//! It also contains the answers that were given. The replay compares them with its own and checks
//! invariants over the whole trace.
//!
//! A trace is text, with one JSON record on each line: a [`Header`], then [`Line`]s. The format is
//! described in `docs/reference/trace.md`.
//!
//! - [`recorder`]: writes a trace while an instance runs.
//! - [`replay`](mod@replay): feeds a trace to a new instance and compares the answers.
//! - [`invariants`]: what must hold for any trace.
//! - [`report`]: the result of a replay.

pub mod invariants;
pub mod recorder;
pub mod replay;
pub mod report;

use peatdeck_macros::message;

pub use self::{
    recorder::Recorder,
    replay::{Error, replay},
    report::Report,
};
use crate::{
    content::Content,
    instance::{
        input::{Identity, Input},
        settings::Settings,
    },
    model::{CallerId, Outcome, RequestId, StageName},
    record::Version,
};

/// The version of the format that is written, and the only one that can be read.
pub const VERSION: u32 = 1;

/// The first line: the parameters with which the instance was started.
#[message]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The version of the format.
    pub peatdeck_inputs: u32,
    /// Whether texts are plain or hashed.
    pub content: Content,
    /// The name and the incarnation of the instance.
    pub identity: Identity,
    /// The settings of the instance.
    pub settings: Settings,
    /// The seed of the instance's random numbers.
    pub seed: u64,
}

/// Any other line. Exactly one of `input`, `answer` and `expect` is present.
#[message]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct Line {
    /// The time of the input or the answer, in microseconds of the instance's clock.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at_us: Option<u64>,
    /// An input of the instance.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub input: Option<Input>,
    /// The caller that was answered as a result of the last input.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answer: Option<CallerId>,
    /// The outcome that was sent to that caller.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// An expectation, added by hand.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expect: Option<Expect>,
}

/// An expectation about a trace, added by hand by somebody who knows what happened.
#[message]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Expect {
    /// A caller gets an outcome of the given kind.
    Told {
        /// The caller.
        caller: CallerId,
        /// The kind of the outcome.
        kind: OutcomeKind,
    },
    /// At most one call of that stage may have run.
    RunsOnce {
        /// The request.
        key: RequestId,
        /// The stage.
        stage: StageName,
    },
    /// The number of calls that are made for the request, including retries and hedges, is within
    /// the given bounds.
    Calls {
        /// The request.
        key: RequestId,
        /// The fewest calls.
        least: u32,
        /// The most calls.
        most: u32,
    },
    /// The given version is in force at the end.
    InForce {
        /// The version.
        version: Version,
    },
}

/// The kinds of outcome.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// The request was answered completely.
    Answered,
    /// Nothing ran.
    NotRun,
    /// Something may have run.
    MayHaveRun,
    /// The request was invalid in itself.
    Invalid,
}

impl OutcomeKind {
    /// The kind of an outcome.
    pub fn of(outcome: &Outcome) -> OutcomeKind {
        match outcome {
            Outcome::Answered(_) => OutcomeKind::Answered,
            Outcome::NotRun(_) => OutcomeKind::NotRun,
            Outcome::MayHaveRun(_) => OutcomeKind::MayHaveRun,
            Outcome::Invalid(_) => OutcomeKind::Invalid,
        }
    }

    /// The name of the kind in a trace.
    pub fn name(self) -> &'static str {
        match self {
            OutcomeKind::Answered => "answered",
            OutcomeKind::NotRun => "not_run",
            OutcomeKind::MayHaveRun => "may_have_run",
            OutcomeKind::Invalid => "invalid",
        }
    }
}
