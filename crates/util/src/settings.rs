//! Settings from flags and environment variables, checked as a whole.
//!
//! A program reads its settings as text first ([`text`]) and then checks them
//! one by one with a [`Check`]. The check goes on behind a wrong setting, so
//! one start reports all [`Problems`], each with its remedy, before anything
//! runs.
//!
//! An address is an IP number and a port. All that peatdeck speaks to speaks
//! plain HTTP, so `http://` may stand before it ([`address`]).

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

/// The scheme that may stand before an address.
const SCHEME: &str = "http://";
/// How an address is written.
const ADDRESS_REMEDY: &str = "use an IP number and a port, such as 10.0.0.5:8080";
/// Longest name of an instance or a data centre, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// A flag that also reads an environment variable, as text that is checked later.
pub fn text(
    flag: &'static str,
    variable: &'static str,
    value: &'static str,
    help: &'static str,
) -> impl Parser<Option<String>> {
    long(flag).env(variable).help(help).argument::<String>(value).optional()
}

/// Text that is no address.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("`{}` is not an address; {ADDRESS_REMEDY}", .0.escape_debug())]
pub struct InvalidAddress(String);

/// Reads `ip:port` or `http://ip:port`.
///
/// # Errors
/// [`InvalidAddress`] if the text is neither.
pub fn address(text: &str) -> Result<SocketAddr, InvalidAddress> {
    let bare = text.strip_prefix(SCHEME).unwrap_or(text);
    let bare = bare.strip_suffix('/').unwrap_or(bare);
    bare.parse().map_err(|_| InvalidAddress(text.to_owned()))
}

/// Reads an address as [`address`] does and gives it as `http://ip:port`.
///
/// # Errors
/// [`InvalidAddress`].
pub fn base_url(text: &str) -> Result<String, InvalidAddress> {
    address(text).map(|addr| format!("{SCHEME}{addr}"))
}

/// One setting that is wrong.
#[derive(Debug, Clone, PartialEq, thiserror::Error, Diagnostic)]
#[error("{setting}: {message}")]
pub struct Problem {
    setting: String,
    message: String,
    #[help]
    remedy: String,
}

/// All settings that are wrong.
#[derive(Debug, Clone, PartialEq, thiserror::Error, Diagnostic)]
#[error("{} of the settings cannot be used; nothing was started", .problems.len())]
#[diagnostic(help("run `{program} --help` for all settings with examples"))]
pub struct Problems {
    program: &'static str,
    /// Each of them.
    #[related]
    pub problems: Vec<Problem>,
}

/// Checks settings one by one and collects their problems. A wrong setting
/// gets a placeholder value, so that the others are still checked;
/// [`Check::finish`] never lets it out.
#[derive(Debug)]
pub struct Check {
    program: &'static str,
    problems: Vec<Problem>,
}

impl Check {
    /// A check of the settings of `program`.
    pub fn new(program: &'static str) -> Check {
        Check { program, problems: Vec::new() }
    }

    /// The settings, if nothing is wrong with them.
    ///
    /// # Errors
    /// [`Problems`] with every setting that is wrong, not only the first.
    pub fn finish<T>(self, settings: T) -> Result<T, Problems> {
        let Check { program, problems } = self;
        if problems.is_empty() { Ok(settings) } else { Err(Problems { program, problems }) }
    }

    /// Notes a problem.
    pub fn report(&mut self, setting: &str, message: impl Into<String>, remedy: impl Into<String>) {
        let (message, remedy) = (message.into(), remedy.into());
        self.problems.push(Problem { setting: setting.to_owned(), message, remedy });
    }

    /// A name, which must be given.
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

    /// An address to listen on, which must be given.
    pub fn addr(&mut self, flag: &str, value: Option<&str>) -> SocketAddr {
        let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let Some(text) = self.required(flag, value) else { return any };
        address(text).unwrap_or_else(|_| {
            let message = format!("`{}` is not an address", text.escape_debug());
            self.report(flag, message, ADDRESS_REMEDY);
            any
        })
    }

    /// The address of another process, which must be given.
    pub fn remote_addr(&mut self, flag: &str, value: Option<&str>) -> Arc<str> {
        let before = self.problems.len();
        let addr = self.addr(flag, value);
        if addr.port() == 0 && self.problems.len() == before {
            self.report(flag, "has port 0, which nothing can listen on", "give the service's port");
        }
        Arc::from(addr.to_string())
    }

    /// A whole number within a range; `default` if none is given.
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

    /// A log format; text if none is given.
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

/// The environment variable of a flag.
fn env_variable(flag: &str) -> String {
    format!("PEATDECK_{}", flag.trim_start_matches('-').replace('-', "_").to_uppercase())
}
