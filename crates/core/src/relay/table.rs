//! A copy of a table that the platform keeps as a log of keyed records.
//!
//! The newest record of a key counts. Records come from the platform or from
//! a peer that read them there; either way they carry the offset that the
//! platform gave them, so an older one never replaces a newer one, and what
//! arrives twice changes nothing. What one copy tells another is bounded: the
//! other asks for one [`Portion`] after the other ([`super::catch_up`]).
//!
//! The platform may come back from an older copy of its own. A later [`Timeline`] of
//! the log begins then, and a copy of ours holds records of one timeline only: it is
//! read whole. What it held before and the new timeline lacks may just not be written
//! again yet, so it stays in force until it is, or [`Table::drop_carried_over`] is called.

use std::{
    cmp::Ordering,
    collections::{HashMap, HashSet, VecDeque},
    mem,
    sync::Arc,
};

use bytes::Bytes;
use peatdeck_macros::data;

use crate::relay::position::{Position, Timeline};

/// A record of so many bytes may need several portions, so it is kept for a
/// while after it was replaced.
const LARGE: usize = 16 << 10;
/// Large records that are kept after they were replaced: as many changes may
/// come while one of them is told. At a megabyte each they need little memory.
const KEPT: usize = 4;

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

/// What a copy asks of another one.
#[data]
pub struct PortionRequest {
    /// The timeline of the asker's copy, or of the listing.
    pub timeline: Timeline,
    /// The end of the asker's copy; within a listing, how far that has got.
    pub from: u64,
    /// The base of the listing that goes on; `None` outside of one.
    pub listing: Option<u64>,
    /// The record of which a part has come already.
    pub partial: Option<PartialRecord>,
}

/// How much of a record has come.
#[data]
#[derive(Copy)]
pub struct PartialRecord {
    /// The record's place in the log.
    pub offset: u64,
    /// Bytes of its value that have come.
    pub len: u64,
}

/// What one copy tells another at once.
#[data]
#[derive(Default)]
pub struct Portion {
    /// The timeline of the teller's copy.
    pub timeline: Timeline,
    /// From this offset on the teller knows every change.
    pub base: u64,
    /// The offset from which it tells.
    pub from: u64,
    /// Nothing that lies before this offset is missing then.
    pub end: u64,
    /// Whether it goes through the newest records of all keys: of what was
    /// removed before its base the teller knows nothing.
    pub is_listing: bool,
    /// Whether there is more to ask for.
    pub has_more: bool,
    /// Whole records.
    pub records: Vec<Record>,
    /// A slice of the record behind them.
    pub slice: Option<Slice>,
}

/// A slice of a record that is too large for one portion.
#[data]
pub struct Slice {
    /// The record's key.
    pub key: Arc<str>,
    /// Its place in the log.
    pub offset: u64,
    /// Bytes of its value before this slice.
    pub at: u64,
    /// Bytes of its whole value.
    pub size: u64,
    /// The bytes.
    pub bytes: Bytes,
}

impl Portion {
    /// How many bytes its keys and values have.
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
    /// The offsets of records that were replaced by a removal, by key.
    removed: HashMap<Arc<str>, u64>,
    /// What was in force in an earlier timeline and is not written again yet. Those
    /// without a value are removals that this timeline has undone.
    awaited: HashMap<Arc<str>, Record>,
    /// From here on the copy knows every change; of what was removed before,
    /// it knows nothing.
    base: u64,
    end: u64,
    is_known: bool,
    /// Large records that were replaced lately, oldest first.
    replaced: VecDeque<Record>,
}

impl Table {
    /// Whether the table was ever read whole.
    pub fn is_loaded(&self) -> bool {
        self.is_known
    }

    /// The offset behind the last record that was taken in.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// The same with the timeline that the offset belongs to.
    pub fn position(&self) -> Position {
        Position { timeline: self.timeline, offset: self.end }
    }

    /// Whether the log has this value of a key.
    pub fn has_value(&self, key: &str, value: Option<&Bytes>) -> bool {
        self.records.get(key).and_then(|record| record.value.as_ref()) == value
    }

    /// What was in force in an earlier timeline and is not written again yet.
    pub fn carried_over(&self) -> impl Iterator<Item = &Record> {
        self.awaited.values()
    }

    /// What nobody has written again is not in force any more. Returns what changes.
    pub fn drop_carried_over(&mut self) -> Vec<Record> {
        let (records, offset) = (&self.records, self.base);
        let awaited = mem::take(&mut self.awaited).into_keys();
        let lost = |key: Arc<str>| Record { key, offset, value: None };
        awaited.map(|key| records.get(&key).cloned().unwrap_or_else(|| lost(key))).collect()
    }

    /// Takes in the newest record of every key, read while the log ended there or
    /// behind it. One of an earlier timeline changes nothing. Returns what changed.
    pub fn apply_listing(&mut self, records: Vec<Record>, end: Position) -> Vec<Record> {
        match end.timeline.cmp(&self.timeline) {
            Ordering::Less => Vec::new(),
            Ordering::Equal => self.replace(records, end.offset),
            Ordering::Greater => self.renew(records, end),
        }
    }

    /// Takes in records that follow each other up to `end`. Returns those that
    /// changed something.
    pub fn apply_changes(&mut self, records: Vec<Record>, end: u64) -> Vec<Record> {
        let changed = records.into_iter().filter(|record| self.put(record)).collect();
        self.end = self.end.max(end);
        changed
    }

    /// Takes in the newest record of every key, read while the log ended at
    /// `end` or behind it. A key that is missing was removed, unless its record
    /// is as new as the reading. Returns what changed.
    pub fn replace(&mut self, records: Vec<Record>, end: u64) -> Vec<Record> {
        let missing = self.missing(&records, end);
        let mut changed = self.apply_changes(records, end);
        changed.extend(missing.into_iter().filter(|record| self.put(record)));
        // Before this end it may have missed removals, or found them without
        // their place in the log; so may what it learned up to its base.
        if self.base > end {
            self.end = end;
        }
        self.base = end;
        self.is_known = true;
        changed
    }

    /// What another copy lacks, at most `limit` bytes of keys and values.
    ///
    /// A copy that ends before this one's base gets a listing: of what was
    /// removed in between this one knows nothing, so the other has to find it
    /// missing. A record of which a part was told is told to its end, also if
    /// it was replaced meanwhile: were each change of it to begin it anew, an
    /// asker behind a narrow link would never have a whole one.
    pub fn read_portion(&self, ask: &PortionRequest, limit: usize) -> Portion {
        if !self.is_known {
            return Portion::default();
        }
        if ask.timeline > self.timeline {
            // Nothing of it follows on what the asker has.
            return Portion { timeline: self.timeline, from: u64::MAX, ..Portion::default() };
        }
        let is_of_timeline = ask.timeline == self.timeline;
        let goes_on = is_of_timeline && ask.listing == Some(self.base);
        let follows = is_of_timeline && ask.from > 0 && ask.from >= self.base;
        let is_listing = goes_on || !follows;
        let from = if is_listing && !goes_on { 0 } else { ask.from };
        let (timeline, base) = (self.timeline, self.base);
        let portion = Portion { timeline, base, from, is_listing, ..Portion::default() };
        let is_lacking = |record: &&Record| record.offset >= from && self.is_told(record);
        let mut lacking: Vec<_> = self.records.values().filter(is_lacking).collect();
        lacking.sort_unstable_by_key(|record| record.offset);
        let next = lacking.first().map_or(u64::MAX, |record| record.offset);
        let begun =
            ask.partial.filter(|begun| is_of_timeline && (from..=next).contains(&begun.offset));
        match begun.and_then(|begun| self.begun(begun)) {
            Some((record, at)) => self.tell_slice(portion, record, at, limit),
            None => self.tell_records(portion, &lacking, limit),
        }
    }

    /// Removals before the base are not told: a listing lacks their keys.
    fn is_told(&self, record: &Record) -> bool {
        record.value.is_some() || record.offset >= self.base
    }

    /// The record of which another copy has a part, and where to go on. One
    /// that was replaced will do if what replaced it is told as well.
    fn begun(&self, begun: PartialRecord) -> Option<(&Record, usize)> {
        let at = usize::try_from(begun.len).ok()?;
        let len = |record: &Record| record.value.as_ref().map_or(0, Bytes::len);
        let mut held = self.records.values().chain(&self.replaced);
        let record = held.find(|record| record.offset == begun.offset && at < len(record))?;
        let newest = self.records.get(&record.key)?;
        self.is_told(newest).then_some((record, at))
    }

    fn tell_slice(&self, portion: Portion, record: &Record, at: usize, limit: usize) -> Portion {
        let value = record.value.clone().unwrap_or_default();
        let until = value.len().min(at + limit);
        let is_whole = until == value.len();
        let end = if is_whole { record.offset + 1 } else { record.offset };
        let slice = Slice {
            key: record.key.clone(),
            offset: record.offset,
            at: at as u64,
            size: value.len() as u64,
            bytes: value.slice(at..until),
        };
        Portion { end, has_more: !is_whole || end < self.end, slice: Some(slice), ..portion }
    }

    fn tell_records(&self, portion: Portion, lacking: &[&Record], limit: usize) -> Portion {
        let mut bytes = 0;
        let fitting = lacking.iter().take_while(|record| {
            bytes += record.bytes();
            bytes <= limit
        });
        let records: Vec<Record> = fitting.map(|record| (*record).clone()).collect();
        match lacking.get(records.len()) {
            None => Portion { end: self.end.max(portion.from), records, ..portion },
            Some(next) if records.is_empty() => self.tell_slice(portion, next, 0, limit),
            Some(next) => Portion { end: next.offset, has_more: true, records, ..portion },
        }
    }

    /// A later timeline has begun. Where something is awaited, the log is to be
    /// followed from where the two may have parted: it may have been removed since.
    fn renew(&mut self, records: Vec<Record>, end: Position) -> Vec<Record> {
        let mut held = mem::take(&mut self.records);
        held.extend(mem::take(&mut self.awaited));
        let removed = mem::take(&mut self.removed);
        self.replaced.clear();
        let (mut changed, mut parted) = (Vec::new(), 0);
        for record in records {
            match held.remove(&record.key) {
                Some(known) if known.offset == record.offset && known.value == record.value => {
                    parted = parted.max(record.offset + 1);
                }
                Some(known)
                    if known.value.is_none() && removed.get(&known.key) == Some(&record.offset) =>
                {
                    self.removed.insert(known.key.clone(), record.offset);
                    self.awaited.insert(known.key.clone(), known);
                }
                _ => changed.push(record.clone()),
            }
            self.records.insert(record.key.clone(), record);
        }
        let missing = held.into_iter().filter(|(_, record)| record.value.is_some());
        self.awaited.extend(missing);
        self.timeline = end.timeline;
        self.end = if self.awaited.is_empty() { end.offset } else { parted.min(end.offset) };
        self.base = self.end;
        self.is_known = true;
        changed
    }

    fn missing(&self, records: &[Record], end: u64) -> Vec<Record> {
        let held = self.records.values().filter(|held| held.value.is_some() && held.offset < end);
        let told: HashSet<_> = records.iter().map(|record| &record.key).collect();
        let missing = held.filter(|held| !told.contains(&held.key));
        missing.map(|held| Record { key: held.key.clone(), offset: end - 1, value: None }).collect()
    }

    fn put(&mut self, record: &Record) -> bool {
        if self.records.get(&record.key).is_some_and(|held| held.offset >= record.offset) {
            return false;
        }
        self.awaited.remove(&record.key);
        let before = self.records.insert(record.key.clone(), record.clone());
        self.note_removed(record, before.as_ref());
        let is_large = |record: &Record| record.bytes() >= LARGE;
        self.replaced.extend(before.filter(is_large));
        if self.replaced.len() > KEPT {
            self.replaced.pop_front();
        }
        true
    }

    fn note_removed(&mut self, record: &Record, before: Option<&Record>) {
        match before {
            _ if record.value.is_some() => drop(self.removed.remove(&record.key)),
            Some(before) if before.value.is_some() => {
                self.removed.insert(record.key.clone(), before.offset);
            }
            _ => {}
        }
    }
}
