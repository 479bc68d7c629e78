//! How many calls one instance lets run at an endpoint at once.
//!
//! An [`AdaptiveLimit`] learns from the endpoint's own times and load reports, so that
//! instances needn't know each other's plans. It grows by one a round while
//! all of it is in use, and shrinks by a factor on a sign of congestion: times
//! well above their usual level, a long queue in a report, or a refusal
//! because the endpoint is busy. A round is as many calls as the limit has
//! places, so that growth doesn't depend on the rate.
//!
//! Traps:
//!
//! - Times of single calls vary widely, so a round is judged by its median.
//! - Under steady load times stay high, and a level that followed them would
//!   soon call them usual. So the usual level falls fast and rises slowly, and
//!   hardly at all while the limit is used up.
//! - One congestion is seen by many calls. Calls that were sent before the
//!   limit shrank, and reports from before, don't shrink it again.

use std::time::Duration;

/// How a limit moves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Where it starts.
    pub initial: u32,
    /// It never falls below.
    pub min: u32,
    /// It never grows beyond.
    pub max: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { initial: 8, min: 1, max: 64 }
    }
}

/// Rise of the median over the usual level that counts as congestion.
const TOLERANCE: f64 = 2.0;
/// Reported queue, as a share of the endpoint's places, that counts as congestion.
const QUEUE_SHARE: f64 = 0.25;
/// What is left of the limit after congestion.
const BACKOFF: f64 = 0.8;
/// Fewest calls in a round.
const MIN_ROUND: usize = 8;
/// Most calls in a round.
const MAX_ROUND: usize = 64;
/// Weight of a new median in the usual level when it lies above.
const RISE: f64 = 0.05;
/// The same while the limit is used up.
const RISE_IN_USE: f64 = 0.002;
/// Weight of a new median in the usual level when it lies below.
const FALL: f64 = 0.3;

/// An adaptive limit.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    settings: Settings,
    value: f64,
    usual: Option<f64>,
    /// Times of the round so far, in seconds.
    round: Vec<f64>,
    /// Whether all of the limit was in use at some time of the round.
    used: bool,
    /// When it last shrank.
    shrunk: Option<Duration>,
}

impl AdaptiveLimit {
    /// A limit at its start.
    pub fn new(settings: Settings) -> AdaptiveLimit {
        AdaptiveLimit {
            settings,
            value: f64::from(settings.initial),
            usual: None,
            round: Vec::new(),
            used: false,
            shrunk: None,
        }
    }

    /// Calls allowed at once.
    pub fn value(&self) -> u32 {
        self.value as u32
    }

    /// Takes in the time of a call that ended well. `in_flight` counts it.
    pub fn record_completion(&mut self, now: Duration, unit: Duration, in_flight: u32) {
        self.used |= in_flight >= self.value();
        self.round.push(unit.as_secs_f64());
        let size = (self.value() as usize).clamp(MIN_ROUND, MAX_ROUND);
        if self.round.len() >= size {
            self.end_round(now);
        }
    }

    /// Takes in a call that was cancelled after `unit`. A quick end tells nothing,
    /// a late one that the call would have taken longer still. Without these, an
    /// endpoint that answers few calls in time would be judged by those few.
    pub fn record_cancellation(&mut self, now: Duration, unit: Duration, in_flight: u32) {
        let is_slow = self.usual.is_some_and(|usual| unit.as_secs_f64() > usual * TOLERANCE);
        if is_slow {
            self.record_completion(now, unit, in_flight);
        }
    }

    /// Takes in a refusal because the endpoint is busy, of a call sent at `sent`.
    pub fn record_refusal(&mut self, now: Duration, sent: Duration) {
        if !self.is_old_news(sent) {
            self.shrink(now);
        }
    }

    /// Takes in a report that was true at `at`.
    pub fn record_report(&mut self, now: Duration, at: Duration, queued: u32, places: u32) {
        let is_long = f64::from(queued) > f64::from(places) * QUEUE_SHARE;
        if is_long && !self.is_old_news(at) {
            self.shrink(now);
        }
    }

    fn end_round(&mut self, now: Duration) {
        let median = median(&mut self.round);
        self.round.clear();
        let usual = *self.usual.get_or_insert(median);
        if median > usual * TOLERANCE {
            self.shrink(now);
        } else if self.used {
            self.value = (self.value + 1.0).min(f64::from(self.settings.max));
        }
        let weight = match (median > usual, self.used) {
            (true, true) => RISE_IN_USE,
            (true, false) => RISE,
            (false, _) => FALL,
        };
        self.usual = Some(usual + (median - usual) * weight);
        self.used = false;
    }

    fn shrink(&mut self, now: Duration) {
        self.value = (self.value * BACKOFF).max(f64::from(self.settings.min));
        self.shrunk = Some(now);
        self.round.clear();
    }

    fn is_old_news(&self, at: Duration) -> bool {
        self.shrunk.is_some_and(|shrunk| at <= shrunk)
    }
}

fn median(samples: &mut [f64]) -> f64 {
    let mid = samples.len() / 2;
    *samples.select_nth_unstable_by(mid, f64::total_cmp).1
}
