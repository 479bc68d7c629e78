//! Admission: whether a request is begun at all.
//!
//! This protects against lasting overload, where more requests arrive than the stages can
//! process. Each batch queue sees only its own backlog, so a request would be begun, pass its
//! first stage and be dropped in its last: the work is wasted that other requests needed, and
//! the caller gets a late refusal which states that something ran. Therefore each instance
//! measures how long stages take for its own requests and refuses, before anything runs, part
//! of those that would be too late. Since only part of them is refused, the measurements go
//! on, and the load settles where admitted requests are just in time. Instances exchange no
//! messages for this: all of them see the same queues.
//!
//! A request that would be refused goes to another region instead, if that one has time.

use std::{collections::HashMap, time::Duration};

use rand::Rng;

use crate::relay::{
    exchange::Exchange,
    machine::Relay,
    model::{ExchangeKey, ServiceName},
    pool::PoolKey,
    region::RegionName,
};

/// Weight of the newest time in the moving average, which covers about the last five.
const NEWEST_WEIGHT: f64 = 0.2;
/// A service is considered idle if no time has been measured for this long.
const IDLE_AFTER: Duration = Duration::from_secs(2);
/// How steeply the admitted share falls, once for each rank of urgency and once more. With
/// three times the load for 24 s and half of the callers retrying at once, 2 gave more
/// answers within the target time than 1 (most urgent kind: 506 and 453 instead of 470 and
/// 426; second: 333 and 303 instead of 350 and 318); with short bursts there was no visible
/// difference.
const STEEPNESS: i32 = 2;

/// Moving averages of how long the stages of each service took in each region, from their start
/// until the first of their pieces came back.
#[derive(Debug, Clone, Default)]
pub(super) struct StageTimes {
    times: HashMap<PoolKey, (Duration, Duration)>,
}

impl StageTimes {
    /// Records how long a stage took, or for how long it ran before it was dropped.
    pub(super) fn record(&mut self, now: Duration, pool: PoolKey, took: Duration) {
        let previous = self.recent(now, &pool);
        let average = previous.map_or(took, |previous| {
            previous.mul_f64(1.0 - NEWEST_WEIGHT) + took.mul_f64(NEWEST_WEIGHT)
        });
        self.times.insert(pool, (now, average));
    }

    /// The moving average; `None` if no time was recorded lately.
    pub(super) fn recent(&self, now: Duration, pool: &PoolKey) -> Option<Duration> {
        let (at, average) = self.times.get(pool)?;
        (now < *at + IDLE_AFTER).then_some(*average)
    }
}

impl Relay {
    /// Whether a new request is admitted; the less urgent, the less likely. A request whose
    /// stages do not form a chain is always admitted and left to the batch queues, which see
    /// all that it waits for; so is one that takes a stream up, since it comes first there.
    pub(super) fn admits(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let exchange = &self.exchanges[key];
        if exchange.is_resumed() || !exchange.graph.has_dependent_stages(&exchange.route) {
            return true;
        }
        let objective = exchange.target.saturating_sub(exchange.started_at);
        let expected = self.expected_time(now, exchange, exchange.region.as_ref());
        if expected <= objective {
            return true;
        }
        let ratio = objective.as_secs_f64() / expected.as_secs_f64();
        let chance = ratio.powi(STEEPNESS * (1 + i32::from(exchange.priority)));
        self.rng.random_bool(chance.clamp(0.0, 1.0)) || self.leave_full_region(now, key)
    }

    /// The expected time until the first token in a region, at the stage times measured lately.
    pub(super) fn expected_time(
        &self,
        now: Duration,
        exchange: &Exchange,
        region: Option<&RegionName>,
    ) -> Duration {
        let pool =
            |service: &ServiceName| PoolKey { service: service.clone(), region: region.cloned() };
        let adapt = |time| time;
        let first_stages = (0..exchange.route.stages.len())
            .filter(|idx| exchange.route.stages[*idx].after.is_empty())
            .filter(|idx| exchange.graph.piece_count(*idx) > 0);
        let times = first_stages.map(|idx| {
            let own = self.recent_time(now, &pool(&exchange.route.stages[idx].service));
            own + self.remaining_after_with(exchange, idx, &adapt, &|service| {
                self.recent_time(now, &pool(service))
            })
        });
        times.max().unwrap_or_default()
    }

    fn recent_time(&self, now: Duration, pool: &PoolKey) -> Duration {
        let usual = || self.stage_time(&pool.service);
        self.stage_times.recent(now, pool).unwrap_or_else(usual)
    }
}
