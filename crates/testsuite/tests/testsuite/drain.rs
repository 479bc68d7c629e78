//! An endpoint that is leaving gets no new work after a few seconds, and its
//! work in flight ends whole.

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

/// A leaving endpoint gets nothing new after this.
const FEW_SECONDS: Duration = Duration::from_secs(5);
/// How far the list lags.
const LAG_MS: u64 = 1_500;
/// How often the list wavers between the newest listing and the one before.
const FLAP_MS: u64 = 700;
/// How long the ledger works.
const LEDGER_MS: u64 = 2_000;
/// With a deadline that is short enough for hedges.
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

/// When the newest call of an endpoint came, and how many came.
async fn arrivals(bench: &Bench, endpoint: &str) -> (u64, usize) {
    let calls = bench.system.calls(endpoint).await.unwrap();
    (calls.iter().map(|call| call.arrived_ms).max().unwrap_or_default(), calls.len())
}

/// Makes the other endpoints fail and straggle, so that calls are repeated
/// and hedged.
async fn disturb(bench: &Bench) {
    let cut = EndpointFaults { cut_after: Some(0), calls: Some(2), ..EndpointFaults::default() };
    bench.system.set_faults("encode-2", &cut).await.unwrap();
    let slow = EndpointFaults { delay_ms: 3_000, calls: Some(2), ..EndpointFaults::default() };
    bench.system.set_faults("encode-3", &slow).await.unwrap();
}

#[ntex::test]
async fn an_endpoint_that_a_wavering_list_names_as_leaving_gets_nothing_new() {
    let mut bench = Bench::start(Builder::default().endpoints(3)).await;
    let wavering =
        ListFaults { lag_ms: Some(LAG_MS), flap_ms: Some(FLAP_MS), ..ListFaults::default() };
    bench.system.set_list_faults(&wavering).await.unwrap();
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
async fn the_work_in_flight_at_a_leaving_endpoint_ends_whole() {
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

    // Its next life is another endpoint.
    bench.system.restart("encode-1").await.unwrap();
    let back = |status: &peatdeck_wire::admin::EntryStatus| {
        let mut endpoints = status.endpoints.iter();
        endpoints.any(|known| &*known.endpoint == "encode-1" && &*known.state == "usable")
    };
    bench.system.wait_status("entry-2", "encode-1 in use again", TIMEOUT, back).await.unwrap();
    let poll = async || {
        bench.request_all(CERTIFICATE, requests("next-life", 1)).await;
        (arrivals(&bench, "encode-1").await.1 > 0).then_some(())
    };
    peatdeck_test_support::wait::until("a call in the next life", TIMEOUT, poll).await.unwrap();
    bench.finish().await;
}

#[ntex::test]
async fn an_endpoint_that_says_itself_that_it_leaves_gets_nothing_new() {
    let bench = Bench::start(Builder::default()).await;
    let leaving = EndpointFaults {
        refuse: Some(RefuseReason::Leaving),
        calls: Some(1),
        ..EndpointFaults::default()
    };
    bench.system.set_faults("encode-1", &leaving).await.unwrap();
    // The one that is refused is answered by another endpoint; the other entry
    // hears of it from its peer, and the list says otherwise.
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

/// Endpoints of the fixture stand by turns in two data centres.
#[ntex::test]
async fn an_evacuated_data_centre_gets_nothing_also_after_an_entrys_restart() {
    let mut bench = Bench::start(Builder::default()).await;
    bench.system.evacuate("dc-1", false).await.unwrap();
    let evacuated = |status: &peatdeck_wire::admin::EntryStatus| {
        let mut endpoints = status.endpoints.iter();
        endpoints.any(|known| &*known.endpoint == "encode-1" && &*known.state == "evacuated")
    };
    for entry in ["entry-1", "entry-2"] {
        bench.system.wait_status(entry, "it is evacuated", TIMEOUT, evacuated).await.unwrap();
    }
    let (_, before) = arrivals(&bench, "encode-1").await;
    bench.request_all(CERTIFICATE, requests("evacuated", 20)).await;
    bench.system.restart("entry-1").await.unwrap();
    bench.system.wait_ready("entry-1").await.unwrap();
    bench.system.wait_status("entry-1", "it knows", TIMEOUT, evacuated).await.unwrap();
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
    peatdeck_test_support::wait::until("a call once it is over", TIMEOUT, poll).await.unwrap();
    bench.finish().await;
}
