//! A system of processes together with callers that check their responses.

use std::{
    sync::{Condvar, Mutex, PoisonError},
    time::Duration,
};

use futures::future;
use peatdeck_core::{model::Incarnation, record::Stream};
use peatdeck_standin::{calls::CallRecord, faults::LogFaults};
use peatdeck_test_support::{
    callers::{CallerResponse, Callers, Pending},
    fixture,
    processes::{System, builder::Builder},
    wait,
};
use peatdeck_wire::caller::RequestBody;

/// Number of systems that run concurrently; each has some fifteen processes.
const SYSTEMS: usize = 2;

/// A running system and its callers.
pub struct Bench {
    pub system: System,
    pub callers: Callers,
    _permit: SystemPermit,
}

impl Bench {
    /// Starts a system once fewer than [`SYSTEMS`] run.
    pub async fn start(builder: Builder) -> Bench {
        let permit = SystemPermit::acquire();
        let system = builder.start().await.unwrap();
        let callers = Callers::new(&system);
        Bench { system, callers, _permit: permit }
    }

    /// Sends a request in the background.
    pub fn send(&self, entry: &str, pipeline: &str, body: &RequestBody) -> Pending {
        self.callers.send(&self.system, entry, pipeline, body).unwrap()
    }

    /// Sends a request and waits for the response.
    pub async fn request(&self, entry: &str, pipeline: &str, body: &RequestBody) -> CallerResponse {
        self.send(entry, pipeline, body).response().await
    }

    /// Sends a request, waits for the response and compares its summary with `expected`.
    pub async fn check(
        &self,
        entry: &str,
        pipeline: &str,
        body: &RequestBody,
        expected: &str,
    ) -> CallerResponse {
        let response = self.request(entry, pipeline, body).await;
        assert_eq!(response.to_string(), expected, "{} at {entry}: {response:?}", body.id);
        response
    }

    /// Sends requests concurrently, to the entries in turn, and waits for all responses.
    pub async fn request_all(
        &self,
        pipeline: &str,
        bodies: impl IntoIterator<Item = RequestBody>,
    ) -> Vec<CallerResponse> {
        let entries = self.system.entries();
        let mut turns = entries.iter().cycle();
        let sent = bodies.into_iter().map(|body| {
            let entry = turns.next().expect("there are entries");
            self.send(entry, pipeline, &body).response()
        });
        future::join_all(sent).await
    }

    /// Waits until calls of a request match, and returns them.
    pub async fn wait_calls(
        &self,
        id: &str,
        what: &str,
        matches: impl Fn(&CallRecord) -> bool,
    ) -> Vec<(String, CallRecord)> {
        let poll = async || {
            let mut calls = self.system.calls_for(id).await.ok()?;
            calls.retain(|(_, call)| matches(call));
            (!calls.is_empty()).then_some(calls)
        };
        wait::until(what, wait::TIMEOUT, poll).await.unwrap()
    }

    /// Waits until a stream of the log has a record at `offset`.
    pub async fn wait_log(&self, stream: Stream, offset: u64) {
        let poll = async || {
            let next = self.system.log_next(stream).await.ok()?;
            (next > offset).then_some(())
        };
        wait::until(&format!("a record behind {offset}"), wait::TIMEOUT, poll).await.unwrap();
    }

    /// Waits until an entry has failed to read the log four more times.
    pub async fn wait_log_read_failures(&self, entry: &str) {
        let before = self.counter(entry, "log_read_failures").await;
        self.wait_counter(entry, "log_read_failures", before + 4).await;
    }

    /// Waits until a counter of an entry is at least `value`.
    pub async fn wait_counter(&self, entry: &str, name: &str, value: u64) {
        let what = format!("{name} of {entry} at {value}");
        let matches = |status: &peatdeck_wire::admin::EntryStatus| {
            status.counters.get(name).is_some_and(|count| *count >= value)
        };
        self.system.wait_status(entry, &what, wait::TIMEOUT, matches).await.unwrap();
    }

    /// Value of a counter of an entry; 0 if the entry has no such counter.
    pub async fn counter(&self, entry: &str, name: &str) -> u64 {
        let status = self.system.status(entry).await.unwrap();
        status.counters.get(name).copied().unwrap_or_default()
    }

    /// Waits until every entry reports an incarnation of an endpoint as leaving.
    pub async fn wait_leaving(&self, endpoint: &str, incarnation: u64, timeout: Duration) {
        for entry in self.system.entries() {
            let what = format!("{endpoint} leaving at {entry}");
            let matches = |status: &peatdeck_wire::admin::EntryStatus| {
                status.endpoints.iter().any(|known| {
                    let is_incarnation = known.incarnation == Incarnation(incarnation);
                    &*known.endpoint == endpoint && is_incarnation && &*known.state == "leaving"
                })
            };
            self.system.wait_status(&entry, &what, timeout, matches).await.unwrap();
        }
    }

    /// Reverts the log's faults.
    pub async fn clear_log_faults(&self) {
        self.set_log(LogFaults::default()).await;
    }

    /// Replaces the log's faults.
    pub async fn set_log(&self, faults: LogFaults) {
        self.system.set_log_faults(&faults).await.unwrap();
    }

    /// Ends the test: checks all responses against the records of the stand-ins.
    pub async fn finish(self) {
        let wrong = self.callers.check(&self.system).await.unwrap();
        assert!(wrong.is_empty(), "{:?}\n{}", self.callers.tally(), wrong.join("\n"));
    }
}

/// Idempotent requests `PREFIX-0`…, each with its own input.
pub fn requests(prefix: &str, count: usize) -> impl Iterator<Item = RequestBody> {
    (0..count).map(move |idx| fixture::request(&format!("{prefix}-{idx}"), &format!("input {idx}")))
}

/// The same request marked as a repeat, as a caller sends it when the outcome is unknown.
pub fn as_repeat(body: &RequestBody) -> RequestBody {
    RequestBody { repeat: true, ..body.clone() }
}

/// Permit to run one of [`SYSTEMS`] systems, returned on drop.
struct SystemPermit;

static RUNNING: Mutex<usize> = Mutex::new(0);
static SYSTEM_ENDED: Condvar = Condvar::new();

impl SystemPermit {
    /// Blocks until a permit is free; each test runs in its own thread.
    fn acquire() -> SystemPermit {
        let taken = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let mut taken = SYSTEM_ENDED
            .wait_while(taken, |taken| *taken >= SYSTEMS)
            .unwrap_or_else(PoisonError::into_inner);
        *taken += 1;
        SystemPermit
    }
}

impl Drop for SystemPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        SYSTEM_ENDED.notify_one();
    }
}
