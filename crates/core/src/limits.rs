//! Limits the calls that one instance has in flight at an endpoint.
//!
//! An [`AdaptiveLimit`] adapts to the endpoint's latency and load reports, so that instances need
//! no coordination. It grows by one per round while all of it is in use, and shrinks by a factor on
//! a sign of congestion: latency well above the baseline, a long queue in a load report, or a
//! refusal because the endpoint is busy. A round is as many calls as the limit allows at once, so
//! that growth doesn't depend on the rate of calls.
//!
//! Design notes:
//!
//! - Latencies of single calls vary widely, so a round is judged by its median.
//! - Under steady load latency stays high, and a baseline that followed it would soon take that for
//!   normal. So the baseline falls fast and rises slowly, and hardly at all while the limit is used
//!   up.
//! - Many calls see the same congestion. Calls that were sent before the limit shrank, and load
//!   reports from before, don't shrink it again.

use std::time::Duration;

/// Bounds of an adaptive limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Initial value.
    pub initial: u32,
    /// Lower bound.
    pub min: u32,
    /// Upper bound.
    pub max: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { initial: 8, min: 1, max: 64 }
    }
}

/// Ratio of a round's median to the baseline above which there is congestion.
const TOLERANCE: f64 = 2.0;
/// Reported queue, as a fraction of the endpoint's slots, above which there is congestion.
const QUEUE_SHARE: f64 = 0.25;
/// Factor by which the limit shrinks on congestion.
const SHRINK_FACTOR: f64 = 0.8;
/// The fewest calls in a round.
const MIN_ROUND: usize = 8;
/// The most calls in a round.
const MAX_ROUND: usize = 64;
/// Weight of a new median above the baseline in the new baseline.
const BASELINE_RISE: f64 = 0.05;
/// Weight of a new median above the baseline while the limit is used up.
const BASELINE_RISE_FULL: f64 = 0.002;
/// Weight of a new median below the baseline in the new baseline.
const BASELINE_FALL: f64 = 0.3;

/// A limit on calls in flight that adapts to congestion.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    settings: Settings,
    value: f64,
    baseline: Option<f64>,
    /// Latencies of the current round, in seconds.
    samples: Vec<f64>,
    /// Whether the limit was used up at some time in the current round.
    was_full: bool,
    /// When the limit last shrank.
    shrunk_at: Option<Duration>,
}

impl AdaptiveLimit {
    /// A limit at its initial value.
    pub fn new(settings: Settings) -> AdaptiveLimit {
        AdaptiveLimit {
            settings,
            value: f64::from(settings.initial),
            baseline: None,
            samples: Vec::new(),
            was_full: false,
            shrunk_at: None,
        }
    }

    /// The most calls in flight.
    pub fn value(&self) -> u32 {
        self.value as u32
    }

    /// Records a completed call that took `latency`, per token for an engine. `in_flight` includes
    /// the call.
    pub fn record_completion(&mut self, now: Duration, latency: Duration, in_flight: u32) {
        self.was_full |= in_flight >= self.value();
        self.samples.push(latency.as_secs_f64());
        let size = (self.value() as usize).clamp(MIN_ROUND, MAX_ROUND);
        if self.samples.len() >= size {
            self.end_round(now);
        }
    }

    /// Records a call that was cancelled after `latency`. A fast one is ignored; a slow one would
    /// have taken longer still. Without these an endpoint that answers few calls in time would be
    /// judged by those few.
    pub fn record_cancellation(&mut self, now: Duration, latency: Duration, in_flight: u32) {
        let is_slow =
            self.baseline.is_some_and(|baseline| latency.as_secs_f64() > baseline * TOLERANCE);
        if is_slow {
            self.record_completion(now, latency, in_flight);
        }
    }

    /// Records that the endpoint refused a call sent at `sent` because it was busy.
    pub fn record_refusal(&mut self, now: Duration, sent: Duration) {
        if !self.predates_shrink(sent) {
            self.shrink(now);
        }
    }

    /// Records a load report that was made at `at`.
    pub fn record_report(&mut self, now: Duration, at: Duration, queued: u32, slots: u32) {
        let is_long = f64::from(queued) > f64::from(slots) * QUEUE_SHARE;
        if is_long && !self.predates_shrink(at) {
            self.shrink(now);
        }
    }

    fn end_round(&mut self, now: Duration) {
        let median = median(&mut self.samples);
        self.samples.clear();
        let baseline = *self.baseline.get_or_insert(median);
        if median > baseline * TOLERANCE {
            self.shrink(now);
        } else if self.was_full {
            self.value = (self.value + 1.0).min(f64::from(self.settings.max));
        }
        let weight = match (median > baseline, self.was_full) {
            (true, true) => BASELINE_RISE_FULL,
            (true, false) => BASELINE_RISE,
            (false, _) => BASELINE_FALL,
        };
        self.baseline = Some(baseline + (median - baseline) * weight);
        self.was_full = false;
    }

    fn shrink(&mut self, now: Duration) {
        self.value = (self.value * SHRINK_FACTOR).max(f64::from(self.settings.min));
        self.shrunk_at = Some(now);
        self.samples.clear();
    }

    fn predates_shrink(&self, at: Duration) -> bool {
        self.shrunk_at.is_some_and(|shrunk| at <= shrunk)
    }
}

fn median(samples: &mut [f64]) -> f64 {
    let mid = samples.len() / 2;
    *samples.select_nth_unstable_by(mid, f64::total_cmp).1
}
