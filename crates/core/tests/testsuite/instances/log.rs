//! A fake log: two streams, an outage, answers lost after the effect, expiry.

use std::sync::Arc;

use peatdeck_core::{
    document::Document,
    record::{Batch, ClaimBatch, ConfigRecord, Entry, Offset},
};

/// A stream that remembers everything, and says what it still keeps.
#[derive(Debug)]
pub struct Tape<R> {
    all: Vec<Entry<R>>,
    earliest: Offset,
}

impl<R: Clone> Tape<R> {
    fn new() -> Tape<R> {
        Tape { all: Vec::new(), earliest: 0 }
    }

    /// Takes a record.
    pub fn append(&mut self, time_ms: u64, record: R) -> Offset {
        let offset = self.all.len() as Offset;
        self.all.push(Entry { offset, time_ms, record });
        offset
    }

    /// Reads from an offset.
    pub fn read(&self, from: Offset, now_ms: u64) -> Batch<R> {
        let kept = self.all.iter().filter(|entry| entry.offset >= from.max(self.earliest));
        Batch {
            from,
            earliest: self.earliest,
            next: (self.all.len() as Offset).max(from),
            now_ms,
            entries: kept.cloned().collect(),
        }
    }

    /// Drops records that are older than a time.
    pub fn expire(&mut self, before_ms: u64) {
        let kept = self.all.iter().find(|entry| entry.time_ms >= before_ms);
        self.earliest = kept.map_or(self.all.len() as Offset, |entry| entry.offset);
    }
}

/// The log.
#[derive(Debug)]
pub struct Log {
    /// The configuration stream.
    pub config: Tape<ConfigRecord>,
    /// The claims stream.
    pub claims: Tape<ClaimBatch>,
    /// Whether nothing can be read or appended.
    pub is_out: bool,
    /// Appends to come that take effect but go unanswered.
    pub lose_answers: u32,
}

impl Log {
    /// An empty log.
    pub fn new() -> Log {
        Log { config: Tape::new(), claims: Tape::new(), is_out: false, lose_answers: 0 }
    }

    /// Whether the next answer is lost.
    pub fn loses_answer(&mut self) -> bool {
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lost
    }

    /// What every instance should end with: the document of each version.
    pub fn chain(&self) -> Vec<Arc<Document>> {
        let mut chain = Vec::new();
        for entry in &self.config.all {
            if let ConfigRecord::Publish(publish) = &entry.record
                && publish.base == chain.len() as u64
            {
                chain.push(publish.document.clone());
            }
        }
        chain
    }
}
