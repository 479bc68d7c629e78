//! A request that is not idempotent runs at most once, and callers get a true
//! outcome, when the entry that claimed it is killed or frozen, or when the
//! log loses replies.

use std::time::{Duration, Instant};

use ntex::time;
use peatdeck_core::record::Stream;
use peatdeck_standin::{
    calls::CallState,
    faults::{EndpointFaults, LogFaults, LoseBy},
};
use peatdeck_test_support::{
    fixture::{self, TICKET},
    processes::builder::Builder,
};
use peatdeck_wire::caller::RequestBody;

use crate::support::{Bench, as_repeat};

/// Delay of the log's replies in tests where the entry must not read its claim back.
const HELD_MS: u64 = 3_000;
/// Duration of a ledger call in tests where the entry must not read its reply.
const SLOW_MS: u64 = 1_000;

async fn start() -> Bench {
    Bench::start(Builder::default()).await
}

fn hang() -> EndpointFaults {
    EndpointFaults { hang: true, ..EndpointFaults::default() }
}

/// Number of ledger calls that ran for a request.
async fn ledger_runs(bench: &Bench, id: &str) -> usize {
    let calls = bench.system.calls_for(id).await.unwrap();
    calls.iter().filter(|(_, call)| &*call.stage == "ledger" && call.has_run()).count()
}

/// Sends a request to `entry-1` and freezes it after its claim is in the log,
/// but before it can read the claim back and run the request.
async fn freeze_claimed(
    bench: &mut Bench,
    body: &RequestBody,
) -> peatdeck_test_support::callers::Pending {
    bench.set_log(LogFaults { answer_ms: HELD_MS, ..LogFaults::default() }).await;
    let pending = bench.send("entry-1", TICKET, body);
    bench.wait_log(Stream::Claims, 0).await;
    bench.system.freeze("entry-1").unwrap();
    bench.clear_log_faults().await;
    let calls = bench.system.calls_for(&body.id).await.unwrap();
    assert!(calls.is_empty(), "the entry was frozen too late: {calls:?}");
    pending
}

/// After `entry-1` was killed, a retry through `entry-2` has the outcome
/// `expected`, and the ledger recorded `runs` calls.
async fn check_after_kill(bench: Bench, body: &RequestBody, expected: &str, runs: usize) {
    bench.check("entry-2", TICKET, &as_repeat(body), expected).await;
    assert_eq!(ledger_runs(&bench, &body.id).await, runs);
    bench.finish().await;
}

#[ntex::test]
async fn an_entry_killed_before_its_claim_is_read_back_runs_nothing() {
    let mut bench = start().await;
    let body = fixture::once("killed-claimed", "trailer 1");
    let pending = freeze_claimed(&mut bench, &body).await;
    bench.system.kill("entry-1").unwrap();
    assert_eq!(pending.response().await.to_string(), "lost");
    check_after_kill(bench, &body, "502 may_have_run/claimed_elsewhere", 0).await;
}

#[ntex::test]
async fn an_entry_killed_before_the_ledger_call_leaves_it_undone() {
    let mut bench = start().await;
    let body = fixture::once("killed-before", "trailer 2");
    bench.system.set_pool_faults("encode", &hang()).await.unwrap();
    let pending = bench.send("entry-1", TICKET, &body);
    bench.wait_calls("killed-before", "the encode call", |call| call.has_run()).await;
    bench.system.kill("entry-1").unwrap();
    assert_eq!(pending.response().await.to_string(), "lost");
    check_after_kill(bench, &body, "502 may_have_run/claimed_elsewhere", 0).await;
}

#[ntex::test]
async fn an_entry_killed_during_the_ledger_call_ran_it_once() {
    let mut bench = start().await;
    let body = fixture::once("killed-during", "trailer 3");
    bench.system.set_pool_faults("ledger", &hang()).await.unwrap();
    let pending = bench.send("entry-1", TICKET, &body);
    let at_ledger = |call: &_| is_ledger(call, CallState::Running);
    bench.wait_calls("killed-during", "the ledger call", at_ledger).await;
    bench.system.kill("entry-1").unwrap();
    assert_eq!(pending.response().await.to_string(), "lost");
    check_after_kill(bench, &body, "502 may_have_run/claimed_elsewhere", 1).await;
}

#[ntex::test]
async fn an_entry_killed_before_the_ledger_answers_ran_it_once() {
    let mut bench = start().await;
    let body = fixture::once("killed-after", "trailer 4");
    let slow = EndpointFaults { delay_ms: SLOW_MS, ..EndpointFaults::default() };
    bench.system.set_pool_faults("ledger", &slow).await.unwrap();
    let pending = bench.send("entry-1", TICKET, &body);
    let at_ledger = |call: &_| is_ledger(call, CallState::Running);
    bench.wait_calls("killed-after", "the ledger call", at_ledger).await;
    // Freezes the entry, so that the ledger writes its reply and the entry never reads it.
    bench.system.freeze("entry-1").unwrap();
    let is_done = |call: &_| is_ledger(call, CallState::Finished);
    bench.wait_calls("killed-after", "the ledger's reply", is_done).await;
    bench.system.kill("entry-1").unwrap();
    assert_eq!(pending.response().await.to_string(), "lost");
    check_after_kill(bench, &body, "502 may_have_run/claimed_elsewhere", 1).await;
}

fn is_ledger(call: &peatdeck_standin::calls::CallRecord, state: CallState) -> bool {
    &*call.stage == "ledger" && call.state == state
}

#[ntex::test]
async fn a_repeat_gets_the_answer_from_the_entry_that_ran_it() {
    let bench = start().await;
    let body = fixture::once("answer-lost", "trailer 5");
    bench.check("entry-1", TICKET, &body, "200 answered").await;
    bench.check("entry-2", TICKET, &as_repeat(&body), "200 answered").await;
    bench.check("entry-1", TICKET, &as_repeat(&body), "200 answered").await;
    let other = RequestBody { input: "trailer 6".into(), ..body.clone() };
    bench.check("entry-2", TICKET, &other, "409 invalid/key_reused").await;
    assert_eq!(ledger_runs(&bench, "answer-lost").await, 1);
    bench.finish().await;
}

#[ntex::test]
async fn a_repeat_is_refused_while_the_request_still_runs() {
    let bench = start().await;
    let body = fixture::once("running", "trailer 7");
    let slow = EndpointFaults { delay_ms: SLOW_MS, ..EndpointFaults::default() };
    bench.system.set_pool_faults("ledger", &slow).await.unwrap();
    let pending = bench.send("entry-1", TICKET, &body);
    let at_ledger = |call: &_| is_ledger(call, CallState::Running);
    bench.wait_calls("running", "the ledger call", at_ledger).await;
    let response =
        bench.check("entry-2", TICKET, &as_repeat(&body), "504 may_have_run/in_progress").await;
    assert!(response.retry_after.is_some(), "{response:?}");
    assert_eq!(pending.response().await.to_string(), "200 answered");
    bench.check("entry-2", TICKET, &as_repeat(&body), "200 answered").await;
    bench.finish().await;
}

#[ntex::test]
async fn a_thawed_entry_runs_what_it_claimed_once() {
    let mut bench = start().await;
    let body = fixture::once("frozen", "trailer 8");
    let pending = freeze_claimed(&mut bench, &body).await;
    bench.check("entry-2", TICKET, &as_repeat(&body), "502 may_have_run/claimed_elsewhere").await;
    assert_eq!(ledger_runs(&bench, "frozen").await, 0);
    bench.system.thaw("entry-1").unwrap();
    assert_eq!(pending.response().await.to_string(), "200 answered");
    bench.check("entry-2", TICKET, &as_repeat(&body), "200 answered").await;
    assert_eq!(ledger_runs(&bench, "frozen").await, 1);
    bench.finish().await;
}

#[ntex::test]
async fn an_entry_thawed_past_the_deadline_runs_nothing_and_frees_the_key() {
    let mut bench = start().await;
    let deadline = Duration::from_secs(4);
    let body = RequestBody { deadline_ms: 4_000, ..fixture::once("frozen-late", "trailer 9") };
    let start = Instant::now();
    let pending = freeze_claimed(&mut bench, &body).await;
    bench.check("entry-2", TICKET, &as_repeat(&body), "502 may_have_run/claimed_elsewhere").await;
    // Sleeps until the deadline has passed; the checks below don't depend on the exact time.
    time::sleep(deadline.saturating_sub(start.elapsed())).await;
    let claims = bench.system.log_next(Stream::Claims).await.unwrap();
    bench.system.thaw("entry-1").unwrap();
    assert_eq!(pending.response().await.to_string(), "503 not_run/claim_unknown");
    bench.wait_log(Stream::Claims, claims).await;
    assert_eq!(ledger_runs(&bench, "frozen-late").await, 0);
    // The key is free again: the retry runs, once.
    let longer = RequestBody { deadline_ms: 20_000, ..as_repeat(&body) };
    bench.check("entry-2", TICKET, &longer, "200 answered").await;
    assert_eq!(ledger_runs(&bench, "frozen-late").await, 1);
    bench.finish().await;
}

/// Each request is answered and runs once while the log has these faults on
/// the stream of claims.
async fn check_claims(id: &str, faults: LogFaults) {
    let bench = start().await;
    let stream = Some(Stream::Claims.name().into());
    bench.set_log(LogFaults { stream, ..faults }).await;
    for idx in 0..5 {
        let body = fixture::once(&format!("{id}-{idx}"), "trailer 10");
        bench.check("entry-1", TICKET, &body, "200 answered").await;
        bench.check("entry-2", TICKET, &as_repeat(&body), "200 answered").await;
        assert_eq!(ledger_runs(&bench, &body.id).await, 1);
    }
    bench.finish().await;
}

#[ntex::test]
async fn a_claim_whose_reply_is_lost_counts_once() {
    let faults = LogFaults { lose_chance: 0.5, seed: 7, ..LogFaults::default() };
    check_claims("lost-answer", faults).await;
}

#[ntex::test]
async fn a_claim_answered_by_an_error_counts_once() {
    let faults =
        LogFaults { lose_chance: 0.5, seed: 8, lose_by: LoseBy::Error, ..LogFaults::default() };
    check_claims("lost-error", faults).await;
}

#[ntex::test]
async fn a_claim_that_is_appended_late_and_twice_counts_once() {
    let faults = LogFaults { lose_appends: 4, land_ms: 1_500, ..LogFaults::default() };
    check_claims("landed-late", faults).await;
}

#[ntex::test]
async fn a_claim_whose_append_was_dropped_is_appended_again() {
    let faults = LogFaults { drop_appends: 4, ..LogFaults::default() };
    check_claims("dropped", faults).await;
}
