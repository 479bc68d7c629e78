//! Settings from flags and environment variables.
//!
//! A program first reads its settings as text ([`text`]) and then validates them
//! one by one with a [`Check`]. The check continues after an invalid setting, so
//! that one start reports all [`Problems`], each with its remedy, before anything
//! runs.
//!
//! An address is an IP address and a port. All services that peatdeck connects to
//! use plain HTTP, so it may have the prefix `http://` ([`address`]).

use std::{
    fmt::Display,
    net::{Ipv4Addr, SocketAddr},
    ops::RangeInclusive,
    str::FromStr,
    sync::Arc,
};

use bpaf::{Parser, long};
use miette::Diagnostic;

use crate::logging;

/// Optional prefix of an address.
const SCHEME: &str = "http://";
/// Remedy for an invalid address.
const ADDRESS_REMEDY: &str = "use an IP number and a port, such as 10.0.0.5:8080";
/// Maximum length of the name of an instance or a data centre, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// A parser of an optional flag with an environment variable, as text that is
/// validated later.
pub fn text(
    flag: &'static str,
    variable: &'static str,
    value: &'static str,
    help: &'static str,
) -> impl Parser<Option<String>> {
    long(flag).env(variable).help(help).argument::<String>(value).optional()
}

/// The error for text that is not an address.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("`{}` is not an address; {ADDRESS_REMEDY}", .0.escape_debug())]
pub struct InvalidAddress(String);

/// Parses `ip:port` or `http://ip:port`.
///
/// # Errors
/// [`InvalidAddress`] if the text is neither.
pub fn address(text: &str) -> Result<SocketAddr, InvalidAddress> {
    let bare = text.strip_prefix(SCHEME).unwrap_or(text);
    let bare = bare.strip_suffix('/').unwrap_or(bare);
    bare.parse().map_err(|_| InvalidAddress(text.to_owned()))
}

/// Parses an address as [`address`] does and returns it as `http://ip:port`.
///
/// # Errors
/// [`InvalidAddress`] if the text is not an address.
pub fn base_url(text: &str) -> Result<String, InvalidAddress> {
    address(text).map(|addr| format!("{SCHEME}{addr}"))
}

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, thiserror::Error, Diagnostic)]
#[error("{setting}: {message}")]
pub struct Problem {
    setting: String,
    message: String,
    #[help]
    remedy: String,
}

/// All invalid settings of a program.
#[derive(Debug, Clone, PartialEq, thiserror::Error, Diagnostic)]
#[error("{} of the settings cannot be used; nothing was started", .problems.len())]
#[diagnostic(help("run `{program} --help` for all settings with examples"))]
pub struct Problems {
    program: &'static str,
    /// One problem for each invalid setting.
    #[related]
    pub problems: Vec<Problem>,
}

/// Validates settings one by one and collects the problems. An invalid setting
/// gets a placeholder value, so that the other settings are still checked;
/// [`Check::finish`] then returns an error instead of the settings.
#[derive(Debug)]
pub struct Check {
    program: &'static str,
    problems: Vec<Problem>,
}

impl Check {
    /// Creates a check of the settings of `program`.
    pub fn new(program: &'static str) -> Check {
        Check { program, problems: Vec::new() }
    }

    /// Returns the settings if no problem was reported.
    ///
    /// # Errors
    /// [`Problems`] with all invalid settings, not only the first.
    pub fn finish<T>(self, settings: T) -> Result<T, Problems> {
        let Check { program, problems } = self;
        if problems.is_empty() { Ok(settings) } else { Err(Problems { program, problems }) }
    }

    /// Records a problem.
    pub fn report(&mut self, setting: &str, message: impl Into<String>, remedy: impl Into<String>) {
        let (message, remedy) = (message.into(), remedy.into());
        self.problems.push(Problem { setting: setting.to_owned(), message, remedy });
    }

    /// Validates a required name.
    pub fn name(&mut self, flag: &str, value: Option<&str>) -> Arc<str> {
        let Some(name) = self.required(flag, value) else { return Arc::from("") };
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

    /// Parses a required address.
    pub fn addr(&mut self, flag: &str, value: Option<&str>) -> SocketAddr {
        let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let Some(text) = self.required(flag, value) else { return any };
        address(text).unwrap_or_else(|_| {
            let message = format!("`{}` is not an address", text.escape_debug());
            self.report(flag, message, ADDRESS_REMEDY);
            any
        })
    }

    /// Parses a required address of another process, whose port must not be 0.
    pub fn remote_addr(&mut self, flag: &str, value: Option<&str>) -> Arc<str> {
        let before = self.problems.len();
        let addr = self.addr(flag, value);
        if addr.port() == 0 && self.problems.len() == before {
            self.report(flag, "has port 0, which nothing can listen on", "give the service's port");
        }
        Arc::from(addr.to_string())
    }

    /// Parses an integer within a range; `default` if none is given.
    pub fn number<N>(
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
        if let Ok(number) = text.parse()
            && range.contains(&number)
        {
            return number;
        }
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

    /// Parses a log format; text if none is given.
    pub fn format(&mut self, flag: &str, value: Option<&str>) -> logging::Format {
        let Some(text) = value else { return logging::Format::default() };
        text.parse().unwrap_or_else(|_| {
            let message = format!("`{}` is not a log format", text.escape_debug());
            self.report(flag, message, "use `text` or `json`");
            logging::Format::default()
        })
    }

    fn required<'a>(&mut self, flag: &str, value: Option<&'a str>) -> Option<&'a str> {
        let given = value.filter(|text| !text.is_empty());
        if given.is_none() {
            self.report(flag, "is missing", format!("give {flag} or set {}", env_variable(flag)));
        }
        given
    }
}

/// The name of a flag's environment variable.
fn env_variable(flag: &str) -> String {
    format!("PEATDECK_{}", flag.trim_start_matches('-').replace('-', "_").to_uppercase())
}
