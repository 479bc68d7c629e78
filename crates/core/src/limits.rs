//! How many calls one instance lets run at an endpoint at once.
//!
//! A [`Limit`] learns from the endpoint's own times, so that instances needn't
//! know each other's plans: it grows by one a round while it is used up and
//! times stay near their usual level, and shrinks by a factor when they rise
//! above it or when the endpoint says that it is busy. A round is as many
//! calls as the limit has places, so that growth doesn't depend on the rate.
//!
//! Times of single calls vary widely, so a round is judged by its median, and
//! the usual level is a slow average that forgets old bad times quickly.

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
/// What is left of the limit after congestion.
const BACKOFF: f64 = 0.8;
/// Fewest calls in a round.
const MIN_ROUND: usize = 8;
/// Most calls in a round.
const MAX_ROUND: usize = 64;
/// Weight of a new median in the usual level when it lies above.
const RISE: f64 = 0.02;
/// Weight of a new median in the usual level when it lies below.
const FALL: f64 = 0.3;

/// An adaptive limit.
#[derive(Debug, Clone)]
pub struct Limit {
    settings: Settings,
    value: f64,
    usual: Option<f64>,
    round: Vec<f64>,
    used: bool,
    /// Nothing that was sent before this shrinks the limit again.
    shrunk: Duration,
}

impl Limit {
    /// A limit at its start.
    pub fn new(settings: Settings) -> Limit {
        Limit {
            settings,
            value: f64::from(settings.initial),
            usual: None,
            round: Vec::new(),
            used: false,
            shrunk: Duration::ZERO,
        }
    }

    /// Calls allowed at once.
    pub fn value(&self) -> u32 {
        self.value as u32
    }

    /// Takes in a call that ended well. `in_flight` counts it.
    pub fn succeeded(&mut self, now: Duration, took: Duration, in_flight: u32) {
        self.used |= f64::from(in_flight) + 1.0 >= self.value;
        self.round.push(took.as_secs_f64());
        let size = (self.value() as usize).clamp(MIN_ROUND, MAX_ROUND);
        if self.round.len() >= size {
            self.end_round(now);
        }
    }

    /// Takes in a sign that the endpoint is overloaded, from a call that took `took`.
    pub fn congested(&mut self, now: Duration, took: Duration) {
        if now.saturating_sub(took) < self.shrunk {
            return;
        }
        self.shrunk = now;
        self.value = (self.value * BACKOFF).max(f64::from(self.settings.min));
    }

    fn end_round(&mut self, now: Duration) {
        let median = median(&mut self.round);
        self.round.clear();
        let usual = *self.usual.get_or_insert(median);
        if median > usual * TOLERANCE {
            self.value = (self.value * BACKOFF).max(f64::from(self.settings.min));
            self.shrunk = now;
        } else if self.used {
            self.value = (self.value + 1.0).min(f64::from(self.settings.max));
        }
        self.used = false;
        let weight = if median > usual { RISE } else { FALL };
        self.usual = Some(usual + (median - usual) * weight);
    }
}

fn median(samples: &mut [f64]) -> f64 {
    let mid = samples.len() / 2;
    *samples.select_nth_unstable_by(mid, f64::total_cmp).1
}
