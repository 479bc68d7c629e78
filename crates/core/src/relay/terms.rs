//! What an endpoint's replies say of the endpoint itself: on which terms it takes calls.

use std::time::Duration;

use peatdeck_macros::{data, id};

use crate::relay::model::EndpointId;

/// The longest time between two calls that a rate comes to. One that is lower, or
/// zero, is asked about so often: only a call shows that it holds no more.
const LONGEST_INTERVAL: Duration = Duration::from_secs(30);
/// Milli-calls in a call.
const MILLIS: f64 = 1000.0;

/// A rate of calls, in thousandths of a call a second.
#[id]
#[derive(Copy)]
pub struct Rate(pub u64);

impl Rate {
    /// So many calls a second; `None` if that makes no sense.
    pub fn per_second(calls: f64) -> Option<Rate> {
        // A rate beyond measure saturates, which is as good as none.
        (calls >= 0.0).then_some(Rate((calls * MILLIS).round() as u64))
    }

    /// Calls a second.
    pub fn calls(self) -> f64 {
        self.0 as f64 / MILLIS
    }

    /// The time between two calls at this rate.
    pub fn interval(self) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / self.calls());
        interval.unwrap_or(LONGEST_INTERVAL).min(LONGEST_INTERVAL)
    }
}

/// The terms that a reply names.
#[data]
#[derive(Copy, Default)]
pub struct Terms {
    /// How much longer the endpoint is cold, if it tells.
    pub cold_left: Option<Duration>,
    /// What it takes from all instances together, if it names a limit.
    pub limit: Option<Rate>,
    /// Whether it takes no new work any more.
    pub is_leaving: bool,
    /// How long it wants nothing from this instance, if it asks for that.
    pub hold: Option<Duration>,
}

/// What an endpoint said of its limit, and when.
#[data]
#[derive(Copy)]
pub struct LimitReport {
    /// The limit; `None` if it names none any more.
    pub limit: Option<Rate>,
    /// When it said so.
    pub at: Duration,
}

/// What instances tell each other of an endpoint.
#[data]
pub struct Notice {
    /// The life of the endpoint that said so.
    pub life: EndpointId,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Its limit, if it names one.
    pub limit: Option<Rate>,
    /// How long ago it named that, or none any more.
    pub age: Duration,
}

impl Notice {
    /// What it said of its limit, by the clock of whoever is told.
    pub fn limit_report(&self, now: Duration) -> LimitReport {
        LimitReport { limit: self.limit, at: now.saturating_sub(self.age) }
    }
}
