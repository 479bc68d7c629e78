//! A whole system as processes of this machine.
//!
//! [`builder::Builder`] starts the stand-ins for log, list and endpoints, an
//! administration process and entry instances, tells the list of them and
//! publishes a document. The [`System`] that it gives kills, freezes and
//! breaks them. Every process ends with the value.
//!
//! Processes go by their names: `log`, `list`, `admin`, `entry-1`…, and
//! `POOL-1`… for endpoints. A wait is for an event and has a bound; running
//! out of it is an error that says what did not come.

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

/// The operators' token of every system.
pub const TOKEN: &str = "operators-token-for-tests";
/// The first administration process.
pub const ADMIN: &str = "admin";
/// Who publishes.
pub const AUTHOR: &str = "test";

/// A running system.
#[derive(Debug)]
pub struct System {
    /// Calls to its processes.
    pub http: Http,
    /// The document that was published first.
    pub document: Document,
    log: Node,
    list: Node,
    admins: BTreeMap<String, Node>,
    endpoints: BTreeMap<String, Endpoint>,
    entries: BTreeMap<String, Entry>,
}

/// Processes, by name.
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

    /// Where a process serves, `ip:port`.
    ///
    /// # Errors
    /// If there is no such process.
    pub fn addr(&self, name: &str) -> Result<&str> {
        self.node(name).map(|node| node.addr.as_str())
    }

    /// A process.
    ///
    /// # Errors
    /// If there is none of that name.
    pub fn process(&mut self, name: &str) -> Result<&mut Process> {
        self.node_mut(name).map(|node| &mut node.process)
    }

    /// Kills a process. The list goes on to name it.
    ///
    /// # Errors
    /// If there is none, or it cannot be killed.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.process(name)?.kill()
    }

    /// Freezes a process.
    ///
    /// # Errors
    /// If there is none, or it cannot be signalled.
    pub fn freeze(&mut self, name: &str) -> Result<()> {
        self.process(name)?.freeze()
    }

    /// Lets a frozen process run again.
    ///
    /// # Errors
    /// If there is none, or it cannot be signalled.
    pub fn thaw(&mut self, name: &str) -> Result<()> {
        self.process(name)?.thaw()
    }

    /// Tells a process to stop.
    ///
    /// # Errors
    /// If there is none, or it cannot be signalled.
    pub fn terminate(&mut self, name: &str) -> Result<()> {
        self.process(name)?.terminate()
    }

    /// Ends an endpoint or an entry and starts it again, as a later incarnation on
    /// another port, and tells the list.
    ///
    /// # Errors
    /// If there is none, or it does not start.
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
    /// Sends a request to an entry and waits for the whole reply.
    ///
    /// # Errors
    /// If there is no such entry, or no whole reply.
    pub async fn request(&self, entry: &str, pipeline: &str, body: &RequestBody) -> Result<Reply> {
        let path = format!("/v1/pipelines/{pipeline}/requests");
        self.http.post(self.addr(entry)?, &path, body).await
    }

    /// An entry's status.
    ///
    /// # Errors
    /// If there is none, or it cannot be reached.
    pub async fn status(&self, entry: &str) -> Result<EntryStatus> {
        self.http.get_json(self.addr(entry)?, "/v1/status").await
    }

    /// Waits until an entry says that it is ready.
    ///
    /// # Errors
    /// If it does not in time.
    pub async fn wait_ready(&self, entry: &str) -> Result<()> {
        let addr = self.addr(entry)?;
        let poll = async || self.http.get(addr, "/readyz").await.ok().filter(|r| r.status == 200);
        wait::until(&format!("{entry} being ready"), TIMEOUT, poll).await.map(drop)
    }

    /// Waits until every entry has a version, or a later one, in force.
    ///
    /// # Errors
    /// If one does not in time.
    pub async fn wait_version(&self, version: Version) -> Result<()> {
        for name in self.entries.keys() {
            let what = format!("version {version} at {name}");
            self.wait_status(name, &what, TIMEOUT, |status| status.version >= version).await?;
        }
        Ok(())
    }

    /// Waits until every entry believes every other one alive.
    ///
    /// # Errors
    /// If one does not in time.
    pub async fn wait_peers(&self) -> Result<()> {
        let others = self.entries.len().saturating_sub(1);
        for name in self.entries.keys() {
            let what = format!("{others} peers of {name}");
            self.wait_status(name, &what, TIMEOUT, |status| status.peers.len() >= others).await?;
        }
        Ok(())
    }

    /// Waits until an entry's status is as asked for.
    ///
    /// # Errors
    /// If it is not in time.
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
