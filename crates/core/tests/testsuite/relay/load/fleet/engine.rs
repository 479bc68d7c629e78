//! A simulated engine that prefills one prompt after the other, keeps running calls in its memory,
//! and has a link that transfers one copy after the other.

use std::{collections::HashSet, time::Duration};

use crate::relay::fixture::ms;

/// Memory of an engine, in tokens.
pub const MEMORY: u64 = 266_000;
/// Prompt tokens prefilled per millisecond.
const PREFILL_RATE: u64 = 38;
/// Time from the end of a prefill to the first token; the next prefill runs meanwhile.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(150);
/// Time from the first token to the last one while nothing else is prefilled.
const STREAM_TIME: Duration = Duration::from_millis(400);

#[derive(Default)]
pub struct SimulatedEngine {
    /// Prompt parts that it holds.
    pub parts: HashSet<u64>,
    /// Number of calls that it was sent.
    pub calls: usize,
    prefill_until: Duration,
    link_until: Duration,
    /// When each running call ends, and its tokens in memory.
    runs: Vec<(Duration, u64)>,
}

/// The times at which a call produces its first and its last token.
pub struct Run {
    pub first: Duration,
    pub end: Duration,
}

impl SimulatedEngine {
    /// Sends a copy over the link; returns when it arrives.
    pub fn copy(&mut self, now: Duration, time: Duration) -> Duration {
        self.link_until = self.link_until.max(now) + time;
        self.link_until
    }

    /// Runs a call whose copies arrive at `copied`, which has `prefill` tokens to prefill and
    /// occupies `size` tokens of memory.
    pub fn run(&mut self, now: Duration, copied: Duration, prefill: u64, size: u64) -> Run {
        self.calls += 1;
        let start = self.prefill_until.max(copied).max(self.memory_free_at(now, size));
        self.prefill_until = start + ms(prefill / PREFILL_RATE);
        let first = self.prefill_until + FIRST_TOKEN_TIME;
        let end = first + STREAM_TIME;
        self.runs.push((end, size));
        Run { first, end }
    }

    fn memory_free_at(&mut self, now: Duration, size: u64) -> Duration {
        self.runs.retain(|(end, _)| *end > now);
        self.runs.sort_unstable();
        let mut used: u64 = self.runs.iter().map(|(_, size)| size).sum();
        let mut at = now;
        for (end, ended) in &self.runs {
            if used + size <= MEMORY {
                break;
            }
            (at, used) = (*end, used - ended);
        }
        at
    }
}
