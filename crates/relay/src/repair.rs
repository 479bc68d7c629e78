//! Writes records again that the platform's store has lost.
//!
//! A write that the store has acknowledged is durable only within one timeline of its
//! log. The operators and the endpoints write their own records again, each instance its
//! announcement, and all instances together the records and removals of the quarantine table
//! and of the table of rollouts.
//! None of this relies on detecting a loss: the expected records are compared with those
//! in the table.

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
    follow, origins,
    peers::Announcement,
    rollouts,
    surroundings::{StoreError, TableName},
    table_changes, tables,
};

/// Time limit of one write.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before this instance retries to write its announcement.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(600);
/// Interval of the checks for records that have to be written again.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A copy of the table of instances that was compared with the store this long after a
/// write contains what was written: readers read the table every two seconds, the other
/// instances receive it from them.
const VISIBLE_AFTER: Duration = Duration::from_secs(5);
/// Longest delay before an instance writes its announcement again while somebody else
/// keeps overwriting it.
const MAX_REWRITE_DELAY: Duration = Duration::from_secs(60);
/// Time after which the first instance in rank writes a lost record again.
const FIRST_WRITER_DELAY: Duration = Duration::from_millis(200);
/// Additional time for each further rank, if the record is still missing.
const NEXT_WRITER_DELAY: Duration = Duration::from_secs(1);
/// Time for endpoints to write their records again, which takes them about two seconds.
const ENDPOINTS_GRACE: Duration = Duration::from_secs(2);
/// Time for operators to write their commands again. An evacuation withdrawn meanwhile
/// stays in force this long; one still wanted ends too soon if they need longer.
const COMMANDS_GRACE: Duration = Duration::from_secs(5);
/// Time for instances to write their announcements again; some may be cut off from the
/// store.
const INSTANCES_GRACE: Duration = Duration::from_secs(10);

/// Writes this instance's announcement, with retries, and again whenever the platform's
/// table lacks it.
pub async fn announce(driver: Rc<Driver>) {
    let settings = &driver.settings;
    let announcement = Announcement {
        peers: Arc::from(settings.peers.to_string()),
        place: settings.data_centre.clone(),
        strength: settings.millicores,
    };
    let value = serde_json::to_vec(&announcement).expect("names and a number are JSON");
    let value = Bytes::from(value);
    let mut delay = Duration::ZERO;
    loop {
        write_announcement(&driver, &announcement, &value).await;
        let written =
            AcknowledgedWrite { at: driver.now(), timeline: (driver.platform.store.timeline)() };
        tokio::time::sleep(delay).await;
        while !has_lost_announcement(&driver, &value, written) {
            tokio::time::sleep(CHECK_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        }
        let is_missing = driver.peers.tables.has_value(TableName::Instances, &settings.name, None);
        driver.metrics.count("relay.records_rewritten", 1);
        tracing::warn!(event = "announcement_lost", is_missing);
        delay = if is_missing {
            Duration::ZERO
        } else {
            (delay * 2).clamp(VISIBLE_AFTER, MAX_REWRITE_DELAY)
        };
    }
}

/// An acknowledged write.
#[derive(Debug, Clone, Copy)]
struct AcknowledgedWrite {
    at: Duration,
    /// The store's timeline at that time.
    timeline: Timeline,
}

async fn write_announcement(driver: &Rc<Driver>, announcement: &Announcement, value: &Bytes) {
    let name = &driver.settings.name;
    while let Err(error) = write(driver, TableName::Instances, name.clone(), Some(value)).await {
        tracing::warn!(event = "announce_failed", error);
        tokio::time::sleep(ANNOUNCE_DELAY).await;
    }
    tracing::info!(event = "announced", peers = &*announcement.peers);
}

/// Whether the table of instances has been read since the write and lacks the
/// announcement. A copy of a later timeline was read whole after the write; within the same
/// timeline the copy shows the write only after [`VISIBLE_AFTER`].
fn has_lost_announcement(driver: &Driver, value: &Bytes, written: AcknowledgedWrite) -> bool {
    let (tables, table) = (&driver.peers.tables, TableName::Instances);
    if driver.is_stopping() || !tables.is_loaded(table) {
        return false;
    }
    let is_later = tables.position(table).timeline > written.timeline;
    let was_read = tables.compared_at(table).is_some_and(|at| at > written.at + VISIBLE_AFTER);
    (is_later || was_read) && !tables.has_value(table, &driver.settings.name, Some(value))
}

/// Handles records that an earlier timeline had and the current one lacks, for as long as
/// the process runs.
pub async fn run(driver: Rc<Driver>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2))).await;
        origins::note_timeline(&driver);
        rewrite_lost(&driver).await;
        rewrite_lost_rollouts(&driver).await;
        drop_carried_over(&driver, TableName::Endpoints, ENDPOINTS_GRACE);
        drop_carried_over(&driver, TableName::Config, COMMANDS_GRACE);
        drop_carried_over(&driver, TableName::Instances, INSTANCES_GRACE);
    }
}

/// Writes lost records and removals of the quarantine table again.
async fn rewrite_lost(driver: &Rc<Driver>) {
    let table = TableName::Quarantine;
    let Some(since) = driver.peers.tables.renewed_at(table) else { return };
    for record in driver.peers.tables.carried_over(table) {
        let write_at = since + FIRST_WRITER_DELAY + NEXT_WRITER_DELAY * rank(driver, &record.key);
        if driver.now() < write_at {
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

/// Writes states of rollouts again, while a rollout is ordered. As with all writes to that
/// table, each is conditional.
async fn rewrite_lost_rollouts(driver: &Rc<Driver>) {
    let (tables, table) = (&driver.peers.tables, TableName::Rollouts);
    let Some(since) = tables.renewed_at(table).filter(|_| tables.rollouts_since().is_some()) else {
        return;
    };
    for record in tables.carried_over(table) {
        let is_ours = matches!((driver.platform.read_rollout)(&record), Ok(Some(_)));
        let write_at = since + FIRST_WRITER_DELAY + NEXT_WRITER_DELAY * rank(driver, &record.key);
        if !is_ours || driver.now() < write_at {
            continue;
        }
        let key = tables::truncate(&record.key);
        match rollouts::rewrite(driver, &record).await {
            Ok(()) => {
                driver.metrics.count("relay.records_rewritten", 1);
                tracing::warn!(event = "rollout_rewritten", key);
            }
            Err(error) => tracing::warn!(event = "rollout_unwritten", key, error),
        }
    }
}

/// This instance's rank among those that may write a record again, by rendezvous hashing,
/// so that all instances agree on the order.
fn rank(driver: &Driver, key: &str) -> u32 {
    let seed = xxh3::xxh3_64(key.as_bytes());
    let weight = |name: &str| xxh3::xxh3_64_with_seed(name.as_bytes(), seed);
    let own = weight(&driver.settings.name);
    let alive: Vec<InstanceName> = driver.peers.alive(driver.now());
    alive.iter().filter(|name| weight(name) < own).count() as u32
}

/// Drops carried-over records that others have not written again in time. Time in which
/// the store could not be read does not count.
fn drop_carried_over(driver: &Rc<Driver>, name: TableName, within: Duration) {
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
        table_changes::apply(driver, name, "store", changed);
    }
}

/// Writes one record to the store, or removes the key if `value` is `None`.
///
/// # Errors
/// The store's error, or a timeout.
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
