//! Which configuration is in force: a fold over the configuration stream.
//!
//! Every instance reads the same records in the same order and folds them with
//! the same pure function, so they agree without talking to each other. A
//! publish is accepted if its base is the version in force at its place in the
//! stream; every other publish from the same base is a conflict.
//!
//! The reader has to get its starting state from somewhere, since records
//! expire:
//!
//! - at offset 0, the state is the empty document, version 0;
//! - later, a [`Snapshot`] stands in for everything up to its `as_of`, and is
//!   usable if every record behind `as_of` was read. A publish found in the
//!   middle of the stream is never taken for the version in force: without the
//!   records before it, nobody can know whether it was accepted.
//!
//! A reader that was held up for longer than the retention has a gap. It keeps
//! the last state it knew, says so by [`ConfigReader::is_gapped`], and joins the stream
//! again at the next usable snapshot, from the stream or from a peer.
//!
//! Traps:
//!
//! - A snapshot from a peer may be ahead of what was read here. The version in
//!   force then moves on at once, but the fold goes on reading from its own
//!   position, so that verdicts on publishes stay exact.
//! - Batches may come twice or late. [`Batch::from`] tells which range a batch
//!   covers, and only what continues the fold's own position is used.
//!
//! Submodules: `chain` is the pure step from one record to the next state,
//! `cover` decides when a snapshot is due, `verdicts` remembers what became of
//! recent publishes.

mod chain;
mod cover;
mod verdicts;

use std::{cmp::Reverse, sync::Arc, time::Duration};

use peatdeck_macros::data;

use crate::{
    document::Document,
    membership::ConfigMark,
    model::DataCentre,
    record::{Batch, ConfigRecord, Drain, Entry, Offset, Snapshot, Version},
};

pub use chain::{MAX_DRAINS, MAX_EVACUATED};

/// Something that changed for the instance.
#[data]
pub enum Change {
    /// A newer version is in force.
    InForce(Arc<Document>, Version),
    /// An endpoint gets no new work in this life.
    Drained(Drain),
    /// Just these data centres are evacuated.
    Evacuated(Vec<DataCentre>),
}

/// What became of a publish.
#[data]
#[derive(Copy, Eq)]
pub enum Verdict {
    /// It made this version.
    Accepted {
        /// The version that it made.
        version: Version,
    },
    /// Its base was not the version in force.
    Conflict {
        /// The version that was in force at its place in the stream.
        current: Version,
    },
}

/// The fold over the configuration stream, for one reader.
pub struct ConfigReader {
    reader: Reader,
    position: Offset,
    known: Option<Arc<Snapshot>>,
    reached_end: bool,
    log_now: u64,
    cover: cover::Cover,
    verdicts: verdicts::Verdicts,
}

/// Whether what was read continues a known state.
enum Reader {
    /// The state covers every record before `position`, and maybe later ones.
    /// The reader began with a state of version `since`.
    Joined { state: Arc<Snapshot>, since: Version },
    /// Records before `start` are lost; what was read from there on waits for
    /// a state to start from.
    Broken { start: Offset, tail: Vec<Entry<ConfigRecord>> },
}

impl Default for ConfigReader {
    fn default() -> ConfigReader {
        ConfigReader::new()
    }
}

impl ConfigReader {
    /// A reader that has read nothing.
    pub fn new() -> ConfigReader {
        ConfigReader {
            reader: Reader::Joined { state: Arc::new(chain::empty()), since: 0 },
            position: 0,
            known: None,
            reached_end: false,
            log_now: 0,
            cover: cover::Cover::default(),
            verdicts: verdicts::Verdicts::default(),
        }
    }

    /// Takes in what was read of the stream.
    pub fn read(&mut self, batch: &Batch<ConfigRecord>) -> Vec<Change> {
        if batch.from > self.position {
            return Vec::new();
        }
        self.log_now = self.log_now.max(batch.now_ms);
        self.cover.expired_to(batch.earliest);
        let at_end = batch.shows_end_at(self.position);
        if batch.earliest > self.position {
            self.lose_to(batch.earliest);
        }
        let fresh = batch.entries.iter().filter(|entry| entry.offset < batch.next);
        for entry in fresh {
            self.take(entry);
        }
        self.position = self.position.max(batch.next);
        self.join();
        self.reached_end |= at_end;
        self.publish_state()
    }

    /// Takes in a snapshot that a peer has in force. Only ever moves forward.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> Vec<Change> {
        if !self.is_forward(snapshot) {
            return Vec::new();
        }
        let changes = self.change_known(Arc::new(snapshot.clone()));
        self.join();
        changes
    }

    /// The newest state known; `None` before the stream was read to its end
    /// once or a peer told.
    pub fn current(&self) -> Option<&Snapshot> {
        self.known.as_deref()
    }

    /// As [`ConfigReader::current`], to be kept or sent on.
    pub fn shared(&self) -> Option<Arc<Snapshot>> {
        self.known.clone()
    }

    /// Whether records were lost unread, so that the version in force may be a
    /// newer one than [`ConfigReader::current`] says.
    pub fn is_gapped(&self) -> bool {
        matches!(self.reader, Reader::Broken { .. })
    }

    /// How far this reader is, for its peers. The lowest mark where it does not
    /// know what is in force, so that peers send their snapshot.
    pub fn mark(&self) -> ConfigMark {
        match &self.known {
            Some(known) if !self.is_gapped() => {
                ConfigMark { version: known.version, offset: known.as_of }
            }
            _ => ConfigMark::default(),
        }
    }

    /// Where the next read of the stream starts.
    pub fn next_offset(&self) -> Offset {
        self.position
    }

    /// Whether the stream was once read to its end. Until then a reader should
    /// not wait for new records: only a read that gives none shows the end.
    pub fn has_reached_end(&self) -> bool {
        self.reached_end
    }

    /// The log's own clock at the newest read, in milliseconds.
    pub fn log_now(&self) -> u64 {
        self.log_now
    }

    /// What became of a publish; `None` while it was not read, and for one
    /// from a base that is older than all that was folded here: whoever appends
    /// a publish has to see first that its base is in force.
    pub fn verdict(&self, publish: &str) -> Option<Verdict> {
        if let Some(verdict) = self.verdicts.find(publish) {
            return Some(verdict);
        }
        let known = self.known.as_ref()?;
        let made_known = known.publish.as_deref() == Some(publish);
        made_known.then_some(Verdict::Accepted { version: known.version })
    }

    /// The snapshot to append, if one is due by the log's clock.
    ///
    /// A new reader needs a snapshot whose following records are all kept.
    /// `keep` is the log's retention. `rank` is the instance's place among the
    /// live ones (0 is first): the later ones wait longer, so that usually one
    /// instance appends and the others read it in time. Asked again before the
    /// appended snapshot was read back, it gives one again; the caller spaces
    /// its attempts.
    pub fn snapshot_due(&self, now_ms: u64, keep: Duration, rank: u32) -> Option<Snapshot> {
        if self.is_gapped() || !self.reached_end {
            return None;
        }
        if !self.cover.is_due(now_ms, keep, rank) {
            return None;
        }
        self.known.as_deref().cloned()
    }

    fn lose_to(&mut self, earliest: Offset) {
        self.position = earliest;
        let needs_break = match &self.reader {
            Reader::Joined { state, .. } => chain::next_of(state) < earliest,
            Reader::Broken { .. } => true,
        };
        if needs_break {
            self.reader = Reader::Broken { start: earliest, tail: Vec::new() };
        }
    }

    fn take(&mut self, entry: &Entry<ConfigRecord>) {
        if entry.offset < self.position {
            return;
        }
        self.position = entry.offset + 1;
        self.cover.note(entry);
        match &mut self.reader {
            Reader::Joined { state, since } => fold(state, *since, entry, &mut self.verdicts),
            Reader::Broken { tail, .. } => tail.push(entry.clone()),
        }
    }

    /// Joins the stream again if a state to start from is at hand.
    fn join(&mut self) {
        let Reader::Broken { start, tail } = &self.reader else { return };
        let Some(mut state) = self.joining_state(*start, tail) else { return };
        let since = state.version;
        for entry in tail {
            fold(&mut state, since, entry, &mut self.verdicts);
        }
        self.reader = Reader::Joined { state, since };
    }

    fn joining_state(&self, start: Offset, tail: &[Entry<ConfigRecord>]) -> Option<Arc<Snapshot>> {
        let read = tail.iter().filter_map(chain::snapshot_in).map(|state| Arc::new(state.clone()));
        let usable = read.chain(self.known.clone()).filter(|state| {
            let is_joined = chain::next_of(state) >= start;
            is_joined && state.version >= self.version()
        });
        // The first of equal ones, which a reader of single records joins at, too.
        usable.min_by_key(|state| Reverse(state.as_of))
    }

    /// Makes the folded state the known one where it is newer.
    fn publish_state(&mut self) -> Vec<Change> {
        let Reader::Joined { state, .. } = &self.reader else { return Vec::new() };
        if !self.reached_end || !self.is_forward(state) {
            return Vec::new();
        }
        let state = state.clone();
        self.change_known(state)
    }

    fn is_forward(&self, state: &Snapshot) -> bool {
        let Some(known) = &self.known else { return true };
        state.as_of > known.as_of && state.version >= known.version
    }

    fn change_known(&mut self, state: Arc<Snapshot>) -> Vec<Change> {
        let mut changes = Vec::new();
        let old = self.known.replace(state.clone());
        if old.as_ref().is_none_or(|old| old.version < state.version) {
            changes.push(Change::InForce(state.document.clone(), state.version));
        }
        let old_drains = old.as_ref().map_or(&[][..], |old| &old.drains);
        let is_new = |drain: &&Drain| !old_drains.iter().any(|old| chain::same_life(old, drain));
        let drained = state.drains.iter().filter(is_new);
        changes.extend(drained.cloned().map(Change::Drained));
        let names = |state: &Snapshot| -> Vec<DataCentre> {
            state.evacuated.iter().map(|evacuated| evacuated.data_centre.clone()).collect()
        };
        let evacuated = names(&state);
        if old.map_or(!evacuated.is_empty(), |old| names(&old) != evacuated) {
            changes.push(Change::Evacuated(evacuated));
        }
        changes
    }

    fn version(&self) -> Version {
        self.known.as_ref().map_or(0, |known| known.version)
    }
}

/// Folds one record in, unless the state covers it already.
///
/// A conflict is certain only for a base that was in force since the fold
/// began. A publish from an older base may be the repeat of one that was
/// accepted before, in a record that was not folded here.
fn fold(
    state: &mut Arc<Snapshot>,
    since: Version,
    entry: &Entry<ConfigRecord>,
    verdicts: &mut verdicts::Verdicts,
) {
    if entry.offset < chain::next_of(state) {
        return;
    }
    let Some(publish) = chain::step(Arc::make_mut(state), entry) else { return };
    let is_accepted = matches!(publish.verdict, Verdict::Accepted { .. });
    if is_accepted || publish.base >= since {
        verdicts.note(publish.id, publish.verdict);
    }
}
