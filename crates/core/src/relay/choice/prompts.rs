//! Which engines hold which parts of prompts, and where an engine can fetch
//! what it lacks.
//!
//! Nobody tells in time what an engine holds. All instances therefore agree, by
//! rendezvous hash, on the engine where a shared part should be, and each
//! remembers what it sent itself.

use std::{cmp::Reverse, collections::HashSet, time::Duration};

use peatdeck_macros::data;
use xxhash_rust::xxh3;

use crate::relay::{
    config::Transfer,
    directory::{Directory, Endpoint},
    model::{EndpointKey, Part, Prompt},
};

/// A part is taken for held by an engine for so long at the least, and twice as
/// long at the most, after it was sent there.
pub const HELD_FOR: Duration = Duration::from_secs(15);
/// Parts that are remembered in one generation, for all engines together.
const MAX_REMEMBERED: usize = 20_000;
/// Fewer tokens than these are not worth a fetch: it takes a few milliseconds
/// to set up, in which an engine reads about as many.
const SMALLEST_FETCH: u64 = 64;

/// Remembers which engine was sent which parts, in two generations: the older
/// one is forgotten as a whole.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    young: HashSet<(EndpointKey, u64)>,
    old: HashSet<(EndpointKey, u64)>,
    turned_at: Duration,
}

impl Memory {
    /// An engine is sent a prompt.
    pub fn sent(&mut self, now: Duration, endpoint: EndpointKey, prompt: &Prompt) {
        self.holds_parts(now, endpoint, prompt.parts.iter().map(|part| part.id));
    }

    /// An engine holds parts.
    pub fn holds_parts(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        parts: impl Iterator<Item = u64>,
    ) {
        if now >= self.turned_at + HELD_FOR || self.young.len() >= MAX_REMEMBERED {
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
}

/// What the engines of a service hold of one prompt.
pub struct Holdings<'a> {
    memory: &'a Memory,
    prompt: &'a Prompt,
    /// The engine that all instances agree on for the last shared part.
    owner: Option<EndpointKey>,
    /// The two engines that hold most, as far as this instance knows, and how
    /// many tokens each.
    best: Vec<(EndpointKey, u64)>,
}

impl<'a> Holdings<'a> {
    /// Looks through the engines that can be fetched from: `engines`, of which
    /// `owners` are those that a part may belong to.
    pub fn new(
        memory: &'a Memory,
        prompt: &'a Prompt,
        owners: &[(EndpointKey, &Endpoint)],
        engines: &[EndpointKey],
    ) -> Holdings<'a> {
        let owner = prompt.shared().last().and_then(|part| owner(owners, part));
        let mut holdings = Holdings { memory, prompt, owner, best: Vec::new() };
        let mut known: Vec<_> = engines.iter().map(|key| (*key, holdings.known(*key))).collect();
        known.sort_by_key(|(_, tokens)| Reverse(*tokens));
        known.truncate(2);
        holdings.best = known;
        holdings
    }

    /// How an engine would get the prompt.
    ///
    /// Only a source that this instance has sent the parts to itself is reckoned
    /// with: a first request then goes to the owner, which so comes to hold what
    /// it should. A source is named in any case; what an engine has already is
    /// not fetched, and of one that lacks it nothing is.
    pub fn reading(&self, engine: EndpointKey, transfer: Option<Transfer>) -> Reading {
        let (held, known) = (self.held(engine), self.known(engine));
        let best = self.best.iter().find(|(key, _)| *key != engine);
        let best = best.filter(|(_, tokens)| *tokens >= known + SMALLEST_FETCH);
        let Some((source, most)) = best.filter(|_| transfer.is_some()) else {
            let owner = self.owner.filter(|owner| *owner != engine && transfer.is_some());
            let shared = self.prompt.shared_tokens();
            let source = owner.filter(|_| shared >= known + SMALLEST_FETCH);
            return Reading { tokens: self.all().saturating_sub(held), fetched: 0, source };
        };
        let fetched = most.saturating_sub(held);
        let tokens = self.all().saturating_sub(held + fetched);
        Reading { tokens, fetched, source: Some(*source) }
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

/// Engines that another one can fetch from now.
pub fn sources(directory: &Directory, now: Duration, service: &str) -> Vec<EndpointKey> {
    let is_sound = |key: &EndpointKey| directory.get(*key).is_some_and(|it| !it.is_paused(now));
    directory.usable(now, service).into_iter().filter(is_sound).collect()
}

/// The engine that all instances agree on for a part.
fn owner(candidates: &[(EndpointKey, &Endpoint)], part: &Part) -> Option<EndpointKey> {
    let weight =
        |endpoint: &Endpoint| xxh3::xxh3_64_with_seed(endpoint.entry.name.as_bytes(), part.id);
    let first = candidates.iter().max_by_key(|(_, endpoint)| weight(endpoint));
    first.map(|(key, _)| *key)
}
