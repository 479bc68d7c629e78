//! Reads the stand-ins' records of what they ran.

use std::{collections::HashMap, sync::Arc, time::Duration};

use ntex::client::Client;
use peatdeck_core::model::{EndpointEntry, Listing};
use peatdeck_macros::data;
use peatdeck_standin::calls::{CallRecord, CallState, CallsBody};

use crate::{
    control, error, runtime,
    work::{End, Work},
};

/// How long one endpoint may take to give its records.
const READ_TIME: Duration = Duration::from_secs(30);

/// What was read.
#[data]
#[derive(Default)]
pub struct Records {
    /// The calls that ran.
    pub works: Vec<Work>,
    /// Records that endpoints no longer held.
    pub dropped: u64,
    /// Endpoints that gave no records.
    pub unread: Vec<Arc<str>>,
}

impl Records {
    /// Adds records that were read earlier, such as those of an endpoint that
    /// is gone by now.
    pub fn add(&mut self, other: Records) {
        self.works.extend(other.works);
        self.dropped += other.dropped;
        self.unread.extend(other.unread);
    }

    /// Drops what counts twice because an endpoint was read twice; the later
    /// reading stands.
    pub fn unique(&mut self) {
        let mut last: HashMap<(Arc<str>, u64), Work> = HashMap::new();
        for work in self.works.drain(..) {
            last.insert((work.endpoint.clone(), work.number), work);
        }
        self.works = last.into_values().collect();
    }
}

/// The list as it stands, from its URL (`http://ip:port`).
///
/// # Errors
/// If it cannot be read.
pub fn listing(list: &str) -> error::Result<Listing> {
    control::Request::get(format!("{list}/v1/list")).json()
}

/// Reads the records of endpoints.
pub fn read(endpoints: &[EndpointEntry]) -> Records {
    let endpoints = endpoints.to_vec();
    runtime::block_on(async move {
        let client = runtime::client().await;
        let reads = endpoints.iter().map(|entry| read_one(&client, entry));
        let mut records = Records::default();
        for read in futures::future::join_all(reads).await {
            records.add(read);
        }
        records
    })
}

async fn read_one(client: &Client, entry: &EndpointEntry) -> Records {
    let url = format!("http://{}/control/calls", entry.addr);
    let body = runtime::fetch(client, &url, READ_TIME).await;
    let parsed = body.and_then(|body| serde_json::from_slice::<CallsBody>(&body).ok());
    let Some(body) = parsed else {
        return Records { unread: vec![entry.name.clone()], ..Records::default() };
    };
    let now = body.calls.iter().filter_map(newest).max().unwrap_or(0);
    let works = body.calls.iter().filter_map(|call| work(entry, call, now)).collect();
    Records { works, dropped: body.dropped, unread: Vec::new() }
}

fn newest(call: &CallRecord) -> Option<u64> {
    call.ended_ms.or(call.started_ms)
}

/// A record as work; `None` if the call never ran.
fn work(entry: &EndpointEntry, call: &CallRecord, now: u64) -> Option<Work> {
    let began = call.started_ms?;
    let ended = call.ended_ms.unwrap_or(now);
    Some(Work {
        endpoint: entry.name.clone(),
        pool: entry.pool.clone(),
        number: call.seq.0,
        request: call.echo.request.clone(),
        stage: call.echo.stage,
        name: call.stage.clone(),
        attempt: call.echo.attempt,
        began: Duration::from_millis(began),
        busy: Duration::from_millis(ended.saturating_sub(began)),
        end: end(call.state),
    })
}

fn end(state: CallState) -> End {
    match state {
        CallState::Finished => End::Finished,
        CallState::Cancelled => End::Cancelled,
        CallState::Waiting | CallState::Running | CallState::Cut => End::Broken,
    }
}
