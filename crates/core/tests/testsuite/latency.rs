//! Online quantiles.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use peatdeck_core::latency::Estimator;

const MINUTE: Duration = Duration::from_secs(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whether a quantile lies within a bucket of `want`.
fn is_near(got: Option<Duration>, want: Duration) -> bool {
    got.is_some_and(|got| got >= want.mul_f64(0.9) && got <= want.mul_f64(1.11))
}

#[test]
fn nothing_is_known_without_samples() {
    assert_eq!(Estimator::new().quantile(0.5), None);
}

#[test]
fn quantiles_are_off_by_a_bucket_at_most() {
    let mut estimator = Estimator::new();
    (1..=1000).for_each(|took| estimator.record(ms(0), ms(took)));
    for (q, want) in [(0.5, 500), (0.9, 900), (0.99, 990)] {
        assert!(is_near(estimator.quantile(q), ms(want)), "{q}: {:?}", estimator.quantile(q));
    }
}

#[test]
fn quantiles_of_even_samples_are_close() {
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
fn a_long_life_keeps_it_exact() {
    let mut estimator = Estimator::new();
    for minute in 0..100_000 {
        estimator.record(MINUTE * minute, ms(20));
    }
    (0..10).for_each(|_| estimator.record(MINUTE * 100_000, ms(70)));
    assert!(is_near(estimator.quantile(0.01), ms(20)));
    assert!(is_near(estimator.quantile(0.99), ms(70)));
}

#[test]
fn samples_beyond_the_range_are_kept_at_its_ends() {
    let mut estimator = Estimator::new();
    estimator.record(ms(0), Duration::ZERO);
    estimator.record(ms(0), Duration::from_secs(1_000_000));
    assert!(estimator.quantile(0.1).unwrap() <= ms(1));
    assert!(estimator.quantile(1.0).unwrap() >= Duration::from_secs(600));
}
