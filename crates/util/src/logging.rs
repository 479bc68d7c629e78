//! Structured logs, as text or JSON.
//!
//! [`init`] is for programs that log few lines, such as changes of state, to
//! standard error. [`init_bounded`] is for programs that log a line for each
//! decision, to standard output. No line contains a caller's content.

use std::{
    io::{self, IsTerminal, Write},
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use tracing::{Level, Metadata};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    EnvFilter,
    fmt::{self, MakeWriter},
};

/// Default log filter. The HTTP library logs each of its steps at level `info`;
/// these are not changes of state of the process and are filtered out.
pub const DEFAULT_FILTER: &str =
    "info,ntex_net=warn,ntex_rt=warn,ntex_server=warn,ntex_service=warn";

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
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

/// Initialises logging for the process. `filter` is a directive such as `info` or
/// `peatdeck_entry=debug,warn`; an invalid one is replaced by `info`.
pub fn init(format: Format, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = fmt::fmt().with_env_filter(filter).with_writer(io::stderr);
    let builder = builder.with_ansi(io::stderr().is_terminal());
    match format {
        Format::Text => builder.init(),
        Format::Json => builder.json().init(),
    }
}

/// Maximum number of lines that wait to be written. At 400 bytes each they take
/// 1.6 MB.
const MAX_BUFFERED_LINES: usize = 4096;
/// Maximum number of lines per second. A deployment of the intended size needs
/// about 10 lines per request at 62 requests a second; the limit is more than twice
/// that, to leave room for incidents.
const MAX_LINES_PER_SECOND: u64 = 1500;

/// How many of these are left to warnings and to lines of [`KEPT_TARGET`].
const RESERVED_LINES_PER_SECOND: u64 = 300;
/// The target of lines without which a request cannot be explained.
pub const KEPT_TARGET: &str = "kept";

/// Handle of the logs of [`init_bounded`], which a separate thread writes.
/// Dropping it writes the buffered lines.
pub struct BoundedLog {
    dropped: DroppedLines,
    _guard: WorkerGuard,
}

/// Number of log lines that were dropped.
#[derive(Clone)]
pub struct DroppedLines {
    unwritten: ErrorCounter,
    limiter: Arc<LineLimiter>,
}

impl DroppedLines {
    /// Lines dropped since the start, because the buffer was full or the rate
    /// limit was exceeded.
    pub fn count(&self) -> u64 {
        self.unwritten.dropped_lines() as u64 + self.limiter.dropped.load(Ordering::Relaxed)
    }
}

impl BoundedLog {
    /// The counter of dropped lines.
    pub fn dropped(&self) -> DroppedLines {
        self.dropped.clone()
    }
}

/// Limits the number of lines per second.
#[derive(Debug)]
pub struct LineLimiter {
    start: Instant,
    limit: u64,
    reserved: u64,
    second: AtomicU64,
    lines: AtomicU64,
    dropped: AtomicU64,
}

impl LineLimiter {
    /// Creates a limiter that allows `limit` lines per second, of which `reserved` are left to
    /// lines that matter most.
    pub fn new(limit: u64, reserved: u64) -> LineLimiter {
        let (second, lines, dropped) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
        LineLimiter { start: Instant::now(), limit, reserved, second, lines, dropped }
    }

    /// Whether one more line may be written, `second` seconds after the start. Those that are
    /// `kept` may use the reserve.
    pub fn try_acquire(&self, second: u64, kept: bool) -> bool {
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let limit = if kept { self.limit } else { self.limit.saturating_sub(self.reserved) };
        let is_allowed = self.lines.load(Ordering::Relaxed) < limit;
        let counter = if is_allowed { &self.lines } else { &self.dropped };
        counter.fetch_add(1, Ordering::Relaxed);
        is_allowed
    }
}

/// Discards the lines that exceed the rate limit.
struct RateLimitedWriter {
    writer: NonBlocking,
    limiter: Arc<LineLimiter>,
}

impl RateLimitedWriter {
    fn writer(&self, kept: bool) -> Box<dyn Write + '_> {
        let second = self.limiter.start.elapsed().as_secs();
        match self.limiter.try_acquire(second, kept) {
            true => Box::new(self.writer.clone()),
            false => Box::new(io::sink()),
        }
    }
}

impl<'a> MakeWriter<'a> for RateLimitedWriter {
    type Writer = Box<dyn Write + 'a>;

    fn make_writer(&'a self) -> Self::Writer {
        self.writer(false)
    }

    fn make_writer_for(&'a self, line: &Metadata<'_>) -> Self::Writer {
        self.writer(*line.level() <= Level::WARN || line.target() == KEPT_TARGET)
    }
}

/// Initialises logging for the process, as JSON to standard output. Logging never
/// blocks: a line that finds the buffer full or exceeds the rate limit is dropped
/// and counted.
pub fn init_bounded(filter: &str) -> BoundedLog {
    let builder =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_BUFFERED_LINES);
    let (writer, guard) = builder.finish(io::stdout());
    let limiter = Arc::new(LineLimiter::new(MAX_LINES_PER_SECOND, RESERVED_LINES_PER_SECOND));
    let dropped = DroppedLines { unwritten: writer.error_counter(), limiter: limiter.clone() };
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let fields = fmt::fmt()
        .with_env_filter(filter)
        .with_writer(RateLimitedWriter { writer, limiter })
        .json();
    fields.flatten_event(true).with_target(false).init();
    BoundedLog { dropped, _guard: guard }
}
