//! Configures and starts a system of processes.

use std::{collections::BTreeMap, path::PathBuf, sync::Arc};

use peatdeck_core::document::{Document, Pool, PoolKind};

use super::{
    ADMIN, System, TOKEN,
    node::{Endpoint, Entry, Node},
};
use crate::{error::Result, fixture, http::Http, process::Spec};

/// The program that all stand-ins run.
const STANDIN: &str = "peatdeck-standin";
/// The id of the first publish.
const FIRST_PUBLISH: &str = "first";

/// Settings of a system to start. All lists of flags are empty by default.
#[derive(Debug, Clone)]
pub struct Builder {
    document: Document,
    data_centres: Vec<Arc<str>>,
    endpoints: usize,
    entries: usize,
    has_admin: bool,
    log_flags: Vec<String>,
    list_flags: Vec<String>,
    pool_flags: BTreeMap<String, Vec<String>>,
    entry_flags: Vec<String>,
    entry_env: Vec<(String, String)>,
    traces: Option<PathBuf>,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder::new(fixture::document())
    }
}

impl Builder {
    /// A system with two endpoints for each pool of `document`, two entries and an
    /// administration process.
    pub fn new(document: Document) -> Builder {
        Builder {
            document,
            data_centres: vec!["dc-1".into(), "dc-2".into()],
            endpoints: 2,
            entries: 2,
            has_admin: true,
            log_flags: Vec::new(),
            list_flags: Vec::new(),
            pool_flags: BTreeMap::new(),
            entry_flags: Vec::new(),
            entry_env: Vec::new(),
            traces: None,
        }
    }

    /// Sets the number of endpoints in each pool.
    #[must_use]
    pub fn endpoints(self, endpoints: usize) -> Builder {
        Builder { endpoints, ..self }
    }

    /// Sets the number of entries.
    #[must_use]
    pub fn entries(self, entries: usize) -> Builder {
        Builder { entries, ..self }
    }

    /// Starts no administration process; the document is appended to the log
    /// directly.
    #[must_use]
    pub fn without_admin(self) -> Builder {
        Builder { has_admin: false, ..self }
    }

    /// Adds command-line flags of the log.
    #[must_use]
    pub fn log_flags(mut self, flags: &[&str]) -> Builder {
        self.log_flags.extend(owned(flags));
        self
    }

    /// Adds command-line flags of the list.
    #[must_use]
    pub fn list_flags(mut self, flags: &[&str]) -> Builder {
        self.list_flags.extend(owned(flags));
        self
    }

    /// Adds command-line flags of the endpoints of a pool.
    #[must_use]
    pub fn pool_flags(mut self, pool: &str, flags: &[&str]) -> Builder {
        self.pool_flags.entry(pool.to_owned()).or_default().extend(owned(flags));
        self
    }

    /// Adds command-line flags of the entries.
    #[must_use]
    pub fn entry_flags(mut self, flags: &[&str]) -> Builder {
        self.entry_flags.extend(owned(flags));
        self
    }

    /// Adds an environment variable of the entries.
    #[must_use]
    pub fn entry_env(mut self, name: &str, value: &str) -> Builder {
        self.entry_env.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Makes each entry record its first incarnation to `NAME.trace` in this directory.
    #[must_use]
    pub fn traces(self, folder: impl Into<PathBuf>) -> Builder {
        Builder { traces: Some(folder.into()), ..self }
    }

    /// Starts all processes; returns when every entry is ready, has the first
    /// document in force and lists all its peers.
    ///
    /// # Errors
    /// If a binary is missing, or a process does not start or become ready.
    pub async fn start(self) -> Result<System> {
        let log = Node::start(Spec::new("log", STANDIN).args(["log"]).args(&self.log_flags))?;
        let list = Node::start(Spec::new("list", STANDIN).args(["list"]).args(&self.list_flags))?;
        let endpoints = self.start_endpoints()?;
        let mut system = System {
            http: Http::new().await,
            document: self.document.clone(),
            log,
            list,
            admins: BTreeMap::new(),
            endpoints,
            entries: BTreeMap::new(),
        };
        // The list has all endpoints before the entries first read it.
        system.update_list().await?;
        system.entries = self.start_entries(&system)?;
        system.update_list().await?;
        if self.has_admin {
            system.add_admin(ADMIN).await?;
        }
        self.publish(&system).await?;
        for name in system.entries.keys() {
            system.wait_ready(name).await?;
        }
        system.wait_version(1).await?;
        system.wait_peers().await?;
        Ok(system)
    }

    fn start_endpoints(&self) -> Result<BTreeMap<String, Endpoint>> {
        let mut endpoints = BTreeMap::new();
        for pool in &self.document.pools {
            for idx in 0..self.endpoints {
                let name = format!("{}-{}", pool.name, idx + 1);
                endpoints.insert(name.clone(), self.start_endpoint(pool, name, idx)?);
            }
        }
        Ok(endpoints)
    }

    fn start_endpoint(&self, pool: &Pool, name: String, idx: usize) -> Result<Endpoint> {
        let role = match pool.kind {
            PoolKind::Engine => "engine",
            PoolKind::Service => "service",
        };
        let flags = self.pool_flags.get(&*pool.name).cloned().unwrap_or_default();
        let spec = Spec::new(&name, STANDIN).args([role, "--name", &name]).args(flags);
        Endpoint::start(spec, pool.name.clone(), pool.kind, 1, self.data_centre(idx))
    }

    fn start_entries(&self, system: &System) -> Result<BTreeMap<String, Entry>> {
        let mut entries = BTreeMap::new();
        for idx in 0..self.entries {
            let name = format!("entry-{}", idx + 1);
            let entry = self.start_entry(system, &name, idx)?;
            entries.insert(name, entry);
        }
        Ok(entries)
    }

    fn start_entry(&self, system: &System, name: &str, idx: usize) -> Result<Entry> {
        let data_centre = self.data_centre(idx);
        let mut spec = Spec::new(name, "peatdeck-entry")
            .args(["--name", name, "--data-centre", &data_centre])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--log", &system.log.addr, "--list", &system.list.addr])
            .args(&self.entry_flags);
        if let Some(folder) = &self.traces {
            let file = folder.join(format!("{name}.trace"));
            spec = spec.args(["--trace", &file.to_string_lossy()]);
        }
        spec.env.extend(self.entry_env.iter().cloned());
        Entry::start(spec, data_centre)
    }

    fn data_centre(&self, idx: usize) -> Arc<str> {
        self.data_centres[idx % self.data_centres.len()].clone()
    }

    async fn publish(&self, system: &System) -> Result<()> {
        if self.has_admin {
            system.publish(FIRST_PUBLISH, 0, &self.document).await.map(drop)
        } else {
            system.append_publish(FIRST_PUBLISH, 0, &self.document).await.map(drop)
        }
    }
}

pub(super) fn start_admin(system: &System, name: &str) -> Result<Node> {
    let spec = Spec::new(name, "peatdeck-admin")
        .args(["--listen", "127.0.0.1:0"])
        .args(["--log", &system.log.addr, "--list", &system.list.addr])
        .env("PEATDECK_ADMIN_TOKEN", TOKEN);
    Node::start(spec)
}

fn owned<'a>(flags: &'a [&str]) -> impl Iterator<Item = String> + 'a {
    flags.iter().map(|flag| (*flag).to_owned())
}
