//! The queue of each pool and the rate at which it drains.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    admission::drain::DrainRate,
    instance::held::RequestKey,
    model::{PoolName, TeamName},
    queue::{Queue, WaitingCall},
};

/// How many standard deviations above its mean a wait is estimated.
const DEVIATIONS: f64 = 1.0;
/// Name that all teams share where the queue is first come, first served.
const NO_TEAM: &str = "";

/// The queues of all pools.
#[derive(Debug)]
pub struct PoolQueues {
    by_pool: BTreeMap<PoolName, PoolQueue>,
    is_fair: bool,
}

/// The queue of one pool.
#[derive(Debug, Default)]
struct PoolQueue {
    queue: Queue<RequestKey>,
    drain_rate: DrainRate,
    /// Drain rate of each team's calls. It accounts for calls that other teams will send meanwhile,
    /// which the current queue doesn't show.
    team_rates: BTreeMap<TeamName, DrainRate>,
}

impl PoolQueue {
    /// Updates whether calls wait, in total and per team; called after each change of the queue.
    fn update_rates(&mut self, now: Duration) {
        self.drain_rate.set_waiting(now, !self.queue.is_empty());
        for (team, drain) in &mut self.team_rates {
            drain.set_waiting(now, self.queue.has_team(team));
        }
    }

    /// The longer of two estimates: all cost ahead at the pool's rate, and the team's own cost
    /// ahead at the team's rate.
    fn fair_wait(&self, now: Duration, call: &NewCall<'_>) -> Option<Duration> {
        let all =
            self.drain_rate.time_to_drain(now, self.queue.cost_ahead(call.team, call.deadline));
        let own = self.queue.own_cost_ahead(call.team, call.deadline);
        if own <= 0.0 {
            return all;
        }
        all.max(self.team_rates.get(call.team)?.time_to_drain(now, own))
    }
}

impl PoolQueues {
    /// Creates no queue yet. If `is_fair`, calls are ordered by deadline and teams get shares;
    /// otherwise it is first come, first served.
    pub fn new(is_fair: bool) -> PoolQueues {
        PoolQueues { by_pool: BTreeMap::new(), is_fair }
    }

    /// The pools that calls wait for.
    pub fn pools(&self) -> Vec<PoolName> {
        let waiting = self.by_pool.iter().filter(|(_, pool_queue)| !pool_queue.queue.is_empty());
        waiting.map(|(pool, _)| pool.clone()).collect()
    }

    /// Adds a call to its pool's queue.
    pub fn push(&mut self, now: Duration, pool: &PoolName, call: WaitingCall<RequestKey>) {
        let call = if self.is_fair { call } else { first_come_entry(now, call) };
        let pool_queue = self.by_pool.entry(pool.clone()).or_default();
        pool_queue.team_rates.entry(call.team.clone()).or_default();
        pool_queue.queue.push(call);
        pool_queue.update_rates(now);
    }

    /// Removes the next call. [`PoolQueues::record_dispatch`] or [`PoolQueues::refund`] must
    /// follow.
    pub fn pop(&mut self, now: Duration, pool: &str) -> Option<RequestKey> {
        self.by_pool.get_mut(pool)?.queue.pop(now)
    }

    /// Records that a removed call got a slot.
    pub fn record_dispatch(&mut self, now: Duration, pool: &str, team: &str, cost: f64) {
        let Some(pool_queue) = self.by_pool.get_mut(pool) else { return };
        pool_queue.drain_rate.record_dispatch(now, cost);
        if let Some(drain) = pool_queue.team_rates.get_mut(team) {
            drain.record_dispatch(now, cost);
        }
        pool_queue.update_rates(now);
    }

    /// Returns the cost of a removed call that got no slot to its team. The call doesn't count in
    /// the drain rate, since no slot became free for it.
    pub fn refund(&mut self, now: Duration, pool: &str, team: &str, cost: f64) {
        let Some(pool_queue) = self.by_pool.get_mut(pool) else { return };
        let team = if self.is_fair { team } else { NO_TEAM };
        pool_queue.queue.refund(team, cost);
        pool_queue.update_rates(now);
    }

    /// Removes a call, wherever it is in its pool's queue.
    pub fn remove(&mut self, now: Duration, pool: &str, key: RequestKey) {
        let Some(pool_queue) = self.by_pool.get_mut(pool) else { return };
        pool_queue.queue.remove(key);
        pool_queue.update_rates(now);
    }

    /// Number of calls that wait for a pool.
    pub fn len(&self, pool: &str) -> usize {
        self.by_pool.get(pool).map_or(0, |pool_queue| pool_queue.queue.len())
    }

    /// Whether no call waits for a pool.
    pub fn is_empty(&self, pool: &str) -> bool {
        self.len(pool) == 0
    }

    /// Whether calls of other teams wait for a pool.
    pub fn has_other_teams(&self, pool: &str, team: &str) -> bool {
        self.by_pool.get(pool).is_some_and(|pool_queue| pool_queue.queue.has_other_teams(team))
    }

    /// Time until all calls that wait for a pool have left; `None` if too little was measured.
    pub fn backlog(&self, now: Duration, pool: &str) -> Option<Duration> {
        let pool_queue = self.by_pool.get(pool)?;
        pool_queue.drain_rate.time_to_drain(now, pool_queue.queue.cost())
    }

    /// How long a new call waits for a pool, at a high quantile. Zero if too little was measured.
    pub fn wait(&self, now: Duration, pool: &str, call: &NewCall<'_>) -> Duration {
        let Some(pool_queue) = self.by_pool.get(pool) else { return Duration::ZERO };
        let mean =
            if self.is_fair { pool_queue.fair_wait(now, call) } else { self.backlog(now, pool) };
        let mean = mean.unwrap_or_default();
        let interval = pool_queue.drain_rate.time_to_drain(now, call.cost).unwrap_or(mean);
        high_quantile(mean, interval)
    }
}

/// A high quantile of the wait, from its mean and the mean interval between calls that get a slot:
/// the number of such calls in a given time varies by its square root.
fn high_quantile(mean: Duration, interval: Duration) -> Duration {
    let calls = (mean.as_secs_f64() / interval.as_secs_f64().max(f64::MIN_POSITIVE)).max(1.0);
    mean.mul_f64(1.0 + DEVIATIONS / calls.sqrt())
}

/// The properties of a new call that its wait depends on.
#[derive(Debug, Clone, Copy)]
pub struct NewCall<'a> {
    /// Team that sends the request.
    pub team: &'a str,
    /// When the request is due.
    pub deadline: Duration,
    /// Estimated cost.
    pub cost: f64,
}

/// Changes a call so that the queue becomes first come, first served: one team, ordered by arrival.
fn first_come_entry(now: Duration, call: WaitingCall<RequestKey>) -> WaitingCall<RequestKey> {
    WaitingCall {
        team: NO_TEAM.into(),
        weight: 1,
        deadline: Duration::MAX,
        priority: -now.as_secs_f64(),
        ..call
    }
}
