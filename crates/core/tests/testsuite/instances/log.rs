//! A fake log: two streams, with outages, lost acknowledgements and expiry of records.

use std::sync::Arc;

use peatdeck_core::{
    document::Document,
    record::{Batch, ClaimBatch, ConfigRecord, Entry, Offset},
};

/// A stream. It keeps all records, but expired ones can't be read.
#[derive(Debug)]
pub struct FakeStream<R> {
    all: Vec<Entry<R>>,
    earliest: Offset,
}

impl<R: Clone> FakeStream<R> {
    fn new() -> FakeStream<R> {
        FakeStream { all: Vec::new(), earliest: 0 }
    }

    /// Appends a record.
    pub fn append(&mut self, time_ms: u64, record: R) -> Offset {
        let offset = self.all.len() as Offset;
        self.all.push(Entry { offset, time_ms, record });
        offset
    }

    /// Reads all records from an offset on.
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

    /// Expires records older than `before_ms`.
    pub fn expire(&mut self, before_ms: u64) {
        let kept = self.all.iter().find(|entry| entry.time_ms >= before_ms);
        self.earliest = kept.map_or(self.all.len() as Offset, |entry| entry.offset);
    }
}

/// The log.
#[derive(Debug)]
pub struct Log {
    /// The configuration stream.
    pub config: FakeStream<ConfigRecord>,
    /// The claims stream.
    pub claims: FakeStream<ClaimBatch>,
    /// Whether reads and appends fail.
    pub is_out: bool,
    /// Number of next appends whose acknowledgements are lost.
    pub lose_acks: u32,
}

impl Log {
    /// An empty log.
    pub fn new() -> Log {
        Log { config: FakeStream::new(), claims: FakeStream::new(), is_out: false, lose_acks: 0 }
    }

    /// Whether the acknowledgement of an append is lost. Counts it if so.
    pub fn loses_ack(&mut self) -> bool {
        let lost = self.lose_acks > 0;
        self.lose_acks = self.lose_acks.saturating_sub(1);
        lost
    }

    /// The document of each version, computed from the whole stream.
    pub fn versions(&self) -> Vec<Arc<Document>> {
        let mut versions = Vec::new();
        for entry in &self.config.all {
            if let ConfigRecord::Publish(publish) = &entry.record
                && publish.base == versions.len() as u64
            {
                versions.push(publish.document.clone());
            }
        }
        versions
    }
}
