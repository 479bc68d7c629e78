//! Operations on the platform, the administration process and the endpoints.

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

/// Operations on the list, the log and the administration process.
impl System {
    /// The listing of the running entries and endpoints, without the list's faults.
    pub fn listing(&self) -> Listing {
        let endpoints = self.endpoints.iter();
        let instances = self.entries.iter();
        Listing {
            instances: instances.map(|(name, entry)| entry.listed(name)).collect(),
            endpoints: endpoints.map(|(name, endpoint)| endpoint.listed(name)).collect(),
        }
    }

    /// Sets the list to [`System::listing`].
    ///
    /// # Errors
    /// If the list cannot be reached.
    pub async fn update_list(&self) -> Result<()> {
        self.http.put(&self.list.addr, "/control/list", &self.listing()).await
    }

    /// Sets the presence of an endpoint or an entry in the list.
    ///
    /// # Errors
    /// If the system has no such process, or the list cannot be reached.
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

    /// Publishes a document through the first administration process.
    ///
    /// # Errors
    /// If there is no administration process, or it rejects the request.
    pub async fn publish(
        &self,
        id: &str,
        base: Version,
        document: &Document,
    ) -> Result<PublishReply> {
        self.publish_by(ADMIN, id, base, document).await
    }

    /// Publishes a document through one of several administration processes.
    ///
    /// # Errors
    /// If there is no such administration process, or it rejects the request.
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

    /// Starts another administration process.
    ///
    /// # Errors
    /// If the process does not start.
    pub async fn add_admin(&mut self, name: &str) -> Result<()> {
        let admin = builder::start_admin(self, name)?;
        self.admins.insert(name.to_owned(), admin);
        Ok(())
    }

    /// Drains an endpoint through the administration process, so that it gets no new
    /// calls.
    ///
    /// # Errors
    /// If there is no administration process, or it rejects the request.
    pub async fn drain(&self, endpoint: &str) -> Result<DrainReply> {
        let admin = self.admins.get(ADMIN).ok_or(Error::NoAdmin)?;
        let body = DrainBody { author: AUTHOR.into(), incarnation: None };
        let path = format!("/v1/endpoints/{endpoint}/drain");
        self.http.post_as(TOKEN, &admin.addr, &path, &body).await
    }

    /// Starts or ends the evacuation of a data centre through the administration
    /// process.
    ///
    /// # Errors
    /// If there is no administration process, or it rejects the request.
    pub async fn evacuate(&self, data_centre: &str, is_over: bool) -> Result<EvacuationReply> {
        let admin = self.admins.get(ADMIN).ok_or(Error::NoAdmin)?;
        let body = EvacuationBody { author: AUTHOR.into(), is_over };
        let path = format!("/v1/data-centres/{data_centre}/evacuation");
        self.http.post_as(TOKEN, &admin.addr, &path, &body).await
    }

    /// Appends a publish to the log directly, without the administration process's
    /// checks.
    ///
    /// # Errors
    /// If the log does not acknowledge the append.
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

    /// Replaces the faults of the log.
    ///
    /// # Errors
    /// If the process cannot be reached.
    pub async fn set_log_faults(&self, faults: &LogFaults) -> Result<()> {
        self.http.put(&self.log.addr, "/control/faults", faults).await
    }

    /// Replaces the faults of the list.
    ///
    /// # Errors
    /// If the process cannot be reached.
    pub async fn set_list_faults(&self, faults: &ListFaults) -> Result<()> {
        self.http.put(&self.list.addr, "/control/faults", faults).await
    }

    /// Offset that the next append to a stream of the log will get.
    ///
    /// # Errors
    /// If the log cannot be reached.
    pub async fn log_next(&self, stream: Stream) -> Result<u64> {
        let state = self.log_state().await?;
        Ok(state.streams.get(stream.name()).map_or(0, |stream| stream.next))
    }

    /// Reads the state of the log.
    ///
    /// # Errors
    /// If the process cannot be reached.
    pub async fn log_state(&self) -> Result<LogState> {
        self.http.get_json(&self.log.addr, "/control/state").await
    }
}

/// Operations on endpoints, and the calls they recorded.
impl System {
    /// Replaces the faults of an endpoint.
    ///
    /// # Errors
    /// If the system has no such endpoint, or it cannot be reached.
    pub async fn set_faults(&self, name: &str, faults: &EndpointFaults) -> Result<()> {
        self.http.put(self.addr(name)?, "/control/faults", faults).await
    }

    /// Replaces the faults of all endpoints of a pool.
    ///
    /// # Errors
    /// If an endpoint cannot be reached.
    pub async fn set_pool_faults(&self, pool: &str, faults: &EndpointFaults) -> Result<()> {
        for name in self.pool(pool) {
            self.set_faults(&name, faults).await?;
        }
        Ok(())
    }

    /// All calls that an endpoint has recorded.
    ///
    /// # Errors
    /// If the system has no such endpoint, or it cannot be reached.
    pub async fn calls(&self, name: &str) -> Result<Vec<CallRecord>> {
        let body: CallsBody = self.http.get_json(self.addr(name)?, "/control/calls").await?;
        Ok(body.calls)
    }

    /// All calls that all endpoints have recorded, with the endpoint's name.
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

    /// Whether a stage of the first document is repeatable.
    pub fn is_repeatable(&self, stage: &str) -> bool {
        let pipelines = self.document.pipelines.iter();
        let mut stages = pipelines.flat_map(|pipeline| &pipeline.stages);
        stages.find(|known| &*known.name == stage).is_none_or(|known| known.repeatable)
    }

    /// All recorded calls for one request, with the endpoint's name.
    ///
    /// # Errors
    /// If an endpoint cannot be reached.
    pub async fn calls_for(&self, id: &str) -> Result<Vec<(String, CallRecord)>> {
        let key = fixture::key(id);
        let mut calls = self.all_calls().await?;
        calls.retain(|(_, call)| call.echo.request == key);
        Ok(calls)
    }

    /// The only correct output of a pipeline of the first document for this request;
    /// `None` if the document has no such pipeline.
    pub fn expected(&self, pipeline: &str, id: &str, input: &str) -> Option<String> {
        let pipeline = self.document.pipeline(pipeline)?;
        answer::expected_output(&self.document, pipeline, &fixture::key(id), input)
    }
}
