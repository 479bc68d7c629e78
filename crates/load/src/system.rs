//! A system that the tool started, and what can be done to it.

use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

use peatdeck_core::{
    document::{Document, PoolKind},
    model::{EndpointEntry, Listing},
};
use peatdeck_macros::data;
use peatdeck_standin::faults::{EndpointFaults, LogFaults};
use peatdeck_wire::admin;

use crate::{
    control::Request,
    error,
    processes::Processes,
    records::{self, Records},
    schedule::Kind,
};

/// Who the tool says it is in the history of the configuration.
pub const AUTHOR: &str = "peatdeck-load";

/// An entry instance that runs.
#[data]
pub struct Entry {
    /// Its name in the list.
    pub name: Arc<str>,
    /// Where callers reach it, `http://ip:port`.
    pub url: Arc<str>,
    /// Its process.
    pub pid: u32,
}

/// The administration API.
#[data]
pub struct Admin {
    /// Where operators reach it, `http://ip:port`.
    pub url: Arc<str>,
    /// Their token.
    pub token: Arc<str>,
}

/// What a system is made of, as its launcher found it.
pub struct Parts {
    /// The configuration that was published.
    pub document: Arc<Document>,
    /// Entry instances.
    pub entries: Vec<Entry>,
    /// Endpoints.
    pub endpoints: Vec<EndpointEntry>,
    /// The administration API.
    pub admin: Admin,
    /// The log, `http://ip:port`.
    pub log: Arc<str>,
    /// The list, `http://ip:port`.
    pub list: Arc<str>,
    /// Time that the log takes to answer where nothing is wrong.
    pub log_delay: Duration,
    /// The processes. They end with the system.
    pub processes: Processes,
}

/// A running system.
pub struct System {
    parts: Parts,
    faults: HashMap<Arc<str>, EndpointFaults>,
    kept: Records,
}

impl System {
    /// A system of these parts.
    ///
    /// # Errors
    /// If the log cannot be given its delay.
    pub fn new(parts: Parts) -> error::Result<System> {
        let system = System { parts, faults: HashMap::new(), kept: Records::default() };
        system.set_log(false)?;
        Ok(system)
    }

    /// The entries' URLs.
    pub fn entries(&self) -> Vec<Arc<str>> {
        self.parts.entries.iter().map(|entry| entry.url.clone()).collect()
    }

    /// The entries that still run.
    pub fn live_entries(&self) -> &[Entry] {
        &self.parts.entries
    }

    /// The configuration that was published.
    pub fn document(&self) -> Arc<Document> {
        self.parts.document.clone()
    }

    /// The list's URL.
    pub fn list(&self) -> Arc<str> {
        self.parts.list.clone()
    }

    /// The administration API.
    pub fn admin(&self) -> &Admin {
        &self.parts.admin
    }

    /// The log's URL.
    pub fn log(&self) -> Arc<str> {
        self.parts.log.clone()
    }

    /// The records of all endpoints, of killed ones as of just before.
    pub fn records(&self) -> Records {
        let mut records = self.kept.clone();
        records.add(records::read(&self.parts.endpoints));
        records.unique();
        records
    }

    /// Checks that a fault can be brought about here.
    ///
    /// # Errors
    /// If it names an endpoint that is not there, or more of something than there is.
    pub fn check(&self, kind: &Kind) -> error::Result<()> {
        match kind {
            Kind::Straggler { endpoint: Some(name), .. } | Kind::Drain { endpoint: name } => {
                self.endpoint(kind, name).map(|_| ())
            }
            Kind::KillEngines { count } => enough(kind, *count, self.engines().count()),
            Kind::KillEntry { count } => enough(kind, *count, self.parts.entries.len()),
            _ => Ok(()),
        }
    }

    /// Brings a fault about; gives what was done, in a few words.
    ///
    /// # Errors
    /// If a process cannot be reached or killed.
    pub fn bring(&mut self, kind: &Kind) -> error::Result<String> {
        match kind {
            Kind::Straggler { endpoint, factor, .. } => {
                let entry = self.straggler(kind, endpoint.as_deref())?;
                let factor = *factor;
                self.set(&entry, |faults| faults.slowdown = Some(factor))?;
                Ok(format!("{} takes {factor} times as long", entry.name))
            }
            Kind::KillEngines { count } => self.kill_engines(*count),
            Kind::KillEntry { count } => self.kill_entries(*count),
            Kind::Burst { factor, .. } => Ok(format!("{factor} times the rate")),
            Kind::LateLoad { delay, .. } => {
                self.set_lag(Some(*delay))?;
                Ok(format!("load reports {} s late", delay.as_secs_f64()))
            }
            Kind::LogOutage { .. } => {
                self.set_log(true)?;
                Ok("the log is out".to_owned())
            }
            Kind::Drain { endpoint } => self.drain(endpoint),
        }
    }

    /// Ends a fault that does not stay.
    ///
    /// # Errors
    /// If a process cannot be reached.
    pub fn end(&mut self, kind: &Kind) -> error::Result<String> {
        match kind {
            Kind::Straggler { endpoint, .. } => {
                let entry = self.straggler(kind, endpoint.as_deref())?;
                self.set(&entry, |faults| faults.slowdown = None)?;
            }
            Kind::LateLoad { .. } => self.set_lag(None)?,
            Kind::LogOutage { .. } => self.set_log(false)?,
            _ => {}
        }
        Ok(kind.label())
    }

    /// Ends every fault that can be ended.
    ///
    /// # Errors
    /// If a process cannot be reached.
    pub fn mend(&mut self) -> error::Result<()> {
        for entry in self.parts.endpoints.clone() {
            if self.faults.contains_key(&entry.name) {
                self.set(&entry, |faults| *faults = EndpointFaults::default())?;
            }
        }
        self.set_log(false)
    }

    /// Sets how long the log takes for everything: half of it before the
    /// effect, half before the answer.
    ///
    /// # Errors
    /// If it cannot be reached.
    pub fn slow_log(&self, delay: Duration) -> error::Result<()> {
        let half = millis(delay / 2);
        self.put_log(&LogFaults { delay_ms: half, answer_ms: half, ..LogFaults::default() })
    }

    fn engines(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.parts.endpoints.iter().filter(|entry| {
            self.parts.document.pool(&entry.pool).is_some_and(|pool| pool.kind == PoolKind::Engine)
        })
    }

    fn endpoint(&self, kind: &Kind, name: &str) -> error::Result<EndpointEntry> {
        let found = self.parts.endpoints.iter().find(|entry| &*entry.name == name);
        found.cloned().ok_or_else(|| error::Error::UnknownTarget {
            fault: kind.label(),
            name: name.to_owned(),
            known: names(self.parts.endpoints.iter().map(|entry| &entry.name)),
        })
    }

    fn straggler(&self, kind: &Kind, name: Option<&str>) -> error::Result<EndpointEntry> {
        if let Some(name) = name {
            return self.endpoint(kind, name);
        }
        let first = self.engines().next().cloned();
        first.ok_or_else(|| missing(kind, "no engine is left"))
    }

    /// Records of an endpoint go with its process: they are read just before.
    fn kill_engines(&mut self, count: usize) -> error::Result<String> {
        let doomed: Vec<EndpointEntry> = self.engines().take(count).cloned().collect();
        self.kept.add(records::read(&doomed));
        for entry in &doomed {
            self.parts.processes.kill(&entry.name)?;
        }
        let gone = |name: &Arc<str>| doomed.iter().any(|entry| entry.name == *name);
        self.parts.endpoints.retain(|entry| !gone(&entry.name));
        self.unlist(|listing| listing.endpoints.retain(|entry| !gone(&entry.name)))?;
        Ok(format!("killed {}", names(doomed.iter().map(|entry| &entry.name))))
    }

    fn kill_entries(&mut self, count: usize) -> error::Result<String> {
        let doomed: Vec<Entry> = self.parts.entries.drain(..count).collect();
        for entry in &doomed {
            self.parts.processes.kill(&entry.name)?;
        }
        let gone = |name: &Arc<str>| doomed.iter().any(|entry| entry.name == *name);
        self.unlist(|listing| listing.instances.retain(|entry| !gone(&entry.name)))?;
        Ok(format!("killed {}", names(doomed.iter().map(|entry| &entry.name))))
    }

    /// Takes something out of the list's truth; it shows after the list's lag.
    fn unlist(&self, change: impl FnOnce(&mut Listing)) -> error::Result<()> {
        let list = &self.parts.list;
        let mut truth: Listing = Request::get(format!("{list}/control/state")).json()?;
        change(&mut truth);
        Request::put(format!("{list}/control/list"), &truth).send().map(drop)
    }

    fn drain(&self, endpoint: &str) -> error::Result<String> {
        let admin = &self.parts.admin;
        let url = format!("{}/v1/endpoints/{endpoint}/drain", admin.url);
        let body = admin::DrainBody { author: AUTHOR.into(), incarnation: None };
        Request::post(url, &body).token(&admin.token).send()?;
        Ok(format!("drained {endpoint}"))
    }

    fn set_lag(&mut self, delay: Option<Duration>) -> error::Result<()> {
        for entry in self.parts.endpoints.clone() {
            self.set(&entry, |faults| faults.load_lag_ms = delay.map(millis))?;
        }
        Ok(())
    }

    /// Changes the faults of an endpoint; the others that it has stay.
    fn set(
        &mut self,
        entry: &EndpointEntry,
        change: impl FnOnce(&mut EndpointFaults),
    ) -> error::Result<()> {
        let faults = self.faults.entry(entry.name.clone()).or_default();
        change(faults);
        Request::put(format!("http://{}/control/faults", entry.addr), faults).send().map(drop)
    }

    fn set_log(&self, outage: bool) -> error::Result<()> {
        let delay_ms = millis(self.parts.log_delay);
        self.put_log(&LogFaults { outage, delay_ms, ..LogFaults::default() })
    }

    fn put_log(&self, faults: &LogFaults) -> error::Result<()> {
        Request::put(format!("{}/control/faults", self.parts.log), faults).send().map(drop)
    }
}

impl fmt::Debug for System {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("System").field("entries", &self.parts.entries).finish_non_exhaustive()
    }
}

fn enough(kind: &Kind, wanted: usize, there: usize) -> error::Result<()> {
    if wanted <= there {
        return Ok(());
    }
    Err(missing(kind, &format!("it asks for {wanted}, there are {there}")))
}

fn missing(kind: &Kind, problem: &str) -> error::Error {
    error::Error::Setting {
        problem: format!("fault `{}` cannot be brought about: {problem}", kind.label()),
        remedy: "lower its `count` or use a larger preset".into(),
    }
}

fn names<'a>(names: impl Iterator<Item = &'a Arc<str>>) -> String {
    names.map(|name| &**name).collect::<Vec<_>>().join(", ")
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
