//! Parses the faults that are injected into a system during a run.
//!
//! A fault is written in a TOML file as `[[fault]]`, or in a flag as
//! `KIND@AT[,KEY=VALUE]…`, with the same keys:
//!
//! | kind | keys | effect |
//! | --- | --- | --- |
//! | `straggler` | `endpoint`, `factor`, `length` | calls at the endpoint take `factor` times as long |
//! | `kill-engines` | `count` | that many engines are killed |
//! | `kill-entry` | `count` | that many entry instances are killed |
//! | `burst` | `factor`, `length` | requests arrive `factor` times as often |
//! | `late-load` | `delay`, `length` | load reports are `delay` old |
//! | `log-outage` | `length` | the log does not answer |
//! | `drain` | `endpoint` | the endpoint is drained: it receives no new calls |
//!
//! Without `length` a fault lasts until the end of the run. Without `endpoint`
//! the straggler is the first engine. Times are written as `5s` or `250ms`.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::{data, message};

use crate::{arrivals::Burst, error, span};

/// A fault and its start.
#[data]
pub struct Fault {
    /// Start, from the start of the run.
    pub at: Duration,
    /// Kind and parameters.
    pub kind: FaultKind,
}

/// Kinds of faults.
#[data]
pub enum FaultKind {
    /// Calls take longer at an endpoint.
    Straggler {
        /// Name of the endpoint; `None` for the first engine.
        endpoint: Option<Arc<str>>,
        /// Factor by which the time of a call is multiplied.
        factor: f64,
        /// Duration; `None` until the end of the run.
        length: Option<Duration>,
    },
    /// Engines are killed.
    KillEngines {
        /// Number of processes to kill.
        count: usize,
    },
    /// Entry instances are killed.
    KillEntry {
        /// Number of processes to kill.
        count: usize,
    },
    /// Requests arrive more often.
    Burst {
        /// Factor by which the rate is multiplied.
        factor: f64,
        /// Duration.
        length: Duration,
    },
    /// Load reports are delayed.
    LateLoad {
        /// Age of the reports.
        delay: Duration,
        /// Duration; `None` until the end of the run.
        length: Option<Duration>,
    },
    /// The log does not answer.
    LogOutage {
        /// Duration; `None` until the end of the run.
        length: Option<Duration>,
    },
    /// An endpoint is drained.
    Drain {
        /// Name of the endpoint.
        endpoint: Arc<str>,
    },
}

impl FaultKind {
    /// Name of the kind in schedules.
    pub fn label(&self) -> String {
        let label = match self {
            FaultKind::Straggler { .. } => "straggler",
            FaultKind::KillEngines { .. } => "kill-engines",
            FaultKind::KillEntry { .. } => "kill-entry",
            FaultKind::Burst { .. } => "burst",
            FaultKind::LateLoad { .. } => "late-load",
            FaultKind::LogOutage { .. } => "log-outage",
            FaultKind::Drain { .. } => "drain",
        };
        label.to_owned()
    }

    /// Duration of the fault; `None` until the end of the run.
    pub fn length(&self) -> Option<Duration> {
        match self {
            FaultKind::Straggler { length, .. }
            | FaultKind::LateLoad { length, .. }
            | FaultKind::LogOutage { length } => *length,
            FaultKind::Burst { length, .. } => Some(*length),
            FaultKind::KillEngines { .. }
            | FaultKind::KillEntry { .. }
            | FaultKind::Drain { .. } => None,
        }
    }
}

/// Form of a fault in a flag, for messages.
const USAGE: &str = "KIND@AT[,KEY=VALUE]…, such as `straggler@5s,factor=10,length=10s` or `kill-engines@8s,count=2`";
/// Names of the kinds, for messages.
const KINDS: &str = "straggler, kill-engines, kill-entry, burst, late-load, log-outage, drain";
/// Factor of a straggler without `factor`.
const DEFAULT_SLOWDOWN: f64 = 10.0;
/// Factor of a burst without `factor`.
const DEFAULT_BURST: f64 = 5.0;

/// A fault as written in a file or a flag, before its keys are checked.
#[message]
#[derive(Default)]
#[serde(deny_unknown_fields)]
struct FaultSpec {
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
struct ScheduleFile {
    #[serde(default, rename = "fault")]
    faults: Vec<FaultSpec>,
}

/// Parses a schedule file.
///
/// # Errors
/// If it is not a valid file, or a fault lacks a key or has one that its kind does not use.
pub fn parse_file(text: &str) -> error::Result<Vec<Fault>> {
    let file: ScheduleFile =
        toml::from_str(text).map_err(|err| error::Error::Schedule(err.message().to_owned()))?;
    file.faults
        .into_iter()
        .enumerate()
        .map(|(index, spec)| {
            let name = format!("number {}, {}", index + 1, spec.kind);
            spec.into_fault().map_err(|message| fault_error(&name, message))
        })
        .collect()
}

/// Parses a fault from a flag.
///
/// # Errors
/// If it does not have the form of a fault, or lacks a key or has one that its kind does not use.
pub fn parse_flag(text: &str) -> error::Result<Fault> {
    parse_spec(text).and_then(FaultSpec::into_fault).map_err(|message| fault_error(text, message))
}

fn fault_error(given: &str, message: String) -> error::Error {
    error::Error::Fault { given: given.to_owned(), message, usage: USAGE }
}

fn parse_spec(text: &str) -> Result<FaultSpec, String> {
    let mut parts = text.split(',');
    let head = parts.next().unwrap_or_default();
    let (kind, at) = head.split_once('@').ok_or("there is no `@` with a time")?;
    let mut spec = FaultSpec { kind: kind.to_owned(), at: at.to_owned(), ..FaultSpec::default() };
    for part in parts {
        let (key, value) = part.split_once('=').ok_or(format!("`{part}` has no `=`"))?;
        match key {
            "endpoint" => spec.endpoint = Some(value.into()),
            "factor" => spec.factor = Some(number(key, value)?),
            "count" => spec.count = Some(number(key, value)?),
            "length" => spec.length = Some(value.to_owned()),
            "delay" => spec.delay = Some(value.to_owned()),
            other => return Err(format!("`{other}` is not a key of a fault")),
        }
    }
    Ok(spec)
}

fn number<T: std::str::FromStr>(key: &str, value: &str) -> Result<T, String> {
    value.parse().map_err(|_| format!("`{key}` is not a number"))
}

impl FaultSpec {
    fn into_fault(self) -> Result<Fault, String> {
        let at = span::parse(&self.at)?;
        let length = self.length.as_deref().map(span::parse).transpose()?;
        let delay = self.delay.as_deref().map(span::parse).transpose()?;
        self.check_keys()?;
        let kind = match &*self.kind {
            "straggler" => FaultKind::Straggler {
                endpoint: self.endpoint,
                factor: factor(self.factor, DEFAULT_SLOWDOWN)?,
                length,
            },
            "kill-engines" => FaultKind::KillEngines { count: self.count.unwrap_or(1) },
            "kill-entry" => FaultKind::KillEntry { count: self.count.unwrap_or(1) },
            "burst" => FaultKind::Burst {
                factor: factor(self.factor, DEFAULT_BURST)?,
                length: length.ok_or("a burst needs `length`")?,
            },
            "late-load" => {
                FaultKind::LateLoad { delay: delay.ok_or("late load needs `delay`")?, length }
            }
            "log-outage" => FaultKind::LogOutage { length },
            "drain" => {
                FaultKind::Drain { endpoint: self.endpoint.ok_or("a drain needs `endpoint`")? }
            }
            other => return Err(format!("there is no kind `{other}`; the kinds are {KINDS}")),
        };
        Ok(Fault { at, kind })
    }

    /// Rejects keys that the kind does not use, since they would be ignored.
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

/// The bursts of a schedule. They change the arrivals, not the system.
pub fn bursts(faults: &[Fault]) -> Vec<Burst> {
    faults
        .iter()
        .filter_map(|fault| match fault.kind {
            FaultKind::Burst { factor, length } => Some(Burst { at: fault.at, length, factor }),
            _ => None,
        })
        .collect()
}
