//! Outages of the log alone, and of the log and all peers.

use std::time::{Duration, Instant};

use peatdeck_standin::faults::LogFaults;
use peatdeck_test_support::{
    fixture::{self, CERTIFICATE, TICKET},
    processes::builder::Builder,
    wait::{self, TIMEOUT},
};

use crate::support::{Bench, as_repeat};

/// Slightly longer than the time without contact to the log or a peer after
/// which an instance is unready.
const PAST_ISOLATION: Duration = Duration::from_secs(7);

fn outage() -> LogFaults {
    LogFaults { outage: true, ..LogFaults::default() }
}

/// Starts a system whose entries have all failed to read the log.
async fn start_out(builder: Builder) -> Bench {
    let bench = Bench::start(builder).await;
    bench.set_log(outage()).await;
    for entry in bench.system.entries() {
        bench.wait_log_read_failures(&entry).await;
    }
    bench
}

#[ntex::test]
async fn without_the_log_only_idempotent_requests_run() {
    let bench = start_out(Builder::default()).await;
    let start = Instant::now();
    let mut turn = 0;
    while start.elapsed() < PAST_ISOLATION {
        for entry in ["entry-1", "entry-2"] {
            let body = fixture::request(&format!("out-{turn}-{entry}"), "licence");
            bench.check(entry, CERTIFICATE, &body, "200 answered").await;
            let body = fixture::once(&format!("once-{turn}-{entry}"), "ticket");
            let response = bench.check(entry, TICKET, &body, "503 not_run/claim_unknown").await;
            assert!(response.retry_after.is_some(), "{response:?}");
            // The refusal comes at once, not only at the deadline, when it would come anyway.
            assert!(response.elapsed < Duration::from_secs(5), "{response:?}");
            let calls = bench.system.calls_for(&body.id).await.unwrap();
            assert_eq!(calls, [], "{} was reported not to have run", body.id);
        }
        turn += 1;
    }
    bench.clear_log_faults().await;
    let body = fixture::once("once-0-entry-1", "ticket");
    let poll = async || {
        let response = bench.request("entry-2", TICKET, &as_repeat(&body)).await;
        response.output().map(drop)
    };
    wait::until("the refused request's run after the outage", TIMEOUT, poll).await.unwrap();
    bench.finish().await;
}

#[ntex::test]
async fn a_repeat_in_an_outage_is_not_reported_as_not_run() {
    let bench = Bench::start(Builder::default()).await;
    let body = fixture::once("ran-before", "ticket");
    bench.check("entry-1", TICKET, &body, "200 answered").await;
    bench.set_log(outage()).await;
    for entry in ["entry-1", "entry-2"] {
        bench.wait_log_read_failures(entry).await;
        let response = bench.request(entry, TICKET, &as_repeat(&body)).await;
        assert!(!response.is_not_run(), "{response:?}");
    }
    let other = fixture::once("never-seen", "ticket");
    let expected = "502 may_have_run/earlier_unknown";
    bench.check("entry-2", TICKET, &as_repeat(&other), expected).await;
    bench.finish().await;
}

#[ntex::test]
async fn an_entry_started_in_an_outage_has_the_newest_version_from_its_peers() {
    let mut bench = Bench::start(Builder::default().entries(3)).await;
    bench.system.publish("second", 1, &fixture::document()).await.unwrap();
    bench.system.wait_version(2).await.unwrap();
    bench.set_log(outage()).await;
    bench.system.restart("entry-3").await.unwrap();
    bench.system.wait_ready("entry-3").await.unwrap();
    let status = bench.system.status("entry-3").await.unwrap();
    assert_eq!(status.version, 2);
    let body = fixture::request("started-out", "licence");
    bench.check("entry-3", CERTIFICATE, &body, "200 answered").await;
    let body = fixture::once("started-out-once", "ticket");
    bench.check("entry-3", TICKET, &body, "503 not_run/claim_unknown").await;
    bench.finish().await;
}

#[ntex::test]
async fn an_isolated_entry_becomes_unready_and_recovers() {
    let mut bench = start_out(Builder::default()).await;
    bench.system.freeze("entry-2").unwrap();
    let is_unready = |status: &peatdeck_wire::admin::EntryStatus| !status.ready;
    let what = "entry-1 being unready";
    bench.system.wait_status("entry-1", what, TIMEOUT, is_unready).await.unwrap();
    let body = fixture::request("cut-off", "licence");
    bench.check("entry-1", CERTIFICATE, &body, "503 not_run/not_ready").await;
    let body = fixture::once("cut-off-once", "ticket");
    bench.check("entry-1", TICKET, &body, "503 not_run/not_ready").await;
    // Contact to one peer suffices to learn the version in force.
    bench.system.thaw("entry-2").unwrap();
    bench.system.wait_ready("entry-1").await.unwrap();
    let body = fixture::request("back", "licence");
    bench.check("entry-1", CERTIFICATE, &body, "200 answered").await;
    bench.finish().await;
}
