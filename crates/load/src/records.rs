//! Reads the stand-ins' records of the calls that they ran.

use std::{collections::HashMap, sync::Arc, time::Duration};

use ntex::client::Client;
use peatdeck_core::model::{EndpointEntry, Listing};
use peatdeck_macros::data;
use peatdeck_standin::calls::{CallRecord, CallState, CallsBody};

use crate::{
    control, error, runtime,
    work::{CallEnd, EndpointCall},
};

/// Time limit for reading the records of one endpoint.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Records of several endpoints.
#[data]
#[derive(Default)]
pub struct Records {
    /// The calls that ran.
    pub calls: Vec<EndpointCall>,
    /// Number of records that endpoints had already discarded.
    pub dropped: u64,
    /// Endpoints whose records could not be read.
    pub unread: Vec<Arc<str>>,
}

impl Records {
    /// Adds other records, such as those read from an endpoint before it was
    /// killed.
    pub fn add(&mut self, other: Records) {
        self.calls.extend(other.calls);
        self.dropped += other.dropped;
        self.unread.extend(other.unread);
    }

    /// Removes duplicates of endpoints that were read twice; the record that was
    /// added last is kept.
    pub fn deduplicate(&mut self) {
        let mut last: HashMap<(Arc<str>, u64), EndpointCall> = HashMap::new();
        for call in self.calls.drain(..) {
            last.insert((call.endpoint.clone(), call.number), call);
        }
        self.calls = last.into_values().collect();
    }
}

/// Reads the current list from its URL (`http://ip:port`).
///
/// # Errors
/// If it cannot be read.
pub fn listing(list: &str) -> error::Result<Listing> {
    control::Request::get(format!("{list}/v1/list")).json()
}

/// Reads the records of all given endpoints concurrently.
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
    let body = runtime::fetch(client, &url, READ_TIMEOUT).await;
    let parsed = body.and_then(|body| serde_json::from_slice::<CallsBody>(&body).ok());
    let Some(body) = parsed else {
        return Records { unread: vec![entry.name.clone()], ..Records::default() };
    };
    let now = body.calls.iter().filter_map(last_time).max().unwrap_or(0);
    let calls = body.calls.iter().filter_map(|call| endpoint_call(entry, call, now)).collect();
    Records { calls, dropped: body.dropped, unread: Vec::new() }
}

fn last_time(call: &CallRecord) -> Option<u64> {
    call.ended_ms.or(call.started_ms)
}

/// Converts a record; `None` if the call never started.
fn endpoint_call(entry: &EndpointEntry, call: &CallRecord, now: u64) -> Option<EndpointCall> {
    let began = call.started_ms?;
    let ended = call.ended_ms.unwrap_or(now);
    Some(EndpointCall {
        endpoint: entry.name.clone(),
        pool: entry.pool.clone(),
        number: call.seq.0,
        request: call.echo.request.clone(),
        stage: call.echo.stage,
        name: call.stage.clone(),
        attempt: call.echo.attempt,
        began: Duration::from_millis(began),
        busy: Duration::from_millis(ended.saturating_sub(began)),
        end: call_end(call.state),
    })
}

fn call_end(state: CallState) -> CallEnd {
    match state {
        CallState::Finished => CallEnd::Finished,
        CallState::Cancelled => CallEnd::Cancelled,
        CallState::Waiting | CallState::Running | CallState::Cut => CallEnd::Broken,
    }
}
