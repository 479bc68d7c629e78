//! A planned stop of an entry neither interrupts nor loses a request.

use futures::StreamExt;
use peatdeck_standin::faults::EndpointFaults;
use peatdeck_test_support::{
    fixture::{self, CERTIFICATE, TICKET},
    processes::builder::Builder,
    wait::TIMEOUT,
};
use peatdeck_wire::caller::RequestBody;

use crate::{
    load::{Load, Work},
    support::Bench,
};

/// Duration of a ledger call: longer than an entry's grace period plus the time
/// for sending its last responses.
const LEDGER_MS: u64 = 9_000;
/// Time per token, so that a stream also outlasts the entry's grace period.
const TOKEN_MS: &str = "1400";
const CERTIFICATES: Work = Work {
    pipeline: CERTIFICATE,
    prefix: "certificate",
    idempotent: true,
    callers: 6,
    deadline_ms: 20_000,
};
const TICKETS: Work =
    Work { pipeline: TICKET, prefix: "ticket", idempotent: false, callers: 3, ..CERTIFICATES };

/// Checks that each request was answered, or refused because the entry is stopping.
fn check_tally(bench: &Bench) {
    let tally = bench.callers.tally();
    let is_known =
        |response: &String| response == "200 answered" || response == "503 not_run/stopping";
    assert!(tally.keys().all(is_known), "{tally:?}");
}

/// Sends SIGTERM to an entry and waits until it exits with code 0.
async fn stop(bench: &mut Bench, entry: &str) {
    bench.system.terminate(entry).unwrap();
    let process = bench.system.process(entry).unwrap();
    let status = process.wait(TIMEOUT).await.unwrap();
    assert_eq!(status.code(), Some(0), "{entry}: {status}\n{}", process.log());
}

#[ntex::test]
async fn an_entry_that_stops_under_load_finishes_its_active_requests() {
    let mut bench = Bench::start(Builder::default()).await;
    let slow = EndpointFaults { delay_ms: LEDGER_MS, ..EndpointFaults::default() };
    bench.system.set_pool_faults("ledger", &slow).await.unwrap();
    let load = Load::start(&bench, CERTIFICATES).await;
    load.wait_more(50).await;
    let body = fixture::once("in-flight", "ticket");
    let pending = bench.send("entry-1", TICKET, &body);
    let at_ledger = |call: &peatdeck_standin::calls::CallRecord| &*call.stage == "ledger";
    bench.wait_calls("in-flight", "the ledger call", at_ledger).await;
    stop(&mut bench, "entry-1").await;
    assert_eq!(pending.response().await.to_string(), "200 answered");
    load.wait_more(50).await;
    load.finish().await;
    check_tally(&bench);
    bench.finish().await;
}

#[ntex::test]
async fn a_stream_continues_to_its_end_event_while_its_entry_stops() {
    let builder = Builder::default().pool_flags("generate", &["--token-ms", TOKEN_MS]);
    let mut bench = Bench::start(builder).await;
    let body = RequestBody { stream: true, ..fixture::request("streamed", "licence") };
    let path = format!("/v1/pipelines/{CERTIFICATE}/requests");
    let addr = bench.system.addr("entry-1").unwrap().to_owned();
    let mut response = bench.system.http.open(&addr, &path, &body).await.unwrap();
    let mut text = String::new();
    while !text.contains("event: text") {
        let piece = response.next().await.unwrap().unwrap();
        text.push_str(std::str::from_utf8(&piece).unwrap());
    }
    bench.system.terminate("entry-1").unwrap();
    while let Some(piece) = response.next().await {
        text.push_str(std::str::from_utf8(&piece.unwrap()).unwrap());
    }
    assert_eq!(text.matches("event: answer").count(), 1, "{text}");
    let expected = bench.system.expected(CERTIFICATE, "streamed", "licence").unwrap();
    let output = serde_json::to_string(&expected).unwrap();
    assert!(text.contains(&format!("\"output\":{output}")), "{text}");
    let status = bench.system.process("entry-1").unwrap().wait(TIMEOUT).await.unwrap();
    assert_eq!(status.code(), Some(0));
    bench.finish().await;
}

#[ntex::test]
async fn entries_are_replaced_one_by_one_under_load() {
    let mut bench = Bench::start(Builder::default().entries(3)).await;
    let certificates = Load::start(&bench, CERTIFICATES).await;
    let tickets = Load::start(&bench, TICKETS).await;
    certificates.wait_more(50).await;
    for entry in ["entry-1", "entry-2", "entry-3"] {
        stop(&mut bench, entry).await;
        bench.system.restart(entry).await.unwrap();
        bench.system.wait_ready(entry).await.unwrap();
        certificates.update_addrs(&bench);
        tickets.update_addrs(&bench);
        certificates.wait_more(50).await;
        tickets.wait_more(20).await;
    }
    certificates.finish().await;
    tickets.finish().await;
    check_tally(&bench);
    bench.finish().await;
}
