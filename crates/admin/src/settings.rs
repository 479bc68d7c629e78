//! Flags and environment variables.
//!
//! All values are read as text and then checked together, so that one start
//! reports every problem. The token is read from the environment only, because
//! a flag would be visible in the process list.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bpaf::{OptionParser, Parser, construct};
use peatdeck_macros::data;
use peatdeck_util::{
    logging,
    secret::Secret,
    settings::{Check, Problems, text},
};

use crate::{auth::MIN_TOKEN_BYTES, context::Timeouts};

/// The environment variable that holds the operators' token.
pub const TOKEN_VARIABLE: &str = "PEATDECK_ADMIN_TOKEN";
/// Default of `--listen`.
const DEFAULT_LISTEN: &str = "127.0.0.1:7300";
/// Maximum of `--in-force-ms`.
const MAX_IN_FORCE_MS: u64 = 60_000;

/// The flags and environment variables as unchecked text; `None` if not set.
#[data]
#[derive(Default)]
pub struct Flags {
    /// Address to serve the API on.
    pub listen: Option<String>,
    /// Address of the platform's log.
    pub log: Option<String>,
    /// Address of the platform's list.
    pub list: Option<String>,
    /// How long a publish waits for the instances, in milliseconds.
    pub in_force_ms: Option<String>,
    /// Address that metrics are sent to.
    pub statsd: Option<String>,
    /// Format of log lines.
    pub log_format: Option<String>,
    /// Filter of log lines.
    pub log_filter: Option<String>,
}

/// The checked settings.
#[data]
pub struct Settings {
    /// Address to serve the API on.
    pub listen: SocketAddr,
    /// Address of the platform's log, `ip:port`.
    pub log: Arc<str>,
    /// Address of the platform's list, `ip:port`.
    pub list: Arc<str>,
    /// The operators' token.
    pub token: Secret,
    /// Time limits of the operations.
    pub timeouts: Timeouts,
    /// Address that metrics are sent to; `None` sends none.
    pub statsd: Option<SocketAddr>,
    /// Format of log lines.
    pub log_format: logging::Format,
    /// Filter of log lines.
    pub log_filter: String,
}

/// The parser of the command line.
pub fn options() -> OptionParser<Flags> {
    let listen = text(
        "listen",
        "PEATDECK_LISTEN",
        "IP:PORT",
        "Address to serve operators on [default: 127.0.0.1:7300]",
    );
    let log = text("log", "PEATDECK_LOG", "IP:PORT", "Address of the platform's log");
    let list = text("list", "PEATDECK_LIST", "IP:PORT", "Address of the platform's list");
    let in_force_ms = text(
        "in-force-ms",
        "PEATDECK_IN_FORCE_MS",
        "MS",
        "How long a publish waits for the instances to have it in force, in milliseconds [default: 8000]",
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
        "Which log lines are written, such as `peatdeck_admin=debug,warn` [default: info, less of the HTTP library]",
    );
    construct!(Flags { listen, log, list, in_force_ms, statsd, log_format, log_filter })
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
/// [`Problems`] with every invalid or missing setting.
pub fn check(flags: &Flags, token: Option<String>) -> Result<Settings, Problems> {
    let mut check = Check::new("peatdeck-admin");
    let default = Timeouts::default();
    let settings = Settings {
        listen: check.addr("--listen", Some(flags.listen.as_deref().unwrap_or(DEFAULT_LISTEN))),
        log: check.remote_addr("--log", flags.log.as_deref()),
        list: check.remote_addr("--list", flags.list.as_deref()),
        statsd: flags.statsd.as_deref().map(|text| check.addr("--statsd", Some(text))),
        timeouts: Timeouts {
            in_force: Duration::from_millis(check.number(
                "--in-force-ms",
                flags.in_force_ms.as_deref(),
                u64::try_from(default.in_force.as_millis()).unwrap_or(MAX_IN_FORCE_MS),
                0..=MAX_IN_FORCE_MS,
            )),
            ..default
        },
        log_format: check.format("--log-format", flags.log_format.as_deref()),
        log_filter: flags.log_filter.clone().unwrap_or_else(|| logging::DEFAULT_FILTER.to_owned()),
        token: check_token(&mut check, token),
    };
    check.finish(settings)
}

fn check_token(check: &mut Check, token: Option<String>) -> Secret {
    let message = match token {
        Some(token) if token.len() >= MIN_TOKEN_BYTES => return token.into(),
        Some(_) => format!("the token has fewer than {MIN_TOKEN_BYTES} bytes"),
        None => "no token is set; without one, anyone could publish".to_owned(),
    };
    let remedy = "set it to a long random text, such as the output of `openssl rand -hex 32`";
    check.report(TOKEN_VARIABLE, message, remedy);
    Secret::from("")
}
