//! A stand-in process, and calls to it.

#![allow(clippy::unwrap_used)]

use futures::StreamExt;
use ntex::{client::ClientResponse, http::StatusCode, time};
use peatdeck_core::{
    instance::input::RefuseReason,
    model::{Echo, RequestId},
};
use peatdeck_standin::{
    calls::{CallRecord, CallState, CallsBody},
    endpoint::EndpointState,
    faults::EndpointFaults,
};
use peatdeck_test_support::{
    http::{Http, Reply},
    process::{Process, Spec},
    wait::{self, TIMEOUT},
};
use peatdeck_wire::endpoint::{CallBody, CancelBody, EngineLine, RefusalBody};
use serde::Serialize;

/// A running stand-in.
pub struct Standin {
    pub http: Http,
    pub addr: String,
    _process: Process,
}

impl Standin {
    pub async fn start(args: &[&str]) -> Standin {
        let spec = Spec::new(args[0], "peatdeck-standin").args(args);
        let mut process = Process::start(&spec).unwrap();
        let addr = process.line("listening ").unwrap();
        Standin { http: Http::new().await, addr, _process: process }
    }

    pub async fn set_faults(&self, faults: &impl Serialize) {
        self.http.put(&self.addr, "/control/faults", faults).await.unwrap();
    }

    /// Sets faults for the next call only.
    pub async fn fail_next(&self, faults: EndpointFaults) {
        self.set_faults(&EndpointFaults { calls: Some(1), ..faults }).await;
    }

    pub async fn call(&self, body: &CallBody) -> Reply {
        self.http.post(&self.addr, "/v1/call", body).await.unwrap()
    }

    pub async fn open(&self, body: &CallBody) -> ClientResponse {
        let response = self.http.open(&self.addr, "/v1/call", body).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        response
    }

    /// Calls an engine; returns the lines of the stream and whether it was complete.
    pub async fn lines(&self, body: &CallBody) -> (Vec<EngineLine>, bool) {
        read_lines(self.open(body).await).await
    }

    pub async fn cancel(&self, body: &CallBody) {
        let cancel = CancelBody { echo: body.echo.clone() };
        let reply = self.http.post(&self.addr, "/v1/cancel", &cancel).await.unwrap();
        assert_eq!(reply.status, 200);
    }

    pub async fn calls(&self) -> Vec<CallRecord> {
        let body: CallsBody = self.http.get_json(&self.addr, "/control/calls").await.unwrap();
        body.calls
    }

    pub async fn state(&self) -> EndpointState {
        self.http.get_json(&self.addr, "/control/state").await.unwrap()
    }

    /// Waits until the records are in these states, oldest first.
    pub async fn wait_states(&self, states: &[CallState]) {
        let what = format!("records in states {states:?}");
        let look = async || {
            let calls = self.calls().await;
            calls.iter().map(|call| call.state).eq(states.iter().copied()).then_some(())
        };
        wait::until(&what, TIMEOUT, look).await.unwrap();
    }
}

/// The lines of a stream, and whether its body was complete.
pub async fn read_lines(response: ClientResponse) -> (Vec<EngineLine>, bool) {
    time::timeout(TIMEOUT, read_to_end(response)).await.expect("the stream ends")
}

async fn read_to_end(mut response: ClientResponse) -> (Vec<EngineLine>, bool) {
    let mut text = Vec::new();
    let mut is_whole = true;
    while let Some(chunk) = response.next().await {
        match chunk {
            Ok(chunk) => text.extend_from_slice(&chunk),
            Err(_) => is_whole = false,
        }
        if !is_whole {
            break;
        }
    }
    let lines = std::str::from_utf8(&text).unwrap().lines();
    (lines.map(|line| serde_json::from_str(line).unwrap()).collect(), is_whole)
}

/// A call of the stage named `stage` with the input `input`.
pub fn call(id: &str) -> CallBody {
    CallBody {
        echo: Echo { request: key(id), stage: 2, attempt: 1 },
        stage: "stage".into(),
        input: "input".into(),
        deadline_ms: 10_000,
        max_tokens: None,
        resume: Vec::new(),
    }
}

pub fn key(id: &str) -> RequestId {
    RequestId { team: "team".into(), id: id.into() }
}

pub fn check_refused(reply: &Reply, reason: RefuseReason) {
    assert_eq!(reply.status, 503);
    let body: RefusalBody = reply.json().unwrap();
    assert!(!body.ran);
    assert_eq!(body.reason, reason);
}
