//! The table of endpoints: listings, leaving marks, ejection, slow start.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use expect_test::expect;
use peatdeck_core::{
    endpoints::{CallEnd, CallResult, Settings, State, Table},
    instance::input::RefuseReason,
    model::{EndpointEntry, Incarnation, Load, Presence},
};

pub const POOL: &str = "rerank";

pub fn entry(name: &str, incarnation: u64) -> EndpointEntry {
    EndpointEntry {
        name: Arc::from(name),
        pool: Arc::from(POOL),
        addr: Arc::from("127.0.0.1:1"),
        data_centre: Arc::from("north"),
        incarnation: Incarnation(incarnation),
        presence: Presence::Live,
        software: Arc::default(),
    }
}

pub fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

pub fn table(entries: &[EndpointEntry]) -> Table {
    let mut table = Table::new(Settings::default());
    table.apply_listing(Duration::ZERO, entries);
    table
}

/// Runs one call that starts at `at` and ends `took` later.
pub fn run(table: &mut Table, at: Duration, name: &str, took: Duration, result: CallResult) {
    table.call_started(at, name);
    table.call_ended(at + took, name, CallEnd { took, result, tokens: None });
}

fn fail_three(table: &mut Table, at: Duration, name: &str) {
    for _ in 0..3 {
        run(table, at, name, secs(0.1), CallResult::Failed);
    }
}

fn state(table: &Table, name: &str) -> Option<State> {
    table.endpoint(name).map(|endpoint| endpoint.state())
}

fn pair() -> Table {
    table(&[entry("a", 1), entry("b", 1)])
}

#[test]
fn an_outdated_listing_does_not_end_leaving() {
    let mut table = pair();
    assert!(table.mark_leaving("a", Incarnation(1)));
    assert!(!table.mark_leaving("a", Incarnation(1)));
    table.apply_listing(secs(1.0), &[entry("a", 1), entry("b", 1)]);
    assert_eq!(state(&table, "a"), Some(State::Leaving));
    assert_eq!(table.pool_usable(secs(1.0), POOL), 1);
}

#[test]
fn a_newer_incarnation_ends_leaving_and_starts_slowly() {
    let mut table = pair();
    table.mark_leaving("a", Incarnation(1));
    table.apply_listing(secs(1.0), &[entry("a", 2)]);
    assert_eq!(state(&table, "a"), Some(State::Usable));
    let endpoint = table.endpoint("a").unwrap();
    let limits = [1.0, 6.0, 11.0].map(|at| endpoint.limit(secs(at)));
    assert_eq!(limits, [1, 4, 8]);
}

#[test]
fn a_leaving_mark_received_before_the_listing_applies() {
    let mut table = table(&[]);
    assert!(table.mark_leaving("a", Incarnation(2)));
    table.apply_listing(secs(1.0), &[entry("a", 1)]);
    assert_eq!(state(&table, "a"), Some(State::Leaving));
    table.apply_listing(secs(2.0), &[entry("a", 2)]);
    assert_eq!(state(&table, "a"), Some(State::Leaving));
    table.apply_listing(secs(3.0), &[entry("a", 3)]);
    assert_eq!(state(&table, "a"), Some(State::Usable));
}

#[test]
fn a_listing_with_an_older_incarnation_is_ignored() {
    let mut table = table(&[entry("a", 2)]);
    let addr = Arc::from("127.0.0.1:2");
    let old = EndpointEntry { presence: Presence::Leaving, addr, ..entry("a", 1) };
    table.apply_listing(secs(1.0), &[old]);
    assert_eq!(&*table.endpoint("a").unwrap().addr, "127.0.0.1:1");
    assert_eq!(table.endpoint("a").unwrap().incarnation, Incarnation(2));
    assert_eq!(state(&table, "a"), Some(State::Usable));
}

#[test]
fn a_refusal_because_of_leaving_marks_the_endpoint() {
    let mut table = pair();
    run(&mut table, secs(0.0), "a", secs(0.1), CallResult::Refused(RefuseReason::Leaving));
    assert_eq!(state(&table, "a"), Some(State::Leaving));
    expect!["a@1"].assert_eq(&marks(&table));
}

#[test]
fn a_leaving_mark_is_kept_while_the_endpoint_is_not_listed() {
    let mut table = pair();
    table.mark_leaving("a", Incarnation(1));
    table.apply_listing(secs(1.0), &[entry("b", 1)]);
    table.apply_listing(secs(100.0), &[entry("b", 1)]);
    assert_eq!(state(&table, "a"), None);
    table.apply_listing(secs(101.0), &[entry("a", 1), entry("b", 1)]);
    assert_eq!(state(&table, "a"), Some(State::Leaving));
}

#[test]
fn marks_of_unlisted_endpoints_are_bounded_and_the_newest_are_kept() {
    let mut table = Table::new(Settings { max_marks: 2, ..Settings::default() });
    table.apply_listing(Duration::ZERO, &[entry("a", 1)]);
    for name in ["a", "b", "c", "d"] {
        table.mark_leaving(name, Incarnation(1));
    }
    expect!["a@1 c@1 d@1"].assert_eq(&marks(&table));
}

fn marks(table: &Table) -> String {
    let marks = table.leaving_marks();
    let marks = marks.iter().map(|mark| format!("{}@{}", mark.endpoint, mark.incarnation.0));
    marks.collect::<Vec<String>>().join(" ")
}

#[test]
fn a_short_absence_from_the_listing_does_not_remove_an_endpoint() {
    let mut table = pair();
    table.apply_listing(secs(100.0), &[entry("b", 1)]);
    assert_eq!(state(&table, "a"), Some(State::Usable));
    table.apply_listing(secs(110.0), &[entry("a", 1), entry("b", 1)]);
    table.apply_listing(secs(111.0), &[entry("b", 1)]);
    table.apply_listing(secs(120.0), &[entry("b", 1)]);
    assert_eq!(state(&table, "a"), Some(State::Usable));
    table.apply_listing(secs(126.0), &[entry("b", 1)]);
    assert_eq!(state(&table, "a"), None);
}

#[test]
fn a_gone_endpoint_is_kept_until_its_last_call_ends() {
    let mut table = pair();
    table.call_started(secs(0.0), "a");
    table.apply_listing(secs(1.0), &[entry("b", 1)]);
    table.apply_listing(secs(20.0), &[entry("b", 1)]);
    assert_eq!(state(&table, "a"), Some(State::Gone));
    assert_eq!(table.pool_usable(secs(20.0), POOL), 1);
    let end = CallEnd { took: secs(21.0), result: CallResult::Ok, tokens: None };
    table.call_ended(secs(21.0), "a", end);
    assert_eq!(state(&table, "a"), None);
}

#[test]
fn calls_of_an_earlier_incarnation_do_not_count_in_the_next() {
    let mut table = pair();
    table.call_started(secs(0.0), "a");
    table.call_started(secs(0.0), "a");
    table.apply_listing(secs(1.0), &[entry("a", 2), entry("b", 1)]);
    table.call_started(secs(2.0), "a");
    for _ in 0..2 {
        let end = CallEnd { took: secs(3.0), result: CallResult::Mismatched, tokens: None };
        table.call_ended(secs(3.0), "a", end);
    }
    assert_eq!(table.endpoint("a").unwrap().in_flight, 1);
    assert_eq!(state(&table, "a"), Some(State::Usable));
}

#[test]
fn consecutive_failures_eject_and_a_successful_probe_ends_the_ejection() {
    let mut table = pair();
    fail_three(&mut table, secs(0.0), "a");
    assert_eq!(state(&table, "a"), Some(State::Ejected));
    assert_eq!(table.endpoint("a").unwrap().free(secs(1.0)), 0);
    assert_eq!(table.next_wake(), Some(secs(2.1)));
    assert_eq!(table.endpoint("a").unwrap().free(secs(2.1)), 1);
    table.call_started(secs(2.1), "a");
    assert_eq!(table.endpoint("a").unwrap().free(secs(2.1)), 0);
    table.call_ended(
        secs(2.2),
        "a",
        CallEnd { took: secs(0.1), result: CallResult::Ok, tokens: None },
    );
    assert_eq!(state(&table, "a"), Some(State::Usable));
    assert_eq!(table.endpoint("a").unwrap().limit(secs(2.2)), 1);
}

#[test]
fn a_failed_probe_doubles_the_ejection() {
    let mut table = pair();
    fail_three(&mut table, secs(0.0), "a");
    run(&mut table, secs(3.0), "a", secs(0.1), CallResult::Failed);
    let open = [5.2, 7.0, 7.2].map(|at| table.endpoint("a").unwrap().free(secs(at)));
    assert_eq!(open, [0, 0, 1]);
}

#[test]
fn a_cancelled_probe_is_inconclusive() {
    let mut table = pair();
    fail_three(&mut table, secs(0.0), "a");
    run(&mut table, secs(3.0), "a", secs(0.1), CallResult::Cancelled);
    assert_eq!(state(&table, "a"), Some(State::Ejected));
    assert!(table.endpoint("a").unwrap().is_probe_due(secs(3.1)));
}

#[test]
fn at_most_half_of_a_pool_is_ejected() {
    let mut table = pair();
    fail_three(&mut table, secs(0.0), "a");
    fail_three(&mut table, secs(0.0), "b");
    assert_eq!(state(&table, "a"), Some(State::Ejected));
    assert_eq!(state(&table, "b"), Some(State::Usable));
}

#[test]
fn a_reply_for_another_call_ejects_at_once() {
    let mut table = pair();
    run(&mut table, secs(0.0), "a", secs(0.1), CallResult::Mismatched);
    assert_eq!(state(&table, "a"), Some(State::Ejected));
}

/// The state of an endpoint after three calls that were cancelled after `took` seconds, in a pool
/// where a call takes a tenth of a second.
fn after_cancelled(took: f64) -> Option<State> {
    let mut table = table(&[entry("a", 1), entry("b", 1), entry("c", 1)]);
    for name in ["b", "c"] {
        run(&mut table, secs(0.0), name, secs(0.1), CallResult::Ok);
    }
    for at in [1.0, 2.0, 3.0] {
        run(&mut table, secs(at), "a", secs(took), CallResult::Cancelled);
    }
    state(&table, "a")
}

#[test]
fn calls_that_hang_until_cancelled_eject() {
    assert_eq!(after_cancelled(0.9), Some(State::Ejected));
    assert_eq!(after_cancelled(0.2), Some(State::Usable));
}

#[test]
fn a_probe_needs_a_free_slot_beside_earlier_calls() {
    let mut table = pair();
    (0..9).for_each(|_| table.call_started(secs(0.0), "a"));
    let end = CallEnd { took: secs(0.1), result: CallResult::Mismatched, tokens: None };
    table.call_ended(secs(0.1), "a", end);
    assert_eq!(table.endpoint("a").unwrap().free(secs(3.0)), 0);
    table.call_ended(
        secs(3.0),
        "a",
        CallEnd { took: secs(3.0), result: CallResult::Ok, tokens: None },
    );
    assert_eq!(table.endpoint("a").unwrap().free(secs(3.0)), 1);
}

#[test]
fn the_newest_load_report_is_kept_and_ages() {
    let mut table = pair();
    let load = |queued, age_ms| Load { running: 4, queued, places: 4, age_ms };
    table.load_reported(secs(10.0), "a", load(3, 500));
    table.load_reported(secs(10.0), "a", load(9, 2000));
    let states = table.states(secs(11.0));
    assert_eq!(states.len(), 1);
    assert_eq!(states[0].load, Some(load(3, 1500)));
}

fn entry_in(data_centre: &str, name: &str) -> EndpointEntry {
    EndpointEntry { data_centre: Arc::from(data_centre), ..entry(name, 1) }
}

fn usable(table: &Table) -> Vec<&str> {
    let usable = table.pool(POOL).filter(|endpoint| endpoint.is_usable(Duration::ZERO));
    usable.map(|endpoint| &*endpoint.name).collect()
}

#[test]
fn endpoints_of_an_evacuated_data_centre_are_unusable_until_the_evacuation_ends() {
    let mut table = table(&[entry_in("north", "a"), entry_in("south", "b")]);
    table.evacuate(vec!["north".into(), "nowhere".into()]);
    assert_eq!(usable(&table), ["b"]);
    assert_eq!(table.endpoint("a").unwrap().state(), State::Evacuated);
    // A new endpoint and a new incarnation, both listed during the evacuation.
    let later = [
        entry_in("north", "c"),
        EndpointEntry { incarnation: Incarnation(2), ..entry_in("north", "a") },
    ];
    table.apply_listing(Duration::ZERO, &[&later[..], &[entry_in("south", "b")]].concat());
    assert_eq!(usable(&table), ["b"]);
    table.evacuate(Vec::new());
    assert_eq!(usable(&table).len(), 3);
}
