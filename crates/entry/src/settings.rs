//! Flags and environment, checked as a whole.
//!
//! Each flag also reads an environment variable; the flag wins. Parsing takes
//! everything as text, so that [`Flags::check`] can report all problems at
//! once, each with its remedy, before anything starts.

use std::{
    fmt::Display,
    net::SocketAddr,
    ops::RangeInclusive,
    str::FromStr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bpaf::{OptionParser, Parser, construct, long};
use miette::Diagnostic;
use peatdeck_core::{
    instance::{self, input::Identity, settings::Decisions},
    model::Incarnation,
};
use peatdeck_macros::data;
use peatdeck_util::logging;

/// Longest name of an instance or a data centre, in bytes.
const MAX_NAME_BYTES: usize = 64;
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
const MAX_KEEP_SECONDS: u64 = 366 * 24 * 60 * 60;
/// The largest value of `--grace`, in milliseconds.
const MAX_GRACE_MS: u64 = 600_000;
/// The longest body, in bytes, where none is set.
const DEFAULT_MAX_BODY: usize = 1 << 20;
/// The longest header, in bytes, where none is set.
const DEFAULT_MAX_HEADER: usize = 16 << 10;
/// Connections held at once, where none is set.
const DEFAULT_MAX_CONNECTIONS: usize = 4_096;
/// Idle time of a connection, in seconds, where none is set.
const DEFAULT_IDLE_SECONDS: u16 = 30;
/// Time to connect to an endpoint, in milliseconds, where none is set.
const DEFAULT_CONNECT_MS: u64 = 1_000;
/// Log filter where none is set. The HTTP library logs each of its steps as
/// info; they are not changes of state of the instance.
const DEFAULT_FILTER: &str = "info,ntex_net=warn,ntex_rt=warn,ntex_server=warn,ntex_service=warn";

/// What the command line and the environment say, as text.
#[data]
#[derive(Default)]
pub struct Flags {
    /// The instance's name.
    pub name: Option<String>,
    /// Where callers connect.
    pub listen: Option<String>,
    /// Where peers connect.
    pub peer_listen: Option<String>,
    /// The data centre.
    pub data_centre: Option<String>,
    /// The log's address.
    pub log: Option<String>,
    /// The list's address.
    pub list: Option<String>,
    /// The process's life.
    pub incarnation: Option<String>,
    /// The longest body.
    pub max_body: Option<String>,
    /// The longest header.
    pub max_header: Option<String>,
    /// Connections held at once.
    pub max_connections: Option<String>,
    /// Idle time of a connection.
    pub idle_timeout: Option<String>,
    /// Time to connect to an endpoint.
    pub connect_timeout: Option<String>,
    /// The set of decisions.
    pub decisions: Option<String>,
    /// Decisions that are switched off.
    pub without: Option<String>,
    /// How long the log keeps records.
    pub retention: Option<String>,
    /// How long a claim is remembered.
    pub horizon: Option<String>,
    /// How long a stopping instance still takes requests.
    pub grace: Option<String>,
    /// Where metrics go.
    pub statsd: Option<String>,
    /// How log lines are written.
    pub log_format: Option<String>,
    /// Which log lines are written.
    pub log_filter: Option<String>,
}

/// Checked settings.
#[data]
pub struct Settings {
    /// Who this instance is.
    pub identity: Identity,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where peers connect.
    pub peer_listen: SocketAddr,
    /// The log's address.
    pub log: Arc<str>,
    /// The list's address.
    pub list: Arc<str>,
    /// Limits towards callers.
    pub limits: Limits,
    /// Time to connect to an endpoint.
    pub connect_timeout: Duration,
    /// Settings of the decisions.
    pub instance: instance::settings::Settings,
    /// Where metrics go, if anywhere.
    pub statsd: Option<SocketAddr>,
    /// How log lines are written.
    pub log_format: logging::Format,
    /// Which log lines are written.
    pub log_filter: String,
}

/// Limits towards callers.
#[data]
pub struct Limits {
    /// The longest body, in bytes.
    pub body: usize,
    /// The longest header, in bytes.
    pub header: usize,
    /// Connections held at once.
    pub connections: usize,
    /// Idle time of a connection.
    pub idle: Duration,
}

/// One setting that is wrong.
#[derive(Debug, Clone, PartialEq, thiserror::Error, Diagnostic)]
#[error("{flag}: {message}")]
pub struct Problem {
    flag: String,
    message: String,
    #[help]
    remedy: String,
}

/// All settings that are wrong.
#[derive(Debug, Clone, PartialEq, thiserror::Error, Diagnostic)]
#[error("{} of the settings cannot be used; nothing was started", .problems.len())]
#[diagnostic(help("run `peatdeck-entry --help` for all settings with examples"))]
pub struct Problems {
    /// Each of them.
    #[related]
    pub problems: Vec<Problem>,
}

/// The command line.
pub fn parser() -> OptionParser<Flags> {
    let name = text("name", "PEATDECK_NAME", "NAME", "Name of this instance in the list");
    let listen = text("listen", "PEATDECK_LISTEN", "IP:PORT", "Where callers connect");
    let peer_listen =
        text("peer-listen", "PEATDECK_PEER_LISTEN", "IP:PORT", "Where other instances connect");
    let data_centre =
        text("data-centre", "PEATDECK_DATA_CENTRE", "NAME", "Data centre of this instance");
    let log = text("log", "PEATDECK_LOG", "IP:PORT", "The platform's log service");
    let list = text("list", "PEATDECK_LIST", "IP:PORT", "The platform's instance list");
    let incarnation = text(
        "incarnation",
        "PEATDECK_INCARNATION",
        "N",
        "Life of this process, larger after each restart [default: wall clock in ms]",
    );
    let max_body =
        text("max-body", "PEATDECK_MAX_BODY", "BYTES", "Longest request body [default: 1048576]");
    let max_header = text(
        "max-header",
        "PEATDECK_MAX_HEADER",
        "BYTES",
        "Longest request header [default: 16384]",
    );
    let max_connections = text(
        "max-connections",
        "PEATDECK_MAX_CONNECTIONS",
        "N",
        "Callers' connections held at once [default: 4096]",
    );
    let idle_timeout = text(
        "idle-timeout",
        "PEATDECK_IDLE_TIMEOUT",
        "SECONDS",
        "Time after which an idle or stalled connection is closed [default: 30]",
    );
    let connect_timeout = text(
        "connect-timeout",
        "PEATDECK_CONNECT_TIMEOUT",
        "MS",
        "Time to connect to an endpoint or the platform [default: 1000]",
    );
    let decisions = text(
        "decisions",
        "PEATDECK_DECISIONS",
        "SET",
        "`full`, or `plain` for the baseline of experiments [default: full]",
    );
    let without = text(
        "without",
        "PEATDECK_WITHOUT",
        "NAMES",
        "Decisions to switch off, for experiments, such as `hedging,affinity`",
    );
    let retention = text(
        "retention",
        "PEATDECK_RETENTION",
        "SECONDS",
        "How long the log keeps records [default: 86400]",
    );
    let horizon = text(
        "horizon",
        "PEATDECK_HORIZON",
        "SECONDS",
        "How long the key of a non-idempotent request is protected [default: 3600]",
    );
    let grace = text(
        "grace",
        "PEATDECK_GRACE",
        "MS",
        "How long a stopping instance still takes requests [default: 2000]",
    );
    let statsd = text(
        "statsd",
        "PEATDECK_STATSD",
        "IP:PORT",
        "Where metrics are sent over UDP [default: nowhere]",
    );
    let log_format =
        text("log-format", "PEATDECK_LOG_FORMAT", "FORMAT", "`text` or `json` [default: text]");
    let log_filter = text(
        "log-filter",
        "PEATDECK_LOG_FILTER",
        "FILTER",
        "Which log lines are written, such as `peatdeck_entry=debug,warn` [default: info, less of the HTTP library]",
    );
    construct!(Flags {
        name,
        listen,
        peer_listen,
        data_centre,
        log,
        list,
        incarnation,
        max_body,
        max_header,
        max_connections,
        idle_timeout,
        connect_timeout,
        decisions,
        without,
        retention,
        horizon,
        grace,
        statsd,
        log_format,
        log_filter,
    })
    .to_options()
    .descr("Entry instance of peatdeck: serves callers and runs their pipelines")
    .footer(EXAMPLES)
    .version(env!("CARGO_PKG_VERSION"))
}

const EXAMPLES: &str = "Examples:\n 
    peatdeck-entry --name entry-1 --data-centre north --listen 10.0.0.5:8080 \\
        --peer-listen 10.0.0.5:8081 --log 10.0.1.1:7000 --list 10.0.1.1:7001
    PEATDECK_NAME=entry-1 PEATDECK_LOG=10.0.1.1:7000 … peatdeck-entry --log-format json";

fn text(
    flag: &'static str,
    variable: &'static str,
    value: &'static str,
    help: &'static str,
) -> impl Parser<Option<String>> {
    long(flag).env(variable).help(help).argument::<String>(value).optional()
}

impl Flags {
    /// Checks everything.
    ///
    /// # Errors
    /// [`Problems`] with every setting that is wrong, not only the first.
    pub fn check(&self) -> Result<Settings, Problems> {
        let mut check = Check::default();
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
            log: check.remote("--log", self.log.as_deref()),
            list: check.remote("--list", self.list.as_deref()),
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
            log_format: check.format(self.log_format.as_deref()),
            log_filter: self.log_filter.clone().unwrap_or_else(|| DEFAULT_FILTER.to_owned()),
        };
        check.distinct(&settings);
        match check.problems.is_empty() {
            true => Ok(settings),
            false => Err(Problems { problems: check.problems }),
        }
    }

    fn instance(&self, check: &mut Check) -> instance::settings::Settings {
        let default = instance::settings::Settings::default();
        let seconds = |check: &mut Check, flag, value: &Option<String>, default: Duration| {
            Duration::from_secs(check.number(
                flag,
                value.as_deref(),
                default.as_secs(),
                1..=MAX_KEEP_SECONDS,
            ))
        };
        instance::settings::Settings {
            decisions: check.decisions(self.decisions.as_deref(), self.without.as_deref()),
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

/// Collects problems. A wrong setting gets a stand-in value, so that the
/// others are still checked; the stand-in is never used.
#[derive(Default)]
struct Check {
    problems: Vec<Problem>,
}

impl Check {
    fn report(&mut self, flag: &str, message: impl Into<String>, remedy: impl Into<String>) {
        let (flag, message, remedy) = (flag.to_owned(), message.into(), remedy.into());
        self.problems.push(Problem { flag, message, remedy });
    }

    fn name(&mut self, flag: &str, value: Option<&str>) -> Arc<str> {
        let Some(name) = value.filter(|name| !name.is_empty()) else {
            self.report(flag, "is missing", format!("give {flag} or set {}", variable(flag)));
            return Arc::from("");
        };
        let is_plain = name.chars().all(|char| char.is_ascii_graphic());
        if name.len() > MAX_NAME_BYTES || !is_plain {
            self.report(
                flag,
                format!("`{}` is not a name", name.escape_debug()),
                format!("use at most {MAX_NAME_BYTES} printable ASCII characters, no spaces"),
            );
        }
        Arc::from(name)
    }

    fn decisions(&mut self, set: Option<&str>, without: Option<&str>) -> Decisions {
        let mut decisions = match set {
            None | Some("" | "full") => Decisions::full(),
            Some("plain") => Decisions::plain(),
            Some(other) => {
                let message = format!("`{}` is not a set of decisions", other.escape_debug());
                self.report("--decisions", message, "use `full` or `plain`");
                Decisions::full()
            }
        };
        let names = without.unwrap_or_default().split(',').filter(|name| !name.is_empty());
        for name in names {
            if !decisions.switch_off(name) {
                let message = format!("`{}` is not a decision", name.escape_debug());
                self.report(
                    "--without",
                    message,
                    format!("use some of {}", Decisions::NAMES.join(",")),
                );
            }
        }
        decisions
    }

    fn addr(&mut self, flag: &str, value: Option<&str>) -> SocketAddr {
        let any = SocketAddr::from(([0, 0, 0, 0], 0));
        let Some(text) = value.filter(|text| !text.is_empty()) else {
            self.report(flag, "is missing", format!("give {flag} or set {}", variable(flag)));
            return any;
        };
        // The platform's services speak plain HTTP; its scheme may be written out.
        match text.strip_prefix("http://").unwrap_or(text).parse() {
            Ok(addr) => addr,
            Err(_) => {
                self.report(
                    flag,
                    format!("`{}` is not an address", text.escape_debug()),
                    "use an IP number and a port, such as 10.0.0.5:8080",
                );
                any
            }
        }
    }

    fn remote(&mut self, flag: &str, value: Option<&str>) -> Arc<str> {
        let before = self.problems.len();
        let addr = self.addr(flag, value);
        if addr.port() == 0 && self.problems.len() == before {
            self.report(flag, "has port 0, which nothing can listen on", "give the service's port");
        }
        Arc::from(addr.to_string())
    }

    fn number<N>(
        &mut self,
        flag: &str,
        value: Option<&str>,
        default: N,
        range: RangeInclusive<N>,
    ) -> N
    where
        N: FromStr + PartialOrd + Display + Copy,
    {
        let Some(text) = value else { return default };
        match text.parse() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                self.report(
                    flag,
                    format!("`{}` is not a number that can be used here", text.escape_debug()),
                    format!(
                        "give a whole number from {} to {}, or leave it out",
                        range.start(),
                        range.end()
                    ),
                );
                default
            }
        }
    }

    fn format(&mut self, value: Option<&str>) -> logging::Format {
        let Some(text) = value else { return logging::Format::default() };
        text.parse().unwrap_or_else(|_| {
            self.report(
                "--log-format",
                format!("`{}` is not a log format", text.escape_debug()),
                "use `text` or `json`",
            );
            logging::Format::default()
        })
    }

    fn distinct(&mut self, settings: &Settings) {
        let is_fixed = settings.listen.port() != 0;
        if is_fixed && settings.listen == settings.peer_listen {
            self.report(
                "--peer-listen",
                "is the same address as --listen",
                "give callers and peers different ports",
            );
        }
    }
}

/// The environment variable of a flag.
fn variable(flag: &str) -> String {
    format!("PEATDECK_{}", flag.trim_start_matches('-').replace('-', "_").to_uppercase())
}

fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
