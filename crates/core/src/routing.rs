//! Chooses the endpoint that gets a call.
//!
//! Of two endpoints drawn at random the one with the lower expected time is taken. That is nearly
//! as good as taking the best of all, and instances with the same stale view don't all choose the
//! same endpoint. The expected time is computed from the calls that run or wait at the endpoint and
//! from its speed. Data from peers and load reports count less the older they are relative to the
//! duration of a call: calls of 100 ms have long ended when a report of them arrives.
//!
//! A call with a prompt prefix goes to the endpoint that has likely cached the prefix: the pool's
//! first by rendezvous hash, or the second if the first has clearly more calls than the average or
//! is much slower. If that holds for both, the prefix is ignored.
//!
//! An ejected endpoint whose probe is due gets the next call, since only a successful call can
//! bring it back. A repeated call is never used as a probe.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};
use xxhash_rust::xxh3;

use crate::{
    endpoints::{Endpoint, Table},
    model::EndpointName,
};

/// What is required of the endpoint for a call.
pub struct Criteria<'a> {
    /// The pool to choose from.
    pub pool: &'a str,
    /// Hash of the start of the prompt; only for engines.
    pub prefix: Option<u64>,
    /// Endpoints not to be chosen because they were already tried.
    pub exclude: &'a [EndpointName],
    /// The only version of the software that may be chosen; `None` for any.
    pub software: Option<&'a str>,
    /// Returns how many calls the peers have in flight at an endpoint.
    pub peers: &'a dyn Fn(&str) -> u32,
}

/// Ratio to the average load up to which an endpoint is chosen for its cached prefix.
const LOAD_BOUND: f64 = 1.25;
/// Typical age of the peers' counts of calls in flight.
const PEERS_AGE_ESTIMATE: Duration = Duration::from_millis(200);
/// Lower bound on the duration of a call in the computation, in seconds.
const MIN_CALL_SECONDS: f64 = 1e-3;
/// Number of endpoints that are considered for a prefix.
const AFFINITY_DEPTH: usize = 2;
/// Ratio to the median cost up to which an endpoint is chosen for its cached prefix.
const COST_BOUND: f64 = 3.0;
/// Time in which an endpoint's deviation from its pool's average decays to half.
const DEVIATION_HALF_LIFE: Duration = Duration::from_secs(10);
/// Number of endpoints that a policy scores for a call.
const SCORED_ENDPOINTS: usize = 4;
/// Lower bound on the success rate in the computation.
const MIN_SUCCESS_RATE: f64 = 0.05;

/// Chooses an endpoint; `None` if no endpoint may get the call now.
pub fn choose(
    table: &Table,
    now: Duration,
    criteria: &Criteria<'_>,
    rng: &mut SmallRng,
) -> Option<EndpointName> {
    probe(table, now, criteria).or_else(|| choose_avoiding_probes(table, now, criteria, rng))
}

/// Like [`choose`], but uses the call as a probe only if no other endpoint is free.
pub fn choose_avoiding_probes(
    table: &Table,
    now: Duration,
    criteria: &Criteria<'_>,
    rng: &mut SmallRng,
) -> Option<EndpointName> {
    let free = avoiding_probes(table, now, criteria);
    let averages = PoolAverages::of(table, criteria.pool);
    let cost = |endpoint: &Endpoint| cost(endpoint, now, criteria, &averages);
    if let Some(prefix) = criteria.prefix
        && let Some(near) = affinity_endpoint(&free, criteria, prefix, cost)
    {
        return Some(near.name.clone());
    }
    better_of_two(&free, rng, cost).map(|endpoint| endpoint.name.clone())
}

/// Like [`choose`], but takes the endpoint with the highest score of a few drawn at random. If the
/// policy gives no score, the built-in choice applies.
pub fn choose_scored(
    table: &Table,
    now: Duration,
    criteria: &Criteria<'_>,
    rng: &mut SmallRng,
    score: &dyn Fn(&Endpoint) -> Option<f64>,
) -> Option<EndpointName> {
    if let Some(probe) = probe(table, now, criteria) {
        return Some(probe);
    }
    let free = avoiding_probes(table, now, criteria);
    let drawn = free.choose_multiple(rng, SCORED_ENDPOINTS);
    let scores: Option<Vec<(f64, &Endpoint)>> =
        drawn.map(|endpoint| Some((score(endpoint)?, *endpoint))).collect();
    let Some(scores) = scores else { return choose_avoiding_probes(table, now, criteria, rng) };
    let best = scores.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, endpoint)| endpoint.name.clone())
}

/// An endpoint whose probe is due, unless the call is a repeat.
fn probe(table: &Table, now: Duration, criteria: &Criteria<'_>) -> Option<EndpointName> {
    if !criteria.exclude.is_empty() {
        return None;
    }
    let due = candidates(table, now, criteria).find(|endpoint| endpoint.is_probe_due(now))?;
    Some(due.name.clone())
}

/// Free endpoints whose probe isn't due; if there are none, all free ones.
fn avoiding_probes<'t>(
    table: &'t Table,
    now: Duration,
    criteria: &Criteria<'_>,
) -> Vec<&'t Endpoint> {
    let free: Vec<&Endpoint> = candidates(table, now, criteria).collect();
    let unprobed = free.iter().copied().filter(|endpoint| !endpoint.is_probe_due(now));
    let unprobed: Vec<&Endpoint> = unprobed.collect();
    if unprobed.is_empty() { free } else { unprobed }
}

fn candidates<'t>(
    table: &'t Table,
    now: Duration,
    criteria: &Criteria<'_>,
) -> impl Iterator<Item = &'t Endpoint> {
    let pool = table.pool(criteria.pool);
    pool.filter(move |endpoint| {
        let is_excluded = criteria.exclude.contains(&endpoint.name);
        let has_version = criteria.software.is_none_or(|it| *it == *endpoint.software);
        endpoint.free(now) > 0 && !is_excluded && has_version
    })
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

/// The endpoint that has likely cached the prefix, unless its load or cost is too high.
fn affinity_endpoint<'t>(
    free: &[&'t Endpoint],
    criteria: &Criteria<'_>,
    prefix: u64,
    cost: impl Fn(&Endpoint) -> f64,
) -> Option<&'t Endpoint> {
    let load =
        |endpoint: &Endpoint| f64::from(endpoint.in_flight + (criteria.peers)(&endpoint.name));
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

/// Averages over a pool.
struct PoolAverages {
    /// Seconds per call, or per token for an engine.
    latency: f64,
    /// Seconds per whole call.
    call_latency: f64,
    /// Calls that an endpoint runs at once.
    slots: f64,
}

impl PoolAverages {
    fn of(table: &Table, pool: &str) -> PoolAverages {
        let latency = table
            .pool(pool)
            .filter_map(Endpoint::latency)
            .map(|(latency, _)| latency.as_secs_f64());
        let slots = table.pool(pool).filter_map(Endpoint::places).map(f64::from);
        let call_latency = table.pool(pool).filter_map(Endpoint::call_latency);
        let call_latency =
            mean(call_latency.map(|call_latency| call_latency.as_secs_f64())).unwrap_or(1.0);
        PoolAverages {
            latency: mean(latency).unwrap_or(1.0),
            call_latency: call_latency.max(MIN_CALL_SECONDS),
            slots: mean(slots).unwrap_or(1.0),
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

/// Weight of data that is `age` old. It halves in the time that a call takes, since that is how
/// fast calls come and go.
fn freshness(age: Duration, averages: &PoolAverages) -> f64 {
    (-age.as_secs_f64() / averages.call_latency).exp2()
}

/// Expected time of a call, up to a factor that is the same for the whole pool.
fn cost(
    endpoint: &Endpoint,
    now: Duration,
    criteria: &Criteria<'_>,
    averages: &PoolAverages,
) -> f64 {
    let peers =
        f64::from((criteria.peers)(&endpoint.name)) * freshness(PEERS_AGE_ESTIMATE, averages);
    let queued = endpoint
        .reported_queue(now)
        .map_or(0.0, |(queued, age)| f64::from(queued) * freshness(age, averages));
    let ahead = f64::from(endpoint.in_flight) + peers + queued + 1.0;
    let slots = endpoint.places().map_or(averages.slots, f64::from);
    ahead / slots * expected_latency(endpoint, now, averages)
        / endpoint.success_rate().max(MIN_SUCCESS_RATE)
}

/// The endpoint's latency, which tends to the pool's average while no new call ends.
fn expected_latency(endpoint: &Endpoint, now: Duration, averages: &PoolAverages) -> f64 {
    let Some((latency, at)) = endpoint.latency() else { return averages.latency };
    let idle = now.saturating_sub(at).as_secs_f64() / DEVIATION_HALF_LIFE.as_secs_f64();
    averages.latency + (latency.as_secs_f64() - averages.latency) * (-idle).exp2()
}
