//! Keeps the copies of the platform's tables up to date.
//!
//! Each table is read whole once and followed from there. The store is scarce:
//! only the readers ([`readers`]) call it, one call at a time for each table,
//! with a time limit, a pause that grows while it fails, and a counter. The
//! other instances ask a reader; one that gets no fresh answer calls the store
//! itself. What a peer tells goes into the same copies.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use peatdeck_core::relay::{
    readers,
    table::{Delta, Record, Table},
};
use rand::Rng;

use crate::{
    driver::Driver,
    peers,
    surroundings::{Page, Read, StoreCall, StoreError, TABLES, TableName},
};

/// Time limit of a call beyond its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls in a row.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);
/// Pause before an instance looks again whether it has to read the store.
const LOOK_PAUSE: Duration = Duration::from_millis(150);
/// Instances of a platform begin together; their first calls do not.
const START_JITTER: Duration = Duration::from_millis(60);

/// The copies of the platform's tables.
#[derive(Debug, Default)]
pub struct Tables {
    copies: [RefCell<Table>; TABLES.len()],
    compared: [Cell<Option<Duration>>; TABLES.len()],
}

impl Tables {
    fn copy(&self, name: TableName) -> &RefCell<Table> {
        &self.copies[name as usize]
    }

    /// The ends of all copies, in the order of [`TABLES`].
    pub fn ends(&self) -> Vec<u64> {
        self.copies.iter().map(|copy| copy.borrow().end()).collect()
    }

    /// How long ago the copies of the urgent tables were both compared with the
    /// store.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let urgent = [TableName::Config, TableName::Endpoints];
        let compared: Option<Vec<_>> =
            urgent.iter().map(|name| self.compared[*name as usize].get()).collect();
        compared?.into_iter().min().map(|at| now.saturating_sub(at))
    }

    /// Whether all tables were read whole.
    pub fn are_known(&self) -> bool {
        self.copies.iter().all(|copy| copy.borrow().is_known())
    }

    /// A copy was compared with the store at that time.
    fn compare(&self, name: TableName, at: Duration) {
        let known = &self.compared[name as usize];
        known.set(known.get().max(Some(at)));
    }

    /// What a peer lacks that has the tables up to `ends`.
    pub fn since(&self, ends: &[u64]) -> Vec<Delta> {
        let pairs = self.copies.iter().zip(ends);
        pairs.map(|(copy, from)| copy.borrow().delta(*from)).collect()
    }
}

/// Follows a table for as long as the process runs.
pub async fn run(driver: Rc<Driver>, name: TableName) {
    let mut failures = 0_u32;
    tokio::time::sleep(START_JITTER.mul_f64(rand::rng().random())).await;
    loop {
        if !driver.peers.reads_store(driver.now()) {
            tokio::time::sleep(LOOK_PAUSE).await;
            continue;
        }
        let asked = driver.now();
        match step(&driver, name).await {
            Ok(()) => {
                if failures > 0 {
                    tracing::info!(event = "store_regained", table = name.name(), failures);
                }
                failures = 0;
                if let Some(pause) = pause_after(name) {
                    tokio::time::sleep(jittered(pause)).await;
                }
            }
            Err(error) => {
                driver.metrics.count("relay.store_failed", 1);
                let took_ms = driver.now().saturating_sub(asked).as_millis() as u64;
                let table = name.name();
                match failures {
                    0 => tracing::warn!(event = "store_lost", table, took_ms, error = %error),
                    _ => {
                        tracing::info!(event = "store_failed", table, failures, took_ms, error = %error)
                    }
                }
                failures += 1;
                let pause = FIRST_PAUSE * 2_u32.saturating_pow(failures.min(8) - 1);
                tokio::time::sleep(jittered(pause.min(LONGEST_PAUSE))).await;
            }
        }
    }
}

/// The configuration is waited for at the store; the other tables change all
/// the time, so each answer would come at once.
fn pause_after(name: TableName) -> Option<Duration> {
    match name {
        TableName::Config => None,
        TableName::Endpoints => Some(readers::PACE),
        TableName::Instances => Some(readers::SLOW_PACE),
    }
}

/// One call and what it brings.
async fn step(driver: &Rc<Driver>, name: TableName) -> Result<(), StoreError> {
    let (is_known, end) = {
        let copy = driver.peers.tables.copy(name).borrow();
        (copy.is_known(), copy.end())
    };
    if !is_known {
        return read_whole(driver, name).await;
    }
    let wait = match name {
        TableName::Config => readers::PACE,
        TableName::Endpoints | TableName::Instances => Duration::ZERO,
    };
    driver.metrics.count("relay.store_reads", 1);
    let asked = driver.now();
    let read = (driver.surroundings.store.read)(name, end, wait);
    match limited(wait, read).await? {
        Read::Records { records, end } => {
            note_read(driver, name, &records, asked);
            let copy = driver.peers.tables.copy(name);
            let changed = copy.borrow_mut().follow(records, end);
            driver.peers.tables.compare(name, asked);
            apply(driver, name, "store", changed);
            Ok(())
        }
        Read::Expired => read_whole(driver, name).await,
    }
}

/// Reads the newest record of every key. The pages are no snapshot: whatever
/// is written meanwhile is read again from where the log ended at first.
async fn read_whole(driver: &Rc<Driver>, name: TableName) -> Result<(), StoreError> {
    let asked = driver.now();
    let (mut records, mut end, mut after) = (Vec::new(), None, None);
    loop {
        driver.metrics.count("relay.store_reads", 1);
        let page: Page =
            limited(Duration::ZERO, (driver.surroundings.store.newest)(name, after)).await?;
        records.extend(page.records);
        end = end.or(Some(page.end));
        after = page.more;
        if after.is_none() {
            break;
        }
    }
    note_read(driver, name, &records, asked);
    let copy = driver.peers.tables.copy(name);
    let changed = copy.borrow_mut().replace(records, end.unwrap_or_default());
    driver.peers.tables.compare(name, asked);
    apply(driver, name, "store", changed);
    Ok(())
}

/// Counts what the store sent, and logs it if that was much.
fn note_read(driver: &Driver, name: TableName, records: &[Record], asked: Duration) {
    let bytes = records.iter().map(Record::bytes).sum::<usize>() as u64;
    driver.metrics.count("relay.store_bytes", bytes);
    if bytes >= peers::NOTABLE {
        let took_ms = driver.now().saturating_sub(asked).as_millis() as u64;
        tracing::info!(event = "store_read", table = name.name(), bytes, took_ms);
    }
}

async fn limited<T>(wait: Duration, call: StoreCall<T>) -> Result<T, StoreError> {
    match tokio::time::timeout(wait + CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::TimedOut),
    }
}

/// Takes in what a peer told, whose copies were compared with the store at
/// that time.
pub fn merge(driver: &Rc<Driver>, peer: &str, deltas: Vec<Delta>, compared: Option<Duration>) {
    for (name, delta) in TABLES.into_iter().zip(deltas) {
        if let Some(at) = compared {
            driver.peers.tables.compare(name, at);
        }
        let copy = driver.peers.tables.copy(name);
        let changed = copy.borrow_mut().merge(delta);
        apply(driver, name, peer, changed);
    }
}

/// Tells the machine what changed in a table.
fn apply(driver: &Rc<Driver>, name: TableName, source: &str, changed: Vec<Record>) {
    let is_told = !changed.is_empty();
    for record in changed {
        match name {
            TableName::Config => apply_config(driver, source, &record),
            TableName::Endpoints => apply_endpoint(driver, source, &record),
            TableName::Instances => driver.peers.apply(driver.now(), &record),
        }
    }
    if is_told && name == TableName::Instances {
        peers::update(driver);
    }
    driver.update_ready();
}

fn apply_config(driver: &Rc<Driver>, source: &str, record: &Record) {
    let offset = record.offset;
    match (driver.surroundings.read_config)(record) {
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

fn apply_endpoint(driver: &Rc<Driver>, source: &str, record: &Record) {
    let (name, offset) = (&*record.key, record.offset);
    match (driver.surroundings.read_endpoint)(record) {
        Ok(change) => {
            let change_text = format!("{change:?}");
            if driver.feed(|machine, now| machine.change(now, change)) {
                tracing::info!(event = "endpoint", name, offset, source, change = change_text);
            }
        }
        Err(error) => {
            driver.metrics.count("relay.endpoints_unreadable", 1);
            tracing::warn!(event = "endpoint_unreadable", name, offset, source, error);
        }
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.9..1.1))
}
