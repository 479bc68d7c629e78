//! The API for callers: `POST /v1/pipelines/{pipeline}/requests`.
//!
//! The status and the field `outcome` of the body state the outcome:
//!
//! | outcome | status | body |
//! | --- | --- | --- |
//! | answered | 200 | [`AnswerBody`] |
//! | not run | 429 or 503, `Retry-After` | [`ErrorBody`], `outcome: not_run` |
//! | may have run | 502 or 504, `Retry-After` if a retry is safe | [`ErrorBody`], `outcome: may_have_run` |
//! | invalid | 400, 404, 409, 413 | [`ErrorBody`], `outcome: invalid` |
//!
//! With `stream: true`, a response with status 200 is a `text/event-stream`:
//! events `text` with [`TextEvent`], then exactly one event `answer` with
//! [`AnswerBody`] or `error` with [`ErrorBody`]. A stream that ends without
//! either is incomplete.

use std::sync::Arc;

use peatdeck_macros::message;

/// Body of a request.
#[message]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    /// The caller's id for the request, unique within its team.
    pub id: Arc<str>,
    /// The team.
    pub team: Arc<str>,
    /// How long the caller waits from now on, in milliseconds. Signed, so that a
    /// deadline that has already passed gets an error of its own.
    pub deadline_ms: i64,
    /// Whether the request may safely run more than once. False by default.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the request was sent before with an unknown outcome, such as after a
    /// lost connection. `not_run` then covers the earlier attempts too.
    #[serde(default)]
    pub repeat: bool,
    /// Whether the output is streamed.
    #[serde(default)]
    pub stream: bool,
    /// The input of the first stage.
    pub input: Arc<str>,
}

/// A complete answer.
#[message]
pub struct AnswerBody {
    /// Id of the request.
    pub id: Arc<str>,
    /// Always `answered`.
    pub outcome: Arc<str>,
    /// Output of the last stage.
    pub output: Arc<str>,
    /// One entry for each stage, in the order of the pipeline.
    pub stages: Vec<StageBody>,
}

/// Attempts and duration of one stage.
#[message]
pub struct StageBody {
    /// The stage.
    pub stage: Arc<str>,
    /// The endpoint whose reply was used.
    pub endpoint: Arc<str>,
    /// Number of calls that were made for the stage.
    pub attempts: u32,
    /// Time from the start of the stage to its complete reply, in milliseconds.
    pub took_ms: f64,
}

/// Body for every outcome but a complete answer.
#[message]
pub struct ErrorBody {
    /// Id of the request; `None` if it could not be read.
    pub id: Option<Arc<str>>,
    /// `not_run`, `may_have_run` or `invalid`.
    pub outcome: Arc<str>,
    /// A stable code, such as `infeasible` or `unknown_pipeline`.
    pub code: Arc<str>,
    /// What happened, in a sentence.
    pub message: Arc<str>,
    /// What to do about it, in a sentence.
    pub remedy: Arc<str>,
    /// The stage whose outcome is unknown.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub stage: Option<Arc<str>>,
    /// When to retry, in milliseconds; the header rounds it up to seconds. `None` if
    /// a retry is not safe or would not help.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

/// A piece of streamed text.
#[message]
pub struct TextEvent {
    /// The piece.
    pub text: Arc<str>,
}

/// `outcome` of a complete answer.
pub const ANSWERED: &str = "answered";
/// `outcome` of a request of which nothing ran.
pub const NOT_RUN: &str = "not_run";
/// `outcome` of a request of which something may have run.
pub const MAY_HAVE_RUN: &str = "may_have_run";
/// `outcome` of an invalid request.
pub const INVALID: &str = "invalid";
