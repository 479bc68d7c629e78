//! How fast a queue drains.
//!
//! Only time in which calls wait counts: what leaves an empty queue shows the
//! demand, not the capacity.

use std::time::Duration;

/// Span over which the rate is averaged.
const WINDOW: Duration = Duration::from_secs(10);
/// Busy time before the rate is trusted.
const MIN_BUSY: Duration = Duration::from_millis(200);

/// Measures the rate at which cost leaves a queue while calls wait in it.
#[derive(Debug, Clone, Default)]
pub struct DrainRate {
    /// Cost that left, faded.
    served: f64,
    /// Busy seconds, faded alike.
    busy: f64,
    /// Since when calls wait, or the last one left while others waited.
    from: Option<Duration>,
}

impl DrainRate {
    /// A meter that has seen nothing.
    pub fn new() -> DrainRate {
        DrainRate::default()
    }

    /// Says whether calls wait; after each push, pop and removal.
    pub fn set_waiting(&mut self, now: Duration, any: bool) {
        if any {
            self.from.get_or_insert(now);
        } else {
            self.advance(now);
            self.from = None;
        }
    }

    /// A waiting call of that cost got a place.
    pub fn record_dispatch(&mut self, now: Duration, cost: f64) {
        self.advance(now);
        if self.from.is_some() {
            self.served += cost;
        }
    }

    /// Time until `ahead` has left; `None` if too little is known.
    pub fn time_to_drain(&self, now: Duration, ahead: f64) -> Option<Duration> {
        let open = self.from.map_or(0.0, |from| now.saturating_sub(from).as_secs_f64());
        let busy = self.busy + open;
        if busy < MIN_BUSY.as_secs_f64() || self.served <= 0.0 {
            return None;
        }
        let wait = Duration::try_from_secs_f64(ahead.max(0.0) * busy / self.served);
        Some(wait.unwrap_or(super::MAX_RETRY).min(super::MAX_RETRY))
    }

    fn advance(&mut self, now: Duration) {
        let Some(from) = self.from else { return };
        let span = now.saturating_sub(from).as_secs_f64();
        let fade = (-span / WINDOW.as_secs_f64()).exp();
        self.served *= fade;
        self.busy = self.busy * fade + span;
        self.from = Some(now.max(from));
    }
}
