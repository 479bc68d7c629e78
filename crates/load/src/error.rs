//! Errors of the tool. Each message says how to resolve the error.

use std::sync::Arc;

/// An error of the tool.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// A workload file is invalid.
    #[error("the workload cannot be used: {0}; correct the TOML file given with --workload")]
    Workload(String),
    /// A line of a trace is invalid.
    #[error(
        "line {line} of the trace cannot be read: {message}; correct the line, or record the trace again with `peatdeck-load record`"
    )]
    Trace {
        /// Line number, from 1.
        line: usize,
        /// The reason.
        message: String,
    },
    /// The description of a fault is invalid.
    #[error("fault `{given}` cannot be read: {message}; write it as {usage}")]
    Fault {
        /// The description as given.
        given: String,
        /// The reason.
        message: String,
        /// The expected form.
        usage: &'static str,
    },
    /// A schedule file is invalid.
    #[error(
        "the fault schedule cannot be read: {0}; give each fault as `[[fault]]` with `at`, `kind` and what the kind needs (see docs/reference/load.md)"
    )]
    Schedule(String),
    /// A fault can only be injected into a system that the tool started.
    #[error(
        "fault `{0}` needs a system that the tool has started; give --preset instead of --entry"
    )]
    NeedsPreset(String),
    /// A fault names an endpoint that the system does not have.
    #[error("fault `{fault}` names `{name}`, which the system does not have; use one of: {known}")]
    UnknownTarget {
        /// Kind of the fault.
        fault: String,
        /// The name as given.
        name: String,
        /// The existing names, separated by commas.
        known: String,
    },
    /// No preset has the given name.
    #[error("there is no preset `{name}`; use one of: {known}, or a path to a preset's TOML file")]
    UnknownPreset {
        /// The name as given.
        name: String,
        /// The existing names, separated by commas.
        known: String,
    },
    /// A preset file is invalid.
    #[error("the preset cannot be used: {0}; correct its TOML")]
    Preset(String),
    /// A file cannot be read or written.
    #[error("{path}: {source}; check the path and its permissions")]
    File {
        /// Path of the file.
        path: String,
        /// The reason.
        source: std::io::Error,
    },
    /// A system could not be started.
    #[error(
        "the system could not be started: {0}; build all binaries first (`cargo build --release --workspace`) and run this one from beside them"
    )]
    Start(String),
    /// A request to a process of the system failed, or the process could not be killed.
    #[error("{what} failed: {message}; look at the process's own log, given with --logs")]
    Control {
        /// The operation, such as `GET URL`.
        what: String,
        /// The reason.
        message: String,
    },
    /// Arguments contradict each other or are out of range.
    #[error("{problem}; {remedy}")]
    Setting {
        /// The problem.
        problem: String,
        /// How to resolve it.
        remedy: Arc<str>,
    },
    /// Answers contradict the endpoints' own records.
    #[error(
        "{0} contradictions between answers and the endpoints' records; they are listed above, file an issue with the seed"
    )]
    Violations(usize),
}

/// Result of an operation of the tool.
pub type Result<T> = std::result::Result<T, Error>;
