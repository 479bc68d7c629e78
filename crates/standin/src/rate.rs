//! A limited rate: a token bucket.

use std::time::Duration;

/// Allows so many events a second on average, and a burst of them at once.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// A full bucket; a `rate` of 0 allows everything.
    pub fn new(rate: u32, burst: u32) -> TokenBucket {
        let burst = f64::from(burst.max(1));
        TokenBucket { rate: f64::from(rate), burst, level: burst, refilled_at: Duration::ZERO }
    }

    /// Whether one more event is within the rate at `now`; it counts if so.
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
