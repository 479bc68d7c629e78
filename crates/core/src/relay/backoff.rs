//! Exponential back-off: the delay doubles with each consecutive failure.

use std::time::Duration;

/// How long an endpoint that failed gets no calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backoff {
    failures: u32,
    until: Duration,
}

/// Bounds of the delays of a [`Backoff`].
#[derive(Debug, Clone, Copy)]
pub struct Delays {
    /// The delay after the first failure in a row.
    pub initial: Duration,
    /// The longest delay.
    pub max: Duration,
}

impl Backoff {
    /// Extends the pause after a failure.
    pub fn record_failure(&mut self, now: Duration, delays: Delays) {
        let delay = delays.initial * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.until = self.until.max(now + delay.min(delays.max));
    }

    /// Resets the delays after a success.
    pub fn record_success(&mut self) {
        *self = Backoff::default();
    }

    /// Whether the last outcome was a failure.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// When the pause ends or ended; zero if there was none since the last success.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// Whether the pause lasts.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.until
    }
}

/// Delays after a refused call. The endpoint is then busy with other instances' calls for about
/// this long: a call for pieces takes 0.2 s and more.
pub const REFUSAL_DELAYS: Delays =
    Delays { initial: Duration::from_millis(60), max: Duration::from_millis(400) };
