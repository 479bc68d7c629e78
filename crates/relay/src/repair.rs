//! Writes again what the platform's store has lost.
//!
//! What the store has acknowledged holds for one timeline of its log only. The operators
//! and the endpoints write their own records again; this instance its announcement,
//! and all instances together what is held back and what was released. None of it
//! hangs on noticing a loss: what should be in a table is compared with what is.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use peatdeck_core::{
    model::InstanceName,
    relay::{position::Timeline, readers, table::Record},
};
use rand::Rng;
use xxhash_rust::xxh3;

use crate::{
    driver::Driver,
    follow,
    peers::Announcement,
    surroundings::{StoreError, TableName},
    tables,
};

/// Time for one write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause before this instance's record is written again after a failure.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(600);
/// Pause between two looks at what is to be written again.
const LOOK_PAUSE: Duration = Duration::from_millis(500);
/// A copy of the table of instances that was compared so long after a write has what
/// was written: readers look at it every two seconds, the others hear from them.
const KNOWN_AFTER: Duration = Duration::from_secs(5);
/// An instance whose record somebody else writes over does not write each time.
const LONGEST_REST: Duration = Duration::from_secs(60);
/// The first of all instances writes a lost record so long after it was missed.
const FIRST_WRITER: Duration = Duration::from_millis(200);
/// The next one follows so long after it, if the record is still not there.
const NEXT_WRITER: Duration = Duration::from_secs(1);
/// Endpoints are back within some two seconds.
const ENDPOINTS_BACK: Duration = Duration::from_secs(2);
/// Orders of operators: an evacuation that was taken back meanwhile stays in force for
/// as long, one that was not ends too soon if they need longer.
const ORDERS_BACK: Duration = Duration::from_secs(5);
/// Instances may be cut off from the store.
const INSTANCES_BACK: Duration = Duration::from_secs(10);

/// Writes this instance's record until the platform has taken it, and again whenever
/// the platform does not have it any more.
pub async fn announce(driver: Rc<Driver>) {
    let settings = &driver.settings;
    let announcement = Announcement {
        peers: Arc::from(settings.peers.to_string()),
        place: settings.data_centre.clone(),
        strength: settings.millicores,
    };
    let value = serde_json::to_vec(&announcement).expect("two names are JSON");
    let value = Bytes::from(value);
    let mut rest = Duration::ZERO;
    loop {
        write_announcement(&driver, &announcement, &value).await;
        let written = Written { at: driver.now(), timeline: (driver.platform.store.timeline)() };
        tokio::time::sleep(rest).await;
        while !has_lost_announcement(&driver, &value, written) {
            tokio::time::sleep(LOOK_PAUSE.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        }
        let is_missing = driver.peers.tables.has_value(TableName::Instances, &settings.name, None);
        driver.metrics.count("relay.records_rewritten", 1);
        tracing::warn!(event = "announcement_lost", is_missing);
        rest =
            if is_missing { Duration::ZERO } else { (rest * 2).clamp(KNOWN_AFTER, LONGEST_REST) };
    }
}

/// An acknowledged write.
#[derive(Debug, Clone, Copy)]
struct Written {
    at: Duration,
    /// What the store named then.
    timeline: Timeline,
}

async fn write_announcement(driver: &Rc<Driver>, announcement: &Announcement, value: &Bytes) {
    let name = &driver.settings.name;
    while let Err(error) = write(driver, TableName::Instances, name.clone(), Some(value)).await {
        tracing::warn!(event = "announce_failed", error);
        tokio::time::sleep(ANNOUNCE_PAUSE).await;
    }
    tracing::info!(event = "announced", peers = &*announcement.peers);
}

/// Whether the platform has been read since the record was written, and lacks it. A
/// later timeline is read whole after the write; in the same one that takes time to show.
fn has_lost_announcement(driver: &Driver, value: &Bytes, written: Written) -> bool {
    let (tables, table) = (&driver.peers.tables, TableName::Instances);
    if driver.is_stopping() || !tables.is_loaded(table) {
        return false;
    }
    let is_later = tables.position(table).timeline > written.timeline;
    let was_read = tables.compared_at(table).is_some_and(|at| at > written.at + KNOWN_AFTER);
    (is_later || was_read) && !tables.has_value(table, &driver.settings.name, Some(value))
}

/// Looks after what an earlier timeline had and this one lacks, for as long as the process
/// runs.
pub async fn run(driver: Rc<Driver>) {
    loop {
        tokio::time::sleep(LOOK_PAUSE.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        rewrite_lost(&driver).await;
        give_up(&driver, TableName::Endpoints, ENDPOINTS_BACK);
        give_up(&driver, TableName::Config, ORDERS_BACK);
        give_up(&driver, TableName::Instances, INSTANCES_BACK);
    }
}

/// Writes again what is held back, or was released, and the platform has lost.
async fn rewrite_lost(driver: &Rc<Driver>) {
    let table = TableName::Quarantine;
    let Some(since) = driver.peers.tables.renewed_at(table) else { return };
    for record in driver.peers.tables.carried_over(table) {
        let due = since + FIRST_WRITER + NEXT_WRITER * rank(driver, &record.key);
        if driver.now() < due {
            continue;
        }
        let Record { key, value, .. } = record;
        let is_removal = value.is_none();
        match write(driver, table, key.clone(), value.as_ref()).await {
            Ok(()) => {
                driver.metrics.count("relay.records_rewritten", 1);
                tracing::warn!(event = "quarantine_rewritten", content = &*key, is_removal);
            }
            Err(error) => tracing::warn!(event = "quarantine_unwritten", content = &*key, error),
        }
        if let Err(error) = follow::read_back(driver, table).await {
            tracing::info!(event = "quarantine_unread", content = &*key, error = %error);
        }
    }
}

/// This instance's place among those that may write a record again, which all agree on.
fn rank(driver: &Driver, key: &str) -> u32 {
    let seed = xxh3::xxh3_64(key.as_bytes());
    let weight = |name: &str| xxh3::xxh3_64_with_seed(name.as_bytes(), seed);
    let own = weight(&driver.settings.name);
    let alive: Vec<InstanceName> = driver.peers.alive(driver.now());
    alive.iter().filter(|name| weight(name) < own).count() as u32
}

/// What others have not written again in time is not in force any more. Times in which
/// the store could not be read do not count.
fn give_up(driver: &Rc<Driver>, name: TableName, within: Duration) {
    let tables = &driver.peers.tables;
    let Some(since) = tables.renewed_at(name) else { return };
    let is_over = tables.compared_at(name).is_some_and(|at| at >= since + within);
    let is_fresh = tables.age(driver.now()).is_some_and(|age| age <= readers::STALE_AFTER);
    if !is_over || !is_fresh {
        return;
    }
    let changed = tables.drop_carried_over(name);
    if !changed.is_empty() {
        let (table, count) = (name.name(), changed.len());
        driver.metrics.count("relay.records_given_up", count as u64);
        tracing::warn!(event = "records_given_up", table, count);
        tables::apply(driver, name, "store", changed);
    }
}

/// One write.
///
/// # Errors
/// Why the store did not take it.
pub async fn write(
    driver: &Driver,
    table: TableName,
    key: Arc<str>,
    value: Option<&Bytes>,
) -> Result<(), String> {
    let written = (driver.platform.store.write)(table, key, value.cloned());
    match tokio::time::timeout(WRITE_TIMEOUT, written).await {
        Ok(written) => written.map_err(|error: StoreError| error.to_string()),
        Err(_) => Err("timed out".to_owned()),
    }
}
