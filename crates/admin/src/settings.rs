//! Flags and environment variables.
//!
//! Everything is read as text first and then checked as a whole, so that one
//! start reports all problems. The token comes from the environment only: a
//! flag would show in the list of processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bpaf::{OptionParser, Parser, construct};
use peatdeck_macros::data;
use peatdeck_util::{
    logging,
    settings::{Check, Problems, text},
};

use crate::{auth::MIN_TOKEN_BYTES, context::Timeouts};

/// The environment variable that holds the operators' token.
pub const TOKEN_VARIABLE: &str = "PEATDECK_ADMIN_TOKEN";
/// Where operators connect, where nothing is set.
const DEFAULT_LISTEN: &str = "127.0.0.1:7300";
/// The longest wait for the instances that may be set, in milliseconds.
const MAX_IN_FORCE_MS: u64 = 60_000;

/// What the command line and the environment say, as text.
#[data]
#[derive(Default)]
pub struct Flags {
    /// Where operators connect.
    pub listen: Option<String>,
    /// The log's address.
    pub log: Option<String>,
    /// The list's address.
    pub list: Option<String>,
    /// How long a publish waits for the instances.
    pub in_force_ms: Option<String>,
    /// Where metrics go.
    pub statsd: Option<String>,
    /// How log lines are written.
    pub log_format: Option<String>,
    /// Which log lines are written.
    pub log_filter: Option<String>,
}

/// Settings that were checked.
#[data]
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
    pub timeouts: Timeouts,
    /// Where metrics go; off if not set.
    pub statsd: Option<SocketAddr>,
    /// How log lines are written.
    pub log_format: logging::Format,
    /// Which log lines are written.
    pub log_filter: String,
}

/// The command line.
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
/// [`Problems`] with everything that is wrong.
pub fn check(flags: &Flags, token: Option<String>) -> Result<Settings, Problems> {
    let mut check = Check::new("peatdeck-admin");
    let default = Timeouts::default();
    let settings = Settings {
        listen: check.addr("--listen", Some(flags.listen.as_deref().unwrap_or(DEFAULT_LISTEN))),
        log: check.remote("--log", flags.log.as_deref()),
        list: check.remote("--list", flags.list.as_deref()),
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

fn check_token(check: &mut Check, token: Option<String>) -> Arc<str> {
    let message = match token {
        Some(token) if token.len() >= MIN_TOKEN_BYTES => return token.into(),
        Some(_) => format!("the token has fewer than {MIN_TOKEN_BYTES} bytes"),
        None => "no token is set, and without one anybody could publish".to_owned(),
    };
    let remedy = "set it to a long random text, such as the output of `openssl rand -hex 32`";
    check.report(TOKEN_VARIABLE, message, remedy);
    Arc::from("")
}
