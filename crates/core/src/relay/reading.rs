//! Measures how fast the engines of a service prefill prompts.
//!
//! Deployments have engines of different speeds, and an engine is slower while it serves many
//! calls. The speed is therefore estimated from the times that calls took until their first token,
//! in bounded memory and with the half-life of the estimators.

use std::time::Duration;

use crate::latency::Estimator;

/// Time to prefill a thousand tokens, before any call has been measured: that of an engine of
/// medium speed. It does not matter any more after a few calls.
const DEFAULT_TIME_PER_1000: Duration = Duration::from_millis(30);
/// Time until the first token on top of prefill, before any call has been measured.
const DEFAULT_OVERHEAD: Duration = Duration::from_millis(100);
/// Calls with fewer tokens are not used to measure the speed, since setting them up takes as long
/// as their prefill.
const MIN_SAMPLE_TOKENS: u64 = 1000;
/// The quantile of times for a thousand tokens that counts as an engine's own speed: most calls
/// also wait for others.
const SPEED_QUANTILE: f64 = 0.1;
/// The quantile of the overhead that a plan allows for. A stage that is planned by the median is
/// too late for every second request. On six days with bursts and faults 0.9 was better than a
/// fixed 120 ms; values from 0.75 on differed by less than the error.
const OVERHEAD_QUANTILE: f64 = 0.9;

/// Prefill speed of the engines of a service.
#[derive(Debug, Clone, Default)]
pub struct PrefillSpeed {
    /// Prefill times of a thousand tokens.
    time_per_1000: Estimator,
    /// Times until the first token, minus the estimated prefill.
    overhead: Estimator,
}

impl PrefillSpeed {
    /// Records how long a call that had `tokens` prefilled took until its first token.
    pub fn record(&mut self, now: Duration, tokens: u64, took: Duration) {
        if tokens >= MIN_SAMPLE_TOKENS {
            self.time_per_1000.record(now, took.mul_f64(1000.0 / tokens as f64));
        }
        self.overhead.record(now, took.saturating_sub(self.prefill_time(tokens)));
    }

    /// Milliseconds to prefill one token.
    pub fn token_millis(&self) -> f64 {
        let time = self.time_per_1000.quantile(SPEED_QUANTILE).unwrap_or(DEFAULT_TIME_PER_1000);
        time.as_secs_f64()
    }

    /// Time to prefill this many tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 * self.token_millis() / 1000.0)
    }

    /// The median overhead: time until the first token on top of prefill.
    pub fn median_overhead(&self) -> Duration {
        self.overhead.quantile(0.5).unwrap_or(DEFAULT_OVERHEAD)
    }

    /// Time until the first token to plan with, for a call that has this many tokens prefilled.
    pub fn time_to_first_token(&self, tokens: u64) -> Duration {
        self.overhead.quantile(OVERHEAD_QUANTILE).unwrap_or(DEFAULT_OVERHEAD)
            + self.prefill_time(tokens)
    }
}
