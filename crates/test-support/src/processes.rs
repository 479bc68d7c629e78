//! A whole system as processes on this host.
//!
//! [`builder::Builder`] starts the stand-ins for log, list and endpoints, an
//! administration process and entry instances, sets the list and publishes a
//! document. The [`System`] that it returns can kill, freeze and restart the
//! processes and set faults. Dropping it kills all processes.
//!
//! Processes have the names `log`, `list`, `admin`, `entry-1`…, and `POOL-1`…
//! for endpoints. Each wait is for an event and has a timeout, whose error names
//! the event.

use std::{collections::BTreeMap, time::Duration};

use peatdeck_core::{document::Document, record::Version};
use peatdeck_wire::{admin::EntryStatus, caller::RequestBody};

use crate::{
    error::{Error, Result},
    http::{Http, Reply},
    process::Process,
    wait::{self, TIMEOUT},
};

pub mod builder;
mod control;
mod node;

use node::{Endpoint, Entry, Node};

/// Operators' token of the administration processes.
pub const TOKEN: &str = "operators-token-for-tests";
/// Name of the first administration process.
pub const ADMIN: &str = "admin";
/// Author of publishes and of operators' actions.
pub const AUTHOR: &str = "test";

/// A running system.
#[derive(Debug)]
pub struct System {
    /// Client for requests to the processes.
    pub http: Http,
    /// The document that was published first.
    pub document: Document,
    log: Node,
    list: Node,
    admins: BTreeMap<String, Node>,
    endpoints: BTreeMap<String, Endpoint>,
    entries: BTreeMap<String, Entry>,
}

/// Access to processes by name.
impl System {
    /// The names of the entries, in order.
    pub fn entries(&self) -> Vec<String> {
        self.entries.keys().cloned().collect()
    }

    /// The names of the endpoints of a pool, in order.
    pub fn pool(&self, pool: &str) -> Vec<String> {
        let endpoints = self.endpoints.iter();
        let of_pool = endpoints.filter(|(_, endpoint)| &*endpoint.pool == pool);
        of_pool.map(|(name, _)| name.clone()).collect()
    }

    /// Address on which a process serves, `ip:port`.
    ///
    /// # Errors
    /// If the system has no such process.
    pub fn addr(&self, name: &str) -> Result<&str> {
        self.node(name).map(|node| node.addr.as_str())
    }

    /// The process of that name.
    ///
    /// # Errors
    /// If the system has no process of that name.
    pub fn process(&mut self, name: &str) -> Result<&mut Process> {
        self.node_mut(name).map(|node| &mut node.process)
    }

    /// Kills a process. The list still contains it.
    ///
    /// # Errors
    /// If the system has no such process, or it cannot be killed.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.process(name)?.kill()
    }

    /// Suspends a process.
    ///
    /// # Errors
    /// If the system has no such process, or it cannot be signalled.
    pub fn freeze(&mut self, name: &str) -> Result<()> {
        self.process(name)?.freeze()
    }

    /// Resumes a suspended process.
    ///
    /// # Errors
    /// If the system has no such process, or it cannot be signalled.
    pub fn thaw(&mut self, name: &str) -> Result<()> {
        self.process(name)?.thaw()
    }

    /// Requests a process to stop.
    ///
    /// # Errors
    /// If the system has no such process, or it cannot be signalled.
    pub fn terminate(&mut self, name: &str) -> Result<()> {
        self.process(name)?.terminate()
    }

    /// Kills an endpoint or an entry, starts its next incarnation on another port,
    /// and updates the list.
    ///
    /// # Errors
    /// If the system has no such process, or it does not start.
    pub async fn restart(&mut self, name: &str) -> Result<()> {
        if let Some(mut old) = self.endpoints.remove(name) {
            old.node.process.kill()?;
            let incarnation = old.incarnation + 1;
            let spec = old.node.spec;
            let new = Endpoint::start(spec, old.pool, old.kind, incarnation, old.data_centre)?;
            self.endpoints.insert(name.to_owned(), new);
        } else if let Some(mut old) = self.entries.remove(name) {
            old.node.process.kill()?;
            let new = Entry::start(old.node.spec, old.data_centre)?;
            self.entries.insert(name.to_owned(), new);
        } else {
            return Err(Error::Unknown(name.to_owned()));
        }
        self.update_list().await
    }

    fn node(&self, name: &str) -> Result<&Node> {
        let fixed = [&self.log, &self.list].into_iter().chain(self.admins.values());
        let endpoints = self.endpoints.values().map(|endpoint| &endpoint.node);
        let entries = self.entries.values().map(|entry| &entry.node);
        let mut nodes = fixed.chain(endpoints).chain(entries);
        let found = nodes.find(|node| node.spec.name == name);
        found.ok_or_else(|| Error::Unknown(name.to_owned()))
    }

    fn node_mut(&mut self, name: &str) -> Result<&mut Node> {
        let fixed = [&mut self.log, &mut self.list].into_iter().chain(self.admins.values_mut());
        let endpoints = self.endpoints.values_mut().map(|endpoint| &mut endpoint.node);
        let entries = self.entries.values_mut().map(|entry| &mut entry.node);
        let mut nodes = fixed.chain(endpoints).chain(entries);
        let found = nodes.find(|node| node.spec.name == name);
        found.ok_or_else(|| Error::Unknown(name.to_owned()))
    }
}

/// Entries and requests.
impl System {
    /// Sends a request to an entry and waits for the complete reply.
    ///
    /// # Errors
    /// If the system has no such entry, or no complete reply is received.
    pub async fn request(&self, entry: &str, pipeline: &str, body: &RequestBody) -> Result<Reply> {
        let path = format!("/v1/pipelines/{pipeline}/requests");
        self.http.post(self.addr(entry)?, &path, body).await
    }

    /// Reads the status of an entry.
    ///
    /// # Errors
    /// If the system has no such entry, or it cannot be reached.
    pub async fn status(&self, entry: &str) -> Result<EntryStatus> {
        self.http.get_json(self.addr(entry)?, "/v1/status").await
    }

    /// Waits until an entry reports that it is ready.
    ///
    /// # Errors
    /// If the entry is not ready in time.
    pub async fn wait_ready(&self, entry: &str) -> Result<()> {
        let addr = self.addr(entry)?;
        let poll = async || self.http.get(addr, "/readyz").await.ok().filter(|r| r.status == 200);
        wait::until(&format!("{entry} being ready"), TIMEOUT, poll).await.map(drop)
    }

    /// Waits until every entry has at least this version in force.
    ///
    /// # Errors
    /// If an entry does not reach that state in time.
    pub async fn wait_version(&self, version: Version) -> Result<()> {
        for name in self.entries.keys() {
            let what = format!("version {version} at {name}");
            self.wait_status(name, &what, TIMEOUT, |status| status.version >= version).await?;
        }
        Ok(())
    }

    /// Waits until every entry lists all others as its peers.
    ///
    /// # Errors
    /// If an entry does not reach that state in time.
    pub async fn wait_peers(&self) -> Result<()> {
        let others = self.entries.len().saturating_sub(1);
        for name in self.entries.keys() {
            let what = format!("{others} peers of {name}");
            self.wait_status(name, &what, TIMEOUT, |status| status.peers.len() >= others).await?;
        }
        Ok(())
    }

    /// Waits until the status of an entry matches, and returns it.
    ///
    /// # Errors
    /// If the status does not match in time.
    pub async fn wait_status(
        &self,
        entry: &str,
        what: &str,
        timeout: Duration,
        matches: impl Fn(&EntryStatus) -> bool,
    ) -> Result<EntryStatus> {
        self.addr(entry)?;
        let poll = async || self.status(entry).await.ok().filter(|status| matches(status));
        wait::until(what, timeout, poll).await
    }
}
