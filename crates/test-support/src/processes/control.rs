//! What a test tells the platform and the endpoints, and reads of them.

use std::sync::Arc;

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
    admin::{DrainBody, DrainReply, EvacuationBody, EvacuationReply, PublishBody, PublishReply},
    platform::{AppendBody, AppendReply},
};

use crate::{
    error::{Error, Result},
    fixture,
    processes::{ADMIN, AUTHOR, System, TOKEN, builder},
};

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
    pub async fn update_list(&self) -> Result<()> {
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
        self.update_list().await
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
        let admin = builder::start_admin(self, name)?;
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

    /// Orders through the administration process that a data centre is evacuated, or
    /// takes that back.
    ///
    /// # Errors
    /// If there is none, or it does not accept.
    pub async fn evacuate(&self, data_centre: &str, is_over: bool) -> Result<EvacuationReply> {
        let admin = self.admins.get(ADMIN).ok_or(Error::NoAdmin)?;
        let body = EvacuationBody { author: AUTHOR.into(), is_over };
        let path = format!("/v1/data-centres/{data_centre}/evacuation");
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
