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
const REPORT_DELAY: Duration = Duration::from_millis(250);
/// A call whose first token is overdue for longer is not reckoned with any more:
/// the instance that made it may be gone, and an engine that nobody calls cannot
/// show that it has caught up.
const MAX_LAG: Duration = Duration::from_secs(4);
/// A call of which no end was heard is forgotten. Streams last seconds.
const MAX_RUN_TIME: Duration = Duration::from_secs(30);

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
    placed_at: Duration,
    /// When its first token should come.
    first_token_due: Duration,
    has_first_token: bool,
    /// Tokens that it alone keeps in memory.
    own_tokens: u64,
    /// The parts that it shares with others.
    parts: Vec<u64>,
}

/// A part of prompts that running calls keep in memory.
#[derive(Debug, Clone, Copy, Default)]
struct SharedPart {
    runs: u32,
    tokens: u64,
}

/// One engine.
#[derive(Debug, Clone, Default)]
pub struct EngineModel {
    runs: HashMap<RunNumber, Run>,
    shared: HashMap<u64, SharedPart>,
    /// Memory that the runs keep, in tokens.
    memory_tokens: u64,
    /// When it has read all that was placed.
    prefill_until: Duration,
    /// When its link has carried all copies to it and from it.
    copying_until: Duration,
    /// When the newest call was placed whose first token has come.
    newest_with_first_token: Duration,
}

impl EngineModel {
    /// A call is placed there.
    pub fn add_run(
        &mut self,
        now: Duration,
        number: RunNumber,
        prompt: &Prompt,
        estimate: CallEstimate,
    ) {
        let copy_end = self.add_copy(now, estimate.copy_time);
        self.prefill_until = self.prefill_until.max(now) + estimate.prefill;
        let prefill_end = self.prefill_until.max(copy_end + estimate.prefill);
        let own_tokens = prompt.own_tokens() + u64::from(prompt.output);
        let run = Run {
            placed_at: now,
            first_token_due: prefill_end + estimate.first_token,
            has_first_token: false,
            own_tokens,
            parts: prompt.shared().iter().map(|part| part.id).collect(),
        };
        self.memory_tokens += own_tokens;
        for part in prompt.shared() {
            let shared = self.shared.entry(part.id).or_default();
            shared.runs += 1;
            shared.tokens = u64::from(part.tokens);
            self.memory_tokens += if shared.runs == 1 { shared.tokens } else { 0 };
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
        run.has_first_token = true;
        self.newest_with_first_token = self.newest_with_first_token.max(run.placed_at);
        Some(now.saturating_sub(run.placed_at))
    }

    /// A call has ended, however. Returns how long it was there.
    pub fn remove_run(&mut self, now: Duration, number: RunNumber) -> Option<Duration> {
        let run = self.runs.remove(&number)?;
        self.memory_tokens -= run.own_tokens;
        for part in &run.parts {
            let Some(shared) = self.shared.get_mut(part) else { continue };
            shared.runs -= 1;
            if shared.runs == 0 {
                self.memory_tokens -= shared.tokens;
                self.shared.remove(part);
            }
        }
        Some(now.saturating_sub(run.placed_at))
    }

    /// Forgets calls of which no end was heard.
    pub fn expire_runs(&mut self, now: Duration) {
        let is_lost = |run: &Run| now > run.placed_at + MAX_RUN_TIME;
        let lost: Vec<_> =
            self.runs.iter().filter(|(_, run)| is_lost(run)).map(|(number, _)| *number).collect();
        for number in lost {
            self.remove_run(now, number);
        }
    }

    /// Whether a call that was placed since then still waits for its first token.
    pub fn has_pending_probe(&self, now: Duration, since: Duration) -> bool {
        let is_counted = |run: &Run| now < run.placed_at + MAX_LAG;
        let mut waiting = self.runs.values().filter(|run| !run.has_first_token && is_counted(run));
        waiting.any(|run| run.placed_at >= since)
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
        let streams = self.runs.values().filter(|run| run.has_first_token).count();
        u32::try_from(streams).unwrap_or(u32::MAX)
    }

    /// Tokens that the calls there keep in memory.
    pub fn memory_in_use(&self) -> u64 {
        self.memory_tokens
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
        self.prefill_until.saturating_sub(now) + self.lag(now)
    }

    /// How long its link is busy with copies.
    pub fn copy_wait(&self, now: Duration) -> Duration {
        self.copying_until.saturating_sub(now)
    }

    /// How long first tokens are overdue. A call that others overtook tells of
    /// itself and not of the engine.
    fn lag(&self, now: Duration) -> Duration {
        let waiting = self.runs.values().filter(|run| !run.has_first_token);
        let counted = waiting.filter(|run| run.placed_at >= self.newest_with_first_token);
        let lags = counted.map(|run| now.saturating_sub(run.first_token_due + REPORT_DELAY));
        lags.filter(|lag| *lag < MAX_LAG).max().unwrap_or_default()
    }
}
