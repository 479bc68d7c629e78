//! This instance's copies of the platform's tables.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use peatdeck_core::relay::{
    catch_up::{CatchUp, Learned},
    config::Config,
    directory::Change,
    table::{Ask, Portion, Record, Table},
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
const PORTION: usize = 32 << 10;

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

    /// Whether a copy was ever read whole, and where it ends.
    pub fn state(&self, name: TableName) -> (bool, u64) {
        let table = self.copy(name).table.borrow();
        (table.is_known(), table.end())
    }

    /// The ends of all copies, in the order of [`TABLES`].
    pub fn ends(&self) -> Vec<u64> {
        TABLES.into_iter().map(|name| self.state(name).1).collect()
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
        TABLES.into_iter().all(|name| self.state(name).0)
    }

    /// A copy held what the store held at that time.
    pub fn compare(&self, name: TableName, at: Duration) {
        let known = &self.copy(name).compared;
        known.set(known.get().max(Some(at)));
    }

    /// Takes in records of the store that follow each other up to `end`.
    /// Returns what changed.
    pub fn follow(&self, name: TableName, records: Vec<Record>, end: u64) -> Vec<Record> {
        self.copy(name).table.borrow_mut().follow(records, end)
    }

    /// Takes in the newest records of all keys, read while the store's log
    /// ended at `end` or behind it. Returns what changed.
    pub fn replace(&self, name: TableName, records: Vec<Record>, end: u64) -> Vec<Record> {
        self.copy(name).table.borrow_mut().replace(records, end)
    }

    /// What a peer is told that asks this, in the order of [`TABLES`].
    pub fn tell(&self, asks: &[Ask]) -> Vec<Portion> {
        let pairs = self.copies.iter().zip(asks);
        pairs.map(|(copy, ask)| copy.table.borrow().tell(ask, PORTION)).collect()
    }

    /// What to ask a peer, in the order of [`TABLES`].
    pub fn asks(&self) -> Vec<Ask> {
        let ask = |copy: &Copy| copy.catch_up.borrow().ask(&copy.table.borrow());
        self.copies.iter().map(ask).collect()
    }

    /// Takes in what a peer told of a table.
    pub fn learn(&self, name: TableName, portion: Portion) -> Learned {
        let copy = self.copy(name);
        copy.catch_up.borrow_mut().take(&mut copy.table.borrow_mut(), portion)
    }
}

/// Tells the machine what changed in a table.
pub fn apply(driver: &Rc<Driver>, name: TableName, source: &str, changed: Vec<Record>) {
    let is_told = !changed.is_empty();
    let is_bulk = changed.len() > BULK;
    let mut joined = 0_u64;
    for record in changed {
        match name {
            TableName::Config => apply_config(driver, source, &record),
            TableName::Endpoints => {
                joined += u64::from(apply_endpoint(driver, source, &record, is_bulk));
            }
            TableName::Instances => driver.peers.apply(driver.now(), &record),
            TableName::Quarantine => records::apply(driver, &record),
        }
    }
    if name == TableName::Quarantine && driver.peers.tables.state(name).0 {
        driver.feed(|machine, _| machine.know_quarantine());
    }
    if joined > 0 {
        tracing::info!(event = "endpoints_joined", count = joined, source);
    }
    if is_told && name == TableName::Instances {
        peers::update(driver);
    }
    driver.note_news();
    driver.update_ready();
}

fn apply_config(driver: &Rc<Driver>, source: &str, record: &Record) {
    let offset = record.offset;
    let read = (driver.surroundings.read_config)(record);
    let checked = read.and_then(|config| match config.as_ref().map(Config::check) {
        Some(Err(flaw)) => Err(flaw.to_string()),
        Some(Ok(())) | None => Ok(config),
    });
    match checked {
        Ok(Some(config)) => {
            let version = config.version;
            let routes = config.routes.len();
            let is_newer = driver.feed(|machine, _| machine.configure(config.into()));
            driver.metrics.gauge("relay.config_version", version);
            tracing::info!(event = "config", version, offset, source, routes, taken = is_newer);
        }
        Ok(None) => {}
        Err(error) => {
            driver.metrics.count("relay.config_unreadable", 1);
            tracing::error!(event = "config_unreadable", offset, source, error);
        }
    }
}

/// The beginning of a message that may quote what somebody else wrote.
pub fn brief(message: &str) -> &str {
    &message[..message.floor_char_boundary(LONGEST_QUOTE)]
}

/// Takes in an endpoint's record. True if it is one of many endpoints that have
/// joined, of which no line of its own is logged.
fn apply_endpoint(driver: &Rc<Driver>, source: &str, record: &Record, is_bulk: bool) -> bool {
    let (name, offset) = (&*record.key, record.offset);
    match (driver.surroundings.read_endpoint)(record) {
        Ok(change) => {
            let is_join = matches!(&change, Change::Put(entry) if !entry.is_leaving);
            let change_text = format!("{change:?}");
            let is_new = driver.feed(|machine, now| machine.change(now, change));
            if is_new && !(is_bulk && is_join) {
                tracing::info!(event = "endpoint", name, offset, source, change = change_text);
            }
            is_new && is_bulk && is_join
        }
        Err(error) => {
            driver.metrics.count("relay.endpoints_unreadable", 1);
            let error = brief(&error);
            tracing::warn!(event = "endpoint_unreadable", name, offset, source, error);
            let change = Change::Unreadable(record.key.clone());
            driver.feed(|machine, now| machine.change(now, change));
            false
        }
    }
}
