//! The environment of a command and its output.

use std::{str::FromStr, time::SystemTime};

use peatdeck_util::secret::Secret;
use serde::Serialize;

use crate::{error::Error, exit};

/// The inputs of a command other than its flags.
#[derive(Debug, Clone)]
pub struct Environment {
    /// The operators' token; `None` if `PEATDECK_ADMIN_TOKEN` is not set.
    pub token: Option<Secret>,
    /// Wall-clock time at the start of the process.
    pub now: SystemTime,
}

/// The output format of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Format {
    /// Text for a terminal.
    #[default]
    Table,
    /// One JSON value, as returned by the API.
    Json,
}

/// The name of an unknown format.
#[derive(Debug, thiserror::Error)]
#[error("unknown format `{0}`; use `table` or `json`")]
pub struct UnknownFormat(String);

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(name: &str) -> Result<Format, UnknownFormat> {
        match name {
            "table" => Ok(Format::Table),
            "json" => Ok(Format::Json),
            other => Err(UnknownFormat(other.to_owned())),
        }
    }
}

/// The result of a command that did not fail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Output {
    /// Text for standard output.
    pub text: String,
    /// The exit code.
    pub code: exit::Code,
}

impl Output {
    /// A complete result.
    pub fn done(text: String) -> Output {
        Output { text, code: exit::Code::Done }
    }

    /// A result with [`exit::Code::Partial`] unless it is complete.
    pub fn partial_unless(is_complete: bool, text: String) -> Output {
        let code = if is_complete { exit::Code::Done } else { exit::Code::Partial };
        Output { text, code }
    }
}

/// Formats a result as indented JSON with a final newline.
///
/// # Errors
/// [`Error::Unreadable`] if the result cannot be serialised.
pub fn json<T: Serialize>(result: &T) -> Result<String, Error> {
    let mut text = serde_json::to_string_pretty(result)
        .map_err(|cause| Error::Unreadable { cause: cause.to_string() })?;
    text.push('\n');
    Ok(text)
}
