//! How fast the engines of a service read prompts, as it is observed.
//!
//! Deployments have engines of different speeds, and an engine is slower while
//! it serves many. What a choice or a plan needs is learned from the time that
//! calls took until their first token, with bounded memory, and forgotten with
//! the estimators' half-life.

use std::time::Duration;

use crate::latency::Estimator;

/// Time to read a thousand tokens before any call has shown it: that of a
/// middling engine. A few calls later it does not matter.
const FIRST_GUESS: Duration = Duration::from_millis(30);
/// What a first token takes besides reading before any call has shown it.
const FIRST_REST: Duration = Duration::from_millis(100);
/// Calls that read fewer tokens tell little of the speed: setting them up takes
/// as long.
const TELLING: u64 = 1000;
/// The quantile of times for a thousand tokens that counts as an engine's own
/// speed: most calls also wait for others.
const SPEED_QUANTILE: f64 = 0.1;
/// The quantile of what comes on top that a plan reckons with. A stage planned
/// by the median is too late for every second request. On six days with bursts
/// and faults 0.9 was better than a fixed 120 ms; from 0.75 it did not differ by
/// more than the error.
const REST_QUANTILE: f64 = 0.9;

/// How fast the engines of a service read prompts.
#[derive(Debug, Clone, Default)]
pub struct PrefillSpeed {
    /// Times for a thousand tokens.
    reading: Estimator,
    /// Times until the first token, less what reading takes.
    rest: Estimator,
}

impl PrefillSpeed {
    /// A call that had so many tokens read took so long until its first token.
    pub fn record(&mut self, now: Duration, tokens: u64, took: Duration) {
        if tokens >= TELLING {
            self.reading.record(now, took.mul_f64(1000.0 / tokens as f64));
        }
        self.rest.record(now, took.saturating_sub(self.prefill_time(tokens)));
    }

    /// Milliseconds to read one token.
    pub fn token_millis(&self) -> f64 {
        let time = self.reading.quantile(SPEED_QUANTILE).unwrap_or(FIRST_GUESS);
        time.as_secs_f64()
    }

    /// The time to read so many tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 * self.token_millis() / 1000.0)
    }

    /// The median of what comes on top of reading until the first token.
    pub fn median_overhead(&self) -> Duration {
        self.rest.quantile(0.5).unwrap_or(FIRST_REST)
    }

    /// The usual time until the first token of a call that has so many tokens
    /// read.
    pub fn time_to_first_token(&self, tokens: u64) -> Duration {
        self.rest.quantile(REST_QUANTILE).unwrap_or(FIRST_REST) + self.prefill_time(tokens)
    }
}
