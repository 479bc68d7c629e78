//! A placer's model of the load of one engine.
//!
//! Engines report their load with replies, so the reports are late exactly when the engine is. The
//! model therefore starts from the calls that were placed: how long their prefill and copies take,
//! and how much memory they need. The outcome of each call corrects it. A call whose first token is
//! overdue shows that the engine lags behind, for whatever reason: its memory is full, its link
//! carries copies, or it is slow.

use std::{collections::HashMap, time::Duration};

use peatdeck_macros::data;

use crate::relay::model::{Prompt, RunNumber};

/// Allowance for the delay of a report of a first token: the way from the engine, the interval at
/// which an instance sends its reports to a placer, and an instance under load.
const REPORT_DELAY: Duration = Duration::from_millis(250);
/// A call whose first token is overdue for longer no longer counts: the instance that made it may
/// be gone, and an engine that gets no calls can't show that it has caught up.
const MAX_LAG: Duration = Duration::from_secs(4);
/// A call whose end was not reported is dropped after this time. Streams last seconds.
const MAX_RUN_TIME: Duration = Duration::from_secs(30);

/// Estimated times of a call at an engine.
#[data]
#[derive(Copy)]
pub struct CallEstimate {
    /// Time to prefill the tokens that the engine does not hold.
    pub prefill: Duration,
    /// Time to copy the parts that it fetches first.
    pub copy_time: Duration,
    /// Time from the end of prefill until the first token.
    pub first_token: Duration,
}

/// A call that was placed at the engine.
#[derive(Debug, Clone)]
struct Run {
    placed_at: Duration,
    /// When its first token should come.
    first_token_due: Duration,
    has_first_token: bool,
    /// Tokens in memory that only this call needs.
    own_tokens: u64,
    /// The parts that it shares with other calls.
    parts: Vec<u64>,
}

/// A part of prompts that running calls share in memory.
#[derive(Debug, Clone, Copy, Default)]
struct SharedPart {
    runs: u32,
    tokens: u64,
}

/// Model of one engine.
#[derive(Debug, Clone, Default)]
pub struct EngineModel {
    runs: HashMap<RunNumber, Run>,
    shared: HashMap<u64, SharedPart>,
    /// Memory that the calls need, in tokens.
    memory_tokens: u64,
    /// When the prefill of all placed calls should end.
    prefill_until: Duration,
    /// When its link should have carried all copies to it and from it.
    copying_until: Duration,
    /// When the latest of the calls that have had their first token was placed.
    newest_with_first_token: Duration,
}

impl EngineModel {
    /// Adds a call that is placed at the engine.
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
            // Callers state the lengths; the first one counts until the part is removed.
            if shared.runs == 1 {
                shared.tokens = u64::from(part.tokens);
                self.memory_tokens += shared.tokens;
            }
        }
        self.runs.insert(number, run);
    }

    /// Adds a copy to the queue of the engine's link. Returns when the copy ends.
    pub fn add_copy(&mut self, now: Duration, time: Duration) -> Duration {
        if time.is_zero() {
            return now;
        }
        self.copying_until = self.copying_until.max(now) + time;
        self.copying_until
    }

    /// Records the first token of a call. Returns the time since it was placed.
    pub fn record_first_token(&mut self, now: Duration, number: RunNumber) -> Option<Duration> {
        let run = self.runs.get_mut(&number)?;
        run.has_first_token = true;
        self.newest_with_first_token = self.newest_with_first_token.max(run.placed_at);
        Some(now.saturating_sub(run.placed_at))
    }

    /// Removes a call that has ended in any way. Returns the time since it was placed.
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

    /// When a call was placed; `None` if it has ended.
    pub fn placed_at(&self, number: RunNumber) -> Option<Duration> {
        self.runs.get(&number).map(|run| run.placed_at)
    }

    /// Drops calls whose end was not reported.
    pub fn expire_runs(&mut self, now: Duration) {
        let is_lost = |run: &Run| now > run.placed_at + MAX_RUN_TIME;
        let lost: Vec<_> =
            self.runs.iter().filter(|(_, run)| is_lost(run)).map(|(number, _)| *number).collect();
        for number in lost {
            self.remove_run(now, number);
        }
    }

    /// Whether a call placed at or after `since` still waits for its first token, which will show
    /// whether the engine works.
    pub fn has_pending_probe(&self, now: Duration, since: Duration) -> bool {
        let is_counted = |run: &Run| now < run.placed_at + MAX_LAG;
        let mut waiting = self.runs.values().filter(|run| !run.has_first_token && is_counted(run));
        waiting.any(|run| run.placed_at >= since)
    }

    /// Whether the call is placed here and has not ended.
    pub fn has_run(&self, number: RunNumber) -> bool {
        self.runs.contains_key(&number)
    }

    /// The number of calls.
    pub fn run_count(&self) -> u32 {
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }

    /// The number of calls that have had their first token.
    pub fn stream_count(&self) -> u32 {
        let streams = self.runs.values().filter(|run| run.has_first_token).count();
        u32::try_from(streams).unwrap_or(u32::MAX)
    }

    /// Memory that the calls need, in tokens.
    pub fn memory_in_use(&self) -> u64 {
        self.memory_tokens
    }

    /// Memory that a further call would need on top, in tokens.
    pub fn additional_memory(&self, prompt: &Prompt) -> u64 {
        let is_new = |id: &u64| !self.shared.contains_key(id);
        let shared = prompt.shared().iter().filter(|part| is_new(&part.id));
        let shared: u64 = shared.map(|part| u64::from(part.tokens)).sum();
        shared + prompt.own_tokens() + u64::from(prompt.output)
    }

    /// How long a further prompt would wait until its prefill starts.
    pub fn prefill_wait(&self, now: Duration) -> Duration {
        self.prefill_until.saturating_sub(now) + self.lag(now)
    }

    /// How long the link is busy with copies.
    pub fn copy_wait(&self, now: Duration) -> Duration {
        self.copying_until.saturating_sub(now)
    }

    /// By how much first tokens are overdue. A call that later calls have overtaken does not count:
    /// its delay is not the engine's.
    fn lag(&self, now: Duration) -> Duration {
        let waiting = self.runs.values().filter(|run| !run.has_first_token);
        let counted = waiting.filter(|run| run.placed_at >= self.newest_with_first_token);
        let lags = counted.map(|run| now.saturating_sub(run.first_token_due + REPORT_DELAY));
        lags.filter(|lag| *lag < MAX_LAG).max().unwrap_or_default()
    }
}
