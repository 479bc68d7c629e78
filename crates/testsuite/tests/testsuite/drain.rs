//! An endpoint that is leaving gets no new calls after a few seconds, and its
//! calls in flight run to their end.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ntex::time;
use peatdeck_core::{instance::input::RefuseReason, model::Presence};
use peatdeck_standin::{
    calls::CallState,
    faults::{EndpointFaults, ListFaults},
};
use peatdeck_test_support::{
    fixture::{self, CERTIFICATE, TICKET},
    processes::builder::Builder,
    wait::TIMEOUT,
};

use crate::{
    load::{Load, Work},
    support::{Bench, requests},
};

/// Time after which a leaving endpoint must not get new calls.
const FEW_SECONDS: Duration = Duration::from_secs(5);
/// Delay of changes to the list.
const LAG_MS: u64 = 1_500;
/// Interval at which the list alternates between the newest listing and the one before.
const FLAP_MS: u64 = 700;
/// Duration of a ledger call.
const LEDGER_MS: u64 = 2_000;
/// The deadline is short enough for hedges.
const LIGHT: Work = Work {
    pipeline: CERTIFICATE,
    prefix: "light",
    idempotent: true,
    callers: 8,
    deadline_ms: 2_000,
};

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

/// Arrival time of an endpoint's newest call, and the number of its calls.
async fn arrivals(bench: &Bench, endpoint: &str) -> (u64, usize) {
    let calls = bench.system.calls(endpoint).await.unwrap();
    (calls.iter().map(|call| call.arrived_ms).max().unwrap_or_default(), calls.len())
}

/// Makes the other endpoints fail or respond late, so that calls are retried
/// and hedged.
async fn disturb(bench: &Bench) {
    let cut = EndpointFaults { cut_after: Some(0), calls: Some(2), ..EndpointFaults::default() };
    bench.system.set_faults("encode-2", &cut).await.unwrap();
    let slow = EndpointFaults { delay_ms: 3_000, calls: Some(2), ..EndpointFaults::default() };
    bench.system.set_faults("encode-3", &slow).await.unwrap();
}

#[ntex::test]
async fn an_endpoint_that_an_unstable_list_marks_as_leaving_gets_no_new_calls() {
    let mut bench = Bench::start(Builder::default().endpoints(3)).await;
    let unstable =
        ListFaults { lag_ms: Some(LAG_MS), flap_ms: Some(FLAP_MS), ..ListFaults::default() };
    bench.system.set_list_faults(&unstable).await.unwrap();
    let load = Load::start(&bench, LIGHT).await;
    load.wait_more(100).await;
    assert!(arrivals(&bench, "encode-1").await.1 > 0);

    bench.system.set_presence("encode-1", Presence::Leaving).await.unwrap();
    let bound_ms = now_ms() + u64::try_from(FEW_SECONDS.as_millis()).unwrap();
    while now_ms() < bound_ms + 2_000 {
        disturb(&bench).await;
        load.wait_more(20).await;
    }
    load.finish().await;
    let (last_ms, _) = arrivals(&bench, "encode-1").await;
    assert!(last_ms <= bound_ms, "a call came {} ms after the limit", last_ms - bound_ms);
    assert!(arrivals(&bench, "encode-2").await.0 > bound_ms);
    bench.wait_leaving("encode-1", 1, Duration::ZERO).await;
    let (mut retries, mut hedges) = (0, 0);
    for entry in bench.system.entries() {
        retries += bench.counter(&entry, "retries").await;
        hedges += bench.counter(&entry, "hedges").await;
    }
    assert!(retries > 0 && hedges > 0, "{retries} retries, {hedges} hedges");
    bench.finish().await;
}

#[ntex::test]
async fn calls_in_flight_at_a_leaving_endpoint_finish() {
    let mut bench = Bench::start(Builder::default()).await;
    let slow = EndpointFaults { delay_ms: LEDGER_MS, ..EndpointFaults::default() };
    bench.system.set_pool_faults("ledger", &slow).await.unwrap();
    let sent: Vec<_> = (0..8)
        .map(|idx| {
            let body = fixture::once(&format!("in-flight-{idx}"), "ticket");
            (body.id.clone(), bench.send(["entry-1", "entry-2"][idx % 2], TICKET, &body))
        })
        .collect();
    for (id, _) in &sent {
        let at_ledger = |call: &peatdeck_standin::calls::CallRecord| &*call.stage == "ledger";
        bench.wait_calls(id, "the ledger call", at_ledger).await;
    }
    let (_, before) = arrivals(&bench, "ledger-1").await;
    assert!(before > 0);
    bench.system.set_presence("ledger-1", Presence::Leaving).await.unwrap();
    bench.wait_leaving("ledger-1", 1, FEW_SECONDS).await;
    for (id, pending) in sent {
        let response = pending.response().await;
        assert_eq!(response.to_string(), "200 answered", "{id}: {response:?}");
    }
    let calls = bench.system.calls("ledger-1").await.unwrap();
    assert!(calls.iter().all(|call| call.state == CallState::Finished), "{calls:?}");
    bench.system.set_pool_faults("ledger", &EndpointFaults::default()).await.unwrap();
    for idx in 0..6 {
        let body = fixture::once(&format!("after-{idx}"), "ticket");
        let response = bench.check("entry-1", TICKET, &body, "200 answered").await;
        assert_eq!(response.endpoint("ledger"), Some("ledger-2"));
    }
    bench.finish().await;
}

#[ntex::test]
async fn an_operators_drain_applies_to_one_incarnation_and_outlasts_an_entry_restart() {
    let mut bench = Bench::start(Builder::default()).await;
    bench.system.drain("encode-1").await.unwrap();
    bench.wait_leaving("encode-1", 1, FEW_SECONDS).await;
    let (_, before) = arrivals(&bench, "encode-1").await;
    bench.request_all(CERTIFICATE, requests("drained", 20)).await;
    bench.system.restart("entry-1").await.unwrap();
    bench.system.wait_ready("entry-1").await.unwrap();
    bench.wait_leaving("encode-1", 1, TIMEOUT).await;
    let responses = bench.request_all(CERTIFICATE, requests("restarted", 20)).await;
    assert!(
        responses.iter().all(|response| response.endpoint("encode") == Some("encode-2")),
        "{responses:?}"
    );
    assert_eq!(arrivals(&bench, "encode-1").await.1, before);

    // The drain does not apply to the next incarnation.
    bench.system.restart("encode-1").await.unwrap();
    let back = |status: &peatdeck_wire::admin::EntryStatus| {
        let mut endpoints = status.endpoints.iter();
        endpoints.any(|known| &*known.endpoint == "encode-1" && &*known.state == "usable")
    };
    bench
        .system
        .wait_status("entry-2", "encode-1 being usable again", TIMEOUT, back)
        .await
        .unwrap();
    let poll = async || {
        bench.request_all(CERTIFICATE, requests("next-life", 1)).await;
        (arrivals(&bench, "encode-1").await.1 > 0).then_some(())
    };
    peatdeck_test_support::wait::until("a call in the next incarnation", TIMEOUT, poll)
        .await
        .unwrap();
    bench.finish().await;
}

#[ntex::test]
async fn an_endpoint_that_reports_itself_as_leaving_gets_no_new_calls() {
    let bench = Bench::start(Builder::default()).await;
    let leaving = EndpointFaults {
        refuse: Some(RefuseReason::Leaving),
        calls: Some(1),
        ..EndpointFaults::default()
    };
    bench.system.set_faults("encode-1", &leaving).await.unwrap();
    // The refused call is retried at another endpoint. The other entry learns that
    // the endpoint is leaving by gossip, although the list still has it as live.
    let responses = bench.request_all(CERTIFICATE, requests("refused", 20)).await;
    assert!(
        responses.iter().all(|response| response.output().is_some()),
        "{:?}",
        bench.callers.tally()
    );
    bench.wait_leaving("encode-1", 1, FEW_SECONDS).await;
    let (_, before) = arrivals(&bench, "encode-1").await;
    for turn in ["later-a", "later-b", "later-c"] {
        time::sleep(Duration::from_millis(700)).await;
        bench.request_all(CERTIFICATE, requests(turn, 20)).await;
    }
    assert_eq!(arrivals(&bench, "encode-1").await.1, before);
    bench.wait_leaving("encode-1", 1, Duration::ZERO).await;
    bench.finish().await;
}

/// The fixture assigns endpoints to two data centres in turn.
#[ntex::test]
async fn an_evacuated_data_centre_gets_no_calls_also_after_an_entry_restart() {
    let mut bench = Bench::start(Builder::default()).await;
    bench.system.evacuate("dc-1", false).await.unwrap();
    let evacuated = |status: &peatdeck_wire::admin::EntryStatus| {
        let mut endpoints = status.endpoints.iter();
        endpoints.any(|known| &*known.endpoint == "encode-1" && &*known.state == "evacuated")
    };
    for entry in ["entry-1", "entry-2"] {
        bench
            .system
            .wait_status(entry, "encode-1 being evacuated", TIMEOUT, evacuated)
            .await
            .unwrap();
    }
    let (_, before) = arrivals(&bench, "encode-1").await;
    bench.request_all(CERTIFICATE, requests("evacuated", 20)).await;
    bench.system.restart("entry-1").await.unwrap();
    bench.system.wait_ready("entry-1").await.unwrap();
    bench
        .system
        .wait_status("entry-1", "encode-1 being evacuated", TIMEOUT, evacuated)
        .await
        .unwrap();
    let responses = bench.request_all(CERTIFICATE, requests("restarted", 20)).await;
    assert!(
        responses.iter().all(|response| response.endpoint("encode") == Some("encode-2")),
        "{responses:?}"
    );
    assert_eq!(arrivals(&bench, "encode-1").await.1, before);

    bench.system.evacuate("dc-1", true).await.unwrap();
    let poll = async || {
        bench.request_all(CERTIFICATE, requests("back", 4)).await;
        (arrivals(&bench, "encode-1").await.1 > before).then_some(())
    };
    peatdeck_test_support::wait::until("a call after the evacuation", TIMEOUT, poll).await.unwrap();
    bench.finish().await;
}
