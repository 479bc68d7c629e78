//! The terms on which an endpoint accepts calls, as its replies state them.

use std::time::Duration;

use peatdeck_macros::{data, id};

use crate::relay::ids::EndpointId;

/// The longest interval between two calls that results from a rate, however low. Only a
/// further call can show that the limit no longer applies.
const MAX_INTERVAL: Duration = Duration::from_secs(30);
const MILLIS_PER_CALL: f64 = 1000.0;

/// A rate of calls, in thousandths of a call per second.
#[id]
#[derive(Copy)]
pub struct Rate(pub u64);

impl Rate {
    /// A rate of `calls` per second; `None` if `calls` is negative or not a number.
    pub fn per_second(calls: f64) -> Option<Rate> {
        // A rate beyond the range saturates, which has the same effect as no limit.
        (calls >= 0.0).then_some(Rate((calls * MILLIS_PER_CALL).round() as u64))
    }

    /// Calls per second.
    pub fn calls(self) -> f64 {
        self.0 as f64 / MILLIS_PER_CALL
    }

    /// The time between two calls at this rate, at most `MAX_INTERVAL`.
    pub fn interval(self) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / self.calls());
        interval.unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL)
    }
}

/// The terms that a reply states.
#[data]
#[derive(Copy, Default)]
pub struct Terms {
    /// How much longer the endpoint is cold; `None` if the reply does not state it.
    pub cold_left: Option<Duration>,
    /// The rate that it accepts from all instances together; `None` if it states no limit.
    pub limit: Option<Rate>,
    /// The number of calls per second that it may refuse without falling over; `None` if it does
    /// not state that it is fragile.
    pub max_refusals: Option<u32>,
    /// Whether it is leaving and accepts no new work.
    pub is_leaving: bool,
    /// How long this instance is to send it nothing; `None` if it does not ask for that.
    pub hold: Option<Duration>,
}

/// What an endpoint last stated about its limit.
#[data]
#[derive(Copy)]
pub struct LimitReport {
    /// The limit; `None` if it no longer states one.
    pub limit: Option<Rate>,
    /// When it stated that.
    pub at: Duration,
}

/// What instances report to each other about an endpoint.
#[data]
pub struct Notice {
    /// The incarnation of the endpoint that stated it.
    pub endpoint: EndpointId,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Its limit; `None` if it states none.
    pub limit: Option<Rate>,
    /// How long ago it last stated its limit or that it has none; zero if it never did.
    pub age: Duration,
}

impl Notice {
    /// What it stated about its limit, by the clock of the receiving instance.
    pub fn limit_report(&self, now: Duration) -> LimitReport {
        LimitReport { limit: self.limit, at: now.saturating_sub(self.age) }
    }
}
