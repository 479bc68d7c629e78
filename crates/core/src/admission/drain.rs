//! Measures how fast a queue drains.
//!
//! Only time in which calls wait counts: the rate at which calls leave an empty queue shows the
//! demand, not the capacity.

use std::time::Duration;

/// Time constant of the exponential average.
const WINDOW: Duration = Duration::from_secs(10);
/// Busy time before the rate is trusted.
const MIN_BUSY: Duration = Duration::from_millis(200);

/// Measures the rate at which cost leaves a queue while calls wait in it.
#[derive(Debug, Clone, Default)]
pub struct DrainRate {
    /// Cost that left, with exponentially decaying weight.
    served: f64,
    /// Seconds in which calls waited, with the same decay.
    busy: f64,
    /// Time up to which `busy` is accounted; `None` while no call waits.
    counted_until: Option<Duration>,
}

impl DrainRate {
    /// A meter without measurements.
    pub fn new() -> DrainRate {
        DrainRate::default()
    }

    /// Sets whether calls wait; called after each push, pop and removal.
    pub fn set_waiting(&mut self, now: Duration, any: bool) {
        if any {
            self.counted_until.get_or_insert(now);
        } else {
            self.advance(now);
            self.counted_until = None;
        }
    }

    /// Records that a waiting call of that cost got a slot.
    pub fn record_dispatch(&mut self, now: Duration, cost: f64) {
        self.advance(now);
        if self.counted_until.is_some() {
            self.served += cost;
        }
    }

    /// Time until cost `ahead` has drained; `None` if too little was measured.
    pub fn time_to_drain(&self, now: Duration, ahead: f64) -> Option<Duration> {
        let open = self.counted_until.map_or(0.0, |start| now.saturating_sub(start).as_secs_f64());
        let busy = self.busy + open;
        if busy < MIN_BUSY.as_secs_f64() || self.served <= 0.0 {
            return None;
        }
        let wait = Duration::try_from_secs_f64(ahead.max(0.0) * busy / self.served);
        Some(wait.unwrap_or(super::MAX_RETRY_AFTER).min(super::MAX_RETRY_AFTER))
    }

    fn advance(&mut self, now: Duration) {
        let Some(start) = self.counted_until else { return };
        let span = now.saturating_sub(start).as_secs_f64();
        let decay = (-span / WINDOW.as_secs_f64()).exp();
        self.served *= decay;
        self.busy = self.busy * decay + span;
        self.counted_until = Some(now.max(start));
    }
}
