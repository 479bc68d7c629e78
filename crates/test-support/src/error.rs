//! Errors of the fixtures for processes under test.

use std::{io, path::PathBuf, time::Duration};

/// An error of the fixtures.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A program has not been built; holds its name.
    #[error("there is no binary {}; build all of them with `cargo build --workspace`", .0.display())]
    NotBuilt(PathBuf),
    /// A process could not be started, signalled or waited for.
    #[error("process {name}: {source}; check the limits on processes and memory")]
    Process {
        /// Name of the process in its system.
        name: String,
        /// The underlying cause.
        source: io::Error,
    },
    /// A process ended or timed out before it printed an expected line.
    #[error("process {name} did not print `{prefix}`; the last lines of its log are:\n{log}")]
    MissingLine {
        /// Name of the process in its system.
        name: String,
        /// Start of the expected line.
        prefix: String,
        /// The last lines of its standard error.
        log: String,
    },
    /// An event did not occur in time.
    #[error(
        "{what} did not occur within {timeout:?}; check the logs of the processes, or raise the timeout"
    )]
    Timeout {
        /// Description of the event.
        what: String,
        /// How long the test waited.
        timeout: Duration,
    },
    /// An HTTP request failed, or its reply could not be read.
    #[error("{what} failed: {cause}; check that the process runs")]
    Http {
        /// Method and URL of the request.
        what: String,
        /// The underlying cause.
        cause: String,
    },
    /// The status of a reply is not a success.
    #[error("{what} was answered with status {status}: {body}; the body says what to do")]
    Status {
        /// Method and URL of the request.
        what: String,
        /// The HTTP status.
        status: u16,
        /// The reply's body.
        body: String,
    },
    /// The system has no process of that name.
    #[error("there is no process named `{0}`; use a name that was given to the builder")]
    Unknown(String),
    /// The system was built without this administration process.
    #[error("there is no administration process; ask the builder for one")]
    NoAdmin,
}

/// Result of an operation of the fixtures.
pub type Result<T> = std::result::Result<T, Error>;
