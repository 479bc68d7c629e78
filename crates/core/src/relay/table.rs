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

impl Record {
    /// How many bytes its key and value have.
    pub fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }
}

/// What one copy of a table tells another.
#[data]
pub struct Delta {
    /// The end of the asker's copy.
    pub from: u64,
    /// The end of the copy that tells; 0 if it has nothing to tell.
    pub end: u64,
    /// Whether these are the newest records of all keys, not only those behind
    /// `from`.
    pub is_whole: bool,
    /// The records.
    pub records: Vec<Record>,
}

impl Delta {
    /// How many bytes its keys and values have.
    pub fn bytes(&self) -> usize {
        self.records.iter().map(Record::bytes).sum()
    }
}

/// A copy of a table.
#[derive(Debug, Clone, Default)]
pub struct Table {
    records: HashMap<Arc<str>, Record>,
    /// From here on the copy knows every change; of what was removed before,
    /// it knows nothing.
    base: u64,
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
        if !self.is_known {
            self.base = end;
        }
        self.is_known = true;
        changed
    }

    /// What a copy lacks that ends at `from`. A copy that ends before this
    /// one's base gets all records: of those that were removed in between this
    /// one knows nothing, so the other has to find them missing.
    pub fn delta(&self, from: u64) -> Delta {
        if !self.is_known || self.end <= from {
            return Delta { from, end: 0, is_whole: false, records: Vec::new() };
        }
        let is_whole = from < self.base;
        let is_told = |record: &&Record| match is_whole {
            true => record.value.is_some(),
            false => record.offset >= from,
        };
        let mut records: Vec<_> = self.records.values().filter(is_told).cloned().collect();
        records.sort_unstable_by_key(|record| record.offset);
        Delta { from, end: self.end, is_whole, records }
    }

    /// Takes in what another copy told. Nothing is taken in that is older than
    /// this copy, or that leaves a gap. Returns what changed.
    pub fn merge(&mut self, delta: Delta) -> Vec<Record> {
        if delta.end <= self.end {
            return Vec::new();
        }
        if delta.is_whole {
            return self.replace(delta.records, delta.end);
        }
        if !self.is_known || delta.from > self.end {
            return Vec::new();
        }
        self.follow(delta.records, delta.end)
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
