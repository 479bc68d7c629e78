//! Recorded traces of one instance: every input, and what callers were told.
//!
//! An instance decides by its inputs, their times and its seed alone. A trace
//! holds these, so that a replay gives the same answers to the same callers,
//! in the same order. Beside them it holds the answers that were given; the
//! replay compares, and checks what must always hold over the whole trace.
//!
//! A trace is text, a JSON record a line: a [`Header`], then [`Line`]s. The
//! format is on the page `docs/reference/trace.md`.
//!
//! - [`recorder`]: writes a trace while an instance runs.
//! - [`replay`](mod@replay): feeds a trace to a fresh instance and compares.
//! - [`invariants`]: what must hold over any trace.
//! - [`report`]: what a replay found.

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
};

/// Version of the format that is written, and the only one that is read.
pub const VERSION: u32 = 1;

/// The first line: what the instance was started with.
#[message]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the format.
    pub peatdeck_inputs: u32,
    /// How the texts in it are to be read.
    pub content: Content,
    /// Who the instance is.
    pub identity: Identity,
    /// Its settings.
    pub settings: Settings,
    /// Its seed.
    pub seed: u64,
}

/// Any other line, by its fields. Exactly one of `input`, `answer` and
/// `expect` is there.
#[message]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct Line {
    /// When it happened, in microseconds of the instance's clock.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at_us: Option<u64>,
    /// An input.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub input: Option<Input>,
    /// The caller that was answered upon the input before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answer: Option<CallerId>,
    /// What that caller was told.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// What somebody who knows what happened states of the trace.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expect: Option<Expect>,
}

/// A statement on a trace, written by hand.
#[message]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Expect {
    /// A caller is told an outcome of that kind.
    Told {
        /// The caller.
        caller: CallerId,
        /// The kind.
        kind: OutcomeKind,
    },
    /// At most one call of that stage may have run.
    RunsOnce {
        /// The request.
        key: RequestId,
        /// The stage.
        stage: StageName,
    },
    /// The request was called so often, repeats and hedges included.
    Calls {
        /// The request.
        key: RequestId,
        /// The fewest calls.
        least: u32,
        /// The most calls.
        most: u32,
    },
}

/// The kinds of outcome.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// A whole answer.
    Answered,
    /// Nothing ran.
    NotRun,
    /// Something may have run.
    MayHaveRun,
    /// The request was wrong in itself.
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

    /// Its name in a trace.
    pub fn name(self) -> &'static str {
        match self {
            OutcomeKind::Answered => "answered",
            OutcomeKind::NotRun => "not_run",
            OutcomeKind::MayHaveRun => "may_have_run",
            OutcomeKind::Invalid => "invalid",
        }
    }
}
