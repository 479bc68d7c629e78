//! What a command gets from its surroundings, and what it gives back.

use std::{str::FromStr, time::SystemTime};

use serde::Serialize;

use crate::{error::Error, exit};

/// What a command gets besides its flags.
#[derive(Debug, Clone)]
pub struct Environment {
    /// The operators' token, if one is set.
    pub token: Option<String>,
    /// The wall clock at the start.
    pub now: SystemTime,
}

/// How a command's result is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Format {
    /// For people.
    #[default]
    Table,
    /// One JSON value, as the administration API gives it.
    Json,
}

/// A format that does not exist.
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

/// What a command gives back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Output {
    /// For standard output.
    pub text: String,
    /// How it ended.
    pub code: exit::Code,
}

impl Output {
    /// A result that is whole.
    pub fn done(text: String) -> Output {
        Output { text, code: exit::Code::Done }
    }

    /// A result that is whole only if `whole`.
    pub fn partial_unless(whole: bool, text: String) -> Output {
        let code = if whole { exit::Code::Done } else { exit::Code::Partial };
        Output { text, code }
    }
}

/// A result as JSON, with a line end.
///
/// # Errors
/// [`Error::Unreadable`] if it has no JSON form.
pub fn json<T: Serialize>(result: &T) -> Result<String, Error> {
    let mut text = serde_json::to_string_pretty(result)
        .map_err(|cause| Error::Unreadable { cause: cause.to_string() })?;
    text.push('\n');
    Ok(text)
}
