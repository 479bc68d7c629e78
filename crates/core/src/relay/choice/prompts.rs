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
const MAX_REMEMBERED: usize = 20_000;
/// Fewer tokens than these are not worth a fetch: it takes a few milliseconds
/// to set up, in which an engine reads about as many.
const SMALLEST_FETCH: u64 = 64;

/// Remembers which engine was sent which parts, in two generations: the older
/// one is forgotten as a whole.
#[derive(Debug, Clone, Default)]
pub struct SentParts {
    young: HashSet<(EndpointKey, u64)>,
    old: HashSet<(EndpointKey, u64)>,
    turned_at: Duration,
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
        if now >= self.turned_at + RETENTION || self.young.len() >= MAX_REMEMBERED {
            self.old = std::mem::take(&mut self.young);
            self.turned_at = now;
        }
        self.young.extend(parts.map(|part| (endpoint, part)));
    }

    fn holds(&self, endpoint: EndpointKey, part: u64) -> bool {
        let pair = (endpoint, part);
        self.young.contains(&pair) || self.old.contains(&pair)
    }
}

/// How an engine gets a prompt.
#[data]
#[derive(Copy)]
pub struct Reading {
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
pub struct Rate {
    /// From each other, if they can.
    pub transfer: Option<Transfer>,
    /// Milliseconds to read a token.
    pub token_millis: f64,
}

/// An engine that another one can fetch from.
#[derive(Debug, Clone, Copy)]
pub struct Holder {
    key: EndpointKey,
    /// How long its link is busy with copies.
    wait: Duration,
}

/// An engine that holds a part of one prompt.
#[derive(Debug, Clone, Copy)]
struct Source {
    holder: Holder,
    tokens: u64,
    /// Milliseconds that fetching saves against reading.
    gain: f64,
}

/// What the engines of a service hold of one prompt.
pub struct Holdings<'a> {
    memory: &'a SentParts,
    prompt: &'a Prompt,
    rate: Rate,
    /// The engine that all instances agree on for the last shared part.
    owner: Option<EndpointKey>,
    /// The two engines that most is gained by fetching from, as far as this
    /// instance knows. Engines that hold the same take turns, since each one's
    /// link carries one copy after the other: 4,000 copies in 24 s that mostly
    /// began at the first holder of a part kept others waiting for seconds.
    best: Vec<Source>,
}

impl<'a> Holdings<'a> {
    /// Looks through the engines that can be fetched from: `holders`, of which
    /// `owners` are those that a part may belong to.
    pub fn new(
        memory: &'a SentParts,
        prompt: &'a Prompt,
        owners: &[(EndpointKey, &Endpoint)],
        holders: &[Holder],
        rate: Rate,
    ) -> Holdings<'a> {
        let owner = prompt.shared().last().and_then(|part| owner(owners, part));
        let mut holdings = Holdings { memory, prompt, rate, owner, best: Vec::new() };
        let sources = holders.iter().map(|holder| holdings.source(*holder));
        let mut sources: Vec<_> = sources.filter(|source| source.tokens > 0).collect();
        sources.sort_by(|a, b| b.gain.total_cmp(&a.gain));
        sources.truncate(2);
        holdings.best = sources;
        holdings
    }

    fn source(&self, holder: Holder) -> Source {
        let tokens = self.known(holder.key);
        let copying = self.rate.transfer.map_or(0.0, |transfer| transfer.millis(tokens));
        let reading = tokens as f64 * self.rate.token_millis;
        let gain = reading - copying - holder.wait.as_secs_f64() * 1e3;
        Source { holder, tokens, gain }
    }

    /// How an engine would get the prompt.
    ///
    /// Only a source that this instance has sent the parts to itself is reckoned
    /// with: a first request then goes to the owner, which so comes to hold what
    /// it should. A source is named in any case; what an engine has already is
    /// not fetched, and of one that lacks it nothing is.
    pub fn reading(&self, engine: EndpointKey) -> Reading {
        let (held, known) = (self.held(engine), self.known(engine));
        let can_fetch = self.rate.transfer.is_some();
        let best = self.best.iter().find(|source| source.holder.key != engine);
        let best = best.filter(|source| source.tokens >= known + SMALLEST_FETCH);
        let Some(best) = best.filter(|_| can_fetch) else {
            let owner = self.owner.filter(|owner| *owner != engine && can_fetch);
            let shared = self.prompt.shared_tokens();
            let source = owner.filter(|_| shared >= known + SMALLEST_FETCH);
            let tokens = self.all().saturating_sub(held);
            return Reading { tokens, fetched: 0, source, source_wait: Duration::ZERO };
        };
        let fetched = best.tokens.saturating_sub(held);
        let tokens = self.all().saturating_sub(held + fetched);
        let Holder { key, wait } = best.holder;
        Reading { tokens, fetched, source: Some(key), source_wait: wait }
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
    fn known(&self, engine: EndpointKey) -> u64 {
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
pub fn holders(directory: &Directory, now: Duration, engines: &[EndpointKey]) -> Vec<Holder> {
    let holder = |key: &EndpointKey| {
        let endpoint = directory.get(*key).filter(|endpoint| !endpoint.is_paused(now))?;
        Some(Holder { key: *key, wait: endpoint.engine.copy_wait(now) })
    };
    engines.iter().filter_map(holder).collect()
}

/// The engine that all instances agree on for a part.
fn owner(candidates: &[(EndpointKey, &Endpoint)], part: &Part) -> Option<EndpointKey> {
    let weight =
        |endpoint: &Endpoint| xxh3::xxh3_64_with_seed(endpoint.entry.name.as_bytes(), part.id);
    let first = candidates.iter().max_by_key(|(_, endpoint)| weight(endpoint));
    first.map(|(key, _)| *key)
}
