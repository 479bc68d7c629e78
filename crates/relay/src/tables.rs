//! This instance's copies of the platform's tables.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use peatdeck_core::relay::{
    catch_up::{CatchUp, PortionEffect},
    directory::Change,
    operator::OperatorCommand,
    position::{Position, Timeline},
    table::{Portion, PortionRequest, Record, Table},
};

use crate::{
    driver::Driver,
    peers, records,
    surroundings::{TABLES, TableName},
};

/// Bytes of a table that one answer to a peer holds at the most. The narrowest
/// links that are planned for carry 10 Mbit/s: that is 26 ms there, and a peer
/// that batches pieces is asked every 300 ms, with 400 ms to answer, whether it
/// still lives.
pub const PORTION: usize = 32 << 10;

/// Bytes of tables that are worth a log line when they come: the directory's
/// changes of a few seconds are less, a large configuration is more.
pub const NOTABLE: u64 = 64 << 10;

/// Endpoints that join in one answer, from which on one line counts them: with a
/// line for each, 295 instances that start before 287 endpoints log 85,000 lines.
const BULK: usize = 16;

/// Bytes of a log line that quote a record: whoever writes to a table must not
/// fill the logs.
const LONGEST_QUOTE: usize = 200;

/// One table.
#[derive(Debug, Default)]
struct Copy {
    table: RefCell<Table>,
    catch_up: RefCell<CatchUp>,
    /// When it was last compared with the platform's store.
    compared: Cell<Option<Duration>>,
    /// When its timeline began here; none if it has been the same since the start.
    renewed: Cell<Option<Duration>>,
}

/// The copies of the platform's tables.
#[derive(Debug, Default)]
pub struct Tables {
    copies: [Copy; TABLES.len()],
}

impl Tables {
    fn copy(&self, name: TableName) -> &Copy {
        &self.copies[name as usize]
    }

    /// Whether a copy was ever read whole.
    pub fn is_known(&self, name: TableName) -> bool {
        self.copy(name).table.borrow().is_loaded()
    }

    /// How far a copy is.
    pub fn position(&self, name: TableName) -> Position {
        self.copy(name).table.borrow().position()
    }

    /// How far all copies are, in the order of [`TABLES`].
    pub fn positions(&self) -> Vec<Position> {
        TABLES.into_iter().map(|name| self.position(name)).collect()
    }

    /// Whether the platform has this value of a key.
    pub fn has(&self, name: TableName, key: &str, value: Option<&Bytes>) -> bool {
        self.copy(name).table.borrow().has_value(key, value)
    }

    /// When a copy was last compared with the store.
    pub fn compared(&self, name: TableName) -> Option<Duration> {
        self.copy(name).compared.get()
    }

    /// When the timeline of a copy began here, unless it has been the same since the start.
    pub fn renewed(&self, name: TableName) -> Option<Duration> {
        self.copy(name).renewed.get()
    }

    /// What was in force in an earlier timeline and is not written again yet.
    pub fn awaited(&self, name: TableName) -> Vec<Record> {
        self.copy(name).table.borrow().carried_over().cloned().collect()
    }

    /// What nobody has written again is not in force any more. Returns what changes.
    pub fn give_up(&self, name: TableName) -> Vec<Record> {
        self.copy(name).table.borrow_mut().drop_carried_over()
    }

    /// How long ago the copies of the urgent tables were both compared with the
    /// store.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let urgent = [TableName::Config, TableName::Endpoints];
        let compared: Option<Vec<_>> =
            urgent.iter().map(|name| self.copy(*name).compared.get()).collect();
        compared?.into_iter().min().map(|at| now.saturating_sub(at))
    }

    /// Whether all tables were read whole.
    pub fn are_known(&self) -> bool {
        TABLES.into_iter().all(|name| self.is_known(name))
    }

    /// A copy held what the store held at that time.
    pub fn compare(&self, name: TableName, at: Duration) {
        let known = &self.copy(name).compared;
        known.set(known.get().max(Some(at)));
    }

    /// Takes in records of the store that follow each other up to `end`.
    /// Returns what changed.
    pub fn follow(&self, name: TableName, records: Vec<Record>, end: u64) -> Vec<Record> {
        self.copy(name).table.borrow_mut().apply_changes(records, end)
    }

    /// Takes in the newest records of all keys, read while the store's log
    /// ended there or behind it. Returns what changed.
    pub fn list(&self, name: TableName, records: Vec<Record>, end: Position) -> Vec<Record> {
        self.copy(name).table.borrow_mut().apply_listing(records, end)
    }

    /// What a peer is told that asks this, in the order of [`TABLES`].
    pub fn tell(&self, asks: &[PortionRequest]) -> Vec<Portion> {
        let pairs = self.copies.iter().zip(asks);
        pairs.map(|(copy, ask)| copy.table.borrow().read_portion(ask, PORTION)).collect()
    }

    /// What to ask a peer, in the order of [`TABLES`].
    pub fn asks(&self) -> Vec<PortionRequest> {
        let ask = |copy: &Copy| copy.catch_up.borrow().next_request(&copy.table.borrow());
        self.copies.iter().map(ask).collect()
    }

    /// Takes in what a peer told of a table.
    pub fn learn(&self, name: TableName, portion: Portion) -> PortionEffect {
        let copy = self.copy(name);
        copy.catch_up.borrow_mut().apply(&mut copy.table.borrow_mut(), portion)
    }
}

/// Notes that a copy may be of another timeline than it was.
pub fn note_timeline(driver: &Driver, name: TableName, source: &str, before: (bool, Position)) {
    let (was_known, before) = before;
    let now = driver.peers.tables.position(name);
    if !was_known || now.timeline == before.timeline {
        return;
    }
    let copy = driver.peers.tables.copy(name);
    copy.renewed.set(Some(driver.now()));
    driver.metrics.count("relay.store_copies", 1);
    let Timeline(from) = before.timeline;
    let Timeline(timeline) = now.timeline;
    let awaited = copy.table.borrow().carried_over().count();
    let (table, end_before, end) = (name.name(), before.offset, now.offset);
    tracing::warn!(event = "table_copied", table, source, from, timeline, end_before, end, awaited);
}

/// Tells the machine what changed in a table.
pub fn apply(driver: &Rc<Driver>, name: TableName, source: &str, changed: Vec<Record>) {
    let is_told = !changed.is_empty();
    match name {
        TableName::Config => apply_acts(driver, source, &changed),
        TableName::Endpoints => apply_endpoints(driver, source, &changed),
        TableName::Instances => {
            changed.iter().for_each(|record| driver.peers.apply(driver.now(), record));
        }
        TableName::Quarantine => changed.iter().for_each(|record| records::apply(driver, record)),
    }
    if name == TableName::Quarantine && driver.peers.tables.is_known(name) {
        driver.feed(|machine, _| machine.mark_quarantine_read());
    }
    if is_told && name == TableName::Instances {
        peers::update(driver);
    }
    driver.note_news();
    driver.update_ready();
}

/// Takes in the operators' orders, all at once: one that an earlier record takes back
/// must not hold for a moment.
fn apply_acts(driver: &Rc<Driver>, source: &str, records: &[Record]) {
    let mut acts = Vec::new();
    for record in records {
        match read_act(driver, record) {
            Ok(Some(act)) => acts.push((record, act)),
            Ok(None) => {}
            Err(error) => {
                driver.metrics.count("relay.config_unreadable", 1);
                let (key, offset, error) = (brief(&record.key), record.offset, brief(&error));
                tracing::error!(event = "config_unreadable", key, offset, source, error);
            }
        }
    }
    if acts.is_empty() {
        return;
    }
    let orders = acts.iter().map(|(_, act)| act.clone()).collect();
    let taken = driver.feed(|machine, now| machine.apply_operator_changes(now, orders));
    for ((record, act), taken) in acts.iter().zip(taken) {
        if taken && matches!(act, OperatorCommand::Configure(_)) {
            driver.peers.set_config((*record).clone());
        }
        log_act(driver, act, record.offset, source, taken);
    }
    let evacuated = driver.look(|machine| machine.directory().evacuated().count());
    driver.metrics.gauge("relay.evacuated", evacuated as u64);
}

fn read_act(driver: &Driver, record: &Record) -> Result<Option<OperatorCommand>, String> {
    let act = (driver.surroundings.read_act)(record)?;
    if let Some(OperatorCommand::Configure(config)) = &act {
        config.check().map_err(|flaw| flaw.to_string())?;
    }
    Ok(act)
}

fn log_act(driver: &Driver, act: &OperatorCommand, offset: u64, source: &str, taken: bool) {
    let ready =
        |data_centre: &str| driver.look(|machine| machine.directory().ready_count_in(data_centre));
    match act {
        OperatorCommand::Configure(config) => {
            let (version, routes) = (config.version, config.routes.len());
            driver.metrics.gauge("relay.config_version", version);
            tracing::info!(event = "config", version, offset, source, routes, taken);
        }
        OperatorCommand::Evacuate(name) => {
            let endpoints = ready(name);
            let data_centre = brief(name);
            tracing::warn!(event = "evacuated", data_centre, offset, source, endpoints, taken);
        }
        OperatorCommand::Restore(name) => {
            let endpoints = ready(name);
            let data_centre = brief(name);
            tracing::warn!(event = "restored", data_centre, offset, source, endpoints, taken);
        }
    }
}

/// The beginning of a message that may quote what somebody else wrote.
pub fn brief(message: &str) -> &str {
    &message[..message.floor_char_boundary(LONGEST_QUOTE)]
}

/// Takes in endpoints' records.
fn apply_endpoints(driver: &Rc<Driver>, source: &str, records: &[Record]) {
    let is_bulk = records.len() > BULK;
    let mut bulk = Bulk::default();
    for record in records {
        let counted = is_bulk.then_some(&mut bulk);
        apply_endpoint(driver, source, record, counted);
    }
    let Bulk { joined, cooled } = bulk;
    if joined > 0 {
        tracing::info!(event = "endpoints_joined", count = joined, source);
    }
    if cooled > 0 {
        tracing::info!(event = "endpoints_cold", count = cooled, source);
    }
}

/// Endpoints of which no line of its own is logged, since many changed together.
#[derive(Debug, Default)]
struct Bulk {
    joined: u64,
    cooled: u64,
}

/// Takes in an endpoint's record.
fn apply_endpoint(driver: &Rc<Driver>, source: &str, record: &Record, bulk: Option<&mut Bulk>) {
    let (name, offset) = (&*record.key, record.offset);
    let change = match (driver.surroundings.read_endpoint)(record) {
        Ok(change) => change,
        Err(error) => {
            driver.metrics.count("relay.endpoints_unreadable", 1);
            let error = brief(&error);
            tracing::warn!(event = "endpoint_unreadable", name, offset, source, error);
            let change = Change::Unreadable(record.key.clone());
            driver.feed(|machine, now| machine.apply_change(now, change));
            return;
        }
    };
    let is_join = matches!(&change, Change::Put(entry) if !entry.is_leaving);
    let change_text = format!("{change:?}");
    let changed = driver.feed(|machine, now| machine.apply_change(now, change));
    driver.metrics.count("relay.endpoints_cooled", u64::from(changed.is_newly_cold));
    match bulk {
        Some(bulk) if is_join => {
            bulk.joined += u64::from(changed.is_new);
            bulk.cooled += u64::from(changed.is_newly_cold);
        }
        _ if changed.is_new => {
            tracing::info!(event = "endpoint", name, offset, source, change = change_text);
        }
        _ if changed.is_newly_cold => {
            tracing::info!(event = "endpoint_cold", name, offset, source, change = change_text);
        }
        _ => {}
    }
}
