//! What waits for each pool, and how fast it gets through.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    admission::drain::DrainRate,
    instance::held::RequestKey,
    model::{PoolName, TeamName},
    queue::{Queue, WaitingCall},
};

/// How many times its usual spread a wait is taken to exceed its mean by.
const SPREAD: f64 = 1.0;
/// The name that all teams share where the order knows no teams.
const NO_TEAM: &str = "";

/// The queues of all pools.
#[derive(Debug)]
pub struct PoolQueues {
    by_pool: BTreeMap<PoolName, Lane>,
    fair: bool,
}

/// The queue of one pool.
#[derive(Debug, Default)]
struct Lane {
    queue: Queue<RequestKey>,
    drain: DrainRate,
    /// How fast each team's calls get through. What the other teams will send
    /// meanwhile shows here only, not in what waits now.
    teams: BTreeMap<TeamName, DrainRate>,
}

impl Lane {
    /// Tells the meters who waits; after each change of the queue.
    fn note(&mut self, now: Duration) {
        self.drain.set_waiting(now, !self.queue.is_empty());
        for (team, drain) in &mut self.teams {
            drain.set_waiting(now, self.queue.has_team(team));
        }
    }

    /// The cost ahead over the rate of the pool, or the team's own over the
    /// team's rate if that is longer.
    fn fair_wait(&self, now: Duration, call: &NewCall<'_>) -> Option<Duration> {
        let all = self.drain.time_to_drain(now, self.queue.cost_ahead(call.team, call.deadline));
        let own = self.queue.own_cost_ahead(call.team, call.deadline);
        if own <= 0.0 {
            return all;
        }
        all.max(self.teams.get(call.team)?.time_to_drain(now, own))
    }
}

impl PoolQueues {
    /// No queue yet. `fair` orders by deadline and shares between teams;
    /// otherwise it is first come, first served.
    pub fn new(fair: bool) -> PoolQueues {
        PoolQueues { by_pool: BTreeMap::new(), fair }
    }

    /// The pools that something waits for.
    pub fn pools(&self) -> Vec<PoolName> {
        let waiting = self.by_pool.iter().filter(|(_, lane)| !lane.queue.is_empty());
        waiting.map(|(pool, _)| pool.clone()).collect()
    }

    /// Adds a call to its pool's queue.
    pub fn push(&mut self, now: Duration, pool: &PoolName, waiting: WaitingCall<RequestKey>) {
        let waiting = if self.fair { waiting } else { by_arrival(now, waiting) };
        let lane = self.by_pool.entry(pool.clone()).or_default();
        lane.teams.entry(waiting.team.clone()).or_default();
        lane.queue.push(waiting);
        lane.note(now);
    }

    /// Takes the next call out. [`PoolQueues::record_dispatch`] or [`PoolQueues::refund`] says what became of it.
    pub fn pop(&mut self, now: Duration, pool: &str) -> Option<RequestKey> {
        self.by_pool.get_mut(pool)?.queue.pop(now)
    }

    /// A call that came out got a place.
    pub fn record_dispatch(&mut self, now: Duration, pool: &str, team: &str, cost: f64) {
        let Some(lane) = self.by_pool.get_mut(pool) else { return };
        lane.drain.record_dispatch(now, cost);
        if let Some(drain) = lane.teams.get_mut(team) {
            drain.record_dispatch(now, cost);
        }
        lane.note(now);
    }

    /// A call that came out got no place. So it says nothing of how fast places
    /// come free, and its team has not had its turn.
    pub fn refund(&mut self, now: Duration, pool: &str, team: &str, cost: f64) {
        let Some(lane) = self.by_pool.get_mut(pool) else { return };
        let team = if self.fair { team } else { NO_TEAM };
        lane.queue.refund(team, cost);
        lane.note(now);
    }

    /// Takes a call out, wherever it waits in its pool.
    pub fn remove(&mut self, now: Duration, pool: &str, key: RequestKey) {
        let Some(lane) = self.by_pool.get_mut(pool) else { return };
        lane.queue.remove(key);
        lane.note(now);
    }

    /// Calls that wait for a pool.
    pub fn len(&self, pool: &str) -> usize {
        self.by_pool.get(pool).map_or(0, |lane| lane.queue.len())
    }

    /// Whether nothing waits for a pool.
    pub fn is_empty(&self, pool: &str) -> bool {
        self.len(pool) == 0
    }

    /// Whether calls of other teams wait for a pool.
    pub fn has_other_teams(&self, pool: &str, team: &str) -> bool {
        self.by_pool.get(pool).is_some_and(|lane| lane.queue.has_other_teams(team))
    }

    /// How long all that waits for a pool takes to leave; `None` if too little is known.
    pub fn backlog(&self, now: Duration, pool: &str) -> Option<Duration> {
        let lane = self.by_pool.get(pool)?;
        lane.drain.time_to_drain(now, lane.queue.cost())
    }

    /// How long a new call waits for a pool, at a high quantile. Zero where too
    /// little is known.
    pub fn wait(&self, now: Duration, pool: &str, call: &NewCall<'_>) -> Duration {
        let Some(lane) = self.by_pool.get(pool) else { return Duration::ZERO };
        let mean = if self.fair { lane.fair_wait(now, call) } else { self.backlog(now, pool) };
        let mean = mean.unwrap_or_default();
        let turn = lane.drain.time_to_drain(now, call.cost).unwrap_or(mean);
        high(mean, turn)
    }
}

/// The wait that is hardly exceeded, from the mean wait and the time between
/// two calls that get a place: their number in a given time spreads by its root.
fn high(mean: Duration, turn: Duration) -> Duration {
    let calls = (mean.as_secs_f64() / turn.as_secs_f64().max(f64::MIN_POSITIVE)).max(1.0);
    mean.mul_f64(1.0 + SPREAD / calls.sqrt())
}

/// A new call, as far as its wait depends on it.
#[derive(Debug, Clone, Copy)]
pub struct NewCall<'a> {
    /// Its team.
    pub team: &'a str,
    /// When it is due.
    pub deadline: Duration,
    /// Its cost.
    pub cost: f64,
}

/// First come, first served: one team, an earlier arrival before a later one.
fn by_arrival(now: Duration, waiting: WaitingCall<RequestKey>) -> WaitingCall<RequestKey> {
    WaitingCall {
        team: NO_TEAM.into(),
        weight: 1,
        deadline: Duration::MAX,
        priority: -now.as_secs_f64(),
        ..waiting
    }
}
