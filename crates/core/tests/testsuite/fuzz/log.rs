//! A modelled log: it takes appends late, twice or never, expires records, and
//! loses answers.

#![allow(clippy::unwrap_used)]

use peatdeck_core::record::{Batch, Entry, Offset};

/// What the log's clock shows when the world starts, in milliseconds.
const EPOCH_MS: u64 = 1_000_000_000;

/// One stream of the log.
pub struct Log<R> {
    /// Every record that was ever taken, expired ones included.
    pub all: Vec<Entry<R>>,
    /// Whether it answers nobody.
    pub out: bool,
    earliest: Offset,
    now_ms: u64,
    keep_ms: u64,
}

impl<R: Clone> Log<R> {
    /// An empty stream.
    pub fn new(keep_ms: u64) -> Log<R> {
        Log { all: Vec::new(), out: false, earliest: 0, now_ms: EPOCH_MS, keep_ms }
    }

    /// The log's clock.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Takes a record. `false` in an outage.
    pub fn append(&mut self, record: R) -> bool {
        if self.out {
            return false;
        }
        let offset = self.all.len() as Offset;
        self.all.push(Entry { offset, time_ms: self.now_ms, record });
        true
    }

    /// Lets time pass, and expires what is too old.
    pub fn advance(&mut self, step_ms: u64) {
        self.now_ms += step_ms;
        let kept = self.all.iter().position(|entry| entry.time_ms + self.keep_ms > self.now_ms);
        let earliest = kept.unwrap_or(self.all.len()) as Offset;
        self.earliest = self.earliest.max(earliest);
    }

    /// Reads at most `max` records; `None` in an outage.
    pub fn read(&self, from: Offset, max: usize) -> Option<Batch<R>> {
        if self.out {
            return None;
        }
        let start = from.max(self.earliest);
        let entries: Vec<_> = self.all[start as usize..].iter().take(max).cloned().collect();
        let next = start + entries.len() as Offset;
        Some(Batch { from, earliest: self.earliest, next, now_ms: self.now_ms, entries })
    }
}
