//! Updates a copy of a table from other instances' copies.
//!
//! The requesting copy fetches one bounded portion at a time, from one source copy after
//! another, and keeps everything it has received: records are applied as they arrive, and
//! the received part of a large record is kept regardless of its source, since a record
//! never changes. Therefore a copy of any size can be transferred over a link of any
//! bandwidth, and at most one portion is on the way to an instance. If each answer
//! contained everything, under a timeout of its own, concurrent answers would compete for
//! a slow link until none of them completed in time.

use std::{collections::HashMap, sync::Arc};

use bytes::BytesMut;

use crate::relay::{
    position::{Position, Timeline},
    table::{PartialRecord, Portion, PortionRequest, Record, Slice, Table},
};

/// What a copy has received but cannot apply yet.
#[derive(Debug, Default)]
pub struct CatchUp {
    listing: Option<Listing>,
    partial: Option<PartialValue>,
}

/// The part of a listing received so far; it is applied once it is complete.
#[derive(Debug)]
struct Listing {
    timeline: Timeline,
    /// The base of its source copies. Copies with the same base agree on what was removed
    /// before it, so one can continue a listing that another one began.
    base: u64,
    next: u64,
    records: HashMap<Arc<str>, Record>,
}

/// The part of a large record received so far.
#[derive(Debug)]
struct PartialValue {
    timeline: Timeline,
    key: Arc<str>,
    offset: u64,
    value: BytesMut,
}

/// The effect of a portion.
#[derive(Debug, Default)]
pub struct PortionEffect {
    /// The records that changed something.
    pub changed: Vec<Record>,
    /// Whether the next portion should be requested at once.
    pub has_more: bool,
    /// Whether the copy now has everything that the source copy has.
    pub is_caught_up: bool,
}

/// The result of adding a slice to a large record.
enum SliceOutcome {
    Complete(Record),
    Partial,
    /// The slice does not begin where the part received before it ends.
    Gap,
}

impl CatchUp {
    /// The request for the next portion.
    pub fn next_request(&self, table: &Table) -> PortionRequest {
        let is_current = |listing: &&Listing| listing.timeline >= table.position().timeline;
        let listing = self.listing.as_ref().filter(is_current);
        let from = listing.map_or(table.end(), |listing| listing.next);
        let timeline = listing.map_or(table.position().timeline, |listing| listing.timeline);
        let is_wanted =
            |partial: &&PartialValue| partial.timeline == timeline && partial.offset >= from;
        let partial = self.partial.as_ref().filter(is_wanted).map(PartialValue::progress);
        PortionRequest { timeline, from, listing: listing.map(|listing| listing.base), partial }
    }

    /// Applies a portion of another copy, unless that would leave a gap.
    pub fn apply(&mut self, table: &mut Table, mut portion: Portion) -> PortionEffect {
        let known = table.position().timeline;
        let newest = self.listing.as_ref().map_or(known, |listing| listing.timeline);
        if portion.timeline < known.max(newest) {
            return PortionEffect::default();
        }
        let timeline = portion.timeline;
        match portion.slice.take().map(|slice| self.append_slice(timeline, slice)) {
            Some(SliceOutcome::Gap) => {
                return PortionEffect { has_more: true, ..PortionEffect::default() };
            }
            Some(SliceOutcome::Complete(record)) => portion.records.push(record),
            Some(SliceOutcome::Partial) | None => {}
        }
        if portion.is_listing {
            self.extend_listing(table, portion)
        } else {
            self.apply_changes(table, portion)
        }
    }

    fn append_slice(&mut self, timeline: Timeline, slice: Slice) -> SliceOutcome {
        let is_same =
            |partial: &PartialValue| partial.timeline == timeline && partial.offset == slice.offset;
        let mut partial = match self.partial.take().filter(is_same) {
            Some(partial) => partial,
            None => PartialValue {
                timeline,
                key: slice.key,
                offset: slice.offset,
                value: BytesMut::new(),
            },
        };
        if slice.at != partial.value.len() as u64 {
            return SliceOutcome::Gap;
        }
        partial.value.extend_from_slice(&slice.bytes);
        if (partial.value.len() as u64) < slice.size {
            self.partial = Some(partial);
            return SliceOutcome::Partial;
        }
        let PartialValue { key, offset, value, .. } = partial;
        SliceOutcome::Complete(Record { key, offset, value: Some(value.freeze()) })
    }

    fn apply_changes(&mut self, table: &mut Table, portion: Portion) -> PortionEffect {
        self.listing = None;
        let is_other = portion.timeline != table.position().timeline;
        if !table.is_loaded() || is_other || portion.from > table.end() {
            return PortionEffect::default();
        }
        let changed = table.apply_changes(portion.records, portion.end);
        PortionEffect { changed, has_more: portion.has_more, is_caught_up: !portion.has_more }
    }

    fn extend_listing(&mut self, table: &mut Table, portion: Portion) -> PortionEffect {
        let Portion { timeline, base, from, end, has_more, records, .. } = portion;
        let continues = |listing: &Listing| {
            (listing.timeline, listing.base, listing.next) == (timeline, base, from)
        };
        let mut listing = match self.listing.take().filter(continues) {
            Some(listing) => listing,
            None if from == 0 => Listing { timeline, base, next: 0, records: HashMap::new() },
            // The part before it is not stored any more, so the listing is fetched anew.
            None => return PortionEffect { has_more: true, ..PortionEffect::default() },
        };
        listing.records.extend(records.into_iter().map(|record| (record.key.clone(), record)));
        listing.next = end;
        if has_more {
            self.listing = Some(listing);
            return PortionEffect { has_more, ..PortionEffect::default() };
        }
        let end = Position { timeline, offset: end };
        if table.is_loaded() && end <= table.position() {
            // The copy was read in full meanwhile and has no removals from before that, so
            // applying the listing could restore removed keys.
            return PortionEffect {
                is_caught_up: end == table.position(),
                ..PortionEffect::default()
            };
        }
        let changed = table.apply_listing(listing.records.into_values().collect(), end);
        PortionEffect { changed, has_more, is_caught_up: true }
    }
}

impl PartialValue {
    fn progress(&self) -> PartialRecord {
        PartialRecord { offset: self.offset, len: self.value.len() as u64 }
    }
}
