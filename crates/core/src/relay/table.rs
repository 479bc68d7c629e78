//! A copy of a table that the platform stores as a log of keyed records.
//!
//! The newest record of a key is the valid one. Records are received from the platform or
//! from a peer that read them there. In both cases they have the offset that the platform
//! assigned, so an older record never replaces a newer one, and a duplicate has no effect.
//! Copies send each other bounded amounts: a requesting copy fetches one [`Portion`] after
//! the other ([`super::catch_up`]).
//!
//! The platform's store may be restored from an older copy, which begins a new
//! [`Timeline`] of the log. A copy here holds records of one timeline only, so it is read
//! in full then. A record of the earlier timeline that is missing in the new one may not
//! have been written again yet, so it is carried over: it stays in force until its key is
//! written again, or [`Table::drop_carried_over`] is called.

use std::{
    cmp::Ordering,
    collections::{HashMap, HashSet, VecDeque},
    mem,
    sync::Arc,
};

use bytes::Bytes;
use peatdeck_macros::data;

use crate::relay::position::{Position, Timeline};

/// A record of this size may need several portions, so it is kept for a while after it
/// was replaced.
const LARGE_RECORD: usize = 16 << 10;
/// How many large records are kept after they were replaced: the number of changes that
/// may occur while one of them is transferred. At a megabyte each they need little memory.
const MAX_REPLACED: usize = 4;

/// One record of a table.
#[data]
pub struct Record {
    /// The key.
    pub key: Arc<str>,
    /// Its offset in the log.
    pub offset: u64,
    /// The value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

impl Record {
    /// The size of its key and value in bytes.
    pub fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }
}

/// A copy's request to another copy for the next portion.
#[data]
pub struct PortionRequest {
    /// The timeline of the requesting copy, or of the listing that it is fetching.
    pub timeline: Timeline,
    /// The end of the requesting copy; while it fetches a listing, the end of what it has
    /// received of it.
    pub from: u64,
    /// The base of the listing that the copy is fetching; `None` if it fetches none.
    pub listing: Option<u64>,
    /// The record that the copy has received in part.
    pub partial: Option<PartialRecord>,
}

/// How much of a record a copy has received.
#[data]
#[derive(Copy)]
pub struct PartialRecord {
    /// The record's offset in the log.
    pub offset: u64,
    /// Bytes of its value received so far.
    pub len: u64,
}

/// The answer of a source copy to one [`PortionRequest`].
#[data]
#[derive(Default)]
pub struct Portion {
    /// The timeline of the source copy.
    pub timeline: Timeline,
    /// The offset from which on the source copy has every change.
    pub base: u64,
    /// The offset at which the portion begins.
    pub from: u64,
    /// The offset at which the portion ends: the requesting copy lacks nothing before it.
    pub end: u64,
    /// Whether it is part of a listing of the newest records of all keys, because the source
    /// copy has no removals before its base.
    pub is_listing: bool,
    /// Whether a further portion follows.
    pub has_more: bool,
    /// Complete records.
    pub records: Vec<Record>,
    /// A slice of the next record, if that is too large for one portion.
    pub slice: Option<Slice>,
}

/// A slice of a record that is too large for one portion.
#[data]
pub struct Slice {
    /// The record's key.
    pub key: Arc<str>,
    /// The record's offset in the log.
    pub offset: u64,
    /// The position of the slice in the record's value, in bytes.
    pub at: u64,
    /// The size of the whole value in bytes.
    pub size: u64,
    /// The bytes of the slice.
    pub bytes: Bytes,
}

impl Portion {
    /// The size of its keys and values in bytes.
    pub fn bytes(&self) -> usize {
        let slice = self.slice.as_ref().map_or(0, |slice| slice.bytes.len());
        slice + self.records.iter().map(Record::bytes).sum::<usize>()
    }
}

/// A copy of a table.
#[derive(Debug, Clone, Default)]
pub struct Table {
    timeline: Timeline,
    records: HashMap<Arc<str>, Record>,
    /// The offset of the last value before a removal, by key.
    removed: HashMap<Arc<str>, u64>,
    /// The last removal of each key that was written again since. Other copies need it, since a
    /// write may be older than the removal that it follows in the log.
    revoked: HashMap<Arc<str>, Record>,
    /// Records of an earlier timeline that stay in force until they are written again.
    /// Those without a value are removals that the new timeline lacks.
    carried_over: HashMap<Arc<str>, Record>,
    /// The offset from which on the copy has every change. It has no removals from before.
    base: u64,
    end: u64,
    is_loaded: bool,
    /// Large records that were replaced recently, oldest first.
    replaced: VecDeque<Record>,
}

impl Table {
    /// Whether the table was ever read in full.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// The offset up to which the copy has the log.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// The same, with the timeline that the offset belongs to.
    pub fn position(&self) -> Position {
        Position { timeline: self.timeline, offset: self.end }
    }

    /// Whether the log contains this value of a key; `None` stands for no value.
    pub fn has_value(&self, key: &str, value: Option<&Bytes>) -> bool {
        self.records.get(key).and_then(|record| record.value.as_ref()) == value
    }

    /// Records of an earlier timeline that have not been written again yet.
    pub fn carried_over(&self) -> impl Iterator<Item = &Record> {
        self.carried_over.values()
    }

    /// Drops the carried-over records that have not been written again. Returns the records
    /// that are now in force for their keys.
    pub fn drop_carried_over(&mut self) -> Vec<Record> {
        let (records, offset) = (&self.records, self.base);
        let carried_over = mem::take(&mut self.carried_over).into_keys();
        let lost = |key: Arc<str>| Record { key, offset, value: None };
        carried_over.map(|key| records.get(&key).cloned().unwrap_or_else(|| lost(key))).collect()
    }

    /// Applies a listing: the newest record of every key, read while the log ended at `end`
    /// or later. A listing of an earlier timeline is ignored. Returns the changed records.
    pub fn apply_listing(&mut self, records: Vec<Record>, end: Position) -> Vec<Record> {
        match end.timeline.cmp(&self.timeline) {
            Ordering::Less => Vec::new(),
            Ordering::Equal => self.replace(records, end.offset),
            Ordering::Greater => self.start_timeline(records, end),
        }
    }

    /// Applies consecutive records up to `end`. Returns those that changed something.
    pub fn apply_changes(&mut self, records: Vec<Record>, end: u64) -> Vec<Record> {
        let changed = records.into_iter().filter(|record| self.put(record)).collect();
        self.end = self.end.max(end);
        changed
    }

    /// Applies a listing of the same timeline, read while the log ended at `end` or later.
    /// A key that is missing in it was removed, unless its record here is not older than
    /// `end`. Returns the changed records.
    pub fn replace(&mut self, records: Vec<Record>, end: u64) -> Vec<Record> {
        let missing = self.missing(&records, end);
        let mut changed = self.apply_changes(records, end);
        changed.extend(missing.into_iter().filter(|record| self.put(record)));
        // Before `end`, the copy may lack removals, or have them without their offsets in
        // the log. The same applies to its previous base, if that is later.
        if self.base > end {
            self.end = end;
        }
        self.base = end;
        self.is_loaded = true;
        changed
    }

    /// The portion that another copy lacks, at most `limit` bytes of keys and values.
    ///
    /// A copy that ends before this one's base receives a listing, because this copy has no
    /// removals from before its base; the other one detects them by the missing keys. A
    /// record that was sent in part is sent to its end even if it was replaced meanwhile:
    /// if each change restarted the transfer, a copy behind a slow link would never receive
    /// a whole record.
    pub fn read_portion(&self, request: &PortionRequest, limit: usize) -> Portion {
        if !self.is_loaded {
            return Portion::default();
        }
        if request.timeline > self.timeline {
            // Records of an earlier timeline are of no use to the requesting copy.
            return Portion { timeline: self.timeline, from: u64::MAX, ..Portion::default() };
        }
        let is_same_timeline = request.timeline == self.timeline;
        let continues_listing = is_same_timeline && request.listing == Some(self.base);
        let follows = is_same_timeline && request.from > 0 && request.from >= self.base;
        let is_listing = continues_listing || !follows;
        let from = if is_listing && !continues_listing { 0 } else { request.from };
        let (timeline, base) = (self.timeline, self.base);
        let portion = Portion { timeline, base, from, is_listing, ..Portion::default() };
        let is_lacking = |record: &&Record| record.offset >= from && self.is_included(record);
        let revoked = self.revoked.values().filter(|_| !is_listing);
        let mut lacking: Vec<_> = self.records.values().chain(revoked).filter(is_lacking).collect();
        lacking.sort_unstable_by_key(|record| record.offset);
        let next = lacking.first().map_or(u64::MAX, |record| record.offset);
        let partial = request
            .partial
            .filter(|partial| is_same_timeline && (from..=next).contains(&partial.offset));
        match partial.and_then(|partial| self.partial_record(partial)) {
            Some((record, at)) => self.slice_portion(portion, record, at, limit),
            None => self.record_portion(portion, &lacking, limit),
        }
    }

    /// Whether a portion may contain a record. Removals before the base are left out, because
    /// a listing lacks their keys.
    fn is_included(&self, record: &Record) -> bool {
        record.value.is_some() || record.offset >= self.base
    }

    /// The record that another copy has received in part, and the position from which to
    /// continue. A replaced record is eligible only if the record that replaced it will be
    /// sent too.
    fn partial_record(&self, partial: PartialRecord) -> Option<(&Record, usize)> {
        let at = usize::try_from(partial.len).ok()?;
        let len = |record: &Record| record.value.as_ref().map_or(0, Bytes::len);
        let mut known = self.records.values().chain(&self.replaced);
        let record = known.find(|record| record.offset == partial.offset && at < len(record))?;
        let newest = self.records.get(&record.key)?;
        self.is_included(newest).then_some((record, at))
    }

    fn slice_portion(&self, portion: Portion, record: &Record, at: usize, limit: usize) -> Portion {
        let value = record.value.clone().unwrap_or_default();
        let until = value.len().min(at + limit);
        let is_whole = until == value.len();
        let end = record.offset.saturating_add(u64::from(is_whole));
        let slice = Slice {
            key: record.key.clone(),
            offset: record.offset,
            at: at as u64,
            size: value.len() as u64,
            bytes: value.slice(at..until),
        };
        Portion { end, has_more: !is_whole || end < self.end, slice: Some(slice), ..portion }
    }

    fn record_portion(&self, portion: Portion, lacking: &[&Record], limit: usize) -> Portion {
        let mut bytes = 0;
        let fitting = lacking.iter().take_while(|record| {
            bytes += record.bytes();
            bytes <= limit
        });
        let records: Vec<Record> = fitting.map(|record| (*record).clone()).collect();
        match lacking.get(records.len()) {
            None => Portion { end: self.end.max(portion.from), records, ..portion },
            Some(next) if records.is_empty() => self.slice_portion(portion, next, 0, limit),
            Some(next) => Portion { end: next.offset, has_more: true, records, ..portion },
        }
    }

    /// Replaces the copy with a listing of a later timeline. If records are carried over,
    /// the log is to be read again from the offset at which the two timelines may have
    /// diverged, because these records may have been removed after it.
    fn start_timeline(&mut self, records: Vec<Record>, end: Position) -> Vec<Record> {
        let mut earlier = mem::take(&mut self.records);
        earlier.extend(mem::take(&mut self.carried_over));
        let removed = mem::take(&mut self.removed);
        self.replaced.clear();
        self.revoked.clear();
        let (mut changed, mut diverged) = (Vec::new(), 0);
        for record in records {
            match earlier.remove(&record.key) {
                Some(known) if known.offset == record.offset && known.value == record.value => {
                    diverged = diverged.max(record.offset.saturating_add(1));
                }
                Some(known)
                    if known.value.is_none() && removed.get(&known.key) == Some(&record.offset) =>
                {
                    self.removed.insert(known.key.clone(), record.offset);
                    self.carried_over.insert(known.key.clone(), known);
                }
                _ => changed.push(record.clone()),
            }
            self.records.insert(record.key.clone(), record);
        }
        let missing = earlier.into_iter().filter(|(_, record)| record.value.is_some());
        self.carried_over.extend(missing);
        self.timeline = end.timeline;
        self.end = if self.carried_over.is_empty() { end.offset } else { diverged.min(end.offset) };
        self.base = self.end;
        self.is_loaded = true;
        changed
    }

    fn missing(&self, records: &[Record], end: u64) -> Vec<Record> {
        let known =
            self.records.values().filter(|known| known.value.is_some() && known.offset < end);
        let listed: HashSet<_> = records.iter().map(|record| &record.key).collect();
        let missing = known.filter(|known| !listed.contains(&known.key));
        missing
            .map(|known| Record { key: known.key.clone(), offset: end - 1, value: None })
            .collect()
    }

    fn put(&mut self, record: &Record) -> bool {
        if self.records.get(&record.key).is_some_and(|known| known.offset >= record.offset) {
            return false;
        }
        self.carried_over.remove(&record.key);
        let before = self.records.insert(record.key.clone(), record.clone());
        self.update_removed(record, before.as_ref());
        self.update_revoked(record, before.as_ref());
        let is_large = |record: &Record| record.bytes() >= LARGE_RECORD;
        self.replaced.extend(before.filter(is_large));
        if self.replaced.len() > MAX_REPLACED {
            self.replaced.pop_front();
        }
        true
    }

    fn update_revoked(&mut self, record: &Record, before: Option<&Record>) {
        match before.filter(|before| before.value.is_none()) {
            _ if record.value.is_none() => drop(self.revoked.remove(&record.key)),
            Some(removal) => drop(self.revoked.insert(record.key.clone(), removal.clone())),
            None => {}
        }
    }

    fn update_removed(&mut self, record: &Record, before: Option<&Record>) {
        match before {
            _ if record.value.is_some() => drop(self.removed.remove(&record.key)),
            Some(before) if before.value.is_some() => {
                self.removed.insert(record.key.clone(), before.offset);
            }
            _ => {}
        }
    }
}
