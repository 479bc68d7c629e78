//! What can go wrong, each kind with its remedy.

use std::sync::Arc;

/// An error of the tool; the message says what to do.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// A workload that cannot be used.
    #[error("the workload cannot be used: {0}; correct the TOML file given with --workload")]
    Workload(String),
    /// A line of a trace that cannot be read.
    #[error(
        "line {line} of the trace cannot be read: {message}; correct the line, or record the trace again with `peatdeck-load record`"
    )]
    Trace {
        /// The line, from 1.
        line: usize,
        /// Why.
        message: String,
    },
    /// A fault that cannot be read.
    #[error("fault `{given}` cannot be read: {message}; write it as {usage}")]
    Fault {
        /// The text.
        given: String,
        /// Why.
        message: String,
        /// The form it should have.
        usage: &'static str,
    },
    /// A schedule file that cannot be read.
    #[error(
        "the fault schedule cannot be read: {0}; give each fault as `[[fault]]` with `at`, `kind` and what the kind needs (see docs/reference/load.md)"
    )]
    Schedule(String),
    /// A fault needs a system that the tool started.
    #[error(
        "fault `{0}` needs a system that the tool has started; give --preset instead of --entry"
    )]
    NeedsPreset(String),
    /// A fault names what the system does not have.
    #[error("fault `{fault}` names `{name}`, which the system does not have; use one of: {known}")]
    UnknownTarget {
        /// The fault.
        fault: String,
        /// The name.
        name: String,
        /// Names that exist.
        known: String,
    },
    /// A preset that does not exist.
    #[error("there is no preset `{name}`; use one of: {known}, or a path to a preset's TOML file")]
    UnknownPreset {
        /// The name.
        name: String,
        /// Names that exist.
        known: String,
    },
    /// A preset file that cannot be used.
    #[error("the preset cannot be used: {0}; correct its TOML")]
    Preset(String),
    /// A file that cannot be read or written.
    #[error("{path}: {source}; check the path and its permissions")]
    File {
        /// The path.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// A system that could not be started.
    #[error(
        "the system could not be started: {0}; build all binaries first (`cargo build --release --workspace`) and run this one from beside them"
    )]
    Start(String),
    /// A process of the system that did not do what it was asked.
    #[error("{what} failed: {message}; look at the process's own log, given with --logs")]
    Control {
        /// What was asked.
        what: String,
        /// Why.
        message: String,
    },
    /// Settings that contradict each other or are out of range.
    #[error("{problem}; {remedy}")]
    Setting {
        /// What is wrong.
        problem: String,
        /// What to do.
        remedy: Arc<str>,
    },
    /// The answers and the endpoints' own records contradict each other.
    #[error(
        "{0} contradictions between answers and the endpoints' records; they are listed above, file an issue with the seed"
    )]
    Violations(usize),
}

/// What the tool's own operations give.
pub type Result<T> = std::result::Result<T, Error>;
