//! A simulated stream of the log, with outages and expiry of records. The worlds delay, repeat and
//! lose appends to it.

#![allow(clippy::unwrap_used)]

use peatdeck_core::record::{Batch, Entry, Offset};

/// The log's clock when the world starts, in milliseconds.
const EPOCH_MS: u64 = 1_000_000_000;

/// One stream of the log.
pub struct Log<R> {
    /// All records ever appended, including expired ones.
    pub all: Vec<Entry<R>>,
    /// Whether reads and appends fail.
    pub is_out: bool,
    earliest: Offset,
    now_ms: u64,
    retention_ms: u64,
}

impl<R: Clone> Log<R> {
    /// An empty stream that retains records for `retention_ms`.
    pub fn new(retention_ms: u64) -> Log<R> {
        Log { all: Vec::new(), is_out: false, earliest: 0, now_ms: EPOCH_MS, retention_ms }
    }

    /// The log's clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Appends a record. Returns `false` in an outage.
    pub fn append(&mut self, record: R) -> bool {
        if self.is_out {
            return false;
        }
        let offset = self.all.len() as Offset;
        self.all.push(Entry { offset, time_ms: self.now_ms, record });
        true
    }

    /// Advances the clock, and expires records beyond the retention.
    pub fn advance(&mut self, step_ms: u64) {
        self.now_ms += step_ms;
        let kept =
            self.all.iter().position(|entry| entry.time_ms + self.retention_ms > self.now_ms);
        let earliest = kept.unwrap_or(self.all.len()) as Offset;
        self.earliest = self.earliest.max(earliest);
    }

    /// Reads at most `max` records. Returns `None` in an outage.
    pub fn read(&self, from: Offset, max: usize) -> Option<Batch<R>> {
        if self.is_out {
            return None;
        }
        let start = from.max(self.earliest);
        let entries: Vec<_> = self.all[start as usize..].iter().take(max).cloned().collect();
        let next = start + entries.len() as Offset;
        Some(Batch { from, earliest: self.earliest, next, now_ms: self.now_ms, entries })
    }
}
