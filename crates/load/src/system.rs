//! A system that the tool started, and the faults that can be injected into it.

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
    schedule::FaultKind,
};

/// Author of the changes that the tool makes through the administration API.
pub const AUTHOR: &str = "peatdeck-load";

/// A running entry instance.
#[data]
pub struct Entry {
    /// Name in the list.
    pub name: Arc<str>,
    /// URL for callers, `http://ip:port`.
    pub url: Arc<str>,
    /// Process id.
    pub pid: u32,
}

/// The administration API.
#[data]
pub struct Admin {
    /// URL for operators, `http://ip:port`.
    pub url: Arc<str>,
    /// Operator token.
    pub token: Arc<str>,
}

/// Components of a started system.
pub struct Components {
    /// The configuration that was published.
    pub document: Arc<Document>,
    /// The entry instances.
    pub entries: Vec<Entry>,
    /// The endpoints.
    pub endpoints: Vec<EndpointEntry>,
    /// The administration API.
    pub admin: Admin,
    /// URL of the log, `http://ip:port`.
    pub log: Arc<str>,
    /// URL of the list, `http://ip:port`.
    pub list: Arc<str>,
    /// Delay of the log while no fault is injected.
    pub log_delay: Duration,
    /// The processes. Dropping the system kills them.
    pub processes: Processes,
}

/// A running system.
pub struct System {
    components: Components,
    faults: HashMap<Arc<str>, EndpointFaults>,
    killed_records: Records,
}

impl System {
    /// Wraps the components and sets the delay of the log.
    ///
    /// # Errors
    /// If the log cannot be reached.
    pub fn new(components: Components) -> error::Result<System> {
        let system =
            System { components, faults: HashMap::new(), killed_records: Records::default() };
        system.set_log_outage(false)?;
        Ok(system)
    }

    /// URLs of the entries that have not been killed.
    pub fn entries(&self) -> Vec<Arc<str>> {
        self.components.entries.iter().map(|entry| entry.url.clone()).collect()
    }

    /// The entries that have not been killed.
    pub fn live_entries(&self) -> &[Entry] {
        &self.components.entries
    }

    /// The configuration that was published.
    pub fn document(&self) -> Arc<Document> {
        self.components.document.clone()
    }

    /// URL of the list.
    pub fn list(&self) -> Arc<str> {
        self.components.list.clone()
    }

    /// The administration API.
    pub fn admin(&self) -> &Admin {
        &self.components.admin
    }

    /// URL of the log.
    pub fn log(&self) -> Arc<str> {
        self.components.log.clone()
    }

    /// The records of all endpoints; those of killed endpoints were read just before the kill.
    pub fn records(&self) -> Records {
        let mut records = self.killed_records.clone();
        records.add(records::read(&self.components.endpoints));
        records.deduplicate();
        records
    }

    /// Checks that a fault can be injected into this system.
    ///
    /// # Errors
    /// If it names an unknown endpoint, or is to kill more processes than there are.
    pub fn check(&self, kind: &FaultKind) -> error::Result<()> {
        match kind {
            FaultKind::Straggler { endpoint: Some(name), .. }
            | FaultKind::Drain { endpoint: name } => self.endpoint(kind, name).map(|_| ()),
            FaultKind::KillEngines { count } => check_count(kind, *count, self.engines().count()),
            FaultKind::KillEntry { count } => {
                check_count(kind, *count, self.components.entries.len())
            }
            _ => Ok(()),
        }
    }

    /// Injects a fault and returns a description for the report.
    ///
    /// # Errors
    /// If a process cannot be reached or killed.
    pub fn inject(&mut self, kind: &FaultKind) -> error::Result<String> {
        match kind {
            FaultKind::Straggler { endpoint, factor, .. } => {
                let entry = self.straggler(kind, endpoint.as_deref())?;
                let factor = *factor;
                self.update_faults(&entry, |faults| faults.slowdown = Some(factor))?;
                Ok(format!("calls at {} take {factor} times as long", entry.name))
            }
            FaultKind::KillEngines { count } => self.kill_engines(*count),
            FaultKind::KillEntry { count } => self.kill_entries(*count),
            FaultKind::Burst { factor, .. } => Ok(format!("{factor} times the rate")),
            FaultKind::LateLoad { delay, .. } => {
                self.set_load_lag(Some(*delay))?;
                Ok(format!("load reports {} s late", delay.as_secs_f64()))
            }
            FaultKind::LogOutage { .. } => {
                self.set_log_outage(true)?;
                Ok("the log does not answer".to_owned())
            }
            FaultKind::Drain { endpoint } => self.drain(endpoint),
        }
    }

    /// Reverts a fault at the end of its duration and returns its name.
    ///
    /// # Errors
    /// If a process cannot be reached.
    pub fn revert(&mut self, kind: &FaultKind) -> error::Result<String> {
        match kind {
            FaultKind::Straggler { endpoint, .. } => {
                let entry = self.straggler(kind, endpoint.as_deref())?;
                self.update_faults(&entry, |faults| faults.slowdown = None)?;
            }
            FaultKind::LateLoad { .. } => self.set_load_lag(None)?,
            FaultKind::LogOutage { .. } => self.set_log_outage(false)?,
            _ => {}
        }
        Ok(kind.label())
    }

    /// Reverts every fault that can be reverted.
    ///
    /// # Errors
    /// If a process cannot be reached.
    pub fn revert_all(&mut self) -> error::Result<()> {
        for entry in self.components.endpoints.clone() {
            if self.faults.contains_key(&entry.name) {
                self.update_faults(&entry, |faults| *faults = EndpointFaults::default())?;
            }
        }
        self.set_log_outage(false)
    }

    /// Sets the delay of every operation of the log: half of it before the
    /// operation takes effect, half before the answer.
    ///
    /// # Errors
    /// If it cannot be reached.
    pub fn set_log_delay(&self, delay: Duration) -> error::Result<()> {
        let half = millis(delay / 2);
        self.put_log_faults(&LogFaults { delay_ms: half, answer_ms: half, ..LogFaults::default() })
    }

    fn engines(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.components.endpoints.iter().filter(|entry| {
            self.components
                .document
                .pool(&entry.pool)
                .is_some_and(|pool| pool.kind == PoolKind::Engine)
        })
    }

    fn endpoint(&self, kind: &FaultKind, name: &str) -> error::Result<EndpointEntry> {
        let found = self.components.endpoints.iter().find(|entry| &*entry.name == name);
        found.cloned().ok_or_else(|| error::Error::UnknownTarget {
            fault: kind.label(),
            name: name.to_owned(),
            known: names(self.components.endpoints.iter().map(|entry| &entry.name)),
        })
    }

    fn straggler(&self, kind: &FaultKind, name: Option<&str>) -> error::Result<EndpointEntry> {
        if let Some(name) = name {
            return self.endpoint(kind, name);
        }
        let first = self.engines().next().cloned();
        first.ok_or_else(|| fault_error(kind, "no engine is left"))
    }

    /// Kills engines. Their records are lost with the processes, so they are read first.
    fn kill_engines(&mut self, count: usize) -> error::Result<String> {
        let targets: Vec<EndpointEntry> = self.engines().take(count).cloned().collect();
        self.killed_records.add(records::read(&targets));
        for entry in &targets {
            self.components.processes.kill(&entry.name)?;
        }
        let gone = |name: &Arc<str>| targets.iter().any(|entry| entry.name == *name);
        self.components.endpoints.retain(|entry| !gone(&entry.name));
        self.edit_listing(|listing| listing.endpoints.retain(|entry| !gone(&entry.name)))?;
        Ok(format!("killed {}", names(targets.iter().map(|entry| &entry.name))))
    }

    fn kill_entries(&mut self, count: usize) -> error::Result<String> {
        let targets: Vec<Entry> = self.components.entries.drain(..count).collect();
        for entry in &targets {
            self.components.processes.kill(&entry.name)?;
        }
        let gone = |name: &Arc<str>| targets.iter().any(|entry| entry.name == *name);
        self.edit_listing(|listing| listing.instances.retain(|entry| !gone(&entry.name)))?;
        Ok(format!("killed {}", names(targets.iter().map(|entry| &entry.name))))
    }

    /// Changes the contents of the list. Its readers receive the change after the list's lag.
    fn edit_listing(&self, change: impl FnOnce(&mut Listing)) -> error::Result<()> {
        let list = &self.components.list;
        let mut listing: Listing = Request::get(format!("{list}/control/state")).json()?;
        change(&mut listing);
        Request::put(format!("{list}/control/list"), &listing).send().map(drop)
    }

    fn drain(&self, endpoint: &str) -> error::Result<String> {
        let admin = &self.components.admin;
        let url = format!("{}/v1/endpoints/{endpoint}/drain", admin.url);
        let body = admin::DrainBody { author: AUTHOR.into(), incarnation: None };
        Request::post(url, &body).token(&admin.token).send()?;
        Ok(format!("drained {endpoint}"))
    }

    fn set_load_lag(&mut self, delay: Option<Duration>) -> error::Result<()> {
        for entry in self.components.endpoints.clone() {
            self.update_faults(&entry, |faults| faults.load_lag_ms = delay.map(millis))?;
        }
        Ok(())
    }

    /// Changes some faults of an endpoint; its other faults remain.
    fn update_faults(
        &mut self,
        entry: &EndpointEntry,
        change: impl FnOnce(&mut EndpointFaults),
    ) -> error::Result<()> {
        let faults = self.faults.entry(entry.name.clone()).or_default();
        change(faults);
        Request::put(format!("http://{}/control/faults", entry.addr), faults).send().map(drop)
    }

    fn set_log_outage(&self, outage: bool) -> error::Result<()> {
        let delay_ms = millis(self.components.log_delay);
        self.put_log_faults(&LogFaults { outage, delay_ms, ..LogFaults::default() })
    }

    fn put_log_faults(&self, faults: &LogFaults) -> error::Result<()> {
        Request::put(format!("{}/control/faults", self.components.log), faults).send().map(drop)
    }
}

impl fmt::Debug for System {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("System").field("entries", &self.components.entries).finish_non_exhaustive()
    }
}

fn check_count(kind: &FaultKind, wanted: usize, available: usize) -> error::Result<()> {
    if wanted <= available {
        return Ok(());
    }
    Err(fault_error(kind, &format!("it asks for {wanted}, there are {available}")))
}

fn fault_error(kind: &FaultKind, problem: &str) -> error::Error {
    error::Error::Setting {
        problem: format!("fault `{}` cannot be injected: {problem}", kind.label()),
        remedy: "lower its `count` or use a larger preset".into(),
    }
}

fn names<'a>(names: impl Iterator<Item = &'a Arc<str>>) -> String {
    names.map(|name| &**name).collect::<Vec<_>>().join(", ")
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
