//! Where a call goes.
//!
//! Plain services: the endpoint with the lowest expected time, its own load
//! and the distance taken into account. Engines: the lowest cost, made of the
//! tokens that the engine would have to read because it does not hold them,
//! those it still has to read for others, the requests that share its steps,
//! and the wait for memory or a place where these are taken. What an engine
//! lacks and another one holds is fetched where engines can do that
//! ([`prompts`]).

pub mod prompts;

use std::{collections::HashSet, time::Duration};

use peatdeck_macros::data;
use xxhash_rust::xxh3;

use crate::{
    model::DataCentre,
    relay::{
        choice::prompts::{Holdings, Rate, Reading, SentParts},
        config::{Engine, Transfer},
        directory::{Directory, Endpoint},
        model::{EndpointKey, Prompt},
    },
};

/// Milliseconds that each request which runs on an engine costs a new one:
/// longer steps until its first token. Chosen so that ten requests weigh as
/// much as reading 1,300 tokens.
const RUNNING_MS: f64 = 4.0;
/// Milliseconds that a megabyte of inputs from another data centre weighs.
const INPUT_MS_PER_MB: f64 = 25.0;
/// Milliseconds that an engine of another placer weighs: about what the prompts
/// take to read that the other one may have just given it.
const FOREIGN_MS: f64 = 60.0;
/// Factor on the expected time of an endpoint in another data centre.
const DISTANCE: f64 = 1.25;
/// Expected time of an endpoint that has not answered yet.
const UNKNOWN_TIME: Duration = Duration::from_millis(20);
/// An endpoint that is so much slower than the quickest one is passed over for long, and
/// tried now and then.
const TRIED_FACTOR: f64 = 1.5;
/// So many instances may each try an endpoint for themselves; with more each waits longer,
/// so that all of them together try it as often.
const TRYING: usize = 8;
/// Factor on the quickest one's time for an endpoint that is tried: less than distance
/// and chance make up for.
const TRY: f64 = 0.7;
/// An engine that is so much slower than the usual one is passed over.
const SLOW_FACTOR: f64 = 2.5;

/// What a call asks of an endpoint's choice.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// The caller's own data centre.
    pub data_centre: &'a str,
    /// Endpoints that were tried before.
    pub tried: &'a [EndpointKey],
    /// Endpoints that get no call now, whatever else is left.
    pub withheld: &'a [EndpointKey],
    /// Bytes of inputs by data centre.
    pub inputs: &'a [(DataCentre, u64)],
    /// Own calls that an endpoint may have at the most.
    pub max_in_flight: u32,
    /// How engines fetch from each other, if they can.
    pub transfer: Option<Transfer>,
    /// What engines can do, if they generate.
    pub engine: Option<Engine>,
    /// Milliseconds that an engine takes to read a token.
    pub token_millis: f64,
    /// How long a call is at an engine.
    pub run_time: Duration,
    /// How the choice of engines is shared out.
    pub chooser: Chooser,
    /// Instances that may be alive.
    pub instances: usize,
}

/// Who else chooses for the same engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Chooser {
    /// Every instance, each for itself.
    Independent,
    /// One placer for each share of the prompts; this is the choice of one of
    /// them.
    Placer {
        /// Its share.
        share: u64,
        /// How many there are.
        shares: u64,
    },
}

impl Chooser {
    /// The engines that belong to another placer, which may just have given them
    /// work that is not known here. All placers have as many engines but for one:
    /// these are sorted by a hash of their names and cut into equal runs.
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
    /// Prompt tokens that it will probably have to read; 0 for plain services.
    pub tokens: u64,
    /// The engine that it should fetch from first.
    pub source: Option<EndpointKey>,
    /// How long it reads what it was given before.
    pub wait: Duration,
    /// Time to copy what it fetches first.
    pub copy_time: Duration,
    /// What the call costs there; the lowest is the best.
    pub cost: f64,
}

/// The endpoints of a plain service that may take a call. `jitter` gives
/// numbers from 0 to 1 that keep instances from all choosing the same one.
pub fn plain_candidates(
    directory: &Directory,
    now: Duration,
    service: &str,
    wanted: Criteria<'_>,
    mut jitter: impl FnMut() -> f64,
) -> Vec<Candidate> {
    let candidates = candidates(directory, now, service, wanted);
    let quickest = candidates.iter().filter_map(|(_, endpoint)| endpoint.response_time).min();
    let waits = wanted.instances.div_ceil(TRYING) as u32;
    let time = |endpoint: &Endpoint| {
        let time = expected_time(endpoint, now, quickest, waits).as_secs_f64();
        let distance =
            if *endpoint.entry.data_centre == *wanted.data_centre { 1.0 } else { DISTANCE };
        time * distance * (1.0 + endpoint.fullness(now) + f64::from(endpoint.in_flight) * 0.1)
    };
    let costs = candidates.into_iter().map(|(key, endpoint)| {
        let spread = 1.0 + 0.1 * jitter();
        Candidate {
            endpoint: key,
            tokens: 0,
            source: None,
            wait: Duration::ZERO,
            copy_time: Duration::ZERO,
            cost: time(endpoint) * spread,
        }
    });
    costs.collect()
}

/// How long an endpoint's answer is reckoned to take. One that was slow long ago is
/// reckoned quick for one call, which shows whether it is; `waits` times as long ago as an
/// instance alone would wait.
fn expected_time(
    endpoint: &Endpoint,
    now: Duration,
    quickest: Option<Duration>,
    waits: u32,
) -> Duration {
    let Some(own) = endpoint.response_time else { return UNKNOWN_TIME };
    let quickest = quickest.unwrap_or(own);
    let is_slow = own > quickest.mul_f64(TRIED_FACTOR);
    if is_slow && endpoint.is_to_be_tried(now, waits) { quickest.mul_f64(TRY) } else { own }
}

/// The engines that may take a prompt.
pub fn engine_candidates(
    directory: &Directory,
    memory: &SentParts,
    now: Duration,
    service: &str,
    prompt: &Prompt,
    wanted: Criteria<'_>,
) -> Vec<Candidate> {
    let candidates = candidates(directory, now, service, wanted);
    let usual = usual_time(&candidates);
    let is_alone = wanted.chooser == Chooser::Independent;
    let owners = if is_alone { &candidates[..] } else { &[] };
    let engines = directory.usable(now, service);
    let foreign = wanted.chooser.owned_by_others(directory, &engines);
    let holders = prompts::holders(directory, now, &engines);
    let rate = Rate { transfer: wanted.transfer, token_millis: wanted.token_millis };
    let holdings = Holdings::new(memory, prompt, owners, &holders, rate);
    let costs = candidates.iter().map(|&(key, endpoint)| {
        let Reading { tokens, fetched, source, source_wait } = holdings.reading(key);
        let wait = endpoint.engine.prefill_wait(now);
        let copying = wanted.transfer.map_or(0.0, |transfer| transfer.millis(fetched));
        let copy_wait = match fetched {
            0 => 0.0,
            _ => millis(endpoint.engine.copy_wait(now).max(source_wait)),
        };
        let reading = tokens as f64 * wanted.token_millis;
        let ready = millis(wait).max(copy_wait + copying) + reading;
        let running = f64::from(endpoint.calls(now)) * RUNNING_MS;
        let crowding = crowding(endpoint, prompt, wanted) * millis(wanted.run_time);
        let halting = halting(endpoint, millis(wait) + reading, wanted);
        let far = far_megabytes(wanted.inputs, &endpoint.entry.data_centre) * INPUT_MS_PER_MB;
        let cost = (ready + running + crowding + halting) * slowness(endpoint, usual) + far;
        let cost = if foreign.contains(&key) { cost + FOREIGN_MS } else { cost };
        let copying = Duration::from_secs_f64(copying / 1000.0);
        Candidate { endpoint: key, tokens, source, wait, copy_time: copying, cost }
    });
    costs.collect()
}

/// What a prompt does to the streams that run at an engine: while it reads, their
/// tokens come some twenty times slower, and what it has to read longer than a
/// pause may last makes each of them late by that.
fn halting(endpoint: &Endpoint, reading: f64, wanted: Criteria<'_>) -> f64 {
    let pause = wanted.engine.and_then(|shape| shape.max_gap);
    let beyond = pause.map_or(0.0, |pause| (reading - millis(pause)).max(0.0));
    f64::from(endpoint.engine.stream_count()) * beyond
}

/// The share of its calls that an engine has to end before it has memory and a
/// place for one more.
fn crowding(endpoint: &Endpoint, prompt: &Prompt, wanted: Criteria<'_>) -> f64 {
    let Some(shape) = wanted.engine else { return 0.0 };
    let engine = &endpoint.engine;
    let needed = engine.memory_in_use() + engine.additional_memory(prompt);
    let places = engine.run_count() + 1;
    let excess = |needed: f64, most: f64| ((needed - most) / most.max(1.0)).max(0.0);
    let memory = excess(needed as f64, shape.memory as f64);
    memory.max(excess(f64::from(places), f64::from(shape.slots)))
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// The candidate with the lowest cost.
pub fn cheapest(candidates: &[Candidate]) -> Option<Candidate> {
    candidates.iter().min_by(|a, b| a.cost.total_cmp(&b.cost)).copied()
}

/// The candidates with the lowest costs, at most so many.
pub fn cheapest_few(candidates: &[Candidate], most: usize) -> Vec<Candidate> {
    let mut sorted = candidates.to_vec();
    sorted.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    sorted.truncate(most);
    sorted
}

/// Candidates that may take a call now: those that are not paused, or else
/// those that are.
fn candidates<'a>(
    directory: &'a Directory,
    now: Duration,
    service: &str,
    wanted: Criteria<'_>,
) -> Vec<(EndpointKey, &'a Endpoint)> {
    let usable = directory.usable(now, service).into_iter();
    let open = usable.filter(|key| !wanted.withheld.contains(key));
    let untried = open.filter(|key| !wanted.tried.contains(key));
    let known = untried.filter_map(|key| Some((key, directory.get(key)?)));
    let free = known.filter(|(_, endpoint)| endpoint.in_flight < wanted.max_in_flight);
    let (paused, sound): (Vec<_>, Vec<_>) = free.partition(|(_, endpoint)| endpoint.is_paused(now));
    if sound.is_empty() { paused } else { sound }
}

fn far_megabytes(inputs: &[(DataCentre, u64)], data_centre: &str) -> f64 {
    let far = inputs.iter().filter(|(place, _)| **place != *data_centre);
    far.map(|(_, bytes)| *bytes as f64 / 1e6).sum()
}

/// The median time of the candidates that have answered.
fn usual_time(candidates: &[(EndpointKey, &Endpoint)]) -> Option<Duration> {
    let times = candidates.iter().filter_map(|(_, endpoint)| endpoint.response_time);
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    times.get(times.len() / 2).copied()
}

fn slowness(endpoint: &Endpoint, usual: Option<Duration>) -> f64 {
    let (Some(time), Some(usual)) = (endpoint.response_time, usual) else { return 1.0 };
    let factor = time.as_secs_f64() / usual.as_secs_f64().max(1e-3);
    if factor > SLOW_FACTOR { factor } else { 1.0 }
}
