//! Converts an outcome to an HTTP status, headers and body.
//!
//! Implements the table in `peatdeck_wire::caller`. Callers may rely on the
//! codes defined here, so a code never changes its meaning.

use std::{sync::Arc, time::Duration};

use ntex::http::StatusCode;
use peatdeck_core::model::{
    Answer, Invalid, Outcome, Refusal, RefusalKind, StageReport, Uncertainty, UncertaintyKind,
};
use peatdeck_wire::caller::{
    ANSWERED, AnswerBody, ErrorBody, INVALID, MAY_HAVE_RUN, NOT_RUN, StageBody,
};

/// An error code with its message and remedy.
struct ErrorText {
    code: &'static str,
    message: &'static str,
    remedy: &'static str,
}

/// An error response, for every outcome but a complete answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// The response's status.
    pub status: StatusCode,
    /// The response's body.
    pub body: ErrorBody,
}

impl Failure {
    /// The value of the `Retry-After` header: whole seconds, rounded up. `None` if
    /// a retry is not safe or would not help.
    pub fn retry_after(&self) -> Option<u64> {
        self.body.retry_after_ms.map(|ms| ms.div_ceil(1_000))
    }

    /// The error for an invalid request.
    pub fn invalid(
        status: StatusCode,
        code: &str,
        message: impl Into<Arc<str>>,
        remedy: impl Into<Arc<str>>,
    ) -> Failure {
        let body = ErrorBody {
            id: None,
            outcome: Arc::from(INVALID),
            code: Arc::from(code),
            message: message.into(),
            remedy: remedy.into(),
            stage: None,
            retry_after_ms: None,
        };
        Failure { status, body }
    }

    /// Adds the request's id.
    pub fn with_id(mut self, id: Arc<str>) -> Failure {
        self.body.id = Some(id);
        self
    }
}

/// Converts an outcome to the body that is sent to the caller.
///
/// # Errors
/// [`Failure`] for every outcome but a complete answer.
pub fn render(id: &Arc<str>, outcome: Outcome) -> Result<AnswerBody, Failure> {
    match outcome {
        Outcome::Answered(answer) => Ok(answer_body(id, answer)),
        Outcome::NotRun(refusal) => Err(not_run(id, &refusal)),
        Outcome::MayHaveRun(uncertainty) => Err(may_have_run(id, uncertainty)),
        Outcome::Invalid(kind) => Err(invalid(kind).with_id(id.clone())),
    }
}

/// The outcome's stable code: `answered`, or the code of the refusal, the
/// uncertainty or the error in the request.
pub fn code(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(_) => ANSWERED,
        Outcome::NotRun(refusal) => refusal_text(refusal.kind).code,
        Outcome::MayHaveRun(uncertainty) => uncertainty_text(uncertainty.kind).code,
        Outcome::Invalid(kind) => invalid_text(*kind).code,
    }
}

fn answer_body(id: &Arc<str>, answer: Answer) -> AnswerBody {
    AnswerBody {
        id: id.clone(),
        outcome: Arc::from(ANSWERED),
        output: answer.output,
        stages: answer.stages.into_iter().map(stage_body).collect(),
    }
}

fn stage_body(report: StageReport) -> StageBody {
    StageBody {
        stage: report.stage,
        endpoint: report.endpoint,
        attempts: report.attempts,
        took_ms: report.took.as_secs_f64() * 1_000.0,
    }
}

fn not_run(id: &Arc<str>, refusal: &Refusal) -> Failure {
    let text = refusal_text(refusal.kind);
    let status = match refusal.kind {
        RefusalKind::OverShare | RefusalKind::Policy => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let body = ErrorBody {
        id: Some(id.clone()),
        outcome: Arc::from(NOT_RUN),
        code: Arc::from(text.code),
        message: Arc::from(text.message),
        remedy: Arc::from(text.remedy),
        stage: None,
        retry_after_ms: Some(ceil_millis(refusal.retry_after)),
    };
    Failure { status, body }
}

fn may_have_run(id: &Arc<str>, uncertainty: Uncertainty) -> Failure {
    let text = uncertainty_text(uncertainty.kind);
    let status = match uncertainty.kind {
        UncertaintyKind::TimedOut | UncertaintyKind::InProgress => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let remedy = match uncertainty.retry_after {
        Some(_) => text.remedy,
        None => "do not send the request again; find out whether its effect took place",
    };
    let body = ErrorBody {
        id: Some(id.clone()),
        outcome: Arc::from(MAY_HAVE_RUN),
        code: Arc::from(text.code),
        message: Arc::from(text.message),
        remedy: Arc::from(remedy),
        stage: uncertainty.stage,
        retry_after_ms: uncertainty.retry_after.map(ceil_millis),
    };
    Failure { status, body }
}

fn invalid(kind: Invalid) -> Failure {
    let status = match kind {
        Invalid::UnknownPipeline => StatusCode::NOT_FOUND,
        Invalid::KeyReused => StatusCode::CONFLICT,
        Invalid::UnknownTeam => StatusCode::BAD_REQUEST,
    };
    let text = invalid_text(kind);
    Failure::invalid(status, text.code, text.message, text.remedy)
}

fn refusal_text(kind: RefusalKind) -> ErrorText {
    let (code, message, remedy) = match kind {
        RefusalKind::Infeasible => (
            "infeasible",
            "the request would not have finished within its deadline; nothing ran",
            "send it again after the given time, or with a longer deadline",
        ),
        RefusalKind::OverShare => (
            "over_share",
            "the team holds more than its share while others wait; nothing ran",
            "send it again after the given time, or send fewer requests at once",
        ),
        RefusalKind::Expired => (
            "expired",
            "the deadline passed while the request waited for a place; nothing ran",
            "send it again after the given time, or with a longer deadline",
        ),
        RefusalKind::Policy => (
            "policy",
            "the pipeline's policy refused the request; nothing ran",
            "send it again after the given time, or ask the operators about the policy",
        ),
        RefusalKind::NoEndpoint => (
            "no_endpoint",
            "a pool that the pipeline needs has no usable endpoint; nothing ran",
            "send it again after the given time",
        ),
        RefusalKind::NotReady => (
            "not_ready",
            "this instance does not know which configuration is in force; nothing ran",
            "send it again after the given time, or to another instance",
        ),
        RefusalKind::Stopping => (
            "stopping",
            "this instance is stopping; nothing ran",
            "send it again to another instance",
        ),
        RefusalKind::ClaimUnknown => (
            "claim_unknown",
            "the log did not confirm in time that the request may run; nothing ran",
            "send it again with the same id after the given time",
        ),
        RefusalKind::ClaimHorizon => (
            "claim_horizon",
            "the log may have forgotten an earlier run of this id; nothing ran now",
            "check whether the request already took effect, then use a new id",
        ),
    };
    ErrorText { code, message, remedy }
}

fn uncertainty_text(kind: UncertaintyKind) -> ErrorText {
    let (code, message, remedy) = match kind {
        UncertaintyKind::TimedOut => (
            "timed_out",
            "the deadline passed while a stage ran; it may have run",
            "send it again after the given time",
        ),
        UncertaintyKind::StageFailed => (
            "stage_failed",
            "a stage failed and may not be tried again; it may have run",
            "send it again after the given time",
        ),
        UncertaintyKind::InProgress => (
            "in_progress",
            "another instance runs this request and has not finished",
            "send it again with the same id after the given time to get its outcome",
        ),
        UncertaintyKind::ClaimedElsewhere => (
            "claimed_elsewhere",
            "another instance took this request; its outcome is not known",
            "send it again with the same id after the given time to get its outcome",
        ),
        UncertaintyKind::AlreadyFinished => (
            "already_finished",
            "this request has already run to its end; its answer is not kept here",
            "check whether its effect took place; do not send it again under a new id",
        ),
        UncertaintyKind::EarlierUnknown => (
            "earlier_unknown",
            "nothing of this attempt ran; what became of an earlier one cannot be known now",
            "send it again with the same id and `repeat` true after the given time",
        ),
    };
    ErrorText { code, message, remedy }
}

fn invalid_text(kind: Invalid) -> ErrorText {
    let (code, message, remedy) = match kind {
        Invalid::UnknownPipeline => (
            "unknown_pipeline",
            "the configuration in force has no pipeline of that name; nothing ran",
            "check the pipeline's name in the path, or have the operators publish it",
        ),
        Invalid::UnknownTeam => (
            "unknown_team",
            "the configuration in force has no team of that name; nothing ran",
            "check the field `team`, or have the operators publish it",
        ),
        Invalid::KeyReused => (
            "key_reused",
            "the id was used before with another body or idempotence mark; nothing ran now",
            "use a new id for a new request, or send the earlier request unchanged",
        ),
    };
    ErrorText { code, message, remedy }
}

fn ceil_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
