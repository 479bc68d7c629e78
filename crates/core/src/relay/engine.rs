//! What is reckoned of one engine by whoever places prompts there.
//!
//! Reports of an engine's load come with replies, so they are late by just the
//! time that the engine is late. The model therefore begins with what was placed:
//! how long that takes to read and to copy, and how much memory it will need.
//! What comes of each call corrects it. A call whose first token is overdue shows
//! that the engine is behind, for whatever reason: its memory is full, its link
//! carries copies, or it is slow.

use std::{collections::HashMap, time::Duration};

use peatdeck_macros::data;

use crate::relay::model::{Prompt, RunNumber};

/// News of a first token take this long: the way from the engine, the pause in
/// which an instance gathers what it tells a placer, and a loaded instance.
const NEWS_TIME: Duration = Duration::from_millis(250);
/// A call whose first token is overdue for longer is not reckoned with any more:
/// the instance that made it may be gone, and an engine that nobody calls cannot
/// show that it has caught up.
const LONGEST_LAG: Duration = Duration::from_secs(4);
/// A call of which no end was heard is forgotten. Streams last seconds.
const LONGEST_RUN: Duration = Duration::from_secs(30);

/// What a call asks of an engine.
#[data]
#[derive(Copy)]
pub struct CallEstimate {
    /// Time to read what the engine does not hold.
    pub prefill: Duration,
    /// Time to copy what it fetches first.
    pub copy_time: Duration,
    /// Time from having read until the first token.
    pub first_token: Duration,
}

/// A call that was placed there.
#[derive(Debug, Clone)]
struct Run {
    placed: Duration,
    /// When its first token should come.
    expected: Duration,
    has_begun: bool,
    /// Tokens that it alone keeps in memory.
    own: u64,
    /// The parts that it shares with others.
    parts: Vec<u64>,
}

/// A part of prompts that running calls keep in memory.
#[derive(Debug, Clone, Copy, Default)]
struct Shared {
    runs: u32,
    tokens: u64,
}

/// One engine.
#[derive(Debug, Clone, Default)]
pub struct EngineModel {
    runs: HashMap<RunNumber, Run>,
    shared: HashMap<u64, Shared>,
    /// Memory that the runs keep, in tokens.
    memory: u64,
    /// When it has read all that was placed.
    reading_until: Duration,
    /// When its link has carried all copies to it and from it.
    copying_until: Duration,
    /// When the newest call was placed whose first token has come.
    newest_begun: Duration,
}

impl EngineModel {
    /// A call is placed there.
    pub fn add_run(
        &mut self,
        now: Duration,
        number: RunNumber,
        prompt: &Prompt,
        work: CallEstimate,
    ) {
        let copied = self.add_copy(now, work.copy_time);
        self.reading_until = self.reading_until.max(now) + work.prefill;
        let read = self.reading_until.max(copied + work.prefill);
        let own = prompt.own_tokens() + u64::from(prompt.output);
        let run = Run {
            placed: now,
            expected: read + work.first_token,
            has_begun: false,
            own,
            parts: prompt.shared().iter().map(|part| part.id).collect(),
        };
        self.memory += own;
        for part in prompt.shared() {
            let shared = self.shared.entry(part.id).or_default();
            shared.runs += 1;
            shared.tokens = u64::from(part.tokens);
            self.memory += if shared.runs == 1 { shared.tokens } else { 0 };
        }
        self.runs.insert(number, run);
    }

    /// Its link carries a copy; returns when that is done.
    pub fn add_copy(&mut self, now: Duration, time: Duration) -> Duration {
        if time.is_zero() {
            return now;
        }
        self.copying_until = self.copying_until.max(now) + time;
        self.copying_until
    }

    /// The first token of a call came. Returns how long after it was placed.
    pub fn record_first_token(&mut self, now: Duration, number: RunNumber) -> Option<Duration> {
        let run = self.runs.get_mut(&number)?;
        run.has_begun = true;
        self.newest_begun = self.newest_begun.max(run.placed);
        Some(now.saturating_sub(run.placed))
    }

    /// A call has ended, however. Returns how long it was there.
    pub fn remove_run(&mut self, now: Duration, number: RunNumber) -> Option<Duration> {
        let run = self.runs.remove(&number)?;
        self.memory -= run.own;
        for part in &run.parts {
            let Some(shared) = self.shared.get_mut(part) else { continue };
            shared.runs -= 1;
            if shared.runs == 0 {
                self.memory -= shared.tokens;
                self.shared.remove(part);
            }
        }
        Some(now.saturating_sub(run.placed))
    }

    /// Forgets calls of which no end was heard.
    pub fn expire_runs(&mut self, now: Duration) {
        let is_lost = |run: &Run| now > run.placed + LONGEST_RUN;
        let lost: Vec<_> =
            self.runs.iter().filter(|(_, run)| is_lost(run)).map(|(number, _)| *number).collect();
        for number in lost {
            self.remove_run(now, number);
        }
    }

    /// Whether a call that was placed since then still waits for its first token.
    pub fn has_pending_probe(&self, now: Duration, since: Duration) -> bool {
        let is_telling = |run: &Run| now < run.placed + LONGEST_LAG;
        let mut waiting = self.runs.values().filter(|run| !run.has_begun && is_telling(run));
        waiting.any(|run| run.placed >= since)
    }

    /// Whether a call is there.
    pub fn has_run(&self, number: RunNumber) -> bool {
        self.runs.contains_key(&number)
    }

    /// How many calls are there.
    pub fn run_count(&self) -> u32 {
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }

    /// How many calls there stream.
    pub fn stream_count(&self) -> u32 {
        let streams = self.runs.values().filter(|run| run.has_begun).count();
        u32::try_from(streams).unwrap_or(u32::MAX)
    }

    /// Tokens that the calls there keep in memory.
    pub fn memory_in_use(&self) -> u64 {
        self.memory
    }

    /// Tokens that a further call would keep in memory besides.
    pub fn additional_memory(&self, prompt: &Prompt) -> u64 {
        let is_new = |id: &u64| !self.shared.contains_key(id);
        let shared = prompt.shared().iter().filter(|part| is_new(&part.id));
        let shared: u64 = shared.map(|part| u64::from(part.tokens)).sum();
        shared + prompt.own_tokens() + u64::from(prompt.output)
    }

    /// How long a further prompt waits until it is read.
    pub fn prefill_wait(&self, now: Duration) -> Duration {
        self.reading_until.saturating_sub(now) + self.lag(now)
    }

    /// How long its link is busy with copies.
    pub fn copy_wait(&self, now: Duration) -> Duration {
        self.copying_until.saturating_sub(now)
    }

    /// How long first tokens are overdue. A call that others overtook tells of
    /// itself and not of the engine.
    fn lag(&self, now: Duration) -> Duration {
        let waiting = self.runs.values().filter(|run| !run.has_begun);
        let telling = waiting.filter(|run| run.placed >= self.newest_begun);
        let lags = telling.map(|run| now.saturating_sub(run.expected + NEWS_TIME));
        lags.filter(|lag| *lag < LONGEST_LAG).max().unwrap_or_default()
    }
}
