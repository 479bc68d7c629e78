//! The log's streams: offsets without gaps, limited retention.
//!
//! Offsets of a stream start at 0. Only the oldest records are dropped, by age
//! or by count; kept records never change.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use peatdeck_macros::{data, message};
use peatdeck_wire::platform::{ReadReply, RecordBody};

/// How long records are kept.
#[data]
pub struct Retention {
    /// Maximum age of a record.
    pub age: Duration,
    /// Maximum number of records of a stream.
    pub count: usize,
}

/// All streams of one log.
#[derive(Debug)]
pub struct Streams {
    retention: Retention,
    streams: BTreeMap<Arc<str>, Records>,
}

/// Offsets of one stream.
#[message]
pub struct StreamState {
    /// Offset of the oldest kept record, or `next` if there is none.
    pub earliest: u64,
    /// The offset of the next append.
    pub next: u64,
}

#[derive(Debug, Default)]
struct Records {
    earliest: u64,
    records: VecDeque<RecordBody>,
}

impl Streams {
    /// Creates a log without streams.
    pub fn new(retention: Retention) -> Streams {
        Streams { retention, streams: BTreeMap::new() }
    }

    /// Appends one record and returns its offset. The record gets the time of the
    /// stream's newest record if `now_ms` is earlier.
    pub fn append(&mut self, stream: &str, data: Arc<str>, now_ms: u64) -> u64 {
        let records = self.streams.entry(Arc::from(stream)).or_default();
        let offset = records.push(data, now_ms);
        records.retain(&self.retention, now_ms);
        offset
    }

    /// Reads at most `max` records, starting at offset `from`.
    pub fn read(&mut self, stream: &str, from: u64, max: usize, now_ms: u64) -> ReadReply {
        let Some(records) = self.streams.get_mut(stream) else {
            return ReadReply { earliest: 0, next: 0, now_ms, records: Vec::new() };
        };
        records.retain(&self.retention, now_ms);
        records.read(from, max, now_ms)
    }

    /// Drops the records before offset `before`; an offset past the end of the
    /// stream drops all of them.
    pub fn expire(&mut self, stream: &str, before: u64) {
        let Some(records) = self.streams.get_mut(stream) else { return };
        while records.earliest < before && records.drop_oldest() {}
    }

    /// Oldest and next offset of each stream.
    pub fn states(&self) -> BTreeMap<Arc<str>, StreamState> {
        let states = self.streams.iter();
        states.map(|(name, records)| (name.clone(), records.state())).collect()
    }
}

impl Records {
    fn next(&self) -> u64 {
        self.earliest + self.records.len() as u64
    }

    fn state(&self) -> StreamState {
        StreamState { earliest: self.earliest, next: self.next() }
    }

    fn push(&mut self, data: Arc<str>, now_ms: u64) -> u64 {
        let offset = self.next();
        let newest = self.records.back().map_or(0, |record| record.time_ms);
        self.records.push_back(RecordBody { offset, time_ms: now_ms.max(newest), data });
        offset
    }

    fn read(&self, from: u64, max: usize, now_ms: u64) -> ReadReply {
        let skipped = usize::try_from(from.saturating_sub(self.earliest)).unwrap_or(usize::MAX);
        let records: Vec<RecordBody> =
            self.records.iter().skip(skipped).take(max).cloned().collect();
        let next = records.last().map_or(self.next(), |record| record.offset + 1);
        ReadReply { earliest: self.earliest, next, now_ms, records }
    }

    fn retain(&mut self, retention: &Retention, now_ms: u64) {
        let age_ms = u64::try_from(retention.age.as_millis()).unwrap_or(u64::MAX);
        let horizon = now_ms.saturating_sub(age_ms);
        let is_old = |record: &RecordBody| record.time_ms < horizon;
        while self.records.len() > retention.count || self.records.front().is_some_and(is_old) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) -> bool {
        let dropped = self.records.pop_front().is_some();
        self.earliest += u64::from(dropped);
        dropped
    }
}
