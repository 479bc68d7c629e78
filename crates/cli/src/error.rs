//! The errors of commands, each with a remedy and an exit code.

use miette::Diagnostic;
use peatdeck_core::trace;
use peatdeck_wire::admin::{ApiError, ErrorDetail};

use crate::{exit, ops::source};

/// Why a command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// `PEATDECK_ADMIN_TOKEN` is not set.
    #[error("PEATDECK_ADMIN_TOKEN is not set")]
    #[diagnostic(help("set it to the token that peatdeck-admin was started with"))]
    NoToken,
    /// A file could not be read.
    #[error("cannot read {path}: {cause}")]
    #[diagnostic(help("check the path and that the file is text in UTF-8"))]
    File {
        /// Path of the file.
        path: String,
        /// The I/O error.
        cause: std::io::Error,
    },
    /// A file could not be written.
    #[error("cannot write {path}: {cause}")]
    #[diagnostic(help("check that the directory exists and may be written to"))]
    Write {
        /// Path of the file.
        path: String,
        /// The I/O error.
        cause: std::io::Error,
    },
    /// A trace could not be replayed.
    #[error("cannot replay {path}: {cause}")]
    #[diagnostic(help("give a file written by `peatdeck-entry --trace`"))]
    Trace {
        /// Path of the trace.
        path: String,
        /// Why the trace is invalid.
        cause: trace::Error,
    },
    /// No log line refers to the request.
    #[error("no line of these files refers to request {id}")]
    #[diagnostic(help("give the log files of all instances, starting before the request arrived"))]
    RequestNotFound {
        /// The id that was searched for.
        id: String,
    },
    /// A request to a relay instance failed.
    #[error("cannot query the instance at {instance}: {cause}")]
    #[diagnostic(help("give the metrics address of a running instance with --at"))]
    Instance {
        /// URL of the instance.
        instance: String,
        /// What went wrong.
        cause: String,
    },
    /// The content to release is not quarantined at the instance.
    #[error("{content} is not quarantined at this instance")]
    #[diagnostic(help("list the quarantined contents of the instance with `peatdeck quarantine`"))]
    NotQuarantined {
        /// Fingerprint of the content.
        content: String,
    },
    /// The configuration file is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Source(#[from] source::Error),
    /// peatdeck-admin could not be reached.
    #[error("cannot reach peatdeck-admin at {admin}: {cause}")]
    #[diagnostic(help(
        "check --admin (PEATDECK_ADMIN) and that peatdeck-admin is running; nothing was done"
    ))]
    Unreachable {
        /// URL of peatdeck-admin.
        admin: String,
        /// What went wrong.
        cause: String,
    },
    /// No complete response arrived.
    #[error("peatdeck-admin at {admin} sent no complete response: {cause}")]
    #[diagnostic(help("{remedy}"))]
    NoAnswer {
        /// URL of peatdeck-admin.
        admin: String,
        /// What went wrong.
        cause: String,
        /// How to proceed.
        remedy: String,
        /// Whether the request may have taken effect.
        is_uncertain: bool,
    },
    /// A value cannot be converted from or to its text form.
    #[error("a message of the administration API is unreadable: {cause}")]
    #[diagnostic(help("check that peatdeck and peatdeck-admin are of the same version"))]
    Unreadable {
        /// The parser's or serialiser's error.
        cause: String,
    },
    /// peatdeck-admin returned an error.
    #[error("{} ({})", .0.message, .0.code)]
    #[diagnostic(help("{}", .0.remedy))]
    Api(Box<ApiError>),
}

impl Error {
    /// The exit code of the process for this error.
    pub fn code(&self) -> exit::Code {
        match self {
            Error::NoToken => exit::Code::Usage,
            Error::File { .. } | Error::Write { .. } | Error::Unreachable { .. } => {
                exit::Code::Failed
            }
            Error::Trace { .. } | Error::RequestNotFound { .. } => exit::Code::Failed,
            Error::Instance { .. } | Error::NotQuarantined { .. } => exit::Code::Failed,
            Error::Source(_) => exit::Code::Invalid,
            Error::NoAnswer { is_uncertain: true, .. } => exit::Code::Unknown,
            Error::NoAnswer { .. } | Error::Unreadable { .. } => exit::Code::Failed,
            Error::Api(error) => api_code(error),
        }
    }
}

fn api_code(error: &ApiError) -> exit::Code {
    match (&error.detail, &*error.code) {
        (Some(ErrorDetail::Invalid { .. }), _) => exit::Code::Invalid,
        (Some(ErrorDetail::Conflict(_)), _) => exit::Code::Conflict,
        (Some(ErrorDetail::Unknown { .. }), _) | (None, "unknown") => exit::Code::Unknown,
        (None, _) => exit::Code::Failed,
    }
}
