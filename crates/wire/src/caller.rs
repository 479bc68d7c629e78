//! What callers send and get: `POST /v1/pipelines/{pipeline}/requests`.
//!
//! Three outcomes, told apart by status and by `outcome` in the body:
//!
//! | outcome | status | body |
//! | --- | --- | --- |
//! | answered | 200 | [`AnswerBody`] |
//! | not run | 429 or 503, `Retry-After` | [`ErrorBody`], `outcome: not_run` |
//! | may have run | 502 or 504, `Retry-After` where a repeat is safe | [`ErrorBody`], `outcome: may_have_run` |
//! | invalid | 400, 404, 409, 413 | [`ErrorBody`], `outcome: invalid` |
//!
//! With `stream: true` a 200 is `text/event-stream`: `event: text` with
//! [`TextEvent`], then exactly one of `event: answer` with [`AnswerBody`] or
//! `event: error` with [`ErrorBody`]. A stream that ends without either was cut.

use std::sync::Arc;

use peatdeck_macros::message;

/// A request's body.
#[message]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    /// The caller's id for the request, unique within its team.
    pub id: Arc<str>,
    /// The team.
    pub team: Arc<str>,
    /// How long the caller waits from now on, in milliseconds. Signed, so that
    /// a deadline already passed gets its own error.
    pub deadline_ms: i64,
    /// Whether running it twice does no harm. False unless said.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether it was sent before and its outcome is not known, as after a cut
    /// connection. "Not run" then speaks for the earlier attempts too.
    #[serde(default)]
    pub repeat: bool,
    /// Whether the text is wanted piece by piece.
    #[serde(default)]
    pub stream: bool,
    /// The input of the first stage.
    pub input: Arc<str>,
}

/// A whole answer.
#[message]
pub struct AnswerBody {
    /// The request's id again.
    pub id: Arc<str>,
    /// Always `answered`.
    pub outcome: Arc<str>,
    /// The last stage's output.
    pub output: Arc<str>,
    /// A line for each stage.
    pub stages: Vec<StageBody>,
}

/// What one stage took.
#[message]
pub struct StageBody {
    /// The stage.
    pub stage: Arc<str>,
    /// The endpoint whose reply was taken.
    pub endpoint: Arc<str>,
    /// Attempts made.
    pub attempts: u32,
    /// Time from the stage's start to its whole reply, in milliseconds.
    pub took_ms: f64,
}

/// Any outcome but a whole answer.
#[message]
pub struct ErrorBody {
    /// The request's id again, where it could be read.
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
    /// When to come back, in milliseconds; the header rounds it up to seconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

/// A piece of streamed text.
#[message]
pub struct TextEvent {
    /// The piece.
    pub text: Arc<str>,
}

/// `outcome` of a whole answer.
pub const ANSWERED: &str = "answered";
/// `outcome` where nothing ran.
pub const NOT_RUN: &str = "not_run";
/// `outcome` where something may have run.
pub const MAY_HAVE_RUN: &str = "may_have_run";
/// `outcome` of a request that is wrong in itself.
pub const INVALID: &str = "invalid";
