//! Flags and environment variables, as text that is not yet validated.

use bpaf::{OptionParser, Parser, construct};
use peatdeck_macros::data;
use peatdeck_util::settings::text;

/// Values of the flags and environment variables, as text.
#[data]
#[derive(Default)]
pub struct Flags {
    /// Name of the instance in the platform's list.
    pub name: Option<String>,
    /// The address on which callers connect.
    pub listen: Option<String>,
    /// The address on which peers connect.
    pub peer_listen: Option<String>,
    /// Data centre of the instance.
    pub data_centre: Option<String>,
    /// Address of the log service.
    pub log: Option<String>,
    /// Address of the instance list.
    pub list: Option<String>,
    /// Incarnation of the process.
    pub incarnation: Option<String>,
    /// Maximum size of a request body, in bytes.
    pub max_body: Option<String>,
    /// Maximum size of a request header, in bytes.
    pub max_header: Option<String>,
    /// Maximum number of open connections of callers.
    pub max_connections: Option<String>,
    /// Idle timeout of a connection, in seconds.
    pub idle_timeout: Option<String>,
    /// Timeout for connecting to an endpoint or the platform, in milliseconds.
    pub connect_timeout: Option<String>,
    /// Name of the set of decisions.
    pub decisions: Option<String>,
    /// Decisions that are switched off, separated by commas.
    pub without: Option<String>,
    /// How long the log keeps records, in seconds.
    pub retention: Option<String>,
    /// How long the key of a non-idempotent request is protected, in seconds.
    pub horizon: Option<String>,
    /// How long a stopping instance still accepts requests, in milliseconds.
    pub grace: Option<String>,
    /// Address to which metrics are sent over UDP.
    pub statsd: Option<String>,
    /// File in which the state machine's inputs are recorded.
    pub trace: Option<String>,
    /// How callers' texts are recorded in the trace.
    pub trace_content: Option<String>,
    /// Format of the log lines.
    pub log_format: Option<String>,
    /// Filter directive that selects the log lines.
    pub log_filter: Option<String>,
}

/// The parser of the command line and its environment variables.
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
        "Incarnation of this process, larger after each restart [default: wall clock in ms]",
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
        "Maximum number of open connections of callers [default: 4096]",
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
    let trace = text(
        "trace",
        "PEATDECK_TRACE",
        "FILE",
        "Record every input into this new file, for tests and incidents [default: nowhere]",
    );
    let trace_content = text(
        "trace-content",
        "PEATDECK_TRACE_CONTENT",
        "HOW",
        "Callers' texts in the trace: `hash`, or `keep` as they are [default: hash]",
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
        trace,
        trace_content,
        log_format,
        log_filter,
    })
    .to_options()
    .descr("Entry instance of peatdeck: serves callers and runs their pipelines")
    .footer(EXAMPLES)
    .version(env!("CARGO_PKG_VERSION"))
}

/// Footer of `--help`. The line with a single space keeps the heading on a line of
/// its own.
const EXAMPLES: &str = "Examples:\n \
    \n    peatdeck-entry --name entry-1 --data-centre north --listen 10.0.0.5:8080 \\
        --peer-listen 10.0.0.5:8081 --log 10.0.1.1:7000 --list 10.0.1.1:7001
    PEATDECK_NAME=entry-1 PEATDECK_LOG=10.0.1.1:7000 … peatdeck-entry --log-format json";
