//! Which engines hold which parts of prompts, and where an engine can fetch
//! what it lacks.
//!
//! Nobody tells in time what an engine holds. All instances therefore agree, by
//! rendezvous hash, on the engine where a shared part should be, and each
//! remembers what it sent itself.

use std::{collections::HashSet, time::Duration};

use peatdeck_macros::data;
use xxhash_rust::xxh3;

use crate::relay::{
    config::Transfer,
    directory::{Directory, Endpoint},
    model::{EndpointKey, Part, Prompt},
};

/// A part is taken for held by an engine for so long at the least, and twice as
/// long at the most, after it was sent there.
pub const RETENTION: Duration = Duration::from_secs(15);
/// Parts that are remembered in one generation, for all engines together.
const MAX_ENTRIES: usize = 20_000;
/// Fewer tokens than these are not worth a fetch: it takes a few milliseconds
/// to set up, in which an engine reads about as many.
const MIN_FETCH_TOKENS: u64 = 64;

/// Remembers which engine was sent which parts, in two generations: the older
/// one is forgotten as a whole.
#[derive(Debug, Clone, Default)]
pub struct SentParts {
    recent: HashSet<(EndpointKey, u64)>,
    older: HashSet<(EndpointKey, u64)>,
    rotated_at: Duration,
}

impl SentParts {
    /// An engine is sent a prompt.
    pub fn record_prompt(&mut self, now: Duration, endpoint: EndpointKey, prompt: &Prompt) {
        self.record_parts(now, endpoint, prompt.parts.iter().map(|part| part.id));
    }

    /// An engine holds parts.
    pub fn record_parts(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        parts: impl Iterator<Item = u64>,
    ) {
        if now >= self.rotated_at + RETENTION || self.recent.len() >= MAX_ENTRIES {
            self.older = std::mem::take(&mut self.recent);
            self.rotated_at = now;
        }
        self.recent.extend(parts.map(|part| (endpoint, part)));
    }

    fn holds(&self, endpoint: EndpointKey, part: u64) -> bool {
        let entry = (endpoint, part);
        self.recent.contains(&entry) || self.older.contains(&entry)
    }
}

/// How an engine gets a prompt.
#[data]
#[derive(Copy)]
pub struct PrefillPlan {
    /// Tokens that it has to read.
    pub tokens: u64,
    /// Tokens that it fetches from another engine first.
    pub fetched: u64,
    /// That engine.
    pub source: Option<EndpointKey>,
    /// How long that one's link is busy with other copies.
    pub source_wait: Duration,
}

/// How fast engines get prompts.
#[derive(Debug, Clone, Copy)]
pub struct PrefillRates {
    /// From each other, if they can.
    pub transfer: Option<Transfer>,
    /// Milliseconds to read a token.
    pub token_millis: f64,
}

/// An engine that another one can fetch from.
#[derive(Debug, Clone, Copy)]
pub struct FetchSource {
    key: EndpointKey,
    /// How long its link is busy with copies.
    wait: Duration,
}

/// An engine that holds a part of one prompt.
#[derive(Debug, Clone, Copy)]
struct RankedSource {
    source: FetchSource,
    tokens: u64,
    /// Milliseconds that fetching saves against reading.
    saved_millis: f64,
}

/// What the engines of a service hold of one prompt.
pub struct PartLocations<'a> {
    memory: &'a SentParts,
    prompt: &'a Prompt,
    rates: PrefillRates,
    /// The engine that all instances agree on for the last shared part.
    owner: Option<EndpointKey>,
    /// The two engines that most is gained by fetching from, as far as this
    /// instance knows. Engines that hold the same take turns, since each one's
    /// link carries one copy after the other: 4,000 copies in 24 s that mostly
    /// began at the first holder of a part kept others waiting for seconds.
    best: Vec<RankedSource>,
}

impl<'a> PartLocations<'a> {
    /// Looks through the engines that can be fetched from: `holders`, of which
    /// `owners` are those that a part may belong to.
    pub fn new(
        memory: &'a SentParts,
        prompt: &'a Prompt,
        owners: &[(EndpointKey, &Endpoint)],
        sources: &[FetchSource],
        rates: PrefillRates,
    ) -> PartLocations<'a> {
        let owner = prompt.shared().last().and_then(|part| owner(owners, part));
        let mut locations = PartLocations { memory, prompt, rates, owner, best: Vec::new() };
        let sources = sources.iter().map(|source| locations.rank(*source));
        let mut sources: Vec<_> = sources.filter(|source| source.tokens > 0).collect();
        sources.sort_by(|a, b| b.saved_millis.total_cmp(&a.saved_millis));
        sources.truncate(2);
        locations.best = sources;
        locations
    }

    fn rank(&self, source: FetchSource) -> RankedSource {
        let tokens = self.recorded(source.key);
        let copying = self.rates.transfer.map_or(0.0, |transfer| transfer.millis(tokens));
        let reading = tokens as f64 * self.rates.token_millis;
        let saved_millis = reading - copying - source.wait.as_secs_f64() * 1e3;
        RankedSource { source, tokens, saved_millis }
    }

    /// How an engine would get the prompt.
    ///
    /// Only a source that this instance has sent the parts to itself is reckoned
    /// with: a first request then goes to the owner, which so comes to hold what
    /// it should. A source is named in any case; what an engine has already is
    /// not fetched, and of one that lacks it nothing is.
    pub fn plan(&self, engine: EndpointKey) -> PrefillPlan {
        let (held, recorded) = (self.held(engine), self.recorded(engine));
        let can_fetch = self.rates.transfer.is_some();
        let best = self.best.iter().find(|ranked| ranked.source.key != engine);
        let best = best.filter(|source| source.tokens >= recorded + MIN_FETCH_TOKENS);
        let Some(best) = best.filter(|_| can_fetch) else {
            let owner = self.owner.filter(|owner| *owner != engine && can_fetch);
            let shared = self.prompt.shared_tokens();
            let source = owner.filter(|_| shared >= recorded + MIN_FETCH_TOKENS);
            let tokens = self.all().saturating_sub(held);
            return PrefillPlan { tokens, fetched: 0, source, source_wait: Duration::ZERO };
        };
        let fetched = best.tokens.saturating_sub(held);
        let tokens = self.all().saturating_sub(held + fetched);
        let FetchSource { key, wait } = best.source;
        PrefillPlan { tokens, fetched, source: Some(key), source_wait: wait }
    }

    /// Tokens of the whole prompt.
    fn all(&self) -> u64 {
        u64::from(self.prompt.input)
    }

    /// Tokens from the start of the prompt that an engine holds or should hold.
    fn held(&self, engine: EndpointKey) -> u64 {
        let shared = self.prompt.shared().len();
        let expected = if self.owner == Some(engine) { shared } else { 0 };
        self.prefix(|idx, part| idx < expected || self.memory.holds(engine, part))
    }

    /// Tokens from the start of the prompt that this instance has sent there.
    fn recorded(&self, engine: EndpointKey) -> u64 {
        self.prefix(|_, part| self.memory.holds(engine, part))
    }

    /// Tokens of the first parts that are there: a part counts only if all
    /// parts before it are there too.
    fn prefix(&self, is_there: impl Fn(usize, u64) -> bool) -> u64 {
        let parts = self.prompt.parts.iter().enumerate();
        let there = parts.take_while(|(idx, part)| is_there(*idx, part.id));
        there.map(|(_, part)| u64::from(part.tokens)).sum()
    }
}

/// Those of the engines that another one can fetch from now.
pub fn fetch_sources(
    directory: &Directory,
    now: Duration,
    engines: &[EndpointKey],
) -> Vec<FetchSource> {
    let source = |key: &EndpointKey| {
        let endpoint = directory.get(*key).filter(|endpoint| !endpoint.is_paused(now))?;
        Some(FetchSource { key: *key, wait: endpoint.engine.copy_wait(now) })
    };
    engines.iter().filter_map(source).collect()
}

/// The engine that all instances agree on for a part.
fn owner(candidates: &[(EndpointKey, &Endpoint)], part: &Part) -> Option<EndpointKey> {
    let weight =
        |endpoint: &Endpoint| xxh3::xxh3_64_with_seed(endpoint.entry.name.as_bytes(), part.id);
    let first = candidates.iter().max_by_key(|(_, endpoint)| weight(endpoint));
    first.map(|(key, _)| *key)
}
