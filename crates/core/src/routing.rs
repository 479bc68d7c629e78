//! Which endpoint gets a call.
//!
//! Two endpoints are drawn at random and the better one is taken. That is
//! nearly as good as taking the best, and instances with the same stale view
//! don't all run to the same endpoint. Better means less expected time: calls
//! that are there or wait there, over what the endpoint gets done. What peers
//! and reports say counts less the older it is beside the time of a call: calls
//! of a tenth of a second are long over when a report of them arrives.
//!
//! A call with a prompt prefix goes where that prefix is likely cached: to
//! the pool's first endpoint by rendezvous hash, unless it holds clearly more
//! than the average or is much slower, then to the second, then as without a
//! prefix.
//!
//! A probe that is due is sent first: nothing else brings an ejected endpoint
//! back. A repeated call never is a probe.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};
use xxhash_rust::xxh3;

use crate::{
    endpoints::{Endpoint, Table},
    model::EndpointName,
};

/// What a call asks for.
pub struct Criteria<'a> {
    /// The pool.
    pub pool: &'a str,
    /// Hash of the prompt's start, for engines.
    pub prefix: Option<u64>,
    /// Endpoints that are out of the question: tried already.
    pub exclude: &'a [EndpointName],
    /// Calls that the peers have in flight at an endpoint.
    pub peers: &'a dyn Fn(&str) -> u32,
}

/// How far above the average an endpoint may be filled for a prefix's sake.
const LOAD_BOUND: f64 = 1.25;
/// How old the peers' counts usually are.
const PEERS_AGE: Duration = Duration::from_millis(200);
/// The shortest call that is counted with, in seconds.
const MIN_WHOLE: f64 = 1e-3;
/// Endpoints tried for a prefix.
const AFFINITY_DEPTH: usize = 2;
/// How far above the usual cost an endpoint may be for a prefix's sake.
const COST_BOUND: f64 = 3.0;
/// Time after which half of an endpoint's deviation from its pool is forgotten.
const FORGET: Duration = Duration::from_secs(10);
/// Endpoints that a policy scores for a call.
const SCORED: usize = 4;
/// The least share of good calls that is counted with.
const MIN_GOOD: f64 = 0.05;

/// Picks an endpoint; `None` if none may get the call now.
pub fn choose(
    table: &Table,
    now: Duration,
    demand: &Criteria<'_>,
    rng: &mut SmallRng,
) -> Option<EndpointName> {
    probe(table, now, demand).or_else(|| choose_avoiding_probes(table, now, demand, rng))
}

/// As [`choose`], for a call that mustn't be risked: it is a probe only where
/// nothing else is free.
pub fn choose_avoiding_probes(
    table: &Table,
    now: Duration,
    demand: &Criteria<'_>,
    rng: &mut SmallRng,
) -> Option<EndpointName> {
    let free = proven(table, now, demand);
    let scale = Scale::of(table, demand.pool);
    let cost = |endpoint: &Endpoint| cost(endpoint, now, demand, &scale);
    if let Some(prefix) = demand.prefix
        && let Some(near) = nearest(&free, demand, prefix, cost)
    {
        return Some(near.name.clone());
    }
    better_of_two(&free, rng, cost).map(|endpoint| endpoint.name.clone())
}

/// As [`choose`], by a policy's score: of a few drawn at random the one
/// with the largest. Where the policy has no score, the built-in choice holds.
pub fn choose_scored(
    table: &Table,
    now: Duration,
    demand: &Criteria<'_>,
    rng: &mut SmallRng,
    score: &dyn Fn(&Endpoint) -> Option<f64>,
) -> Option<EndpointName> {
    if let Some(probe) = probe(table, now, demand) {
        return Some(probe);
    }
    let free = proven(table, now, demand);
    let drawn = free.choose_multiple(rng, SCORED);
    let scores: Option<Vec<(f64, &Endpoint)>> =
        drawn.map(|endpoint| Some((score(endpoint)?, *endpoint))).collect();
    let Some(scores) = scores else { return choose_avoiding_probes(table, now, demand, rng) };
    let best = scores.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, endpoint)| endpoint.name.clone())
}

/// An endpoint that waits for its probe, unless the call is a repeat.
fn probe(table: &Table, now: Duration, demand: &Criteria<'_>) -> Option<EndpointName> {
    if !demand.exclude.is_empty() {
        return None;
    }
    let due = candidates(table, now, demand).find(|endpoint| endpoint.is_probe_due(now))?;
    Some(due.name.clone())
}

/// Free endpoints that aren't to be probed; those too if there are no others.
fn proven<'t>(table: &'t Table, now: Duration, demand: &Criteria<'_>) -> Vec<&'t Endpoint> {
    let free: Vec<&Endpoint> = candidates(table, now, demand).collect();
    let proven = free.iter().copied().filter(|endpoint| !endpoint.is_probe_due(now));
    let proven: Vec<&Endpoint> = proven.collect();
    if proven.is_empty() { free } else { proven }
}

fn candidates<'t>(
    table: &'t Table,
    now: Duration,
    demand: &Criteria<'_>,
) -> impl Iterator<Item = &'t Endpoint> {
    let pool = table.pool(demand.pool);
    pool.filter(move |endpoint| endpoint.free(now) > 0 && !demand.exclude.contains(&endpoint.name))
}

fn better_of_two<'t>(
    free: &[&'t Endpoint],
    rng: &mut SmallRng,
    cost: impl Fn(&Endpoint) -> f64,
) -> Option<&'t Endpoint> {
    match free {
        [] => None,
        [only] => Some(only),
        _ => {
            let first = rng.random_range(0..free.len());
            let other = rng.random_range(0..free.len() - 1);
            let second = if other >= first { other + 1 } else { other };
            let (a, b) = (free[first], free[second]);
            Some(if cost(b) < cost(a) { b } else { a })
        }
    }
}

/// The endpoint that likely holds the prefix, if it isn't too full or too slow.
fn nearest<'t>(
    free: &[&'t Endpoint],
    demand: &Criteria<'_>,
    prefix: u64,
    cost: impl Fn(&Endpoint) -> f64,
) -> Option<&'t Endpoint> {
    let load = |endpoint: &Endpoint| f64::from(endpoint.in_flight + (demand.peers)(&endpoint.name));
    let total: f64 = free.iter().map(|endpoint| load(endpoint)).sum();
    let most = ((total + 1.0) / free.len() as f64 * LOAD_BOUND).ceil();
    let slowest = lower_median(free.iter().map(|endpoint| cost(endpoint)))? * COST_BOUND;
    let mut ranked: Vec<&Endpoint> = free.to_vec();
    ranked.sort_by_cached_key(|endpoint| {
        std::cmp::Reverse(xxh3::xxh3_64_with_seed(endpoint.name.as_bytes(), prefix))
    });
    let mut near = ranked.into_iter().take(AFFINITY_DEPTH);
    near.find(|endpoint| load(endpoint) + 1.0 <= most && cost(endpoint) <= slowest)
}

fn lower_median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}

/// What is usual in a pool.
struct Scale {
    /// Seconds a call, or a token for an engine.
    took: f64,
    /// Seconds a whole call.
    whole: f64,
    /// Calls that an endpoint works on at once.
    places: f64,
}

impl Scale {
    fn of(table: &Table, pool: &str) -> Scale {
        let took =
            table.pool(pool).filter_map(Endpoint::latency).map(|(took, _)| took.as_secs_f64());
        let places = table.pool(pool).filter_map(Endpoint::places).map(f64::from);
        let whole = table.pool(pool).filter_map(Endpoint::call_latency);
        let whole = mean(whole.map(|whole| whole.as_secs_f64())).unwrap_or(1.0);
        Scale {
            took: mean(took).unwrap_or(1.0),
            whole: whole.max(MIN_WHOLE),
            places: mean(places).unwrap_or(1.0),
        }
    }
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (mut sum, mut count) = (0.0, 0.0);
    for value in values {
        sum += value;
        count += 1.0;
    }
    (count > 0.0).then(|| sum / count)
}

/// What is still true of something said `age` ago. Calls come and go in the
/// time that a call takes, so that is how fast it becomes worthless.
fn still_true(age: Duration, scale: &Scale) -> f64 {
    (-age.as_secs_f64() / scale.whole).exp2()
}

/// Expected time of a call, up to a factor that all of the pool share.
fn cost(endpoint: &Endpoint, now: Duration, demand: &Criteria<'_>, scale: &Scale) -> f64 {
    let peers = f64::from((demand.peers)(&endpoint.name)) * still_true(PEERS_AGE, scale);
    let queued = endpoint
        .reported_queue(now)
        .map_or(0.0, |(queued, age)| f64::from(queued) * still_true(age, scale));
    let ahead = f64::from(endpoint.in_flight) + peers + queued + 1.0;
    let places = endpoint.places().map_or(scale.places, f64::from);
    ahead / places * took(endpoint, now, scale) / endpoint.success_rate().max(MIN_GOOD)
}

/// The endpoint's usual time; without news it tends to the pool's.
fn took(endpoint: &Endpoint, now: Duration, scale: &Scale) -> f64 {
    let Some((took, at)) = endpoint.latency() else { return scale.took };
    let idle = now.saturating_sub(at).as_secs_f64() / FORGET.as_secs_f64();
    scale.took + (took.as_secs_f64() - scale.took) * (-idle).exp2()
}
