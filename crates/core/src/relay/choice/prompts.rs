//! Estimates which engines hold which parts of prompts, and where an engine can fetch the parts
//! that it lacks.
//!
//! No engine reports in time what it holds. Instances therefore agree by rendezvous hash on the
//! engine that should hold a shared part, and each one records what it sent itself.

use std::{collections::HashSet, time::Duration};

use peatdeck_macros::data;
use xxhash_rust::xxh3;

use crate::relay::{
    config::Transfer,
    directory::{Directory, Endpoint},
    model::{EndpointKey, Part, Prompt},
};

/// How long an engine is taken to hold a part that it was sent, at least; at most it is twice as
/// long.
pub const RETENTION: Duration = Duration::from_secs(15);
/// Capacity of one generation, for all engines together.
const MAX_ENTRIES: usize = 20_000;
/// The smallest number of tokens worth fetching. Setting a fetch up takes a few milliseconds, in
/// which an engine prefills about as many.
const MIN_FETCH_TOKENS: u64 = 64;

/// Records which engine was sent which parts, in two generations, of which the older one is dropped
/// as a whole.
#[derive(Debug, Clone, Default)]
pub struct SentParts {
    recent: HashSet<(EndpointKey, u64)>,
    older: HashSet<(EndpointKey, u64)>,
    rotated_at: Duration,
}

impl SentParts {
    /// Records that an engine is sent a prompt.
    pub fn record_prompt(&mut self, now: Duration, endpoint: EndpointKey, prompt: &Prompt) {
        self.record_parts(now, endpoint, prompt.parts.iter().map(|part| part.id));
    }

    /// Records that an engine holds parts.
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

/// How an engine would obtain a prompt.
#[data]
#[derive(Copy)]
pub struct PrefillPlan {
    /// Tokens that it has to prefill.
    pub tokens: u64,
    /// Tokens that it fetches from another engine first.
    pub fetched: u64,
    /// The engine that it fetches from.
    pub source: Option<EndpointKey>,
    /// How long the link of `source` is busy with other copies.
    pub source_wait: Duration,
}

/// How fast engines obtain prompts.
#[derive(Debug, Clone, Copy)]
pub struct PrefillRates {
    /// How they fetch from each other; `None` if they can't.
    pub transfer: Option<Transfer>,
    /// Milliseconds to prefill a token.
    pub token_millis: f64,
}

/// An engine that others can fetch from.
#[derive(Debug, Clone, Copy)]
pub struct FetchSource {
    key: EndpointKey,
    /// How long its link is busy with copies.
    wait: Duration,
}

/// An engine that holds the first parts of a prompt.
#[derive(Debug, Clone, Copy)]
struct RankedSource {
    source: FetchSource,
    tokens: u64,
    /// Milliseconds that fetching them saves compared to prefill.
    saved_millis: f64,
}

/// Which engines of a service hold which parts of one prompt.
pub struct PartLocations<'a> {
    sent_parts: &'a SentParts,
    prompt: &'a Prompt,
    rates: PrefillRates,
    /// The engine that all instances agree on for the last shared part.
    owner: Option<EndpointKey>,
    /// The two engines from which fetching saves most, as far as this instance has recorded.
    /// Engines that hold the same parts take turns, since each one's link carries one copy after
    /// the other: when 4,000 copies in 24 s mostly started at the first holder of a part, some
    /// waited for seconds.
    best: Vec<RankedSource>,
}

impl<'a> PartLocations<'a> {
    /// Ranks `sources`, the engines that can be fetched from. The parts' owner is chosen from
    /// `owners`.
    pub fn new(
        sent_parts: &'a SentParts,
        prompt: &'a Prompt,
        owners: &[(EndpointKey, &Endpoint)],
        sources: &[FetchSource],
        rates: PrefillRates,
    ) -> PartLocations<'a> {
        let owner = prompt.shared().last().and_then(|part| owner(owners, part));
        let mut locations = PartLocations { sent_parts, prompt, rates, owner, best: Vec::new() };
        let sources = sources.iter().map(|source| locations.rank(*source));
        let mut sources: Vec<_> = sources.filter(|source| source.tokens > 0).collect();
        sources.sort_by(|a, b| b.saved_millis.total_cmp(&a.saved_millis));
        sources.truncate(2);
        locations.best = sources;
        locations
    }

    fn rank(&self, source: FetchSource) -> RankedSource {
        let tokens = self.recorded(source.key);
        let copy_millis = self.rates.transfer.map_or(0.0, |transfer| transfer.millis(tokens));
        let prefill_millis = tokens as f64 * self.rates.token_millis;
        let saved_millis = prefill_millis - copy_millis - source.wait.as_secs_f64() * 1e3;
        RankedSource { source, tokens, saved_millis }
    }

    /// How an engine would obtain the prompt.
    ///
    /// The estimate only counts on sources that this instance has sent the parts to itself. A first
    /// request therefore goes to the owner, which then holds what it should. A source is named in
    /// any case: an engine does not fetch parts that it holds, and fetches nothing if the source
    /// lacks them.
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

    /// Tokens from the start of the prompt that an engine holds, or should hold as its owner.
    fn held(&self, engine: EndpointKey) -> u64 {
        let shared = self.prompt.shared().len();
        let expected = if self.owner == Some(engine) { shared } else { 0 };
        self.prefix(|idx, part| idx < expected || self.sent_parts.holds(engine, part))
    }

    /// Tokens from the start of the prompt that this instance has recorded as sent to the engine.
    fn recorded(&self, engine: EndpointKey) -> u64 {
        self.prefix(|_, part| self.sent_parts.holds(engine, part))
    }

    /// Tokens of the first parts that an engine holds: a part only counts if all parts before it
    /// are held too.
    fn prefix(&self, is_held: impl Fn(usize, u64) -> bool) -> u64 {
        let parts = self.prompt.parts.iter().enumerate();
        let held = parts.take_while(|(idx, part)| is_held(*idx, part.id));
        held.map(|(_, part)| u64::from(part.tokens)).sum()
    }
}

/// Those of the engines that others can fetch from now.
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
    let best = candidates.iter().max_by_key(|(_, endpoint)| weight(endpoint));
    best.map(|(key, _)| *key)
}
