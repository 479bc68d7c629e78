//! How adaptive limits grow and shrink.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use peatdeck_core::limits::{AdaptiveLimit, Settings};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records rounds of calls that took `took` milliseconds each, as many per round as the limit allows
/// and at least 8. Returns the value of the limit.
fn run_rounds(limit: &mut AdaptiveLimit, rounds: u32, took: u64, in_flight: u32) -> u32 {
    for _ in 0..rounds {
        (0..limit.value().max(8)).for_each(|_| limit.record_completion(ms(0), ms(took), in_flight));
    }
    limit.value()
}

fn limit() -> AdaptiveLimit {
    AdaptiveLimit::new(Settings::default())
}

#[test]
fn a_limit_in_use_grows_by_one_per_round() {
    assert_eq!(run_rounds(&mut limit(), 4, 100, 64), 12);
}

#[test]
fn a_limit_that_is_not_in_use_does_not_grow() {
    assert_eq!(run_rounds(&mut limit(), 20, 100, 3), 8);
}

#[test]
fn a_limit_shrinks_when_latency_rises() {
    let mut limit = limit();
    run_rounds(&mut limit, 1, 100, 3);
    assert_eq!(run_rounds(&mut limit, 1, 250, 3), 6);
}

#[test]
fn one_slow_call_is_not_congestion() {
    let mut limit = limit();
    run_rounds(&mut limit, 1, 100, 3);
    limit.record_completion(ms(0), ms(5000), 3);
    (0..7).for_each(|_| limit.record_completion(ms(0), ms(100), 3));
    assert_eq!(limit.value(), 8);
}

#[test]
fn sustained_load_does_not_raise_the_baseline_latency() {
    let mut limit = limit();
    run_rounds(&mut limit, 2, 100, 3);
    for _ in 0..50 {
        run_rounds(&mut limit, 1, 190, 64);
    }
    let before = limit.value();
    assert!(run_rounds(&mut limit, 1, 250, 64) < before);
}

#[test]
fn calls_cancelled_after_a_long_time_count_as_slow() {
    let mut limit = limit();
    run_rounds(&mut limit, 1, 100, 3);
    (0..8).for_each(|_| limit.record_cancellation(ms(0), ms(50), 3));
    assert_eq!(limit.value(), 8);
    (0..8).for_each(|_| limit.record_cancellation(ms(0), ms(900), 3));
    assert_eq!(limit.value(), 6);
}

#[test]
fn signals_of_calls_sent_before_the_last_decrease_are_ignored() {
    let mut limit = limit();
    limit.record_report(ms(1000), ms(500), 9, 4);
    limit.record_report(ms(1100), ms(900), 9, 4);
    limit.record_refusal(ms(1200), ms(950));
    assert_eq!(limit.value(), 6);
    limit.record_report(ms(2000), ms(1500), 9, 4);
    assert_eq!(limit.value(), 5);
}

#[test]
fn a_short_reported_queue_is_not_congestion() {
    let mut limit = limit();
    limit.record_report(ms(1000), ms(500), 1, 4);
    assert_eq!(limit.value(), 8);
}

#[test]
fn a_limit_stays_within_its_bounds() {
    let mut limit = AdaptiveLimit::new(Settings { initial: 4, min: 2, max: 6 });
    assert_eq!(run_rounds(&mut limit, 20, 100, 64), 6);
    (1..20).for_each(|at| limit.record_refusal(ms(at * 10), ms(at * 10 - 1)));
    assert_eq!(limit.value(), 2);
}
