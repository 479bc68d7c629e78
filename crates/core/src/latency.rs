//! Estimates quantiles of durations online.
//!
//! An [`Estimator`] is a histogram with buckets of constant relative width. Samples lose weight
//! exponentially with age, so that a quantile reflects the last minutes. Memory is fixed, and the
//! error of a quantile is at most the width of a bucket.
//!
//! Quantiles of stages don't add up to the quantile of their sum; the sum of high quantiles is a
//! safe upper estimate.

use std::time::Duration;

/// Upper bound of the first bucket.
const FIRST_BOUND: Duration = Duration::from_micros(100);
/// Ratio between the upper bounds of adjacent buckets.
const BOUND_RATIO: f64 = 1.1;
/// Number of buckets; the last one reaches beyond ten minutes.
const BUCKETS: usize = 168;
/// Age at which a sample has half its weight.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Half-lives after which all weights are scaled down, to stay far from overflow.
const RESCALE_AFTER: f64 = 64.0;

/// A histogram of recent durations.
#[derive(Debug, Clone)]
pub struct Estimator {
    /// Weight in each bucket, relative to a sample taken at `reference_time`.
    buckets: Box<[f64; BUCKETS]>,
    total: f64,
    reference_time: Duration,
    count: u64,
}

impl Default for Estimator {
    fn default() -> Estimator {
        Estimator::new()
    }
}

impl Estimator {
    /// An estimator without samples.
    pub fn new() -> Estimator {
        Estimator {
            buckets: Box::new([0.0; BUCKETS]),
            total: 0.0,
            reference_time: Duration::ZERO,
            count: 0,
        }
    }

    /// Records one sample.
    pub fn record(&mut self, now: Duration, duration: Duration) {
        let age = half_lives(now.saturating_sub(self.reference_time));
        if age > RESCALE_AFTER {
            self.rescale(now, age);
        }
        let weight = half_lives(now.saturating_sub(self.reference_time)).exp2();
        self.buckets[bucket_index(duration)] += weight;
        self.total += weight;
        self.count += 1;
    }

    /// The duration that a fraction `q` of recent samples doesn't exceed; `None` without samples.
    pub fn quantile(&self, q: f64) -> Option<Duration> {
        if self.count == 0 {
            return None;
        }
        let wanted = self.total * q.clamp(0.0, 1.0);
        let mut below = 0.0;
        let mut found = Duration::ZERO;
        let filled = self.buckets.iter().enumerate().filter(|(_, weight)| **weight > 0.0);
        for (idx, weight) in filled {
            let part = ((wanted - below) / weight).clamp(0.0, 1.0);
            found = interpolate(idx, part);
            below += weight;
            if below >= wanted {
                break;
            }
        }
        Some(found)
    }

    /// Number of samples recorded so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    fn rescale(&mut self, now: Duration, age: f64) {
        let factor = (-age).exp2();
        for weight in self.buckets.iter_mut() {
            *weight *= factor;
        }
        self.total = self.buckets.iter().sum();
        self.reference_time = now;
    }
}

fn half_lives(span: Duration) -> f64 {
    span.as_secs_f64() / HALF_LIFE.as_secs_f64()
}

fn bucket_index(duration: Duration) -> usize {
    let ratio = duration.as_secs_f64() / FIRST_BOUND.as_secs_f64();
    if ratio <= 1.0 {
        return 0;
    }
    let idx = (ratio.ln() / BOUND_RATIO.ln()).ceil() as usize;
    idx.min(BUCKETS - 1)
}

/// The duration that a fraction of a bucket's samples doesn't exceed, if they are spread evenly.
fn interpolate(idx: usize, part: f64) -> Duration {
    let lower = idx.checked_sub(1).map_or(Duration::ZERO, upper_bound);
    lower + upper_bound(idx).saturating_sub(lower).mul_f64(part)
}

fn upper_bound(idx: usize) -> Duration {
    FIRST_BOUND.mul_f64(BOUND_RATIO.powi(idx as i32))
}
