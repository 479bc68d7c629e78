//! Checks single settings and collects what is wrong with them.

use std::{fmt::Display, net::SocketAddr, ops::RangeInclusive, str::FromStr, sync::Arc};

use miette::Diagnostic;
use peatdeck_core::{content::Content, instance::settings::Decisions};
use peatdeck_util::logging;

use crate::settings::Settings;

/// Longest name of an instance or a data centre, in bytes.
const MAX_NAME_BYTES: usize = 64;

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

/// Collects problems. A wrong setting gets a stand-in value, so that the
/// others are still checked; the stand-in is never used.
#[derive(Default)]
pub(super) struct Check {
    pub(super) problems: Vec<Problem>,
}

impl Check {
    fn report(&mut self, flag: &str, message: impl Into<String>, remedy: impl Into<String>) {
        let (flag, message, remedy) = (flag.to_owned(), message.into(), remedy.into());
        self.problems.push(Problem { flag, message, remedy });
    }

    pub(super) fn name(&mut self, flag: &str, value: Option<&str>) -> Arc<str> {
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

    pub(super) fn decisions(&mut self, set: Option<&str>, without: Option<&str>) -> Decisions {
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

    pub(super) fn addr(&mut self, flag: &str, value: Option<&str>) -> SocketAddr {
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

    pub(super) fn remote(&mut self, flag: &str, value: Option<&str>) -> Arc<str> {
        let before = self.problems.len();
        let addr = self.addr(flag, value);
        if addr.port() == 0 && self.problems.len() == before {
            self.report(flag, "has port 0, which nothing can listen on", "give the service's port");
        }
        Arc::from(addr.to_string())
    }

    pub(super) fn number<N>(
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

    pub(super) fn format(&mut self, value: Option<&str>) -> logging::Format {
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

    pub(super) fn content(&mut self, value: Option<&str>) -> Content {
        match value {
            None | Some("" | "hash") => Content::Hash,
            Some("keep") => Content::Keep,
            Some(other) => {
                let message = format!("`{}` is not a way to record texts", other.escape_debug());
                self.report("--trace-content", message, "use `hash` or `keep`");
                Content::Hash
            }
        }
    }

    pub(super) fn distinct(&mut self, settings: &Settings) {
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
