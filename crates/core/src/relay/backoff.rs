//! A pause that doubles with each failure in a row.

use std::time::Duration;

/// How long whoever failed is passed over.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backoff {
    failures: u32,
    until: Duration,
}

/// The pauses of a backoff.
#[derive(Debug, Clone, Copy)]
pub struct Delays {
    /// After the first failure in a row.
    pub initial: Duration,
    /// At the most.
    pub max: Duration,
}

impl Backoff {
    /// It failed.
    pub fn record_failure(&mut self, now: Duration, pauses: Delays) {
        let pause = pauses.initial * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.until = self.until.max(now + pause.min(pauses.max));
    }

    /// It did well: the next failure is the first one.
    pub fn record_success(&mut self) {
        *self = Backoff::default();
    }

    /// Whether it has failed since it last did well.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Until when it is passed over.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// Whether it is passed over.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.until
    }
}

/// An endpoint that refused a call is busy with others' for about so long: a call for
/// pieces takes 0.2 s and more.
pub const REFUSAL_DELAYS: Delays =
    Delays { initial: Duration::from_millis(60), max: Duration::from_millis(400) };
