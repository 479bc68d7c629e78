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

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use peatdeck_core::{
    document::Document,
    model::{Listing, Presence},
    record::{ConfigRecord, Publish, Stream, Version},
};
use peatdeck_standin::{
    answer,
    calls::{CallRecord, CallsBody},
    faults::{EndpointFaults, ListFaults, LogFaults},
    log::LogState,
};
use peatdeck_wire::{
    admin::{DrainBody, DrainReply, EntryStatus, PublishBody, PublishReply},
    caller::RequestBody,
    platform::{AppendBody, AppendReply},
};

use crate::{
    error::{Error, Result},
    fixture,
    http::{Http, Reply},
    process::Process,
    wait::{self, BOUND},
};

pub mod builder;
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

    /// Ends an endpoint or an entry and starts it again, as a later life on
    /// another port, and tells the list.
    ///
    /// # Errors
    /// If there is none, or it does not start.
    pub async fn restart(&mut self, name: &str) -> Result<()> {
        if let Some(mut old) = self.endpoints.remove(name) {
            old.node.process.kill()?;
            let life = old.incarnation + 1;
            let spec = old.node.spec;
            let new = Endpoint::start(spec, old.pool, old.kind, life, old.data_centre)?;
            self.endpoints.insert(name.to_owned(), new);
        } else if let Some(mut old) = self.entries.remove(name) {
            old.node.process.kill()?;
            let new = Entry::start(old.node.spec, old.data_centre)?;
            self.entries.insert(name.to_owned(), new);
        } else {
            return Err(Error::Unknown(name.to_owned()));
        }
        self.tell_list().await
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

/// The list and the log.
impl System {
    /// The truth about instances and endpoints.
    pub fn listing(&self) -> Listing {
        let endpoints = self.endpoints.iter();
        let instances = self.entries.iter();
        Listing {
            instances: instances.map(|(name, entry)| entry.listed(name)).collect(),
            endpoints: endpoints.map(|(name, endpoint)| endpoint.listed(name)).collect(),
        }
    }

    /// Tells the list the truth.
    ///
    /// # Errors
    /// If the list cannot be reached.
    pub async fn tell_list(&self) -> Result<()> {
        self.http.put(&self.list.addr, "/control/list", &self.listing()).await
    }

    /// Marks an endpoint or an entry in the list.
    ///
    /// # Errors
    /// If there is none, or the list cannot be reached.
    pub async fn set_presence(&mut self, name: &str, presence: Presence) -> Result<()> {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.presence = presence;
        } else if let Some(entry) = self.entries.get_mut(name) {
            entry.presence = presence;
        } else {
            return Err(Error::Unknown(name.to_owned()));
        }
        self.tell_list().await
    }

    /// Publishes through the administration process.
    ///
    /// # Errors
    /// If there is none, or it does not accept.
    pub async fn publish(
        &self,
        id: &str,
        base: Version,
        document: &Document,
    ) -> Result<PublishReply> {
        self.publish_by(ADMIN, id, base, document).await
    }

    /// Publishes through one of several administration processes.
    ///
    /// # Errors
    /// If there is no such process, or it does not accept.
    pub async fn publish_by(
        &self,
        admin: &str,
        id: &str,
        base: Version,
        document: &Document,
    ) -> Result<PublishReply> {
        let admin = self.admins.get(admin).ok_or(Error::NoAdmin)?;
        let document = Arc::new(document.clone());
        let body = PublishBody { id: id.into(), base, author: AUTHOR.into(), document };
        self.http.post_as(TOKEN, &admin.addr, "/v1/config/publish", &body).await
    }

    /// Starts one more administration process.
    ///
    /// # Errors
    /// If it does not start.
    pub async fn add_admin(&mut self, name: &str) -> Result<()> {
        let admin = builder::start_admin(self, name).await?;
        self.admins.insert(name.to_owned(), admin);
        Ok(())
    }

    /// Orders through the administration process that an endpoint gets no new
    /// work.
    ///
    /// # Errors
    /// If there is none, or it does not accept.
    pub async fn drain(&self, endpoint: &str) -> Result<DrainReply> {
        let admin = self.admins.get(ADMIN).ok_or(Error::NoAdmin)?;
        let body = DrainBody { author: AUTHOR.into(), incarnation: None };
        let path = format!("/v1/endpoints/{endpoint}/drain");
        self.http.post_as(TOKEN, &admin.addr, &path, &body).await
    }

    /// Appends a publish to the log, without anybody's check.
    ///
    /// # Errors
    /// If the log does not acknowledge it.
    pub async fn append_publish(
        &self,
        id: &str,
        base: Version,
        document: &Document,
    ) -> Result<AppendReply> {
        let document = Arc::new(document.clone());
        let publish = Publish { id: id.into(), base, author: AUTHOR.into(), document };
        let record = ConfigRecord::Publish(publish);
        let data = serde_json::to_string(&record).expect("a record has string keys only");
        let path = format!("/v1/streams/{}/records", Stream::Config.name());
        let body = AppendBody { data: data.into() };
        let reply = self.http.post(&self.log.addr, &path, &body).await?;
        reply.json().ok_or_else(|| Error::Status {
            what: "an append".to_owned(),
            status: reply.status,
            body: reply.text(),
        })
    }

    /// Sets the faults of the log.
    ///
    /// # Errors
    /// If it cannot be reached.
    pub async fn set_log_faults(&self, faults: &LogFaults) -> Result<()> {
        self.http.put(&self.log.addr, "/control/faults", faults).await
    }

    /// Sets the faults of the list.
    ///
    /// # Errors
    /// If it cannot be reached.
    pub async fn set_list_faults(&self, faults: &ListFaults) -> Result<()> {
        self.http.put(&self.list.addr, "/control/faults", faults).await
    }

    /// The offset of the next append to a stream of the log.
    ///
    /// # Errors
    /// If the log cannot be reached.
    pub async fn log_next(&self, stream: Stream) -> Result<u64> {
        let state = self.log_state().await?;
        Ok(state.streams.get(stream.name()).map_or(0, |stream| stream.next))
    }

    /// Where the log stands.
    ///
    /// # Errors
    /// If it cannot be reached.
    pub async fn log_state(&self) -> Result<LogState> {
        self.http.get_json(&self.log.addr, "/control/state").await
    }
}

/// Endpoints and what they ran.
impl System {
    /// Sets the faults of an endpoint.
    ///
    /// # Errors
    /// If there is none, or it cannot be reached.
    pub async fn set_faults(&self, name: &str, faults: &EndpointFaults) -> Result<()> {
        self.http.put(self.addr(name)?, "/control/faults", faults).await
    }

    /// Sets the faults of every endpoint of a pool.
    ///
    /// # Errors
    /// If one cannot be reached.
    pub async fn set_pool_faults(&self, pool: &str, faults: &EndpointFaults) -> Result<()> {
        for name in self.pool(pool) {
            self.set_faults(&name, faults).await?;
        }
        Ok(())
    }

    /// Every call that an endpoint took in.
    ///
    /// # Errors
    /// If there is none, or it cannot be reached.
    pub async fn calls(&self, name: &str) -> Result<Vec<CallRecord>> {
        let body: CallsBody = self.http.get_json(self.addr(name)?, "/control/calls").await?;
        Ok(body.calls)
    }

    /// Every call that every endpoint took in, with the endpoint's name.
    ///
    /// # Errors
    /// If an endpoint cannot be reached.
    pub async fn all_calls(&self) -> Result<Vec<(String, CallRecord)>> {
        let mut found = Vec::new();
        for name in self.endpoints.keys() {
            let calls = self.calls(name).await?.into_iter();
            found.extend(calls.map(|call| (name.clone(), call)));
        }
        Ok(found)
    }

    /// Whether a stage of the first document may be repeated.
    pub fn is_repeatable(&self, stage: &str) -> bool {
        let pipelines = self.document.pipelines.iter();
        let mut stages = pipelines.flat_map(|pipeline| &pipeline.stages);
        stages.find(|known| &*known.name == stage).is_none_or(|known| known.repeatable)
    }

    /// Every call for one request, over all endpoints, with the endpoint's name.
    ///
    /// # Errors
    /// If an endpoint cannot be reached.
    pub async fn calls_for(&self, id: &str) -> Result<Vec<(String, CallRecord)>> {
        let key = fixture::key(id);
        let mut calls = self.all_calls().await?;
        calls.retain(|(_, call)| call.echo.request == key);
        Ok(calls)
    }

    /// The one right output of a pipeline of the first document.
    pub fn expected(&self, pipeline: &str, id: &str, input: &str) -> Option<String> {
        let pipeline = self.document.pipeline(pipeline)?;
        answer::expected(&self.document, pipeline, &fixture::key(id), input)
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
        let look = async || self.http.get(addr, "/readyz").await.ok().filter(|r| r.status == 200);
        wait::until(&format!("{entry} being ready"), BOUND, look).await.map(drop)
    }

    /// Waits until every entry has a version, or a later one, in force.
    ///
    /// # Errors
    /// If one does not in time.
    pub async fn wait_version(&self, version: Version) -> Result<()> {
        for name in self.entries.keys() {
            let what = format!("version {version} at {name}");
            self.wait_status(name, &what, BOUND, |status| status.version >= version).await?;
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
            self.wait_status(name, &what, BOUND, |status| status.peers.len() >= others).await?;
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
        bound: Duration,
        is_so: impl Fn(&EntryStatus) -> bool,
    ) -> Result<EntryStatus> {
        self.addr(entry)?;
        let look = async || self.status(entry).await.ok().filter(|status| is_so(status));
        wait::until(what, bound, look).await
    }
}
