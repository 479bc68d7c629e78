//! Queues the stage calls that wait for a slot in a pool.
//!
//! Within a team the call with the earliest deadline is next, unless a policy sets a priority.
//! Between teams it is deficit round robin: each round credits a team with its weight, and its next
//! call leaves the queue when the credit covers the call's cost. A team without waiting calls
//! accumulates credit for at most one call, so its share goes to the others and isn't owed later.
//!
//! Rounds aren't iterated: [`Queue::pop`] computes how many rounds each team still needs and takes
//! the team that needs the fewest.

use std::{cmp::Ordering, collections::BTreeMap, time::Duration};

use crate::model::TeamName;

/// A call to be queued.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingCall<K> {
    /// Identifies the call to its owner.
    pub key: K,
    /// Team that sent the request.
    pub team: TeamName,
    /// The team's weight.
    pub weight: u32,
    /// When the request is due, since the instance's start; the call is useless after that.
    pub deadline: Duration,
    /// Estimated cost; values below 1e-6 count as 1e-6.
    pub cost: f64,
    /// Within the team, calls with larger values leave first; 0 unless a policy sets it.
    pub priority: f64,
}

/// The queue of one pool.
#[derive(Debug, Clone)]
pub struct Queue<K> {
    teams: Vec<Team<K>>,
    /// The team that goes next if several need the same number of rounds.
    next_turn: usize,
    /// Rounds so far; can be fractional.
    round: f64,
    /// Number of the next push, which orders otherwise equal calls.
    seq: u64,
    len: usize,
}

#[derive(Debug, Clone)]
struct Team<K> {
    name: TeamName,
    weight: f64,
    deficit: f64,
    /// The round in which the team's last waiting call left.
    idle_round: f64,
    waiting: BTreeMap<Rank, Call<K>>,
}

#[derive(Debug, Clone)]
struct Call<K> {
    key: K,
    cost: f64,
}

/// Sort key of a call within its team.
#[derive(Debug, Clone, Copy)]
struct Rank {
    priority: f64,
    deadline: Duration,
    seq: u64,
}

/// The least cost that is counted, so that no call is free.
const MIN_COST: f64 = 1e-6;

impl PartialEq for Rank {
    fn eq(&self, other: &Rank) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Rank) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Rank) -> Ordering {
        let by_priority = other.priority.total_cmp(&self.priority);
        by_priority.then(self.deadline.cmp(&other.deadline)).then(self.seq.cmp(&other.seq))
    }
}

impl<K: Copy + Eq> Default for Queue<K> {
    fn default() -> Queue<K> {
        Queue::new()
    }
}

impl<K: Copy + Eq> Queue<K> {
    /// An empty queue.
    pub fn new() -> Queue<K> {
        Queue { teams: Vec::new(), next_turn: 0, round: 0.0, seq: 0, len: 0 }
    }

    /// Adds a call. Its key must not be queued already.
    pub fn push(&mut self, waiting: WaitingCall<K>) {
        let rank = Rank { priority: waiting.priority, deadline: waiting.deadline, seq: self.seq };
        self.seq += 1;
        self.len += 1;
        let call = Call { key: waiting.key, cost: waiting.cost.max(MIN_COST) };
        let round = self.round;
        let team = self.team_mut(&waiting.team);
        team.weight = f64::from(waiting.weight.max(1));
        team.credit_idle_rounds(round, call.cost);
        team.waiting.insert(rank, call);
    }

    /// Removes the next call and returns its key. Calls past their deadline are returned first, at
    /// no cost to their team; the caller of this method has to give them up.
    pub fn pop(&mut self, now: Duration) -> Option<K> {
        if let Some(key) = self.pop_expired(now) {
            return Some(key);
        }
        let idx = self.next_team()?;
        let rounds = self.teams[idx].rounds_needed();
        for team in self.teams.iter_mut().filter(|team| !team.waiting.is_empty()) {
            team.deficit += rounds * team.weight;
        }
        self.round += rounds;
        self.next_turn = (idx + 1) % self.teams.len();
        let team = &mut self.teams[idx];
        let (_, call) = team.waiting.pop_first()?;
        team.deficit -= call.cost;
        team.drop_credit(self.round);
        self.len -= 1;
        Some(call.key)
    }

    /// Refunds a team for a call that left the queue and got no slot. A call past its deadline cost
    /// nothing, so its refund is zero.
    pub fn refund(&mut self, name: &str, cost: f64) {
        let Some(team) = self.teams.iter_mut().find(|team| &*team.name == name) else { return };
        team.deficit += cost;
        team.drop_credit(self.round);
    }

    /// Removes a call, wherever it is in the queue; false if it isn't queued.
    pub fn remove(&mut self, key: K) -> bool {
        for team in &mut self.teams {
            let found = team.waiting.iter().find(|(_, call)| call.key == key);
            let Some(rank) = found.map(|(rank, _)| *rank) else { continue };
            team.waiting.remove(&rank);
            team.drop_credit(self.round);
            self.len -= 1;
            return true;
        }
        false
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether calls of the team wait.
    pub fn has_team(&self, name: &str) -> bool {
        self.teams.iter().any(|team| &*team.name == name && !team.waiting.is_empty())
    }

    /// Cost of the team's waiting calls that would leave before a new one with that deadline.
    pub fn own_cost_ahead(&self, name: &str, deadline: Duration) -> f64 {
        let own = self.teams.iter().find(|team| &*team.name == name);
        own.map_or(0.0, |own| own.cost_before(deadline))
    }

    /// Whether calls of any other team wait.
    pub fn has_other_teams(&self, name: &str) -> bool {
        self.teams.iter().any(|team| &*team.name != name && !team.waiting.is_empty())
    }

    /// Cost of all calls that would leave before a new call of the team with that deadline.
    ///
    /// This is the cost of the team's own earlier calls, and for each other team what its weight
    /// lets through meanwhile or all that it has waiting, whichever is less.
    pub fn cost_ahead(&self, team: &str, deadline: Duration) -> f64 {
        let own = self.teams.iter().find(|other| &*other.name == team);
        let weight = own.map_or(1.0, |own| own.weight);
        let before = own.map_or(0.0, |own| own.cost_before(deadline));
        let others = self.teams.iter().filter(|other| &*other.name != team);
        let shares = others.map(|other| {
            let backlog = other.cost();
            let calls = other.waiting.len().max(1) as f64;
            let meanwhile = (before + backlog / calls) * other.weight / weight;
            backlog.min(meanwhile)
        });
        before + shares.sum::<f64>()
    }

    /// Cost of all waiting calls.
    pub fn cost(&self) -> f64 {
        self.teams.iter().map(Team::cost).sum()
    }

    /// The earliest deadline among waiting calls.
    pub fn next_deadline(&self) -> Option<Duration> {
        let ranks = self.teams.iter().flat_map(|team| team.waiting.keys());
        ranks.map(|rank| rank.deadline).min()
    }

    fn pop_expired(&mut self, now: Duration) -> Option<K> {
        for team in &mut self.teams {
            let Some(first) = team.waiting.first_entry() else { continue };
            if first.key().deadline > now {
                continue;
            }
            let call = first.remove();
            team.drop_credit(self.round);
            self.len -= 1;
            return Some(call.key);
        }
        None
    }

    /// The team that needs the fewest rounds; `next_turn` decides between equals.
    fn next_team(&self) -> Option<usize> {
        let count = self.teams.len();
        let order = (0..count).map(|step| (self.next_turn + step) % count);
        let waiting = order.filter(|idx| !self.teams[*idx].waiting.is_empty());
        waiting.min_by(|a, b| {
            self.teams[*a].rounds_needed().total_cmp(&self.teams[*b].rounds_needed())
        })
    }

    fn team_mut(&mut self, name: &TeamName) -> &mut Team<K> {
        let idx = self.teams.iter().position(|team| team.name == *name);
        let idx = idx.unwrap_or_else(|| {
            let team = Team { idle_round: self.round, ..Team::new(name.clone()) };
            self.teams.push(team);
            self.teams.len() - 1
        });
        &mut self.teams[idx]
    }
}

impl<K> Team<K> {
    fn new(name: TeamName) -> Team<K> {
        Team { name, weight: 1.0, deficit: 0.0, idle_round: 0.0, waiting: BTreeMap::new() }
    }

    /// Rounds until the credit covers the team's next call.
    fn rounds_needed(&self) -> f64 {
        let cost = self.waiting.values().next().map_or(0.0, |call| call.cost);
        ((cost - self.deficit) / self.weight).max(0.0)
    }

    fn cost(&self) -> f64 {
        self.waiting.values().map(|call| call.cost).sum()
    }

    fn cost_before(&self, deadline: Duration) -> f64 {
        let earlier = self.waiting.iter().filter(|(rank, _)| rank.deadline <= deadline);
        earlier.map(|(_, call)| call.cost).sum()
    }

    /// Drops the credit of a team without waiting calls.
    fn drop_credit(&mut self, round: f64) {
        if self.waiting.is_empty() {
            self.deficit = self.deficit.min(0.0);
            self.idle_round = round;
        }
    }

    /// Credits a team that had no waiting call with its share of the rounds since then, up to the
    /// cost of the new call. The single calls of a small team thus needn't wait for rounds that it
    /// was already entitled to.
    fn credit_idle_rounds(&mut self, round: f64, cost: f64) {
        if self.waiting.is_empty() {
            let saved = (round - self.idle_round) * self.weight;
            self.deficit = (self.deficit + saved).min(cost).max(self.deficit);
        }
    }
}
