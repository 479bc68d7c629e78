//! This instance's copies of the platform's tables.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use peatdeck_core::relay::{
    catch_up::{CatchUp, PortionEffect},
    directory::Outage,
    position::{Position, Timeline},
    table::{Portion, PortionRequest, Record, Table},
};

use crate::{
    driver::Driver,
    surroundings::{TABLES, TableName},
};

/// Most bytes of a table in one reply to a peer. The narrowest links that are planned
/// for carry 10 Mbit/s, so a reply takes 26 ms there. A peer that batches pieces is
/// pinged every 300 ms over the same link and has 400 ms to answer.
pub const PORTION_BYTES: usize = 32 << 10;

/// Bytes of received tables from which on a log line is written: the directory's
/// changes of a few seconds are smaller, a large configuration is larger.
pub const MIN_LOGGED_BYTES: u64 = 64 << 10;

/// Most bytes of a record that a log line quotes, so that writers to a table cannot
/// fill the logs.
const MAX_QUOTE_BYTES: usize = 200;

/// The first tables of [`TABLES`], which requests depend on and every build has.
const REQUIRED: usize = 4;

/// The copy of one table.
#[derive(Debug, Default)]
struct Copy {
    table: RefCell<Table>,
    catch_up: RefCell<CatchUp>,
    /// The last time at which the copy held what the platform's store held.
    compared_at: Cell<Option<Duration>>,
    /// When the copy moved to its current timeline; `None` if that never changed.
    renewed_at: Cell<Option<Duration>>,
}

/// The copies of the platform's tables.
#[derive(Debug, Default)]
pub struct Tables {
    copies: [Copy; TABLES.len()],
    /// Since when the table of rollouts is kept up to date; `None` while no rollout is
    /// ordered. The copy may be out of date then, so peers are sent nothing of it.
    rollouts_since: Cell<Option<Duration>>,
}

impl Tables {
    fn copy(&self, name: TableName) -> &Copy {
        &self.copies[name as usize]
    }

    /// Whether a copy has been read whole.
    pub fn is_loaded(&self, name: TableName) -> bool {
        self.copy(name).table.borrow().is_loaded()
    }

    /// The position in the store's log up to which a copy is complete.
    pub fn position(&self, name: TableName) -> Position {
        self.copy(name).table.borrow().position()
    }

    /// Starts or stops to keep the table of rollouts up to date.
    pub fn follow_rollouts(&self, now: Duration, is_wanted: bool) {
        let since = self.rollouts_since.get().unwrap_or(now);
        self.rollouts_since.set(is_wanted.then_some(since));
    }

    /// Since when the table of rollouts is kept up to date; `None` if it is not.
    pub fn rollouts_since(&self) -> Option<Duration> {
        self.rollouts_since.get()
    }

    /// Whether the table of rollouts has been read whole since it is kept up to date.
    pub fn has_read_rollouts(&self) -> bool {
        let compared = self.compared_at(TableName::Rollouts);
        let was_compared = self.rollouts_since.get().is_some_and(|since| compared >= Some(since));
        was_compared && self.is_loaded(TableName::Rollouts)
    }

    /// The tables that are kept up to date, in the order of [`TABLES`].
    pub fn followed(&self) -> &'static [TableName] {
        let count = if self.rollouts_since.get().is_some() { TABLES.len() } else { REQUIRED };
        &TABLES[..count]
    }

    /// The positions of the copies that are kept up to date, in the order of [`TABLES`]. A
    /// copy of the table of rollouts that has not been read yet is left out, since a table
    /// that is empty has the same position.
    pub fn positions(&self) -> Vec<Position> {
        let is_sent = |name: &&TableName| {
            **name != TableName::Rollouts || self.is_loaded(TableName::Rollouts)
        };
        self.followed().iter().filter(is_sent).map(|name| self.position(*name)).collect()
    }

    /// Whether the platform's table has this value for a key; `None` stands for no record.
    pub fn has_value(&self, name: TableName, key: &str, value: Option<&Bytes>) -> bool {
        self.copy(name).table.borrow().has_value(key, value)
    }

    /// The last time at which a copy held what the store held; `None` if it never did.
    pub fn compared_at(&self, name: TableName) -> Option<Duration> {
        self.copy(name).compared_at.get()
    }

    /// When a copy moved to its current timeline; `None` if that never changed.
    pub fn renewed_at(&self, name: TableName) -> Option<Duration> {
        self.copy(name).renewed_at.get()
    }

    /// Records carried over from an earlier timeline that nobody has written again yet.
    pub fn carried_over(&self, name: TableName) -> Vec<Record> {
        self.copy(name).table.borrow().carried_over().cloned().collect()
    }

    /// Drops the carried-over records. Returns what changes by that.
    pub fn drop_carried_over(&self, name: TableName) -> Vec<Record> {
        self.copy(name).table.borrow_mut().drop_carried_over()
    }

    /// Age of the older one of the copies that requests are decided by, configuration and
    /// directory; `None` if one of them was never compared with the store.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let urgent = [TableName::Config, TableName::Endpoints];
        let compared: Option<Vec<_>> =
            urgent.iter().map(|name| self.copy(*name).compared_at.get()).collect();
        compared?.into_iter().min().map(|at| now.saturating_sub(at))
    }

    /// Age of the copy of the table of rollouts; `None` if it was not compared with the
    /// store since it is kept up to date.
    pub fn rollouts_age(&self, now: Duration) -> Option<Duration> {
        let compared = self.compared_at(TableName::Rollouts);
        compared.filter(|_| self.has_read_rollouts()).map(|at| now.saturating_sub(at))
    }

    /// Whether the copies that requests depend on have been read whole.
    pub fn are_loaded(&self) -> bool {
        TABLES[..REQUIRED].iter().all(|name| self.is_loaded(*name))
    }

    /// Records that a copy held what the store held at time `at`. Returns the outage that
    /// this ends for the copy, if there was one.
    fn set_compared(&self, name: TableName, at: Duration) -> Option<Outage> {
        let compared = &self.copy(name).compared_at;
        let before = compared.get();
        compared.set(before.max(Some(at)));
        before.and_then(|before| Outage::between(before, at))
    }

    /// Applies consecutive records of the store's log up to `end`. Returns what changed.
    pub fn apply_changes(&self, name: TableName, records: Vec<Record>, end: u64) -> Vec<Record> {
        self.copy(name).table.borrow_mut().apply_changes(records, end)
    }

    /// Applies a listing of the newest records of all keys, read while the store's log
    /// ended at `end` or later. Returns what changed.
    pub fn apply_listing(
        &self,
        name: TableName,
        records: Vec<Record>,
        end: Position,
    ) -> Vec<Record> {
        self.copy(name).table.borrow_mut().apply_listing(records, end)
    }

    /// The portions that answer a peer's requests, in the order of [`TABLES`].
    pub fn read_portions(&self, requests: &[PortionRequest]) -> Vec<Portion> {
        let followed = self.followed();
        let pairs = TABLES.iter().zip(requests);
        let portion = |(name, request): (&TableName, &PortionRequest)| match followed.contains(name)
        {
            true => self.copy(*name).table.borrow().read_portion(request, PORTION_BYTES),
            // Starts after any copy's end, so that no copy counts as caught up by it.
            false => Portion { from: u64::MAX, ..Portion::default() },
        };
        pairs.map(portion).collect()
    }

    /// The requests to send to a peer, in the order of [`TABLES`].
    pub fn next_requests(&self) -> Vec<PortionRequest> {
        let request = |copy: &Copy| copy.catch_up.borrow().next_request(&copy.table.borrow());
        self.followed().iter().map(|name| request(self.copy(*name))).collect()
    }

    /// Applies a portion of a table that a peer sent.
    pub fn apply_portion(&self, name: TableName, portion: Portion) -> PortionEffect {
        let copy = self.copy(name);
        copy.catch_up.borrow_mut().apply(&mut copy.table.borrow_mut(), portion)
    }
}

/// Records and logs that a copy moved to another timeline, if it did since `before`, which
/// holds whether it was loaded and its position.
pub fn record_timeline(driver: &Driver, name: TableName, source: &str, before: (bool, Position)) {
    let (was_loaded, before) = before;
    let now = driver.peers.tables.position(name);
    if !was_loaded || now.timeline == before.timeline {
        return;
    }
    let copy = driver.peers.tables.copy(name);
    copy.renewed_at.set(Some(driver.now()));
    driver.metrics.count("relay.store_copies", 1);
    let Timeline(from) = before.timeline;
    let Timeline(timeline) = now.timeline;
    let awaited = copy.table.borrow().carried_over().count();
    let (table, end_before, end) = (name.name(), before.offset, now.offset);
    tracing::warn!(event = "table_copied", table, source, from, timeline, end_before, end, awaited);
}

/// Records that a copy held what the store held at time `at`. That the store was away before is
/// to be recorded before the changes that were read.
pub fn mark_compared(driver: &Rc<Driver>, name: TableName, at: Duration) {
    let outage = driver.peers.tables.set_compared(name, at);
    let Some(outage) = outage.filter(|_| name == TableName::Endpoints) else { return };
    driver.metrics.count("relay.store_outages", 1);
    let away_ms = outage.length().as_millis() as u64;
    tracing::warn!(event = "store_was_away", away_ms);
    driver.feed(|machine, _| machine.record_outage(outage));
}

/// Cuts a message that may quote a record to `MAX_QUOTE_BYTES` bytes.
pub fn truncate(message: &str) -> &str {
    &message[..message.floor_char_boundary(MAX_QUOTE_BYTES)]
}
