//! Settings of a system of processes, and its start.

use std::{collections::BTreeMap, path::PathBuf, sync::Arc};

use peatdeck_core::document::{Document, Pool, PoolKind};

use super::{
    ADMIN, System, TOKEN,
    node::{Endpoint, Entry, Node},
};
use crate::{error::Result, fixture, http::Http, process::Spec};

/// The binary of all stand-ins.
const STANDIN: &str = "peatdeck-standin";
/// The id of the first publish.
const FIRST_PUBLISH: &str = "first";

/// What to start. Every list of flags is empty unless set.
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
    /// Two endpoints a pool of `document`, two entries, an administration process.
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

    /// How many endpoints each pool has.
    #[must_use]
    pub fn endpoints(self, endpoints: usize) -> Builder {
        Builder { endpoints, ..self }
    }

    /// How many entries there are.
    #[must_use]
    pub fn entries(self, entries: usize) -> Builder {
        Builder { entries, ..self }
    }

    /// Without an administration process: the first document is appended to
    /// the log directly.
    #[must_use]
    pub fn without_admin(self) -> Builder {
        Builder { has_admin: false, ..self }
    }

    /// More flags of the log.
    #[must_use]
    pub fn log_flags(mut self, flags: &[&str]) -> Builder {
        self.log_flags.extend(owned(flags));
        self
    }

    /// More flags of the list.
    #[must_use]
    pub fn list_flags(mut self, flags: &[&str]) -> Builder {
        self.list_flags.extend(owned(flags));
        self
    }

    /// More flags of the endpoints of a pool.
    #[must_use]
    pub fn pool_flags(mut self, pool: &str, flags: &[&str]) -> Builder {
        self.pool_flags.entry(pool.to_owned()).or_default().extend(owned(flags));
        self
    }

    /// More flags of the entries.
    #[must_use]
    pub fn entry_flags(mut self, flags: &[&str]) -> Builder {
        self.entry_flags.extend(owned(flags));
        self
    }

    /// One more variable of the entries' environment.
    #[must_use]
    pub fn entry_env(mut self, name: &str, value: &str) -> Builder {
        self.entry_env.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Each entry records its first life into `NAME.trace` in this folder.
    #[must_use]
    pub fn traces(self, folder: impl Into<PathBuf>) -> Builder {
        Builder { traces: Some(folder.into()), ..self }
    }

    /// Starts everything; returns when every entry is ready, with the first
    /// document in force and all its peers known.
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
        // Entries find every endpoint with their first look at the list.
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
