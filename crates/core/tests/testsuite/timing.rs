//! The split of a deadline between stages, and when to hedge.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use peatdeck_core::{latency::Estimator, timing};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A stage whose latency is uniform between `from` and `to` milliseconds.
fn stage(from: u64, to: u64) -> Estimator {
    let mut estimator = Estimator::new();
    for step in 0..=100 {
        estimator.record(ms(0), ms(from + (to - from) * step / 100));
    }
    estimator
}

/// Whether `got` differs from `want` by at most the width of a bucket.
fn is_near(got: Option<Duration>, want: u64) -> bool {
    got.is_some_and(|got| {
        got.as_secs_f64() * 1000.0 / want as f64 - 1.0 < 0.12 && got >= ms(want).mul_f64(0.88)
    })
}

#[test]
fn a_stage_gets_the_time_that_later_stages_do_not_need() {
    let (first, later) = (stage(50, 150), stage(100, 300));
    let time = timing::stage_time(ms(1000), &first, &[&later, &later]);
    assert!(is_near(time, 1000 - 2 * 280), "{time:?}");
}

#[test]
fn the_last_stage_gets_all_remaining_time() {
    assert_eq!(timing::stage_time(ms(1000), &stage(50, 150), &[]), Some(ms(1000)));
}

#[test]
fn stages_share_the_time_if_it_is_short() {
    let (first, later) = (stage(90, 110), stage(100, 400));
    let time = timing::stage_time(ms(400), &first, &[&later]);
    assert!(is_near(time, 114), "{time:?}");
}

#[test]
fn there_is_no_time_for_a_stage_if_the_deadline_cannot_be_met() {
    let (first, later) = (stage(90, 110), stage(190, 210));
    assert_eq!(timing::stage_time(ms(250), &first, &[&later]), None);
    assert_eq!(timing::stage_time(ms(0), &Estimator::new(), &[]), None);
}

#[test]
fn a_stage_without_samples_gets_all_remaining_time() {
    assert_eq!(timing::stage_time(ms(5), &Estimator::new(), &[]), Some(ms(5)));
}

#[test]
fn a_hedge_is_delayed_by_half_of_the_spare_time() {
    // A call is a straggler from 195 ms on, and 190 ms are reserved for the hedge itself.
    let delay = timing::hedge_delay(&stage(100, 200), ms(1000));
    assert!(is_near(delay, 195 + (1000 - 190 - 195) / 2), "{delay:?}");
}

#[test]
fn a_hedge_that_cannot_meet_the_deadline_is_not_sent() {
    assert_eq!(timing::hedge_delay(&stage(100, 200), ms(250)), None);
}

#[test]
fn there_are_no_hedges_with_few_samples() {
    let mut few = Estimator::new();
    few.record(ms(0), ms(100));
    assert_eq!(timing::hedge_delay(&few, ms(1000)), None);
}
