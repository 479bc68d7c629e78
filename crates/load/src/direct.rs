//! Runs the stages of a request without an entry instance: the tool calls the
//! endpoints itself, one after the other. This is the baseline against which
//! the overhead of an entry is measured.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use ntex::{client::Client, http::StatusCode};
use peatdeck_core::{
    document::{Document, PoolKind, Stage},
    model::{Echo, Listing, Presence, RequestId},
};
use peatdeck_wire::endpoint;

use crate::{arrivals::Arrival, caller::Reply, sample::Ending};

/// Calls endpoints directly, round robin over the endpoints of each pool.
#[derive(Debug)]
pub struct DirectClient {
    document: Arc<Document>,
    pools: HashMap<Arc<str>, Vec<Arc<str>>>,
    next: AtomicUsize,
}

impl DirectClient {
    /// A client of the live endpoints in `listing`.
    pub fn new(document: Arc<Document>, listing: &Listing) -> DirectClient {
        let mut pools: HashMap<Arc<str>, Vec<Arc<str>>> = HashMap::new();
        let live = listing.endpoints.iter().filter(|entry| entry.presence == Presence::Live);
        for entry in live {
            pools.entry(entry.pool.clone()).or_default().push(entry.addr.clone());
        }
        DirectClient { document, pools, next: AtomicUsize::new(0) }
    }

    /// Runs a request's stages, waiting at most `timeout` in total.
    pub async fn send(
        &self,
        client: &Client,
        arrival: &Arrival,
        time_left: Duration,
        timeout: Duration,
    ) -> Reply {
        match ntex::time::timeout(timeout, self.run(client, arrival, time_left)).await {
            Ok(Some(output)) => Reply { output: Some(output), ..Reply::ended(Ending::Answered) },
            Ok(None) => Reply::ended(Ending::Cut),
            Err(()) => Reply::ended(Ending::Silent),
        }
    }

    async fn run(
        &self,
        client: &Client,
        arrival: &Arrival,
        time_left: Duration,
    ) -> Option<Arc<str>> {
        let pipeline = self.document.pipeline(&arrival.pipeline)?;
        let mut text = arrival.input.clone();
        for (index, stage) in pipeline.stages.iter().enumerate() {
            let request = RequestId { team: arrival.team.clone(), id: arrival.id.clone() };
            let echo = Echo { request, stage: u32::try_from(index).ok()?, attempt: 1 };
            let body = endpoint::CallBody {
                echo,
                stage: stage.name.clone(),
                input: text,
                deadline_ms: u64::try_from(time_left.as_millis()).ok()?,
                max_tokens: stage.max_tokens,
                resume: Vec::new(),
            };
            text = self.call(client, stage, &body).await?;
        }
        Some(text)
    }

    async fn call(
        &self,
        client: &Client,
        stage: &Stage,
        body: &endpoint::CallBody,
    ) -> Option<Arc<str>> {
        let addr = self.pick(&stage.pool)?;
        let response = client.post(format!("http://{addr}/v1/call")).send_json(body).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let bytes = response.body().await.ok()?;
        match self.document.pool(&stage.pool)?.kind {
            PoolKind::Service => {
                serde_json::from_slice::<endpoint::ReplyBody>(&bytes).ok().map(|reply| reply.output)
            }
            PoolKind::Engine => generated_text(&bytes),
        }
    }

    fn pick(&self, pool: &str) -> Option<Arc<str>> {
        let addrs = self.pools.get(pool)?;
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        addrs.get(turn % addrs.len()).cloned()
    }
}

/// The text of an engine's stream; `None` if the stream is malformed or incomplete.
fn generated_text(bytes: &[u8]) -> Option<Arc<str>> {
    let mut text = String::new();
    for line in bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
        match serde_json::from_slice(line).ok()? {
            endpoint::EngineLine::Chunk { text: piece, .. } => text.push_str(&piece),
            endpoint::EngineLine::Done { .. } => return Some(text.into()),
        }
    }
    None
}
