//! Where a call goes.
//!
//! Plain services: the endpoint with the lowest expected time, its own load
//! and the distance taken into account. Engines: the lowest cost, made of the
//! tokens that the engine would have to read because it does not hold them,
//! those it still has to read for others, and the requests that share its
//! steps. Which engine holds a shared part nobody tells in time; all instances
//! therefore agree, by rendezvous hash, on the engine where a part should be,
//! and each remembers what it sent itself.

use std::{collections::HashMap, time::Duration};

use peatdeck_macros::data;
use xxhash_rust::xxh3;

use crate::{
    model::DataCentre,
    relay::{
        directory::{Directory, Endpoint},
        model::{EndpointKey, Part, Prompt},
    },
};

/// Prompt tokens that an engine reads in a millisecond. From the sheets of
/// both users' engines.
const TOKENS_PER_MS: f64 = 32.4;
/// Milliseconds that each request which runs on an engine costs a new one:
/// longer steps until its first token. Chosen so that ten requests weigh as
/// much as reading 1,300 tokens.
const RUNNING_MS: f64 = 4.0;
/// Milliseconds that a megabyte of inputs from another data centre weighs.
const INPUT_MS_PER_MB: f64 = 25.0;
/// Factor on the expected time of an endpoint in another data centre.
const DISTANCE: f64 = 1.25;
/// Expected time of an endpoint that has not answered yet.
const UNKNOWN_TIME: Duration = Duration::from_millis(20);
/// A part is taken for held by an engine for so long after it was sent there.
const HELD_FOR: Duration = Duration::from_secs(30);
/// An engine that is so much slower than the usual one is passed over.
const SLOW_FACTOR: f64 = 2.5;
/// Parts that are remembered for all engines together.
const MAX_REMEMBERED: usize = 20_000;

/// What a call asks of an endpoint's choice.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// The caller's own data centre.
    pub home: &'a str,
    /// Endpoints that were tried before.
    pub tried: &'a [EndpointKey],
    /// Bytes of inputs by data centre.
    pub inputs: &'a [(DataCentre, u64)],
    /// Own calls that an endpoint may have at the most.
    pub limit: u32,
}

/// Remembers which engine was sent which parts.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    held: HashMap<(EndpointKey, u64), Duration>,
}

impl Memory {
    /// An engine is sent a prompt.
    pub fn sent(&mut self, now: Duration, endpoint: EndpointKey, prompt: &Prompt) {
        if self.held.len() > MAX_REMEMBERED {
            self.held.retain(|_, at| now < *at + HELD_FOR);
        }
        for part in &prompt.parts {
            self.held.insert((endpoint, part.id), now);
        }
    }

    fn holds(&self, now: Duration, endpoint: EndpointKey, part: u64) -> bool {
        self.held.get(&(endpoint, part)).is_some_and(|at| now < *at + HELD_FOR)
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
    /// What the call costs there; the lowest is the best.
    pub cost: f64,
}

/// The endpoints of a plain service that may take a call. `jitter` gives
/// numbers from 0 to 1 that keep instances from all choosing the same one.
pub fn plain(
    directory: &Directory,
    now: Duration,
    service: &str,
    wanted: Wanted<'_>,
    mut jitter: impl FnMut() -> f64,
) -> Vec<Candidate> {
    let time = |endpoint: &Endpoint| {
        let time = endpoint.response_time.unwrap_or(UNKNOWN_TIME).as_secs_f64();
        let distance = if *endpoint.entry.data_centre == *wanted.home { 1.0 } else { DISTANCE };
        time * distance * (1.0 + endpoint.fullness(now) + f64::from(endpoint.in_flight) * 0.1)
    };
    let candidates = candidates(directory, now, service, wanted).into_iter();
    let costs = candidates.map(|(key, endpoint)| {
        let spread = 1.0 + 0.1 * jitter();
        Candidate { endpoint: key, tokens: 0, cost: time(endpoint) * spread }
    });
    costs.collect()
}

/// The engines that may take a prompt.
pub fn engine(
    directory: &Directory,
    memory: &Memory,
    now: Duration,
    service: &str,
    prompt: &Prompt,
    wanted: Wanted<'_>,
) -> Vec<Candidate> {
    let candidates = candidates(directory, now, service, wanted);
    let usual = usual_time(&candidates);
    let shared = prompt.parts.len().saturating_sub(1);
    let owner = prompt.parts[..shared].last().and_then(|part| owner(&candidates, part));
    let costs = candidates.into_iter().map(|(key, endpoint)| {
        let tokens = unread(memory, now, key, prompt, owner == Some(key));
        let reading = (tokens + endpoint.backlog) as f64 / TOKENS_PER_MS;
        let running = f64::from(endpoint.calls(now)) * RUNNING_MS;
        let far = far_megabytes(wanted.inputs, &endpoint.entry.data_centre) * INPUT_MS_PER_MB;
        let cost = (reading + running) * slowness(endpoint, usual) + far;
        Candidate { endpoint: key, tokens, cost }
    });
    costs.collect()
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
    wanted: Wanted<'_>,
) -> Vec<(EndpointKey, &'a Endpoint)> {
    let usable = directory.usable(now, service).into_iter();
    let untried = usable.filter(|key| !wanted.tried.contains(key));
    let known = untried.filter_map(|key| Some((key, directory.get(key)?)));
    let free = known.filter(|(_, endpoint)| endpoint.in_flight < wanted.limit);
    let (paused, sound): (Vec<_>, Vec<_>) = free.partition(|(_, endpoint)| endpoint.is_paused(now));
    if sound.is_empty() { paused } else { sound }
}

/// Tokens that the engine has to read: all from the first part on that it
/// does not hold.
fn unread(
    memory: &Memory,
    now: Duration,
    engine: EndpointKey,
    prompt: &Prompt,
    is_owner: bool,
) -> u64 {
    let shared = prompt.parts.len().saturating_sub(1);
    let mut total = u64::from(prompt.input);
    for (idx, part) in prompt.parts.iter().enumerate() {
        let is_held = memory.holds(now, engine, part.id) || (is_owner && idx < shared);
        if !is_held {
            break;
        }
        total = total.saturating_sub(u64::from(part.tokens));
    }
    total
}

/// The engine that all instances agree on for a part.
fn owner(candidates: &[(EndpointKey, &Endpoint)], part: &Part) -> Option<EndpointKey> {
    let weight =
        |endpoint: &Endpoint| xxh3::xxh3_64_with_seed(endpoint.entry.name.as_bytes(), part.id);
    let first = candidates.iter().max_by_key(|(_, endpoint)| weight(endpoint));
    first.map(|(key, _)| *key)
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
