//! How limits move.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use peatdeck_core::limits::{AdaptiveLimit, Settings};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A limit of 8, after rounds of calls that took `took` each.
fn after(limit: &mut AdaptiveLimit, rounds: u32, took: u64, in_flight: u32) -> u32 {
    for _ in 0..rounds {
        (0..limit.value().max(8)).for_each(|_| limit.record_completion(ms(0), ms(took), in_flight));
    }
    limit.value()
}

fn limit() -> AdaptiveLimit {
    AdaptiveLimit::new(Settings::default())
}

#[test]
fn a_limit_in_use_grows_by_one_a_round() {
    assert_eq!(after(&mut limit(), 4, 100, 64), 12);
}

#[test]
fn a_limit_that_is_not_in_use_stays() {
    assert_eq!(after(&mut limit(), 20, 100, 3), 8);
}

#[test]
fn a_limit_shrinks_when_times_rise() {
    let mut limit = limit();
    after(&mut limit, 1, 100, 3);
    assert_eq!(after(&mut limit, 1, 250, 3), 6);
}

#[test]
fn one_slow_call_is_not_congestion() {
    let mut limit = limit();
    after(&mut limit, 1, 100, 3);
    limit.record_completion(ms(0), ms(5000), 3);
    (0..7).for_each(|_| limit.record_completion(ms(0), ms(100), 3));
    assert_eq!(limit.value(), 8);
}

#[test]
fn steady_load_does_not_become_usual() {
    let mut limit = limit();
    after(&mut limit, 2, 100, 3);
    for _ in 0..50 {
        after(&mut limit, 1, 190, 64);
    }
    let before = limit.value();
    assert!(after(&mut limit, 1, 250, 64) < before);
}

#[test]
fn calls_cut_short_count_as_slow_ones() {
    let mut limit = limit();
    after(&mut limit, 1, 100, 3);
    (0..8).for_each(|_| limit.record_cancellation(ms(0), ms(50), 3));
    assert_eq!(limit.value(), 8);
    (0..8).for_each(|_| limit.record_cancellation(ms(0), ms(900), 3));
    assert_eq!(limit.value(), 6);
}

#[test]
fn one_congestion_shrinks_once() {
    let mut limit = limit();
    limit.record_report(ms(1000), ms(500), 9, 4);
    limit.record_report(ms(1100), ms(900), 9, 4);
    limit.record_refusal(ms(1200), ms(950));
    assert_eq!(limit.value(), 6);
    limit.record_report(ms(2000), ms(1500), 9, 4);
    assert_eq!(limit.value(), 5);
}

#[test]
fn a_short_reported_queue_is_no_congestion() {
    let mut limit = limit();
    limit.record_report(ms(1000), ms(500), 1, 4);
    assert_eq!(limit.value(), 8);
}

#[test]
fn a_limit_stays_within_its_bounds() {
    let mut limit = AdaptiveLimit::new(Settings { initial: 4, min: 2, max: 6 });
    assert_eq!(after(&mut limit, 20, 100, 64), 6);
    (1..20).for_each(|at| limit.record_refusal(ms(at * 10), ms(at * 10 - 1)));
    assert_eq!(limit.value(), 2);
}
