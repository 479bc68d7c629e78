//! Whether a request is taken in at all.
//!
//! The load that this answers is one that lasts: more comes than the stages can
//! make. Each batch queue sees its own backlog only, so a request would be begun,
//! get through its first stage and be given up in its last: work is thrown away
//! that others lacked, and its caller hears late, and that something ran.
//! Therefore each instance watches how long stages take for its own requests and
//! refuses, before anything runs, part of those that would be too late. Refusing
//! part of them and not all keeps what is watched in view, and settles where
//! those taken in are just in time. Nothing is told between instances: all see
//! the same queues.

use std::{collections::HashMap, time::Duration};

use rand::Rng;

use crate::relay::{
    machine::Relay,
    model::{ExchangeKey, ServiceName},
};

/// Weight of a new time in the moving average: the last five or so count.
const NEWEST_SHARE: f64 = 0.2;
/// A service that has shown no time for so long is taken for idle.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(2);
/// How steeply the share that is taken in falls, once for each rank of urgency
/// and once more: with three times the load for 24 s, half of the callers coming
/// back at once, 2 gave callers more in all than 1 (the most urgent kind 506 and
/// 453 answers in good time instead of 470 and 426, the second 333 and 303 instead
/// of 350 and 318), and nothing that shows on days with short bursts.
const STEEPNESS: i32 = 2;

/// How long the stages that a service makes took lately, from their start until
/// the first of their pieces came back.
#[derive(Debug, Clone, Default)]
pub(super) struct StageTimes {
    times: HashMap<ServiceName, (Duration, Duration)>,
}

impl StageTimes {
    /// A stage took so long, or was given up after that time.
    pub(super) fn note(&mut self, now: Duration, service: &ServiceName, took: Duration) {
        let known = self.recent(now, service);
        let average = known
            .map_or(took, |known| known.mul_f64(1.0 - NEWEST_SHARE) + took.mul_f64(NEWEST_SHARE));
        self.times.insert(service.clone(), (now, average));
    }

    /// The average of late; `None` if there is none.
    pub(super) fn recent(&self, now: Duration, service: &str) -> Option<Duration> {
        let (at, average) = self.times.get(service)?;
        (now < *at + FORGOTTEN_AFTER).then_some(*average)
    }
}

impl Relay {
    /// Whether a request that has just come is taken in. The less urgent it is
    /// the sooner it is not. One whose stages do not follow each other is left
    /// to their queues, which see all that it waits for.
    pub(super) fn takes_in(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let exchange = &self.exchanges[key];
        if !exchange.graph.has_dependent_stages(&exchange.route) {
            return true;
        }
        let objective = exchange.target - exchange.started_at;
        let expected = self.expected_time(now, key);
        if expected <= objective {
            return true;
        }
        let fit = objective.as_secs_f64() / expected.as_secs_f64();
        let chance = fit.powi(STEEPNESS * (1 + i32::from(exchange.priority)));
        self.rng.random_bool(chance.clamp(0.0, 1.0))
    }

    /// The time until a first token as stages go now.
    fn expected_time(&self, now: Duration, key: ExchangeKey) -> Duration {
        let exchange = &self.exchanges[key];
        let adapt = |time| time;
        let firsts = (0..exchange.route.stages.len())
            .filter(|idx| exchange.route.stages[*idx].after.is_empty())
            .filter(|idx| exchange.graph.piece_count(*idx) > 0);
        let times = firsts.map(|idx| {
            let own = self.recent_time(now, &exchange.route.stages[idx].service);
            own + self
                .rest_after_with(exchange, idx, &adapt, &|service| self.recent_time(now, service))
        });
        times.max().unwrap_or_default()
    }

    fn recent_time(&self, now: Duration, service: &str) -> Duration {
        let usual = || self.stage_time(service);
        self.stage_times.recent(now, service).unwrap_or_else(usual)
    }
}
