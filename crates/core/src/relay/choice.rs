//! Chooses the endpoint of a call.
//!
//! A call to a plain service goes to the endpoint with the lowest expected response time, weighted
//! by its load and distance. A prompt goes to the engine with the lowest cost. The cost counts the
//! tokens that the engine has to prefill because it does not hold them, those that are still queued
//! for prefill, the requests that share its decoding steps, and the wait for memory or a slot if
//! these are exhausted. Where engines can transfer prompt parts, what an engine lacks is fetched
//! from another one ([`prompts`]).

pub mod prompts;

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use peatdeck_macros::data;
use xxhash_rust::xxh3;

use crate::{
    model::DataCentre,
    relay::{
        choice::prompts::{PartLocations, PrefillPlan, PrefillRates, SentParts},
        config::{Engine, Transfer},
        directory::{Directory, Endpoint},
        model::{EndpointKey, Prompt},
        pool::Pool,
        rollout::Version,
    },
};

/// Cost in milliseconds of each request that runs on an engine: it makes the steps until the first
/// token longer. Chosen so that ten requests weigh as much as the prefill of 1,300 tokens.
const RUNNING_COST_MS: f64 = 4.0;
/// Cost in milliseconds of a megabyte of inputs from another data centre.
const INPUT_COST_MS_PER_MB: f64 = 25.0;
/// Cost in milliseconds of an engine that another placer owns: about the prefill time of the
/// prompts that the other placer may just have sent there.
const OTHER_PLACER_COST_MS: f64 = 60.0;
/// Factor on the expected response time of an endpoint in another data centre.
const REMOTE_FACTOR: f64 = 1.25;
/// Expected response time of an endpoint that has not answered yet.
const DEFAULT_RESPONSE_TIME: Duration = Duration::from_millis(20);
/// An endpoint that is slower than the fastest one by this factor is avoided, but gets a trial call
/// from time to time.
const TRIAL_THRESHOLD: f64 = 1.5;
/// Up to this many instances make trial calls independently. With more, each waits longer between
/// them, so that the total rate stays the same.
const INSTANCES_PER_TRIAL: usize = 8;
/// The expected response time of an endpoint that is due for a trial call, as a factor on the
/// fastest one's: low enough to outweigh distance and jitter.
const TRIAL_FACTOR: f64 = 0.7;
/// An engine that is slower than the median by this factor has its cost multiplied accordingly.
const SLOW_FACTOR: f64 = 2.5;

/// What the choice of an endpoint depends on besides the endpoints' state.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// The data centre of this instance.
    pub data_centre: &'a str,
    /// Endpoints that the request was sent to before.
    pub tried: &'a [EndpointKey],
    /// Endpoints that must not be called now, even if there are no others.
    pub withheld: &'a [EndpointKey],
    /// Bytes of inputs by data centre.
    pub inputs: &'a [(DataCentre, u64)],
    /// The most calls that this instance may have in flight to one endpoint.
    pub max_in_flight: u32,
    /// How engines fetch prompt parts from each other; `None` if they can't.
    pub transfer: Option<Transfer>,
    /// Limits of the service's engines; `None` if it is a plain service.
    pub engine: Option<Engine>,
    /// Milliseconds that an engine takes to prefill a token.
    pub token_millis: f64,
    /// Average duration of a call to an engine.
    pub run_time: Duration,
    /// How the choice is divided among instances.
    pub chooser: Chooser,
    /// The number of instances that may be alive.
    pub instances: usize,
}

/// How the choice of engines is divided among instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Chooser {
    /// Every instance chooses for its own requests.
    Independent,
    /// Each share of the prompts has a placer, which chooses for all instances. This is the choice
    /// of one of them.
    Placer {
        /// The share of this placer.
        share: u64,
        /// The number of shares.
        shares: u64,
    },
}

impl Chooser {
    /// The engines that other placers own, and may just have sent prompts to. The engines are
    /// sorted by a hash of their names and divided into consecutive runs, one for each placer,
    /// which differ in length by at most one.
    pub fn owned_by_others(
        self,
        directory: &Directory,
        engines: &[EndpointKey],
    ) -> HashSet<EndpointKey> {
        let Chooser::Placer { share, shares } = self else { return HashSet::new() };
        if shares == 1 {
            return HashSet::new();
        }
        let hash = |key: &EndpointKey| {
            directory.get(*key).map(|engine| xxh3::xxh3_64(engine.entry.name.as_bytes()))
        };
        let mut sorted = engines.to_vec();
        sorted.sort_by_cached_key(hash);
        let count = sorted.len() as u64;
        let owned = sorted.into_iter().zip(0_u64..);
        owned.filter(|(_, idx)| idx * shares / count != share).map(|(key, _)| key).collect()
    }
}

/// An endpoint that may take a call.
#[data]
#[derive(Copy)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Prompt tokens that it probably has to prefill; 0 for plain services.
    pub tokens: u64,
    /// The engine that it should fetch prompt parts from first.
    pub source: Option<EndpointKey>,
    /// Time until the prefill of earlier prompts ends.
    pub wait: Duration,
    /// Time to copy the fetched prompt parts.
    pub copy_time: Duration,
    /// Estimated cost of the call; the lowest is the best.
    pub cost: f64,
}

/// The endpoints of a plain service that may take a call. `jitter` returns numbers from 0 to 1,
/// which keep instances from all choosing the same endpoint.
pub fn plain_candidates(
    directory: &Directory,
    now: Duration,
    pool: Pool<'_>,
    criteria: Criteria<'_>,
    mut jitter: impl FnMut() -> f64,
) -> Vec<Candidate> {
    let candidates = candidates(directory, now, pool, criteria);
    let fastest = candidates.iter().filter_map(|(_, endpoint)| endpoint.response_time).min();
    let interval_factor = criteria.instances.div_ceil(INSTANCES_PER_TRIAL) as u32;
    let time = |endpoint: &Endpoint| {
        let time = expected_time(endpoint, now, fastest, interval_factor).as_secs_f64();
        let distance =
            if *endpoint.entry.data_centre == *criteria.data_centre { 1.0 } else { REMOTE_FACTOR };
        time * distance * (1.0 + endpoint.utilisation(now) + f64::from(endpoint.in_flight) * 0.1)
    };
    let candidates = candidates.into_iter().map(|(key, endpoint)| {
        let jitter_factor = 1.0 + 0.1 * jitter();
        Candidate {
            endpoint: key,
            tokens: 0,
            source: None,
            wait: Duration::ZERO,
            copy_time: Duration::ZERO,
            cost: time(endpoint) * jitter_factor,
        }
    });
    candidates.collect()
}

/// The expected response time of an endpoint. One that was slow long ago counts as fast for one
/// trial call, which shows whether it still is slow. `interval_factor` multiplies the time that a
/// single instance would wait for that.
fn expected_time(
    endpoint: &Endpoint,
    now: Duration,
    fastest: Option<Duration>,
    interval_factor: u32,
) -> Duration {
    let Some(own) = endpoint.response_time else { return DEFAULT_RESPONSE_TIME };
    let fastest = fastest.unwrap_or(own);
    let is_slow = own > fastest.mul_f64(TRIAL_THRESHOLD);
    if is_slow && endpoint.is_trial_due(now, interval_factor) {
        fastest.mul_f64(TRIAL_FACTOR)
    } else {
        own
    }
}

/// The engines that may take a prompt.
pub fn engine_candidates(
    directory: &Directory,
    sent_parts: &SentParts,
    now: Duration,
    pool: Pool<'_>,
    prompt: &Prompt,
    criteria: Criteria<'_>,
) -> Vec<Candidate> {
    let candidates = candidates(directory, now, pool, criteria);
    let median = median_response_time(&candidates);
    let engines = directory.usable(now, pool);
    let others = criteria.chooser.owned_by_others(directory, &engines);
    let locations =
        part_locations(directory, sent_parts, now, prompt, &candidates, &engines, criteria);
    let candidates = candidates.iter().map(|&(key, endpoint)| {
        let PrefillPlan { tokens, fetched, source, source_wait } =
            locations[&endpoint.entry.version].plan(key);
        let wait = endpoint.engine.prefill_wait(now);
        let copy_millis = criteria.transfer.map_or(0.0, |transfer| transfer.millis(fetched));
        let copy_wait = match fetched {
            0 => 0.0,
            _ => millis(endpoint.engine.copy_wait(now).max(source_wait)),
        };
        let prefill = tokens as f64 * criteria.token_millis;
        let ready = millis(wait).max(copy_wait + copy_millis) + prefill;
        let running = f64::from(endpoint.calls(now)) * RUNNING_COST_MS;
        let overload = overload(endpoint, prompt, criteria) * millis(criteria.run_time);
        let stall_cost = stall_cost(endpoint, millis(wait) + prefill, criteria);
        let remote =
            remote_megabytes(criteria.inputs, &endpoint.entry.data_centre) * INPUT_COST_MS_PER_MB;
        let cost = (ready + running + overload + stall_cost) * slowdown(endpoint, median) + remote;
        let cost = if others.contains(&key) { cost + OTHER_PLACER_COST_MS } else { cost };
        let copy_time = Duration::from_secs_f64(copy_millis / 1000.0);
        Candidate { endpoint: key, tokens, source, wait, copy_time, cost }
    });
    candidates.collect()
}

/// Which engines hold which parts of a prompt, for the candidates of each version: what an engine
/// of another version holds is of no use to them.
fn part_locations<'a>(
    directory: &Directory,
    sent_parts: &'a SentParts,
    now: Duration,
    prompt: &'a Prompt,
    candidates: &[(EndpointKey, &'a Endpoint)],
    engines: &[EndpointKey],
    criteria: Criteria<'_>,
) -> HashMap<&'a Version, PartLocations<'a>> {
    let rates = PrefillRates { transfer: criteria.transfer, token_millis: criteria.token_millis };
    let versions: HashSet<_> = candidates.iter().map(|(_, it)| &it.entry.version).collect();
    let locations = versions.into_iter().map(|version| {
        let has_version = |key: &EndpointKey| {
            directory.get(*key).is_some_and(|engine| engine.entry.version == *version)
        };
        let engines: Vec<_> = engines.iter().copied().filter(has_version).collect();
        let sources = prompts::fetch_sources(directory, now, &engines);
        let owners = candidates.iter().filter(|(_, it)| it.entry.version == *version);
        let owners: Vec<_> = match criteria.chooser {
            Chooser::Independent => owners.copied().collect(),
            Chooser::Placer { .. } => Vec::new(),
        };
        (version, PartLocations::new(sent_parts, prompt, &owners, &sources, rates))
    });
    locations.collect()
}

/// Cost of a prefill to the streams that run on an engine. Meanwhile their tokens come some twenty
/// times slower, so each of them is late by the time by which the prefill exceeds the allowed gap
/// between tokens.
fn stall_cost(endpoint: &Endpoint, prefill: f64, criteria: Criteria<'_>) -> f64 {
    let max_gap = criteria.engine.and_then(|engine| engine.max_gap);
    let excess = max_gap.map_or(0.0, |max_gap| (prefill - millis(max_gap)).max(0.0));
    f64::from(endpoint.engine.stream_count()) * excess
}

/// The share of its calls that an engine must finish before it has the memory and a slot for one
/// more.
fn overload(endpoint: &Endpoint, prompt: &Prompt, criteria: Criteria<'_>) -> f64 {
    let Some(limits) = criteria.engine else { return 0.0 };
    let engine = &endpoint.engine;
    let needed = engine.memory_in_use() + engine.additional_memory(prompt);
    let slots = engine.run_count() + 1;
    let excess = |needed: f64, limit: f64| ((needed - limit) / limit.max(1.0)).max(0.0);
    let memory = excess(needed as f64, limits.memory as f64);
    memory.max(excess(f64::from(slots), f64::from(limits.slots)))
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// The candidate with the lowest cost.
pub fn cheapest(candidates: &[Candidate]) -> Option<Candidate> {
    candidates.iter().min_by(|a, b| a.cost.total_cmp(&b.cost)).copied()
}

/// At most `limit` candidates, those with the lowest costs.
pub fn cheapest_few(candidates: &[Candidate], limit: usize) -> Vec<Candidate> {
    let mut sorted = candidates.to_vec();
    sorted.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    sorted.truncate(limit);
    sorted
}

/// The endpoints that may take a call now: those that are not paused, or if there are none, the
/// paused ones.
fn candidates<'a>(
    directory: &'a Directory,
    now: Duration,
    pool: Pool<'_>,
    criteria: Criteria<'_>,
) -> Vec<(EndpointKey, &'a Endpoint)> {
    let usable = directory.usable(now, pool).into_iter();
    let open = usable.filter(|key| !criteria.withheld.contains(key));
    let untried = open.filter(|key| !criteria.tried.contains(key));
    let endpoints = untried.filter_map(|key| Some((key, directory.get(key)?)));
    let free = endpoints.filter(|(_, endpoint)| endpoint.in_flight < criteria.max_in_flight);
    let (paused, available): (Vec<_>, Vec<_>) =
        free.partition(|(_, endpoint)| endpoint.is_paused(now));
    if available.is_empty() { paused } else { available }
}

fn remote_megabytes(inputs: &[(DataCentre, u64)], data_centre: &str) -> f64 {
    let remote = inputs.iter().filter(|(location, _)| **location != *data_centre);
    remote.map(|(_, bytes)| *bytes as f64 / 1e6).sum()
}

/// The median response time of the candidates that have answered; `None` if none has.
fn median_response_time(candidates: &[(EndpointKey, &Endpoint)]) -> Option<Duration> {
    let times = candidates.iter().filter_map(|(_, endpoint)| endpoint.response_time);
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    times.get(times.len() / 2).copied()
}

fn slowdown(endpoint: &Endpoint, median: Option<Duration>) -> f64 {
    let (Some(time), Some(median)) = (endpoint.response_time, median) else { return 1.0 };
    let factor = time.as_secs_f64() / median.as_secs_f64().max(1e-3);
    if factor > SLOW_FACTOR { factor } else { 1.0 }
}
