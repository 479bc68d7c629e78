//! Structured logs, as text or JSON.
//!
//! [`start`] is for programs whose lines are few: changes of state, on standard
//! error. [`start_bounded`] is for those that write a line for each decision,
//! on standard output. No line holds a caller's content.

use std::{
    io::{self, IsTerminal},
    str::FromStr,
};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, fmt};

/// Log filter where none is set. The HTTP library logs each of its steps as
/// info; they are not changes of state of the process.
pub const DEFAULT_FILTER: &str =
    "info,ntex_net=warn,ntex_rt=warn,ntex_server=warn,ntex_service=warn";

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// A log format that does not exist.
#[derive(Debug, thiserror::Error)]
#[error("unknown log format `{0}`; use `text` or `json`")]
pub struct UnknownFormat(String);

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(name: &str) -> Result<Format, UnknownFormat> {
        match name {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(UnknownFormat(other.to_owned())),
        }
    }
}

/// Starts logging for the process. `filter` is a directive such as `info` or
/// `peatdeck_entry=debug,warn`; one that cannot be read counts as `info`.
pub fn start(format: Format, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = fmt().with_env_filter(filter).with_writer(io::stderr);
    let builder = builder.with_ansi(io::stderr().is_terminal());
    match format {
        Format::Text => builder.init(),
        Format::Json => builder.json().init(),
    }
}

/// Lines that may wait to be written. At 400 bytes a line this is 1.6 MB.
const WAITING_LINES: usize = 4096;

/// Logs that are written by a thread of their own. Dropping it writes what
/// still waits.
pub struct Bounded {
    dropped: ErrorCounter,
    _guard: WorkerGuard,
}

impl Bounded {
    /// Lines that were dropped because too many waited.
    pub fn dropped(&self) -> u64 {
        self.dropped.dropped_lines() as u64
    }
}

/// Starts logging for the process as JSON on standard output. Whoever logs
/// never waits: a line that finds the buffer full is dropped and counted.
pub fn start_bounded(filter: &str) -> Bounded {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(WAITING_LINES);
    let (writer, guard) = builder.finish(io::stdout());
    let dropped = writer.error_counter();
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let fields = fmt().with_env_filter(filter).with_writer(writer).json();
    fields.flatten_event(true).with_target(false).init();
    Bounded { dropped, _guard: guard }
}
