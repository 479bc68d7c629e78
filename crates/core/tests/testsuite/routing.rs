//! Which endpoint is chosen.

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

fn demand() -> Criteria<'static> {
    Criteria { pool: POOL, prefix: None, exclude: &[], peers: &|_| 0 }
}

fn four() -> Table {
    table(&["a", "b", "c", "d"].map(|name| entry(name, 1)))
}

/// How often each endpoint is chosen, in a thousand draws.
fn counts(table: &Table, demand: &Criteria<'_>) -> String {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts: BTreeMap<EndpointName, usize> = BTreeMap::new();
    for _ in 0..DRAWS {
        if let Some(name) = routing::choose(table, NOW, demand, &mut rng) {
            *counts.entry(name).or_default() += 1;
        }
    }
    let counts = counts.iter().map(|(name, count)| format!("{name} {count}"));
    counts.collect::<Vec<String>>().join(", ")
}

#[test]
fn equals_are_chosen_alike() {
    expect!["a 243, b 261, c 248, d 248"].assert_eq(&counts(&four(), &demand()));
}

#[test]
fn the_fullest_is_never_chosen_of_two() {
    let mut table = four();
    table.call_started(NOW, "a");
    assert!(!counts(&table, &demand()).contains('a'));
}

#[test]
fn peers_calls_count() {
    let busy = Criteria { peers: &|name| if name == "a" { 9 } else { 0 }, ..demand() };
    assert!(!counts(&four(), &busy).contains('a'));
}

#[test]
fn a_reported_queue_counts_while_it_is_news() {
    let mut table = four();
    let load = Load { running: 4, queued: 9, places: 4, age_ms: 0 };
    table.load_reported(NOW, "a", load);
    assert!(!counts(&table, &demand()).contains('a'));
    // A report that is far older than a call is as good as none.
    let mut table = four();
    for name in ["a", "b", "c", "d"] {
        run(&mut table, Duration::ZERO, name, secs(0.01), CallResult::Ok);
    }
    table.load_reported(NOW, "a", Load { age_ms: 900, ..load });
    table.call_started(NOW, "b");
    let counts = counts(&table, &demand());
    assert!(counts.contains("a ") && !counts.contains("b "), "{counts}");
}

#[test]
fn a_slow_endpoint_gets_less() {
    let mut table = four();
    for name in ["b", "c", "d"] {
        run(&mut table, Duration::ZERO, name, secs(0.1), CallResult::Ok);
    }
    run(&mut table, Duration::ZERO, "a", secs(1.0), CallResult::Ok);
    assert!(!counts(&table, &demand()).contains('a'));
}

#[test]
fn an_endpoint_that_fails_fast_attracts_nothing() {
    let mut table = four();
    run(&mut table, Duration::ZERO, "a", secs(0.001), CallResult::Failed);
    assert!(!counts(&table, &demand()).contains('a'));
}

#[test]
fn excluded_and_leaving_endpoints_get_nothing() {
    let mut table = four();
    table.mark_leaving("a", Incarnation(1));
    let exclude = ["b", "c"].map(EndpointName::from);
    let repeat = Criteria { exclude: &exclude, ..demand() };
    assert_eq!(counts(&table, &repeat), "d 1000");
    table.mark_leaving("d", Incarnation(1));
    assert_eq!(counts(&table, &repeat), "");
}

#[test]
fn an_endpoint_at_its_limit_gets_nothing() {
    let mut table = table(&[entry("a", 1)]);
    for _ in 0..limits::Settings::default().initial {
        assert_eq!(counts(&table, &demand()), "a 1000");
        table.call_started(NOW, "a");
    }
    assert_eq!(counts(&table, &demand()), "");
    assert_eq!(table.pool_free_slots(NOW, POOL), 0);
}

#[test]
fn a_due_probe_goes_first_but_never_with_a_repeat() {
    let mut table = four();
    run(&mut table, Duration::ZERO, "a", secs(0.1), CallResult::Mismatched);
    let at = secs(3.0);
    let mut rng = SmallRng::seed_from_u64(1);
    let exclude = [EndpointName::from("b")];
    let repeat = Criteria { exclude: &exclude, ..demand() };
    for _ in 0..20 {
        assert_ne!(routing::choose(&table, at, &repeat, &mut rng).as_deref(), Some("a"));
        assert_ne!(
            routing::choose_avoiding_probes(&table, at, &demand(), &mut rng).as_deref(),
            Some("a")
        );
    }
    assert_eq!(routing::choose(&table, at, &demand(), &mut rng).as_deref(), Some("a"));
    let score = |_: &Endpoint| Some(0.0);
    let scored = routing::choose_scored(&table, at, &demand(), &mut rng, &score);
    assert_eq!(scored.as_deref(), Some("a"));
    table.call_started(at, "a");
    assert_ne!(routing::choose(&table, at, &demand(), &mut rng).as_deref(), Some("a"));
}

#[test]
fn a_prefix_stays_on_one_endpoint_until_that_is_too_full() {
    let mut table = four();
    let near = Criteria { prefix: Some(42), ..demand() };
    let first = counts(&table, &near);
    let name = first.strip_suffix(" 1000").unwrap().to_owned();
    table.call_started(NOW, &name);
    let second = counts(&table, &near);
    assert!(second.ends_with(" 1000") && second != first, "{first}, then {second}");
    for other in ["a", "b", "c", "d"] {
        table.call_started(NOW, other);
    }
    table.call_ended(NOW, &name, CallEnd { took: secs(0.1), result: CallResult::Ok, tokens: None });
    assert_eq!(counts(&table, &near), first);
}

#[test]
fn a_prefix_does_not_stay_on_a_straggler() {
    let near = Criteria { prefix: Some(42), ..demand() };
    let first = counts(&four(), &near);
    let slow = first.strip_suffix(" 1000").unwrap();
    let mut table = four();
    for name in ["a", "b", "c", "d"] {
        let took = if name == slow { 1.0 } else { 0.1 };
        run(&mut table, Duration::ZERO, name, secs(took), CallResult::Ok);
    }
    assert!(!counts(&table, &near).contains(slow));
}

#[test]
fn prefixes_spread_over_the_pool() {
    let table = four();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts: BTreeMap<EndpointName, usize> = BTreeMap::new();
    for prefix in 0..400 {
        let near = Criteria { prefix: Some(prefix), ..demand() };
        let name = routing::choose(&table, NOW, &near, &mut rng).unwrap();
        *counts.entry(name).or_default() += 1;
    }
    assert!(counts.len() == 4 && counts.values().all(|count| *count > 60), "{counts:?}");
}

#[test]
fn a_policys_score_chooses_and_no_score_falls_back() {
    let table = four();
    let mut rng = SmallRng::seed_from_u64(1);
    let like_c = |endpoint: &Endpoint| Some(if &*endpoint.name == "c" { 1.0 } else { 0.0 });
    let none = |_: &Endpoint| None;
    for _ in 0..20 {
        let chosen = routing::choose_scored(&table, NOW, &demand(), &mut rng, &like_c);
        assert_eq!(chosen.as_deref(), Some("c"));
        assert!(routing::choose_scored(&table, NOW, &demand(), &mut rng, &none).is_some());
    }
}
