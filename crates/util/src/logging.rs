//! Structured logs on standard error, as text or JSON.
//!
//! Counters tell how often something happens; a line is for a change of state
//! only, and never holds a caller's content.

use std::{
    io::{self, IsTerminal},
    str::FromStr,
};

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
