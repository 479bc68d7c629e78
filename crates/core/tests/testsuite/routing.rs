//! Which endpoint is chosen for a call.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use expect_test::expect;
use peatdeck_core::{
    endpoints::{CallEnd, CallResult, Endpoint, Table},
    limits,
    model::{EndpointName, Incarnation, Load},
    routing::{self, Criteria},
};
use rand::{SeedableRng, rngs::SmallRng};

use crate::endpoints::{POOL, entry, run, secs, table};

const DRAWS: usize = 1000;
const NOW: Duration = Duration::from_secs(1);

fn criteria() -> Criteria<'static> {
    Criteria { pool: POOL, prefix: None, exclude: &[], software: None, peers: &|_| 0 }
}

fn four_endpoints() -> Table {
    table(&["a", "b", "c", "d"].map(|name| entry(name, 1)))
}

/// How often each endpoint is chosen, in a thousand draws.
fn counts(table: &Table, criteria: &Criteria<'_>) -> String {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts: BTreeMap<EndpointName, usize> = BTreeMap::new();
    for _ in 0..DRAWS {
        if let Some(name) = routing::choose(table, NOW, criteria, &mut rng) {
            *counts.entry(name).or_default() += 1;
        }
    }
    let counts = counts.iter().map(|(name, count)| format!("{name} {count}"));
    counts.collect::<Vec<String>>().join(", ")
}

#[test]
fn equal_endpoints_are_chosen_equally_often() {
    expect!["a 243, b 261, c 248, d 248"].assert_eq(&counts(&four_endpoints(), &criteria()));
}

#[test]
fn the_fuller_of_two_endpoints_is_not_chosen() {
    let mut table = four_endpoints();
    table.call_started(NOW, "a");
    assert!(!counts(&table, &criteria()).contains('a'));
}

#[test]
fn calls_of_other_instances_count() {
    let busy = Criteria { peers: &|name| if name == "a" { 9 } else { 0 }, ..criteria() };
    assert!(!counts(&four_endpoints(), &busy).contains('a'));
}

#[test]
fn a_reported_queue_counts_while_it_is_recent() {
    let mut table = four_endpoints();
    let load = Load { running: 4, queued: 9, places: 4, age_ms: 0 };
    table.load_reported(NOW, "a", load);
    assert!(!counts(&table, &criteria()).contains('a'));
    // A report much older than the duration of a call is ignored.
    let mut table = four_endpoints();
    for name in ["a", "b", "c", "d"] {
        run(&mut table, Duration::ZERO, name, secs(0.01), CallResult::Ok);
    }
    table.load_reported(NOW, "a", Load { age_ms: 900, ..load });
    table.call_started(NOW, "b");
    let counts = counts(&table, &criteria());
    assert!(counts.contains("a ") && !counts.contains("b "), "{counts}");
}

#[test]
fn a_slow_endpoint_is_not_chosen_beside_faster_ones() {
    let mut table = four_endpoints();
    for name in ["b", "c", "d"] {
        run(&mut table, Duration::ZERO, name, secs(0.1), CallResult::Ok);
    }
    run(&mut table, Duration::ZERO, "a", secs(1.0), CallResult::Ok);
    assert!(!counts(&table, &criteria()).contains('a'));
}

#[test]
fn an_endpoint_that_fails_fast_is_not_chosen() {
    let mut table = four_endpoints();
    run(&mut table, Duration::ZERO, "a", secs(0.001), CallResult::Failed);
    assert!(!counts(&table, &criteria()).contains('a'));
}

#[test]
fn excluded_and_leaving_endpoints_are_not_chosen() {
    let mut table = four_endpoints();
    table.mark_leaving("a", Incarnation(1));
    let exclude = ["b", "c"].map(EndpointName::from);
    let retry = Criteria { exclude: &exclude, ..criteria() };
    assert_eq!(counts(&table, &retry), "d 1000");
    table.mark_leaving("d", Incarnation(1));
    assert_eq!(counts(&table, &retry), "");
}

#[test]
fn an_endpoint_at_its_limit_is_not_chosen() {
    let mut table = table(&[entry("a", 1)]);
    for _ in 0..limits::Settings::default().initial {
        assert_eq!(counts(&table, &criteria()), "a 1000");
        table.call_started(NOW, "a");
    }
    assert_eq!(counts(&table, &criteria()), "");
    assert_eq!(table.pool_free_slots(NOW, POOL), 0);
}

#[test]
fn an_endpoint_with_a_due_probe_is_preferred_but_not_for_a_retry() {
    let mut table = four_endpoints();
    run(&mut table, Duration::ZERO, "a", secs(0.1), CallResult::Mismatched);
    let at = secs(3.0);
    let mut rng = SmallRng::seed_from_u64(1);
    let exclude = [EndpointName::from("b")];
    let retry = Criteria { exclude: &exclude, ..criteria() };
    for _ in 0..20 {
        assert_ne!(routing::choose(&table, at, &retry, &mut rng).as_deref(), Some("a"));
        assert_ne!(
            routing::choose_avoiding_probes(&table, at, &criteria(), &mut rng).as_deref(),
            Some("a")
        );
    }
    assert_eq!(routing::choose(&table, at, &criteria(), &mut rng).as_deref(), Some("a"));
    let score = |_: &Endpoint| Some(0.0);
    let scored = routing::choose_scored(&table, at, &criteria(), &mut rng, &score);
    assert_eq!(scored.as_deref(), Some("a"));
    table.call_started(at, "a");
    assert_ne!(routing::choose(&table, at, &criteria(), &mut rng).as_deref(), Some("a"));
}

#[test]
fn a_prefix_stays_on_one_endpoint_until_it_is_too_full() {
    let mut table = four_endpoints();
    let with_prefix = Criteria { prefix: Some(42), ..criteria() };
    let first = counts(&table, &with_prefix);
    let name = first.strip_suffix(" 1000").unwrap().to_owned();
    table.call_started(NOW, &name);
    let second = counts(&table, &with_prefix);
    assert!(second.ends_with(" 1000") && second != first, "{first}, then {second}");
    for other in ["a", "b", "c", "d"] {
        table.call_started(NOW, other);
    }
    table.call_ended(NOW, &name, CallEnd { took: secs(0.1), result: CallResult::Ok, tokens: None });
    assert_eq!(counts(&table, &with_prefix), first);
}

#[test]
fn a_prefix_does_not_stay_on_a_straggler() {
    let with_prefix = Criteria { prefix: Some(42), ..criteria() };
    let first = counts(&four_endpoints(), &with_prefix);
    let slow = first.strip_suffix(" 1000").unwrap();
    let mut table = four_endpoints();
    for name in ["a", "b", "c", "d"] {
        let took = if name == slow { 1.0 } else { 0.1 };
        run(&mut table, Duration::ZERO, name, secs(took), CallResult::Ok);
    }
    assert!(!counts(&table, &with_prefix).contains(slow));
}

#[test]
fn prefixes_are_distributed_over_the_pool() {
    let table = four_endpoints();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts: BTreeMap<EndpointName, usize> = BTreeMap::new();
    for prefix in 0..400 {
        let with_prefix = Criteria { prefix: Some(prefix), ..criteria() };
        let name = routing::choose(&table, NOW, &with_prefix, &mut rng).unwrap();
        *counts.entry(name).or_default() += 1;
    }
    assert!(counts.len() == 4 && counts.values().all(|count| *count > 60), "{counts:?}");
}

#[test]
fn the_score_of_a_policy_decides_and_no_score_falls_back() {
    let table = four_endpoints();
    let mut rng = SmallRng::seed_from_u64(1);
    let like_c = |endpoint: &Endpoint| Some(if &*endpoint.name == "c" { 1.0 } else { 0.0 });
    let none = |_: &Endpoint| None;
    for _ in 0..20 {
        let chosen = routing::choose_scored(&table, NOW, &criteria(), &mut rng, &like_c);
        assert_eq!(chosen.as_deref(), Some("c"));
        assert!(routing::choose_scored(&table, NOW, &criteria(), &mut rng, &none).is_some());
    }
}
