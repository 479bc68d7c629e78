//! What is done to a system while a run goes on, and when.
//!
//! A fault is written in a TOML file as `[[fault]]`, or in a flag as
//! `KIND@AT[,KEY=VALUE]…`; both read the same keys:
//!
//! | kind | keys | what happens |
//! | --- | --- | --- |
//! | `straggler` | `endpoint`, `factor`, `length` | the endpoint takes `factor` times as long |
//! | `kill-engines` | `count` | that many engines die |
//! | `kill-entry` | `count` | that many entry instances die |
//! | `burst` | `factor`, `length` | requests arrive `factor` times as often |
//! | `late-load` | `delay`, `length` | load reports are `delay` old |
//! | `log-outage` | `length` | the log answers nothing |
//! | `drain` | `endpoint` | the endpoint is to get no new work |
//!
//! Without `length` a fault stays to the end of the run. Without `endpoint`
//! a straggler is the first engine. Times are written as `5s` or `250ms`.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::{data, message};

use crate::{arrivals::Burst, error, span};

/// A fault and its time.
#[data]
pub struct Fault {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// What happens.
    pub kind: Kind,
}

/// What can be done to a system.
#[data]
pub enum Kind {
    /// An endpoint takes longer.
    Straggler {
        /// The endpoint; the first engine where none is named.
        endpoint: Option<Arc<str>>,
        /// How many times as long.
        factor: f64,
        /// For how long; to the end where `None`.
        length: Option<Duration>,
    },
    /// Engines die.
    KillEngines {
        /// How many.
        count: usize,
    },
    /// Entry instances die.
    KillEntry {
        /// How many.
        count: usize,
    },
    /// Requests arrive more often.
    Burst {
        /// How many times as often.
        factor: f64,
        /// For how long.
        length: Duration,
    },
    /// Load reports come late.
    LateLoad {
        /// How old they are.
        delay: Duration,
        /// For how long; to the end where `None`.
        length: Option<Duration>,
    },
    /// The log answers nothing.
    LogOutage {
        /// For how long; to the end where `None`.
        length: Option<Duration>,
    },
    /// An endpoint is drained.
    Drain {
        /// The endpoint.
        endpoint: Arc<str>,
    },
}

impl Kind {
    /// Its name in schedules.
    pub fn label(&self) -> String {
        let label = match self {
            Kind::Straggler { .. } => "straggler",
            Kind::KillEngines { .. } => "kill-engines",
            Kind::KillEntry { .. } => "kill-entry",
            Kind::Burst { .. } => "burst",
            Kind::LateLoad { .. } => "late-load",
            Kind::LogOutage { .. } => "log-outage",
            Kind::Drain { .. } => "drain",
        };
        label.to_owned()
    }

    /// How long it lasts; `None` where it stays.
    pub fn length(&self) -> Option<Duration> {
        match self {
            Kind::Straggler { length, .. }
            | Kind::LateLoad { length, .. }
            | Kind::LogOutage { length } => *length,
            Kind::Burst { length, .. } => Some(*length),
            Kind::KillEngines { .. } | Kind::KillEntry { .. } | Kind::Drain { .. } => None,
        }
    }
}

/// How a fault is written in a flag.
const USAGE: &str = "KIND@AT[,KEY=VALUE]…, such as `straggler@5s,factor=10,length=10s` or `kill-engines@8s,count=2`";
/// The kinds, for messages.
const KINDS: &str = "straggler, kill-engines, kill-entry, burst, late-load, log-outage, drain";
/// Times as long that a straggler takes where nothing is said.
const STRAGGLE: f64 = 10.0;
/// Times as often that requests arrive in a burst where nothing is said.
const BURST: f64 = 5.0;

/// A fault as it is written.
#[message]
#[derive(Default)]
#[serde(deny_unknown_fields)]
struct Written {
    at: String,
    kind: String,
    endpoint: Option<Arc<str>>,
    factor: Option<f64>,
    length: Option<String>,
    delay: Option<String>,
    count: Option<usize>,
}

/// A schedule file.
#[message]
#[derive(Default)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default, rename = "fault")]
    faults: Vec<Written>,
}

/// Reads a schedule file.
///
/// # Errors
/// If it is no TOML of the form, or a fault lacks what its kind needs.
pub fn parse_file(text: &str) -> error::Result<Vec<Fault>> {
    let file: File =
        toml::from_str(text).map_err(|err| error::Error::Schedule(err.message().to_owned()))?;
    file.faults
        .into_iter()
        .enumerate()
        .map(|(index, written)| {
            let name = format!("number {}, {}", index + 1, written.kind);
            written.fault().map_err(|message| bad(&name, message))
        })
        .collect()
}

/// Reads a fault from a flag.
///
/// # Errors
/// If it is not of the form.
pub fn parse_flag(text: &str) -> error::Result<Fault> {
    written(text).and_then(Written::fault).map_err(|message| bad(text, message))
}

fn bad(given: &str, message: String) -> error::Error {
    error::Error::Fault { given: given.to_owned(), message, usage: USAGE }
}

fn written(text: &str) -> Result<Written, String> {
    let mut parts = text.split(',');
    let head = parts.next().unwrap_or_default();
    let (kind, at) = head.split_once('@').ok_or("there is no `@` with a time")?;
    let mut written = Written { kind: kind.to_owned(), at: at.to_owned(), ..Written::default() };
    for part in parts {
        let (key, value) = part.split_once('=').ok_or(format!("`{part}` has no `=`"))?;
        match key {
            "endpoint" => written.endpoint = Some(value.into()),
            "factor" => written.factor = Some(number(key, value)?),
            "count" => written.count = Some(number(key, value)?),
            "length" => written.length = Some(value.to_owned()),
            "delay" => written.delay = Some(value.to_owned()),
            other => return Err(format!("`{other}` is no key")),
        }
    }
    Ok(written)
}

fn number<T: std::str::FromStr>(key: &str, value: &str) -> Result<T, String> {
    value.parse().map_err(|_| format!("`{key}` is not a number"))
}

impl Written {
    fn fault(self) -> Result<Fault, String> {
        let at = span::parse(&self.at)?;
        let length = self.length.as_deref().map(span::parse).transpose()?;
        let delay = self.delay.as_deref().map(span::parse).transpose()?;
        self.check_keys()?;
        let kind = match &*self.kind {
            "straggler" => Kind::Straggler {
                endpoint: self.endpoint,
                factor: factor(self.factor, STRAGGLE)?,
                length,
            },
            "kill-engines" => Kind::KillEngines { count: self.count.unwrap_or(1) },
            "kill-entry" => Kind::KillEntry { count: self.count.unwrap_or(1) },
            "burst" => Kind::Burst {
                factor: factor(self.factor, BURST)?,
                length: length.ok_or("a burst needs `length`")?,
            },
            "late-load" => {
                Kind::LateLoad { delay: delay.ok_or("late load needs `delay`")?, length }
            }
            "log-outage" => Kind::LogOutage { length },
            "drain" => Kind::Drain { endpoint: self.endpoint.ok_or("a drain needs `endpoint`")? },
            other => return Err(format!("there is no kind `{other}`; the kinds are {KINDS}")),
        };
        Ok(Fault { at, kind })
    }

    /// A key that the kind does not read would be ignored: that is an error.
    fn check_keys(&self) -> Result<(), String> {
        let read: &[&str] = match &*self.kind {
            "straggler" => &["endpoint", "factor", "length"],
            "kill-engines" | "kill-entry" => &["count"],
            "burst" => &["factor", "length"],
            "late-load" => &["delay", "length"],
            "log-outage" => &["length"],
            "drain" => &["endpoint"],
            _ => return Ok(()),
        };
        let given = [
            ("endpoint", self.endpoint.is_some()),
            ("factor", self.factor.is_some()),
            ("length", self.length.is_some()),
            ("delay", self.delay.is_some()),
            ("count", self.count.is_some()),
        ];
        for (key, present) in given {
            if present && !read.contains(&key) {
                return Err(format!("`{}` does not read `{key}`", self.kind));
            }
        }
        Ok(())
    }
}

fn factor(given: Option<f64>, default: f64) -> Result<f64, String> {
    let factor = given.unwrap_or(default);
    if !factor.is_finite() || factor <= 0.0 {
        return Err("`factor` must be above 0".to_owned());
    }
    Ok(factor)
}

/// The bursts of a schedule: they belong to the arrivals, not to the system.
pub fn bursts(faults: &[Fault]) -> Vec<Burst> {
    faults
        .iter()
        .filter_map(|fault| match fault.kind {
            Kind::Burst { factor, length } => Some(Burst { at: fault.at, length, factor }),
            _ => None,
        })
        .collect()
}
