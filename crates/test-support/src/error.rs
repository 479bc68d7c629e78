//! What can go wrong with processes under test.

use std::{io, path::PathBuf, time::Duration};

/// Any failure of the fixtures.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A binary was not built.
    #[error("there is no binary {}; build all of them with `cargo build --workspace`", .0.display())]
    NotBuilt(PathBuf),
    /// A process could not be started, signalled or waited for.
    #[error("process {name}: {source}; check the limits on processes and memory")]
    Process {
        /// The process.
        name: String,
        /// Why.
        source: io::Error,
    },
    /// A process said nothing that was waited for.
    #[error("process {name} did not print `{prefix}`; its last lines of log are:\n{log}")]
    MissingLine {
        /// The process.
        name: String,
        /// The start of the line that was waited for.
        prefix: String,
        /// The end of its standard error.
        log: String,
    },
    /// An event did not come.
    #[error(
        "{what} did not come within {timeout:?}; look at the logs of the processes, or raise the timeout"
    )]
    Timeout {
        /// The event.
        what: String,
        /// The bound.
        timeout: Duration,
    },
    /// A call failed.
    #[error("{what} failed: {cause}; check that the process runs")]
    Http {
        /// The call.
        what: String,
        /// Why.
        cause: String,
    },
    /// A call was answered by another status than success.
    #[error("{what} was answered with status {status}: {body}; the body says what to do")]
    Status {
        /// The call.
        what: String,
        /// The status.
        status: u16,
        /// The body.
        body: String,
    },
    /// Nothing of that name runs.
    #[error("there is no process named `{0}`; use a name that was given to the builder")]
    Unknown(String),
    /// The administration process was not asked for.
    #[error("there is no administration process; ask the builder for one")]
    NoAdmin,
}

/// A result of the fixtures.
pub type Result<T> = std::result::Result<T, Error>;
