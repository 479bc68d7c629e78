//! Callers get complete answers to their own requests although endpoints send
//! replies that are late, duplicated, truncated, out of order or of another
//! request.

use futures::StreamExt;
use peatdeck_standin::{
    calls::{CallRecord, CallState},
    endpoint::EndpointState,
    faults::EndpointFaults,
};
use peatdeck_test_support::{
    fixture::{self, CERTIFICATE, TICKET},
    processes::builder::Builder,
    wait::{self, TIMEOUT},
};
use peatdeck_wire::caller::RequestBody;

use crate::support::{self, Bench, as_repeat};

/// Number of requests in each burst.
const BURST: usize = 40;
/// Deadline of the requests in a burst.
const DEADLINE_MS: i64 = 3_000;

fn faults(calls: u32) -> EndpointFaults {
    EndpointFaults { calls: Some(calls), ..EndpointFaults::default() }
}

/// Requests of a burst, whose deadline is short enough for hedges.
fn requests(prefix: &str) -> impl Iterator<Item = RequestBody> {
    let bodies = support::requests(prefix, BURST);
    bodies.map(|body| RequestBody { deadline_ms: DEADLINE_MS, ..body })
}

/// Sends a burst while one endpoint has a fault for some calls. Checks that all
/// callers get a complete answer and that a counter has recorded the fault.
async fn check(bench: &Bench, endpoint: &str, faults: EndpointFaults, name: &str, counter: &str) {
    let before = count(bench, counter).await;
    bench.system.set_faults(endpoint, &faults).await.unwrap();
    let responses = bench.request_all(CERTIFICATE, requests(name)).await;
    let failed: Vec<_> = responses.iter().filter(|response| response.output().is_none()).collect();
    assert!(failed.is_empty(), "{name}: {failed:?}");
    let addr = bench.system.addr(endpoint).unwrap();
    let state: EndpointState = bench.system.http.get_json(addr, "/control/state").await.unwrap();
    assert_eq!(state.faults, EndpointFaults::default(), "{name}: {endpoint} got too few calls");
    let after = count(bench, counter).await;
    assert!(after > before, "{name}: no {counter}");
}

/// Sum of a counter over both entries.
async fn count(bench: &Bench, counter: &str) -> u64 {
    bench.counter("entry-1", counter).await + bench.counter("entry-2", counter).await
}

#[ntex::test]
async fn callers_get_their_own_answers_from_services_that_misbehave() {
    let bench = Bench::start(Builder::default()).await;
    // The endpoint needs earlier calls whose replies it can send by mistake.
    bench.request_all(CERTIFICATE, requests("warm")).await;
    let of_other = EndpointFaults { wrong_echo: true, ..faults(2) };
    check(&bench, "rerank-1", of_other, "of-other", "echo_mismatch").await;
    let doubled = EndpointFaults { duplicate: true, ..faults(2) };
    check(&bench, "retrieve-1", doubled, "doubled", "answered").await;
    let cut = EndpointFaults { cut_after: Some(20), ..faults(2) };
    check(&bench, "retrieve-2", cut, "cut", "failed_calls").await;
    let closed = EndpointFaults { cut_after: Some(0), ..faults(2) };
    check(&bench, "rerank-2", closed, "closed", "failed_calls").await;
    let late = EndpointFaults { delay_ms: 4_000, ..faults(2) };
    check(&bench, "encode-1", late, "late", "hedges").await;
    bench.finish().await;
}

#[ntex::test]
async fn callers_get_their_own_answers_from_engines_that_misbehave() {
    let bench = Bench::start(Builder::default()).await;
    bench.request_all(CERTIFICATE, requests("warm")).await;
    let of_other = EndpointFaults { wrong_echo: true, ..faults(2) };
    check(&bench, "generate-1", of_other, "of-other", "echo_mismatch").await;
    let doubled = EndpointFaults { duplicate: true, ..faults(4) };
    check(&bench, "generate-2", doubled, "doubled", "duplicate_pieces").await;
    let reordered = EndpointFaults { reorder: true, ..faults(4) };
    check(&bench, "generate-2", reordered, "reordered", "answered").await;
    // The entry has reordered the pieces instead of restarting the generation.
    assert_eq!(count(&bench, "torn_streams").await, 0);
    let cut = EndpointFaults { cut_after: Some(3), ..faults(2) };
    check(&bench, "generate-2", cut, "cut", "resumes").await;
    bench.finish().await;
}

#[ntex::test]
async fn a_truncated_generation_resumes_at_another_engine() {
    let bench = Bench::start(Builder::default()).await;
    let cut = EndpointFaults { cut_after: Some(3), ..faults(1) };
    bench.system.set_pool_faults("generate", &cut).await.unwrap();
    let body = fixture::request("resumed", "licence");
    bench.check("entry-1", CERTIFICATE, &body, "200 answered").await;
    let calls = bench.system.calls_for("resumed").await.unwrap();
    let mut engines: Vec<_> =
        calls.into_iter().filter(|(_, call)| &*call.stage == "generate").collect();
    engines.sort_by_key(|(_, call)| call.echo.attempt);
    // Both engines cut after three pieces; each call resumes after the pieces received so far.
    let resumed: Vec<u32> = engines.iter().map(|(_, call)| call.resumed).collect();
    assert!(resumed.len() > 1, "{engines:?}");
    assert!(resumed.iter().zip(0..).all(|(held, idx)| *held == 3 * idx), "{engines:?}");
    assert_ne!(engines[0].0, engines[1].0);
    bench.finish().await;
}

#[ntex::test]
async fn a_ledger_reply_of_another_request_is_never_forwarded() {
    let bench = Bench::start(Builder::default()).await;
    for idx in 0..4 {
        let body = fixture::once(&format!("first-{idx}"), "ticket");
        bench.check("entry-1", TICKET, &body, "200 answered").await;
    }
    let of_other = EndpointFaults { wrong_echo: true, ..EndpointFaults::default() };
    bench.system.set_pool_faults("ledger", &of_other).await.unwrap();
    for id in ["second-1", "second-2"] {
        let body = fixture::once(id, "ticket");
        bench.check("entry-1", TICKET, &body, "502 may_have_run/stage_failed").await;
        bench.check("entry-2", TICKET, &as_repeat(&body), "502 may_have_run/stage_failed").await;
    }
    // Both ledger endpoints are excluded now.
    let body = fixture::once("third", "ticket");
    bench.check("entry-1", TICKET, &body, "503 not_run/no_endpoint").await;
    bench.finish().await;
}

/// Whether a call of that stage is in that state.
fn is_at(stage: &str, state: CallState) -> impl Fn(&CallRecord) -> bool {
    move |call| &*call.stage == stage && call.state == state
}

#[ntex::test]
async fn a_caller_that_disconnects_cancels_idempotent_work() {
    let builder = Builder::default().pool_flags("generate", &["--token-ms", "2000"]);
    let bench = Bench::start(builder).await;
    let body = fixture::request("gone", "licence");
    let pending = bench.send("entry-1", CERTIFICATE, &body);
    bench.wait_calls("gone", "the generation", is_at("generate", CallState::Running)).await;
    pending.disconnect();
    let what = "the generation's cancel";
    bench.wait_calls("gone", what, is_at("generate", CallState::Cancelled)).await;

    let body = RequestBody { stream: true, ..fixture::request("gone-streamed", "licence") };
    let path = format!("/v1/pipelines/{CERTIFICATE}/requests");
    let addr = bench.system.addr("entry-2").unwrap().to_owned();
    let mut response = bench.system.http.open(&addr, &path, &body).await.unwrap();
    response.next().await.unwrap().unwrap();
    drop(response);
    bench.wait_calls("gone-streamed", what, is_at("generate", CallState::Cancelled)).await;
    for entry in ["entry-1", "entry-2"] {
        let idle = |status: &peatdeck_wire::admin::EntryStatus| status.running == 0;
        bench.system.wait_status(entry, "no active requests", TIMEOUT, idle).await.unwrap();
    }
    bench.finish().await;
}

#[ntex::test]
async fn a_caller_that_disconnects_does_not_cancel_a_ticket() {
    let bench = Bench::start(Builder::default()).await;
    let slow = EndpointFaults { delay_ms: 500, ..EndpointFaults::default() };
    bench.system.set_pool_faults("ledger", &slow).await.unwrap();
    let body = fixture::once("ticket-gone", "ticket");
    let pending = bench.send("entry-1", TICKET, &body);
    bench.wait_calls("ticket-gone", "the ledger call", is_at("ledger", CallState::Running)).await;
    pending.disconnect();
    let done = is_at("ledger", CallState::Finished);
    bench.wait_calls("ticket-gone", "the ledger's end", done).await;
    let poll = async || {
        let response = bench.request("entry-2", TICKET, &as_repeat(&body)).await;
        response.output().map(drop)
    };
    wait::until("the answer at the other entry", TIMEOUT, poll).await.unwrap();
    bench.finish().await;
}
