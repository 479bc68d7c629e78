//! An engine that reads one prompt after the other, keeps running calls in its
//! memory, and whose link carries one copy after the other.

use std::{collections::HashSet, time::Duration};

use crate::relay::fixture::ms;

/// Memory, in tokens.
pub const MEMORY: u64 = 266_000;
/// Prompt tokens that it reads in a millisecond.
const READ_RATE: u64 = 38;
/// Time from reading a prompt to its first token, in which it reads on.
const FIRST_TOKEN: Duration = Duration::from_millis(150);
/// Time from the first token to the last one while nothing else is read.
const STREAM: Duration = Duration::from_millis(400);

#[derive(Default)]
pub struct Reader {
    /// Parts of prompts that it holds.
    pub parts: HashSet<u64>,
    /// Calls that it was sent.
    pub calls: usize,
    read_until: Duration,
    link_until: Duration,
    /// When each call ends, and its tokens in memory.
    runs: Vec<(Duration, u64)>,
}

/// When a call gets what.
pub struct Run {
    pub first: Duration,
    pub end: Duration,
}

impl Reader {
    /// Its link carries a copy; returns when that has arrived.
    pub fn copy(&mut self, now: Duration, time: Duration) -> Duration {
        self.link_until = self.link_until.max(now) + time;
        self.link_until
    }

    /// Runs a call whose copies arrive at `copied`, which has so many tokens to
    /// read and keeps `size` in memory.
    pub fn run(&mut self, now: Duration, copied: Duration, read: u64, size: u64) -> Run {
        self.calls += 1;
        let begin = self.read_until.max(copied).max(self.has_memory_at(now, size));
        self.read_until = begin + ms(read / READ_RATE);
        let first = self.read_until + FIRST_TOKEN;
        let end = first + STREAM;
        self.runs.push((end, size));
        Run { first, end }
    }

    fn has_memory_at(&mut self, now: Duration, size: u64) -> Duration {
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
