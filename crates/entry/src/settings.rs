//! Settings from flags and environment variables.
//!
//! Each flag has an environment variable; the flag takes precedence. Parsing
//! keeps all values as text, so that [`Flags::check`] can report all problems
//! at once, each with its remedy, before anything starts.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use peatdeck_core::{
    instance::{self, input::Identity},
    model::Incarnation,
};
use peatdeck_macros::data;
use peatdeck_util::{
    logging,
    settings::{Check, Problems},
};

use crate::trace;

mod check;
mod flags;

pub use self::flags::{Flags, parser};

/// The largest value of `--max-body`.
const MAX_MAX_BODY: usize = 64 << 20;
/// The smallest value of `--max-header`.
const MIN_MAX_HEADER: usize = 1 << 10;
/// The largest value of `--max-header`.
const MAX_MAX_HEADER: usize = 1 << 20;
/// The largest value of `--max-connections`.
const MAX_MAX_CONNECTIONS: usize = 1_000_000;
/// The largest value of `--idle-timeout`, in seconds.
const MAX_IDLE_SECONDS: u16 = 3_600;
/// The largest value of `--connect-timeout`, in milliseconds.
const MAX_CONNECT_MS: u64 = 60_000;
/// The largest value of `--retention` and `--horizon`, in seconds: a year.
const MAX_RETENTION_SECONDS: u64 = 366 * 24 * 60 * 60;
/// The largest value of `--grace`, in milliseconds.
const MAX_GRACE_MS: u64 = 600_000;
/// Default of `--max-body`, in bytes.
const DEFAULT_MAX_BODY: usize = 1 << 20;
/// Default of `--max-header`, in bytes.
const DEFAULT_MAX_HEADER: usize = 16 << 10;
/// Default of `--max-connections`.
const DEFAULT_MAX_CONNECTIONS: usize = 4_096;
/// Default of `--idle-timeout`, in seconds.
const DEFAULT_IDLE_SECONDS: u16 = 30;
/// Default of `--connect-timeout`, in milliseconds.
const DEFAULT_CONNECT_MS: u64 = 1_000;

/// Validated settings of an entry instance.
#[data]
pub struct Settings {
    /// Name, incarnation and data centre of this instance.
    pub identity: Identity,
    /// The address on which callers connect.
    pub listen: SocketAddr,
    /// The address on which peers connect.
    pub peer_listen: SocketAddr,
    /// Address of the log service, as `ip:port`.
    pub log: Arc<str>,
    /// Address of the instance list, as `ip:port`.
    pub list: Arc<str>,
    /// Limits for callers' connections and requests.
    pub limits: Limits,
    /// Timeout for connecting to an endpoint or the platform.
    pub connect_timeout: Duration,
    /// Settings of the state machine.
    pub instance: instance::settings::Settings,
    /// Address to which metrics are sent over UDP; `None` disables them.
    pub statsd: Option<SocketAddr>,
    /// Where the state machine's inputs are recorded; `None` disables recording.
    pub trace: Option<trace::Settings>,
    /// Format of the log lines.
    pub log_format: logging::Format,
    /// Filter directive that selects the log lines.
    pub log_filter: String,
}

/// Limits for callers' connections and requests.
#[data]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum size of a request header, in bytes.
    pub header: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Time after which an idle or stalled connection is closed.
    pub idle: Duration,
}

impl Flags {
    /// Parses and validates all values.
    ///
    /// # Errors
    /// [`Problems`] with every setting that is wrong, not only the first.
    pub fn check(&self) -> Result<Settings, Problems> {
        let mut check = Check::new("peatdeck-entry");
        let settings = Settings {
            identity: Identity {
                name: check.name("--name", self.name.as_deref()),
                incarnation: Incarnation(check.number(
                    "--incarnation",
                    self.incarnation.as_deref(),
                    wall_millis(),
                    1..=u64::MAX,
                )),
                data_centre: check.name("--data-centre", self.data_centre.as_deref()),
            },
            listen: check.addr("--listen", self.listen.as_deref()),
            peer_listen: check.addr("--peer-listen", self.peer_listen.as_deref()),
            log: check.remote_addr("--log", self.log.as_deref()),
            list: check.remote_addr("--list", self.list.as_deref()),
            limits: Limits {
                body: check.number(
                    "--max-body",
                    self.max_body.as_deref(),
                    DEFAULT_MAX_BODY,
                    1..=MAX_MAX_BODY,
                ),
                header: check.number(
                    "--max-header",
                    self.max_header.as_deref(),
                    DEFAULT_MAX_HEADER,
                    MIN_MAX_HEADER..=MAX_MAX_HEADER,
                ),
                connections: check.number(
                    "--max-connections",
                    self.max_connections.as_deref(),
                    DEFAULT_MAX_CONNECTIONS,
                    1..=MAX_MAX_CONNECTIONS,
                ),
                idle: Duration::from_secs(u64::from(check.number(
                    "--idle-timeout",
                    self.idle_timeout.as_deref(),
                    DEFAULT_IDLE_SECONDS,
                    1..=MAX_IDLE_SECONDS,
                ))),
            },
            connect_timeout: Duration::from_millis(check.number(
                "--connect-timeout",
                self.connect_timeout.as_deref(),
                DEFAULT_CONNECT_MS,
                1..=MAX_CONNECT_MS,
            )),
            instance: self.instance(&mut check),
            statsd: self.statsd.as_deref().map(|text| check.addr("--statsd", Some(text))),
            trace: self.trace(&mut check),
            log_format: check.format("--log-format", self.log_format.as_deref()),
            log_filter: self.log_filter.clone().unwrap_or_else(default_filter),
        };
        check::distinct_addresses(&mut check, &settings);
        check.finish(settings)
    }

    fn trace(&self, check: &mut Check) -> Option<trace::Settings> {
        let content = check::content(check, self.trace_content.as_deref());
        let file = self.trace.as_deref().filter(|file| !file.is_empty())?;
        Some(trace::Settings { file: file.into(), content })
    }

    fn instance(&self, check: &mut Check) -> instance::settings::Settings {
        let default = instance::settings::Settings::default();
        let seconds = |check: &mut Check, flag, value: &Option<String>, default: Duration| {
            Duration::from_secs(check.number(
                flag,
                value.as_deref(),
                default.as_secs(),
                1..=MAX_RETENTION_SECONDS,
            ))
        };
        instance::settings::Settings {
            decisions: check::decisions(check, self.decisions.as_deref(), self.without.as_deref()),
            retention: seconds(check, "--retention", &self.retention, default.retention),
            horizon: seconds(check, "--horizon", &self.horizon, default.horizon),
            grace: Duration::from_millis(check.number(
                "--grace",
                self.grace.as_deref(),
                u64::try_from(default.grace.as_millis()).unwrap_or(u64::MAX),
                0..=MAX_GRACE_MS,
            )),
            ..default
        }
    }
}

fn default_filter() -> String {
    logging::DEFAULT_FILTER.to_owned()
}

fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
