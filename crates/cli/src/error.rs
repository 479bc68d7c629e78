//! What can go wrong, with the remedy and the exit code of each kind.

use miette::Diagnostic;
use peatdeck_core::trace;
use peatdeck_wire::admin::{ApiError, ErrorDetail};

use crate::{exit, ops::source};

/// Why a command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// The token is not set.
    #[error("PEATDECK_ADMIN_TOKEN is not set")]
    #[diagnostic(help("set it to the token that peatdeck-admin was started with"))]
    NoToken,
    /// A file could not be read.
    #[error("cannot read {path}: {cause}")]
    #[diagnostic(help("check the path and that the file is text in UTF-8"))]
    File {
        /// The file.
        path: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// A file could not be written.
    #[error("cannot write {path}: {cause}")]
    #[diagnostic(help("check that the directory exists and may be written to"))]
    Write {
        /// The file.
        path: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// A trace could not be replayed.
    #[error("cannot replay {path}: {cause}")]
    #[diagnostic(help("give a file that peatdeck-entry --trace wrote"))]
    Trace {
        /// The file.
        path: String,
        /// What is wrong with it.
        cause: trace::Error,
    },
    /// No log line tells of a request.
    #[error("no line of these files tells of the request {id}")]
    #[diagnostic(help("give the log files of all instances, from before the request came"))]
    RequestNotFound {
        /// The request's id.
        id: String,
    },
    /// A relay instance did not answer as it should.
    #[error("cannot ask the instance at {instance}: {cause}")]
    #[diagnostic(help("give the metrics address of an instance that runs, --at"))]
    Instance {
        /// Where it should be.
        instance: String,
        /// What went wrong.
        cause: String,
    },
    /// A content that is to be released is not held back.
    #[error("{content} is not held back there")]
    #[diagnostic(help("list what is held back with `peatdeck quarantine`, at this instance"))]
    NotQuarantined {
        /// Its fingerprint.
        content: String,
    },
    /// The document is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Source(#[from] source::Error),
    /// peatdeck-admin could not be reached.
    #[error("cannot reach peatdeck-admin at {admin}: {cause}")]
    #[diagnostic(help("check --admin (PEATDECK_ADMIN) and that it runs; nothing was done"))]
    Unreachable {
        /// Where it should be.
        admin: String,
        /// What went wrong.
        cause: String,
    },
    /// No answer came.
    #[error("peatdeck-admin at {admin} gave no whole answer: {cause}")]
    #[diagnostic(help("{remedy}"))]
    NoAnswer {
        /// Where it is.
        admin: String,
        /// What went wrong.
        cause: String,
        /// What to do.
        remedy: String,
        /// Whether something may have taken effect.
        is_uncertain: bool,
    },
    /// Something that should be JSON isn't.
    #[error("a message of the administration API is not readable: {cause}")]
    #[diagnostic(help("check that peatdeck and peatdeck-admin are of the same version"))]
    Unreadable {
        /// What the parser said.
        cause: String,
    },
    /// peatdeck-admin refused.
    #[error("{} ({})", .0.message, .0.code)]
    #[diagnostic(help("{}", .0.remedy))]
    Api(Box<ApiError>),
}

impl Error {
    /// The exit code that goes with it.
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
