//! Flags and environment variables.
//!
//! Everything is read as text first and then checked as a whole, so that one
//! start reports all problems. The token comes from the environment only: a
//! flag would show in the list of processes.

use std::{net::SocketAddr, str::FromStr, sync::Arc, time::Duration};

use bpaf::{OptionParser, Parser, construct, long};
use peatdeck_util::logging;

use crate::{auth::MIN_TOKEN_BYTES, context::Bounds};

/// The environment variable that holds the operators' token.
pub const TOKEN_VARIABLE: &str = "PEATDECK_ADMIN_TOKEN";
/// The longest wait for the instances that may be set.
const MAX_IN_FORCE: Duration = Duration::from_secs(60);

/// Log filter where none is set. The HTTP library logs each of its steps as
/// info; they are not changes of state.
const DEFAULT_FILTER: &str = "info,ntex_net=warn,ntex_rt=warn,ntex_server=warn,ntex_service=warn";

/// Settings as they are given, unchecked.
#[derive(Debug, Clone)]
pub struct Raw {
    listen: String,
    log: String,
    list: String,
    in_force_ms: String,
    statsd: Option<String>,
    log_format: String,
    log_filter: String,
}

/// Settings that were checked.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// The platform's log, `ip:port`.
    pub log: Arc<str>,
    /// The platform's list, `ip:port`.
    pub list: Arc<str>,
    /// The operators' token.
    pub token: Arc<str>,
    /// How long things may take.
    pub bounds: Bounds,
    /// Where metrics go; off if not set.
    pub statsd: Option<SocketAddr>,
    /// How log lines are written.
    pub log_format: logging::Format,
    /// Which log lines are written.
    pub log_filter: String,
}

/// One setting that is wrong.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{setting}: {message}")]
#[diagnostic(help("{remedy}"))]
pub struct Problem {
    setting: &'static str,
    message: String,
    remedy: String,
}

/// Every setting that is wrong.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{} setting(s) are wrong; nothing was started", .problems.len())]
pub struct Problems {
    #[related]
    problems: Vec<Problem>,
}

/// The command line.
pub fn options() -> OptionParser<Raw> {
    let listen = long("listen")
        .env("PEATDECK_LISTEN")
        .help("Address to serve operators on")
        .argument::<String>("IP:PORT")
        .fallback("127.0.0.1:7300".to_owned())
        .display_fallback();
    let log = long("log")
        .env("PEATDECK_LOG")
        .help("Address of the platform's log")
        .argument::<String>("IP:PORT");
    let list = long("list")
        .env("PEATDECK_LIST")
        .help("Address of the platform's list")
        .argument::<String>("IP:PORT");
    let in_force_ms = long("in-force-ms")
        .env("PEATDECK_IN_FORCE_MS")
        .help("How long a publish waits for the instances to have it in force, in milliseconds")
        .argument::<String>("MS")
        .fallback("8000".to_owned())
        .display_fallback();
    let statsd = long("statsd")
        .env("PEATDECK_STATSD")
        .help("Where metrics are sent over UDP; nowhere if not given")
        .argument::<String>("IP:PORT")
        .optional();
    let log_format = long("log-format")
        .env("PEATDECK_LOG_FORMAT")
        .help("How log lines are written: text or json")
        .argument::<String>("FORMAT")
        .fallback("text".to_owned())
        .display_fallback();
    let log_filter = long("log-filter")
        .env("PEATDECK_LOG_FILTER")
        .help("Which log lines are written, such as `peatdeck_admin=debug,warn`")
        .argument::<String>("FILTER")
        .fallback(DEFAULT_FILTER.to_owned())
        .display_fallback();
    construct!(Raw { listen, log, list, in_force_ms, statsd, log_format, log_filter })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Administration API of peatdeck: publish, history, drain, status.")
        .footer(
            "The operators' token is read from PEATDECK_ADMIN_TOKEN, which must be set.\n \
             Example:\n   PEATDECK_ADMIN_TOKEN=… peatdeck-admin --log 10.0.0.5:7100 --list 10.0.0.5:7101",
        )
}

/// Checks all settings. `token` is the value of [`TOKEN_VARIABLE`].
///
/// # Errors
/// [`Problems`] with everything that is wrong.
pub fn check(raw: Raw, token: Option<String>) -> Result<Settings, Problems> {
    let mut problems = Vec::new();
    let listen = keep(&mut problems, address("--listen", &raw.listen));
    let log = keep(&mut problems, address("--log", &raw.log));
    let list = keep(&mut problems, address("--list", &raw.list));
    let statsd = raw.statsd.as_deref().map(|text| address("--statsd", text)).transpose();
    let statsd = keep(&mut problems, statsd);
    let in_force = keep(&mut problems, in_force(&raw.in_force_ms));
    let log_format = keep(&mut problems, log_format(&raw.log_format));
    let token = keep(&mut problems, check_token(token));
    let (Some(listen), Some(log), Some(list), Some(statsd)) = (listen, log, list, statsd) else {
        return Err(Problems { problems });
    };
    let (Some(in_force), Some(log_format), Some(token)) = (in_force, log_format, token) else {
        return Err(Problems { problems });
    };
    Ok(Settings {
        listen,
        log: log.to_string().into(),
        list: list.to_string().into(),
        token: token.into(),
        bounds: Bounds { in_force, ..Bounds::default() },
        statsd,
        log_format,
        log_filter: raw.log_filter,
    })
}

fn keep<T>(problems: &mut Vec<Problem>, checked: Result<T, Problem>) -> Option<T> {
    checked.map_err(|problem| problems.push(problem)).ok()
}

fn address(setting: &'static str, text: &str) -> Result<SocketAddr, Problem> {
    SocketAddr::from_str(text).map_err(|_| Problem {
        setting,
        message: format!("`{text}` is not an IP address with a port"),
        remedy: "give it as IP:PORT, such as 10.0.0.5:7100".to_owned(),
    })
}

fn in_force(text: &str) -> Result<Duration, Problem> {
    let parsed = text.parse().map(Duration::from_millis).ok();
    parsed.filter(|wait| *wait <= MAX_IN_FORCE).ok_or_else(|| Problem {
        setting: "--in-force-ms",
        message: format!(
            "`{text}` is not a number of milliseconds up to {}",
            MAX_IN_FORCE.as_millis()
        ),
        remedy: "give a whole number, such as 8000".to_owned(),
    })
}

fn log_format(text: &str) -> Result<logging::Format, Problem> {
    text.parse().map_err(|_| Problem {
        setting: "--log-format",
        message: format!("unknown log format `{text}`"),
        remedy: "use text or json".to_owned(),
    })
}

fn check_token(token: Option<String>) -> Result<String, Problem> {
    let message = match token {
        Some(token) if token.len() >= MIN_TOKEN_BYTES => return Ok(token),
        Some(_) => format!("the token has fewer than {MIN_TOKEN_BYTES} bytes"),
        None => "no token is set, and without one anybody could publish".to_owned(),
    };
    let remedy = "set it to a long random text, such as the output of `openssl rand -hex 32`";
    Err(Problem { setting: TOKEN_VARIABLE, message, remedy: remedy.to_owned() })
}
