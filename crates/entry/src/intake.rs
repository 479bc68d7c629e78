//! Parses and validates request bodies before they reach the state machine.
//!
//! A valid body is parsed once. A body that fails to parse is parsed a second
//! time as generic JSON to find out which error to report.

use std::{sync::Arc, time::Duration};

use ntex::http::StatusCode;
use peatdeck_core::model::{MAX_DEADLINE, MAX_ID_BYTES, PipelineName, Request, RequestId};
use peatdeck_wire::caller::RequestBody;
use serde_json::Value;

use crate::outcome::Failure;

/// Maximum length of a team or pipeline name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Required fields of a body: name, error code when it is missing, and
/// description of the value.
const REQUIRED_FIELDS: [(&str, &str, &str); 4] = [
    ("id", "id_missing", "the request's id, unique within the team"),
    ("team", "team_missing", "the team's name"),
    ("deadline_ms", "deadline_missing", "how long the caller waits, in milliseconds"),
    ("input", "input_missing", "the first stage's input"),
];
/// Optional fields of a body.
const OPTIONAL_FIELDS: [&str; 3] = ["idempotent", "repeat", "stream"];

/// Parses and validates a request body.
///
/// # Errors
/// A [`Failure`] that states what is wrong and how to correct it.
pub fn parse(pipeline: &str, body: &[u8]) -> Result<Request, Failure> {
    let body: RequestBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return Err(diagnose(body, &error)),
    };
    check_id(&body.id)?;
    let id = body.id.clone();
    check_fields(pipeline, body).map_err(|failure| failure.with_id(id))
}

/// The error for a body that is larger than `limit` bytes.
pub fn too_large(limit: usize) -> Failure {
    Failure::invalid(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        format!("the body is over {limit} bytes; nothing ran"),
        "send a shorter input, or have the operators raise --max-body",
    )
}

/// The error for a body that ended early or arrived too slowly.
pub fn unreadable(cause: &dyn std::fmt::Display) -> Failure {
    bad_request(
        "body_unreadable",
        format!("the body could not be read ({cause}); nothing ran"),
        "send the whole body with its right length",
    )
}

fn check_fields(pipeline: &str, body: RequestBody) -> Result<Request, Failure> {
    check_name("team", &body.team)?;
    check_name("pipeline", pipeline)?;
    let deadline = check_deadline(body.deadline_ms)?;
    Ok(Request {
        id: RequestId { team: body.team, id: body.id },
        pipeline: PipelineName::from(pipeline),
        deadline,
        idempotent: body.idempotent,
        repeat: body.repeat,
        stream: body.stream,
        input: body.input,
    })
}

fn check_id(id: &str) -> Result<(), Failure> {
    if id.is_empty() {
        return Err(bad_request(
            "id_missing",
            "the field `id` is empty; nothing ran",
            "give each request an id that is unique within its team",
        ));
    }
    if id.len() > MAX_ID_BYTES {
        return Err(bad_request(
            "id_too_long",
            format!("the field `id` is over {MAX_ID_BYTES} bytes; nothing ran"),
            "use a shorter id, such as a UUID",
        ));
    }
    if id.chars().any(char::is_control) {
        return Err(bad_request(
            "id_control",
            "the field `id` holds a control character; nothing ran",
            "use printable characters only",
        ));
    }
    Ok(())
}

fn check_name(field: &str, name: &str) -> Result<(), Failure> {
    if name.is_empty() {
        return Err(bad_request(
            &format!("{field}_missing"),
            format!("the {field} is empty; nothing ran"),
            format!("name a {field} of the configuration in force"),
        ));
    }
    if name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
        return Err(bad_request(
            &format!("{field}_invalid"),
            format!(
                "the {field}'s name is over {MAX_NAME_BYTES} bytes or holds a control character; nothing ran"
            ),
            format!("name a {field} of the configuration in force"),
        ));
    }
    Ok(())
}

fn check_deadline(deadline_ms: i64) -> Result<Duration, Failure> {
    if deadline_ms == 0 {
        return Err(bad_request(
            "deadline_zero",
            "the deadline is zero, so no answer could come in time; nothing ran",
            "give in `deadline_ms` how long the caller waits",
        ));
    }
    let Ok(millis) = u64::try_from(deadline_ms) else {
        return Err(bad_request(
            "deadline_passed",
            "the deadline is negative: it has already passed; nothing ran",
            "give in `deadline_ms` how long the caller still waits",
        ));
    };
    let deadline = Duration::from_millis(millis);
    if deadline > MAX_DEADLINE {
        return Err(deadline_too_long());
    }
    Ok(deadline)
}

fn deadline_too_long() -> Failure {
    bad_request(
        "deadline_absurd",
        format!("the deadline is over {} ms; nothing ran", MAX_DEADLINE.as_millis()),
        "give `deadline_ms` in milliseconds from now, not as a point in time",
    )
}

/// Determines the error to report for a body that failed to parse.
fn diagnose(body: &[u8], error: &serde_json::Error) -> Failure {
    let Ok(value) = serde_json::from_slice::<Value>(body) else {
        return bad_request(
            "malformed_json",
            format!("the body is not JSON: {error}; nothing ran"),
            "send one JSON object",
        );
    };
    let Value::Object(fields) = value else {
        return bad_request(
            "malformed_json",
            "the body is JSON, but not an object; nothing ran",
            "send one JSON object",
        );
    };
    if let Some(field) = fields.keys().find(|field| !is_known(field)) {
        return bad_request(
            "unknown_field",
            format!("the body has the unknown field `{}`; nothing ran", shortened(field)),
            "remove the field, or correct its name",
        );
    }
    for (field, code, holds) in REQUIRED_FIELDS {
        if fields.get(field).is_none_or(Value::is_null) {
            return bad_request(
                code,
                format!("the field `{field}` is missing; nothing ran"),
                format!("give `{field}`: {holds}"),
            );
        }
    }
    if is_huge(&fields["deadline_ms"]) {
        return deadline_too_long();
    }
    bad_request(
        "field_type",
        format!("a field has the wrong type: {error}; nothing ran"),
        "correct the field's type",
    )
}

fn is_known(field: &str) -> bool {
    OPTIONAL_FIELDS.contains(&field) || REQUIRED_FIELDS.iter().any(|(name, ..)| *name == field)
}

/// Whether a deadline is so large that it does not fit the field's type.
fn is_huge(value: &Value) -> bool {
    value.is_number() && value.as_i64().is_none() && value.as_f64().is_some_and(|ms| ms > 1e15)
}

/// Truncates text from the caller for use in an error message.
fn shortened(text: &str) -> String {
    text.chars().take(MAX_ECHOED_CHARS).collect()
}

/// Maximum length of the caller's own text in an error message, in characters.
const MAX_ECHOED_CHARS: usize = 64;

fn bad_request(code: &str, message: impl Into<Arc<str>>, remedy: impl Into<Arc<str>>) -> Failure {
    Failure::invalid(StatusCode::BAD_REQUEST, code, message, remedy)
}
