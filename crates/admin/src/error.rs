//! The errors that the API returns to operators.
//!
//! Each kind has a stable code, an HTTP status, a message and a remedy. The
//! codes state exactly what is known of the log: `log_out` means that nothing
//! was appended, `unknown` that the record may have been appended.

use std::{borrow::Cow, sync::Arc, time::Duration};

use ntex::{
    http::{StatusCode, header},
    web::{HttpRequest, HttpResponse, WebResponseError},
};
use peatdeck_core::{
    check::Problem,
    model::{DataCentre, EndpointName, Incarnation, InstanceName},
    record::Version,
};
use peatdeck_wire::admin::{ApiError, ErrorDetail, VersionInForce};

/// Value of `Retry-After` when the platform fails.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// Why an operation failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bearer token is missing or wrong.
    #[error("the bearer token is missing or wrong")]
    Unauthorized,
    /// No route matches the path and method.
    #[error("no operation has this path and method")]
    NoRoute,
    /// The request cannot be parsed, or a name in it is invalid.
    #[error("{0}")]
    Malformed(String),
    /// The body exceeds the limit, given in bytes.
    #[error("the body takes more than {0} bytes")]
    TooLarge(usize),
    /// The configuration document is invalid.
    #[error("the document has {} problem(s), the first: {}", .0.len(), first(.0))]
    Invalid(Vec<Problem>),
    /// Another version than the base of the publish is in force.
    #[error("{}, but this publish was made from {base}", describe_version(.in_force))]
    Conflict {
        /// The version that the publish was based on.
        base: Version,
        /// The version that is in force instead.
        in_force: VersionInForce,
    },
    /// The log holds a different publish with the same id.
    #[error("publish `{0}` stands in the log with another document, base or author")]
    IdReused(Arc<str>),
    /// The platform's list does not contain the endpoint.
    #[error("the platform's list has no endpoint `{0}`")]
    UnknownEndpoint(EndpointName),
    /// The endpoint has restarted since the given incarnation.
    #[error("endpoint `{endpoint}` is in incarnation {listed}, not {given}", listed = .listed.0, given = .given.0)]
    OutdatedIncarnation {
        /// The endpoint's name.
        endpoint: EndpointName,
        /// The incarnation in the platform's list.
        listed: Incarnation,
        /// The incarnation in the request.
        given: Incarnation,
    },
    /// The log contains no record of the publish.
    #[error("the log holds no publish `{0}`")]
    UnknownPublish(Arc<str>),
    /// The log is unavailable; nothing was appended.
    #[error("this request appended nothing: {0}")]
    LogUnavailable(String),
    /// The list is unavailable; nothing was appended.
    #[error("nothing was done: {0}")]
    ListUnavailable(String),
    /// The log no longer holds the records that determine the configuration in force.
    #[error(
        "the log keeps neither a snapshot nor its first record, so nobody can tell from it what is in force; nothing was appended"
    )]
    NoState,
    /// The log determines the configuration in force, so there is nothing to restore.
    #[error("version {} is in force, so there is nothing to restore; this restore has no effect", .0.version)]
    NotLost(VersionInForce),
    /// A listed instance still has a version in force.
    #[error(
        "instance `{instance}` still has version {version} in force, so it is not lost; nothing was appended"
    )]
    StillInForce {
        /// The instance's name.
        instance: InstanceName,
        /// The version that it has in force.
        version: Version,
    },
    /// The version in the restore is older than one that this process has read.
    #[error(
        "version {known} was in force, so a restore cannot follow version {given}; nothing was appended"
    )]
    OldVersion {
        /// The version in the request.
        given: Version,
        /// The newest version that this process has read.
        known: Version,
    },
    /// The publish may have been appended.
    #[error("unknown: publish `{0}` may have taken effect, and the log did not say in time")]
    Unknown(Arc<str>),
    /// The restore may have been appended.
    #[error("unknown: restore `{0}` may have taken effect, and the log did not say in time")]
    RestoreUnknown(Arc<str>),
    /// The drain may have been appended.
    #[error("unknown: the drain of `{0}` may have taken effect, and the log did not say in time")]
    DrainUnknown(EndpointName),
    /// The evacuation, or its end, may have been appended.
    #[error("unknown: the order for `{0}` may have taken effect, and the log did not say in time")]
    EvacuationUnknown(DataCentre),
}

impl Error {
    /// The stable code of the error, for programs.
    pub fn code(&self) -> &'static str {
        match self {
            Error::Unauthorized => "unauthorized",
            Error::NoRoute => "no_route",
            Error::Malformed(_) => "malformed",
            Error::TooLarge(_) => "too_large",
            Error::Invalid(_) => "invalid_document",
            Error::Conflict { .. } => "conflict",
            Error::IdReused(_) => "id_reused",
            Error::UnknownEndpoint(_) => "unknown_endpoint",
            Error::OutdatedIncarnation { .. } => "other_incarnation",
            Error::UnknownPublish(_) => "unknown_publish",
            Error::LogUnavailable(_) => "log_out",
            Error::ListUnavailable(_) => "list_out",
            Error::NoState => "no_state",
            Error::NotLost(_) => "not_lost",
            Error::StillInForce { .. } => "still_held",
            Error::OldVersion { .. } => "old_version",
            Error::Unknown(_)
            | Error::RestoreUnknown(_)
            | Error::DrainUnknown(_)
            | Error::EvacuationUnknown(_) => "unknown",
        }
    }

    fn remedy(&self) -> Cow<'static, str> {
        match self {
            Error::Unauthorized => {
                "send `Authorization: Bearer` with the token that the process was started with".into()
            }
            Error::NoRoute => "see the reference of the administration API".into(),
            Error::Malformed(_) => "correct the request and send it again".into(),
            Error::TooLarge(_) => "shorten policies or remove what is unused".into(),
            Error::Invalid(_) => "mend every problem listed and publish again".into(),
            Error::Conflict { in_force, .. } => format!(
                "fetch version {version} (`peatdeck show`), apply the change to it and publish it with a new id and base {version}",
                version = in_force.version
            ).into(),
            Error::IdReused(_) => "publish with a new id".into(),
            Error::UnknownEndpoint(_) => {
                "check the name; a new endpoint shows in the list after some seconds".into()
            }
            Error::OutdatedIncarnation { .. } => "leave the incarnation out to drain the present one".into(),
            Error::UnknownPublish(_) => {
                "if an append of it may still be on its way, publish again with the same id: it counts once".into()
            }
            Error::LogUnavailable(_) => "send it again when the platform's log is back".into(),
            Error::ListUnavailable(_) => "send it again when the platform's list is back".into(),
            Error::NoState => {
                "wait for an entry that still has the configuration: it appends a snapshot; then send it again. If none has it any more, restore it (`peatdeck restore FILE --version N`)".into()
            }
            Error::Unknown(id) => format!(
                "ask for the verdict of `{id}` (GET /v1/config/verdict/{id}, `peatdeck show --verdict {id}`), or publish again with the same id: it counts once"
            ).into(),
            Error::NotLost(in_force) => {
                format!("publish on base {} instead", in_force.version).into()
            }
            Error::StillInForce { .. } => {
                "wait for its snapshot, or stop it if its version is not the one to go on from; then send it again".into()
            }
            Error::OldVersion { known, .. } => format!("restore with version {known} or a newer one").into(),
            Error::RestoreUnknown(_) => {
                "send the restore again with the same id: it counts once".into()
            }
            Error::DrainUnknown(_) => "send the drain again: it counts once".into(),
            Error::EvacuationUnknown(_) => "send the order again: it counts once".into(),
        }
    }

    fn detail(&self) -> Option<ErrorDetail> {
        match self {
            Error::Invalid(problems) => Some(ErrorDetail::Invalid { problems: problems.clone() }),
            Error::Conflict { in_force, .. } | Error::NotLost(in_force) => {
                Some(ErrorDetail::Conflict(in_force.clone()))
            }
            Error::Unknown(id) | Error::RestoreUnknown(id) => {
                Some(ErrorDetail::Unknown { id: Arc::clone(id) })
            }
            _ => None,
        }
    }

    /// The error as the JSON body of a response.
    pub fn to_api(&self) -> ApiError {
        ApiError {
            code: self.code().into(),
            message: self.to_string().into(),
            remedy: Arc::from(self.remedy()),
            detail: self.detail(),
        }
    }

    /// The HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Error::Unauthorized => StatusCode::UNAUTHORIZED,
            Error::NoRoute | Error::UnknownEndpoint(_) | Error::UnknownPublish(_) => {
                StatusCode::NOT_FOUND
            }
            Error::Malformed(_) => StatusCode::BAD_REQUEST,
            Error::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Error::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Error::Conflict { .. }
            | Error::IdReused(_)
            | Error::OutdatedIncarnation { .. }
            | Error::NotLost(_)
            | Error::StillInForce { .. }
            | Error::OldVersion { .. } => StatusCode::CONFLICT,
            Error::LogUnavailable(_)
            | Error::ListUnavailable(_)
            | Error::NoState
            | Error::Unknown(_)
            | Error::RestoreUnknown(_)
            | Error::DrainUnknown(_)
            | Error::EvacuationUnknown(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl WebResponseError for Error {
    fn status_code(&self) -> StatusCode {
        self.status()
    }

    fn error_response(&self, _: &HttpRequest) -> HttpResponse {
        let mut response = HttpResponse::build(self.status());
        match self.status() {
            StatusCode::SERVICE_UNAVAILABLE => {
                response.set_header(header::RETRY_AFTER, RETRY_AFTER.as_secs().to_string());
            }
            StatusCode::UNAUTHORIZED => {
                response.set_header(header::WWW_AUTHENTICATE, "Bearer");
            }
            _ => {}
        }
        response.json(&self.to_api())
    }
}

fn first(problems: &[Problem]) -> String {
    problems.first().map_or_else(String::new, |p| format!("{}: {}", p.path, p.message))
}

fn describe_version(in_force: &VersionInForce) -> String {
    match &in_force.author {
        Some(author) => format!("version {}, published by {author}, is in force", in_force.version),
        None => format!("version {} is in force", in_force.version),
    }
}
