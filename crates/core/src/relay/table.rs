//! A copy of a table that the platform keeps as a log of keyed records.
//!
//! The newest record of a key counts. Records come from the platform or from
//! a peer that read them there; either way they carry the offset that the
//! platform gave them, so an older one never replaces a newer one, and what
//! arrives twice changes nothing.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use peatdeck_macros::data;

/// One record of a table.
#[data]
pub struct Record {
    /// The key.
    pub key: Arc<str>,
    /// Its place in the log.
    pub offset: u64,
    /// The value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// A copy of a table.
#[derive(Debug, Clone, Default)]
pub struct Table {
    records: HashMap<Arc<str>, Record>,
    end: u64,
    is_known: bool,
}

impl Table {
    /// Whether the table was ever read whole.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// The offset behind the last record that was taken in.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Takes in records that follow each other up to `end`. Returns those that
    /// changed something.
    pub fn follow(&mut self, records: Vec<Record>, end: u64) -> Vec<Record> {
        let changed = records.into_iter().filter(|record| self.put(record)).collect();
        self.end = self.end.max(end);
        changed
    }

    /// Takes in the newest record of every key, read while the log ended at
    /// `end` or behind it. A key that is missing was removed, unless its record
    /// is as new as the reading. Returns what changed.
    pub fn replace(&mut self, records: Vec<Record>, end: u64) -> Vec<Record> {
        let missing = self.missing(&records, end);
        let mut changed = self.follow(records, end);
        changed.extend(missing.into_iter().filter(|record| self.put(record)));
        self.is_known = true;
        changed
    }

    /// The records behind `offset`, for a peer that has the table up to there.
    pub fn since(&self, offset: u64) -> Vec<Record> {
        let newer = self.records.values().filter(|record| record.offset >= offset);
        let mut newer: Vec<_> = newer.cloned().collect();
        newer.sort_unstable_by_key(|record| record.offset);
        newer
    }

    /// Takes in what a peer told that knew the table up to `end`, asked for
    /// what is behind `from`. Nothing is taken in if that leaves a gap.
    pub fn merge(&mut self, from: u64, records: Vec<Record>, end: u64) -> Vec<Record> {
        if from > self.end || end <= self.end {
            return Vec::new();
        }
        self.is_known = true;
        self.follow(records, end)
    }

    fn missing(&self, records: &[Record], end: u64) -> Vec<Record> {
        let held = self.records.values().filter(|held| held.value.is_some() && held.offset < end);
        let is_told = |key: &Arc<str>| records.iter().any(|record| record.key == *key);
        let missing = held.filter(|held| !is_told(&held.key));
        missing.map(|held| Record { key: held.key.clone(), offset: end - 1, value: None }).collect()
    }

    fn put(&mut self, record: &Record) -> bool {
        if self.records.get(&record.key).is_some_and(|held| held.offset >= record.offset) {
            return false;
        }
        self.records.insert(record.key.clone(), record.clone());
        true
    }
}
