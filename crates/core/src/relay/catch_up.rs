//! How a copy of a table learns from other copies what it lacks.
//!
//! The asker asks for one bounded portion at a time, from one copy after the
//! other, and loses nothing that has come: records are taken in as they come,
//! and what has come of a large record is kept, whoever sent it, since a record
//! never changes. So a copy of any size gets through a link of any width, and
//! an instance never has more on the way to it than one portion. Answers that
//! hold everything at once, each under a time limit of its own, would compete
//! for a narrow link until none of them is whole in time.

use std::{collections::HashMap, sync::Arc};

use bytes::BytesMut;

use crate::relay::{
    position::{Position, Timeline},
    table::{PartialRecord, Portion, PortionRequest, Record, Slice, Table},
};

/// What a copy has learned but cannot use yet.
#[derive(Debug, Default)]
pub struct CatchUp {
    listing: Option<Listing>,
    growing: Option<Growing>,
}

/// The newest records of all keys, as far as they have come.
#[derive(Debug)]
struct Listing {
    timeline: Timeline,
    /// The base of the copies that tell it. Copies with the same base agree on
    /// what was removed before, so one can go on where another one ended.
    base: u64,
    next: u64,
    records: HashMap<Arc<str>, Record>,
}

/// A record of which a part has come.
#[derive(Debug)]
struct Growing {
    timeline: Timeline,
    key: Arc<str>,
    offset: u64,
    value: BytesMut,
}

/// What a portion brought.
#[derive(Debug, Default)]
pub struct PortionEffect {
    /// The records that changed something.
    pub changed: Vec<Record>,
    /// Whether there is more to ask for at once.
    pub has_more: bool,
    /// Whether the copy has now all that the teller has.
    pub is_caught_up: bool,
}

/// What became of a large record.
enum Grown {
    Whole(Record),
    Part,
    /// It begins elsewhere than where the part before it ended.
    Astray,
}

impl CatchUp {
    /// What to ask for next.
    pub fn next_request(&self, table: &Table) -> PortionRequest {
        let is_timely = |listing: &&Listing| listing.timeline >= table.position().timeline;
        let listing = self.listing.as_ref().filter(is_timely);
        let from = listing.map_or(table.end(), |listing| listing.next);
        let timeline = listing.map_or(table.position().timeline, |listing| listing.timeline);
        let is_wanted = |growing: &&Growing| growing.timeline == timeline && growing.offset >= from;
        let begun = self.growing.as_ref().filter(is_wanted).map(Growing::begun);
        PortionRequest {
            timeline,
            from,
            listing: listing.map(|listing| listing.base),
            partial: begun,
        }
    }

    /// Takes in what another copy told. Nothing is taken in that leaves a gap.
    pub fn apply(&mut self, table: &mut Table, mut portion: Portion) -> PortionEffect {
        let known = table.position().timeline;
        let begun = self.listing.as_ref().map_or(known, |listing| listing.timeline);
        if portion.timeline < known.max(begun) {
            return PortionEffect::default();
        }
        let timeline = portion.timeline;
        match portion.slice.take().map(|slice| self.grow(timeline, slice)) {
            Some(Grown::Astray) => {
                return PortionEffect { has_more: true, ..PortionEffect::default() };
            }
            Some(Grown::Whole(record)) => portion.records.push(record),
            Some(Grown::Part) | None => {}
        }
        if portion.is_listing { self.list(table, portion) } else { self.follow(table, portion) }
    }

    fn grow(&mut self, timeline: Timeline, slice: Slice) -> Grown {
        let is_same =
            |growing: &Growing| growing.timeline == timeline && growing.offset == slice.offset;
        let mut growing = match self.growing.take().filter(is_same) {
            Some(growing) => growing,
            None => {
                Growing { timeline, key: slice.key, offset: slice.offset, value: BytesMut::new() }
            }
        };
        if slice.at != growing.value.len() as u64 {
            return Grown::Astray;
        }
        growing.value.extend_from_slice(&slice.bytes);
        if (growing.value.len() as u64) < slice.size {
            self.growing = Some(growing);
            return Grown::Part;
        }
        let Growing { key, offset, value, .. } = growing;
        Grown::Whole(Record { key, offset, value: Some(value.freeze()) })
    }

    fn follow(&mut self, table: &mut Table, portion: Portion) -> PortionEffect {
        self.listing = None;
        let is_other = portion.timeline != table.position().timeline;
        if !table.is_loaded() || is_other || portion.from > table.end() {
            return PortionEffect::default();
        }
        let changed = table.apply_changes(portion.records, portion.end);
        PortionEffect { changed, has_more: portion.has_more, is_caught_up: !portion.has_more }
    }

    fn list(&mut self, table: &mut Table, portion: Portion) -> PortionEffect {
        let Portion { timeline, base, from, end, has_more, records, .. } = portion;
        let goes_on = |listing: &Listing| {
            (listing.timeline, listing.base, listing.next) == (timeline, base, from)
        };
        let mut listing = match self.listing.take().filter(goes_on) {
            Some(listing) => listing,
            None if from == 0 => Listing { timeline, base, next: 0, records: HashMap::new() },
            // What came before it is not here any more: the listing begins anew.
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
            // Overtaken: keys may be in it whose removal the copy has never
            // seen, since it was read whole after that.
            return PortionEffect {
                is_caught_up: end == table.position(),
                ..PortionEffect::default()
            };
        }
        let changed = table.apply_listing(listing.records.into_values().collect(), end);
        PortionEffect { changed, has_more, is_caught_up: true }
    }
}

impl Growing {
    fn begun(&self) -> PartialRecord {
        PartialRecord { offset: self.offset, len: self.value.len() as u64 }
    }
}
