//! Rate limit by a token bucket.

use std::time::Duration;

/// Allows `rate` events per second on average, and bursts of up to `burst`.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket; a `rate` of 0 allows everything.
    pub fn new(rate: u32, burst: u32) -> TokenBucket {
        let burst = f64::from(burst.max(1));
        TokenBucket { rate: f64::from(rate), burst, level: burst, refilled_at: Duration::ZERO }
    }

    /// Takes a token for one event at `now`; `false` if the rate is exceeded.
    pub fn try_take(&mut self, now: Duration) -> bool {
        if self.rate == 0.0 {
            return true;
        }
        let gained = now.saturating_sub(self.refilled_at).as_secs_f64() * self.rate;
        self.refilled_at = now;
        self.level = (self.level + gained).min(self.burst);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
