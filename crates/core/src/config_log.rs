//! Which configuration is in force, as derived from the configuration stream.
//!
//! Every instance reads the same records in the same order and applies them with the same pure
//! function, so all agree without exchanging messages. A publish is accepted if its base is the
//! version in force at its position in the stream; every other publish from the same base is a
//! conflict.
//!
//! Since records expire, the reader needs a state to start from:
//!
//! - at offset 0, the state is the empty document, version 0;
//! - later, a [`Snapshot`] stands in for everything up to its `as_of`. It is usable if every record
//!   after `as_of` was read. A publish in the middle of the stream is never assumed to be the
//!   version in force: whether it was accepted depends on the records before it.
//!
//! A reader that has not read for longer than the retention has a gap. It keeps the last state it
//! has, reports the gap through [`ConfigReader::is_gapped`], and continues with the next usable
//! snapshot, from the stream or from a peer.
//!
//! Pitfalls:
//!
//! - A snapshot from a peer may be ahead of what was read here. The version in force then changes
//!   at once, but the reader continues from its own position, so that verdicts on publishes stay
//!   exact.
//! - Batches may arrive twice or late. [`Batch::from`] states which range a batch covers, and only
//!   what continues the reader's own position is used.
//!
//! Submodules: `chain` is the pure function that applies one record to a state, `cover` decides
//! when a snapshot is due, `verdicts` keeps the verdicts on recent publishes.

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

/// A change of the state in force that the instance has to act on.
#[data]
pub enum Change {
    /// A newer version is in force.
    InForce(Arc<Document>, Version),
    /// An endpoint gets no new work for the rest of this incarnation.
    Drained(Drain),
    /// The complete list of data centres that are evacuated now.
    Evacuated(Vec<DataCentre>),
}

/// Whether a publish was accepted.
#[data]
#[derive(Copy, Eq)]
pub enum Verdict {
    /// The publish created a new version.
    Accepted {
        /// The version that the publish created.
        version: Version,
    },
    /// The base of the publish was not the version in force.
    Conflict {
        /// The version that was in force at the position of the publish in the stream.
        current: Version,
    },
}

/// Reads the configuration stream and derives the state in force.
pub struct ConfigReader {
    continuity: Continuity,
    position: Offset,
    newest: Option<Arc<Snapshot>>,
    has_reached_end: bool,
    log_now: u64,
    coverage: cover::SnapshotCoverage,
    verdicts: verdicts::Verdicts,
}

/// Whether the records that were read continue a known state.
enum Continuity {
    /// `state` covers every record before `position`, and maybe later ones. The reader started from
    /// a state of version `since`.
    Contiguous { state: Arc<Snapshot>, since: Version },
    /// Records before `start` expired before they were read. The records read since then are kept
    /// in `tail` until there is a state to apply them to.
    Gapped { start: Offset, tail: Vec<Entry<ConfigRecord>> },
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
            continuity: Continuity::Contiguous { state: Arc::new(chain::empty_state()), since: 0 },
            position: 0,
            newest: None,
            has_reached_end: false,
            log_now: 0,
            coverage: cover::SnapshotCoverage::default(),
            verdicts: verdicts::Verdicts::default(),
        }
    }

    /// Applies a batch that was read from the stream.
    pub fn read(&mut self, batch: &Batch<ConfigRecord>) -> Vec<Change> {
        if batch.from > self.position {
            return Vec::new();
        }
        self.log_now = self.log_now.max(batch.now_ms);
        self.coverage.set_earliest(batch.earliest);
        let is_at_end = batch.shows_end_at(self.position);
        if batch.earliest > self.position {
            self.skip_to(batch.earliest);
        }
        let fresh = batch.entries.iter().filter(|entry| entry.offset < batch.next);
        for entry in fresh {
            self.read_entry(entry);
        }
        self.position = self.position.max(batch.next);
        self.rejoin();
        self.has_reached_end |= is_at_end;
        self.adopt_own_state()
    }

    /// Applies a snapshot that a peer has in force, if it is newer than the current state.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> Vec<Change> {
        if !self.is_newer(snapshot) {
            return Vec::new();
        }
        let changes = self.replace_newest(Arc::new(snapshot.clone()));
        self.rejoin();
        changes
    }

    /// The newest known state; `None` until the stream was read to its end once or a peer has sent
    /// a snapshot.
    pub fn current(&self) -> Option<&Snapshot> {
        self.newest.as_deref()
    }

    /// Like [`ConfigReader::current`], but shared, for callers that keep or send it.
    pub fn shared(&self) -> Option<Arc<Snapshot>> {
        self.newest.clone()
    }

    /// Whether records expired before they were read, so that the version in force may be newer
    /// than [`ConfigReader::current`].
    pub fn is_gapped(&self) -> bool {
        matches!(self.continuity, Continuity::Gapped { .. })
    }

    /// How far this reader has got, for its peers. It is the lowest mark if the version in force is
    /// unknown, so that peers send their snapshot.
    pub fn mark(&self) -> ConfigMark {
        match &self.newest {
            Some(newest) if !self.is_gapped() => {
                ConfigMark { version: newest.version, offset: newest.as_of }
            }
            _ => ConfigMark::default(),
        }
    }

    /// The offset at which the next read of the stream starts.
    pub fn next_offset(&self) -> Offset {
        self.position
    }

    /// Whether the stream has ever been read to its end. Until then a reader should not wait for
    /// new records: only a read without records shows the end.
    pub fn has_reached_end(&self) -> bool {
        self.has_reached_end
    }

    /// The log's own clock at the newest read, in milliseconds.
    pub fn log_now(&self) -> u64 {
        self.log_now
    }

    /// The verdict on a publish. `None` if the publish was not read yet, or if its base is older
    /// than every state that was derived here. Whoever appends a publish therefore has to check
    /// first that its base is in force.
    pub fn verdict(&self, publish: &str) -> Option<Verdict> {
        if let Some(verdict) = self.verdicts.find(publish) {
            return Some(verdict);
        }
        let newest = self.newest.as_ref()?;
        let is_newest = newest.publish.as_deref() == Some(publish);
        is_newest.then_some(Verdict::Accepted { version: newest.version })
    }

    /// The snapshot to append, if one is due by the log's clock.
    ///
    /// A new reader needs a snapshot after which no record has expired. `retention` is the log's
    /// retention. `rank` is the instance's position among the live ones, from 0: instances of a
    /// higher rank wait longer, so that usually one instance appends and the others read its
    /// snapshot in time. Until the appended snapshot is read back, each call returns one again; the
    /// caller limits the rate of its attempts.
    pub fn snapshot_due(&self, now_ms: u64, retention: Duration, rank: u32) -> Option<Snapshot> {
        if self.is_gapped() || !self.has_reached_end {
            return None;
        }
        if !self.coverage.is_due(now_ms, retention, rank) {
            return None;
        }
        self.newest.as_deref().cloned()
    }

    fn skip_to(&mut self, earliest: Offset) {
        self.position = earliest;
        let has_gap = match &self.continuity {
            Continuity::Contiguous { state, .. } => chain::first_uncovered(state) < earliest,
            Continuity::Gapped { .. } => true,
        };
        if has_gap {
            self.continuity = Continuity::Gapped { start: earliest, tail: Vec::new() };
        }
    }

    fn read_entry(&mut self, entry: &Entry<ConfigRecord>) {
        if entry.offset < self.position {
            return;
        }
        self.position = entry.offset + 1;
        self.coverage.record(entry);
        match &mut self.continuity {
            Continuity::Contiguous { state, since } => {
                apply_entry(state, *since, entry, &mut self.verdicts)
            }
            Continuity::Gapped { tail, .. } => tail.push(entry.clone()),
        }
    }

    /// Closes the gap if there is a usable state to continue from.
    fn rejoin(&mut self) {
        let Continuity::Gapped { start, tail } = &self.continuity else { return };
        let Some(mut state) = self.rejoin_state(*start, tail) else { return };
        let since = state.version;
        for entry in tail {
            apply_entry(&mut state, since, entry, &mut self.verdicts);
        }
        self.continuity = Continuity::Contiguous { state, since };
    }

    fn rejoin_state(&self, start: Offset, tail: &[Entry<ConfigRecord>]) -> Option<Arc<Snapshot>> {
        let read = tail.iter().filter_map(chain::snapshot_in).map(|state| Arc::new(state.clone()));
        let usable = read.chain(self.newest.clone()).filter(|state| {
            let is_contiguous = chain::first_uncovered(state) >= start;
            is_contiguous && state.version >= self.version()
        });
        // On equal offsets, takes the first state, which a reader of single records would take,
        // too.
        usable.min_by_key(|state| Reverse(state.as_of))
    }

    /// Puts the state derived from the stream in force if it is newer.
    fn adopt_own_state(&mut self) -> Vec<Change> {
        let Continuity::Contiguous { state, .. } = &self.continuity else { return Vec::new() };
        if !self.has_reached_end || !self.is_newer(state) {
            return Vec::new();
        }
        let state = state.clone();
        self.replace_newest(state)
    }

    fn is_newer(&self, state: &Snapshot) -> bool {
        let Some(newest) = &self.newest else { return true };
        state.as_of > newest.as_of && state.version >= newest.version
    }

    fn replace_newest(&mut self, state: Arc<Snapshot>) -> Vec<Change> {
        let mut changes = Vec::new();
        let old = self.newest.replace(state.clone());
        if old.as_ref().is_none_or(|old| old.version < state.version) {
            changes.push(Change::InForce(state.document.clone(), state.version));
        }
        let old_drains = old.as_ref().map_or(&[][..], |old| &old.drains);
        let is_new =
            |drain: &&Drain| !old_drains.iter().any(|old| chain::is_same_incarnation(old, drain));
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
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }
}

/// Applies one record, unless the state covers it already.
///
/// A conflict is certain only for a base that was in force since the reader started. A publish from
/// an older base may be the repeat of one that was accepted in a record that was not read here.
fn apply_entry(
    state: &mut Arc<Snapshot>,
    since: Version,
    entry: &Entry<ConfigRecord>,
    verdicts: &mut verdicts::Verdicts,
) {
    if entry.offset < chain::first_uncovered(state) {
        return;
    }
    let Some(publish) = chain::apply(Arc::make_mut(state), entry) else { return };
    let is_accepted = matches!(publish.verdict, Verdict::Accepted { .. });
    if is_accepted || publish.base >= since {
        verdicts.record(publish.id, publish.verdict);
    }
}
