//! Latency quantiles estimated from a stream of samples.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use peatdeck_core::latency::Estimator;

const MINUTE: Duration = Duration::from_secs(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whether a quantile differs from `want` by at most the width of a bucket.
fn is_near(got: Option<Duration>, want: Duration) -> bool {
    got.is_some_and(|got| got >= want.mul_f64(0.9) && got <= want.mul_f64(1.11))
}

#[test]
fn there_is_no_quantile_without_samples() {
    assert_eq!(Estimator::new().quantile(0.5), None);
}

#[test]
fn the_error_of_quantiles_is_at_most_a_bucket() {
    let mut estimator = Estimator::new();
    (1..=1000).for_each(|took| estimator.record(ms(0), ms(took)));
    for (q, want) in [(0.5, 500), (0.9, 900), (0.99, 990)] {
        assert!(is_near(estimator.quantile(q), ms(want)), "{q}: {:?}", estimator.quantile(q));
    }
}

#[test]
fn quantiles_of_uniform_samples_are_within_two_percent() {
    let mut estimator = Estimator::new();
    (1..=1000).for_each(|took| estimator.record(ms(0), ms(took)));
    for (q, want) in [(0.25, 250.0), (0.5, 500.0), (0.9, 900.0)] {
        let got = estimator.quantile(q).unwrap().as_secs_f64() * 1000.0;
        assert!((got / want - 1.0).abs() < 0.02, "{q}: {got}");
    }
}

#[test]
fn old_samples_lose_their_weight() {
    let mut estimator = Estimator::new();
    (0..1000).for_each(|_| estimator.record(ms(0), ms(1000)));
    (0..100).for_each(|_| estimator.record(MINUTE * 5, ms(10)));
    assert!(is_near(estimator.quantile(0.5), ms(10)));
}

#[test]
fn quantiles_stay_accurate_over_a_long_run_time() {
    let mut estimator = Estimator::new();
    for minute in 0..100_000 {
        estimator.record(MINUTE * minute, ms(20));
    }
    (0..10).for_each(|_| estimator.record(MINUTE * 100_000, ms(70)));
    assert!(is_near(estimator.quantile(0.01), ms(20)));
    assert!(is_near(estimator.quantile(0.99), ms(70)));
}

#[test]
fn samples_beyond_the_range_are_clamped_to_it() {
    let mut estimator = Estimator::new();
    estimator.record(ms(0), Duration::ZERO);
    estimator.record(ms(0), Duration::from_secs(1_000_000));
    assert!(estimator.quantile(0.1).unwrap() <= ms(1));
    assert!(estimator.quantile(1.0).unwrap() >= Duration::from_secs(600));
}
