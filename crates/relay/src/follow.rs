//! Keeps the copies of the platform's tables up to date.
//!
//! Each table is read whole once, and its log is followed from there. The store's
//! capacity is scarce: only the readers ([`readers`]) call it, one call at a time for
//! each table, with a backoff after failures, and each call is counted. The other
//! instances request the tables from a reader ([`crate::peers`]); an instance that gets
//! no fresh reply calls the store itself.
//!
//! Once any answer of the store names a later timeline, each table is read whole
//! again, and late answers of earlier timelines are dropped.

use std::{rc::Rc, sync::Arc, time::Duration};

use futures::future::{self, Either};
use peatdeck_core::relay::{
    position::{Position, Timeline},
    readers,
    table::Record,
};
use rand::Rng;

use crate::{
    driver::Driver,
    rollouts,
    surroundings::{Page, Read, StoreCall, StoreError, TableName},
    table_changes, tables,
};

/// Time limit of a call beyond its wait. It guards only against a store that never
/// ends its answer: a silent store is noticed sooner ([`crate::pool::Pool::fetch`]),
/// and a slow answer is read to its end, since an aborted one would have to be sent
/// again from its beginning.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Longest delay after consecutive failed calls.
const MAX_BACKOFF: Duration = Duration::from_millis(1200);
/// Interval at which an instance checks whether it has to read the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// After the timeline has changed, instances that are no readers wait for up to this
/// time for a reader to send the new one: if all instances read all tables whole at
/// once, the store would refuse some calls, those of operators among them.
const TIMELINE_JITTER: Duration = Duration::from_millis(800);
/// Instances of a platform start at the same time; this spreads their first calls.
const START_JITTER: Duration = Duration::from_millis(60);

/// Follows a table for as long as the process runs.
pub async fn run(driver: Rc<Driver>, name: TableName) {
    let mut failures = 0_u32;
    tokio::time::sleep(START_JITTER.mul_f64(rand::rng().random())).await;
    loop {
        if name == TableName::Rollouts {
            rollouts::update_followed(&driver);
        }
        if !driver.peers.reads_store(driver.now(), name) {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        wait_for_readers(&driver, name).await;
        let started = driver.now();
        match step(&driver, name).await {
            Ok(()) => {
                if failures > 0 {
                    tracing::info!(event = "store_regained", table = name.name(), failures);
                }
                failures = 0;
                if let Some(pause) = pause_after(name) {
                    let pause = Box::pin(tokio::time::sleep(jittered(pause)));
                    future::select(pause, Box::pin(wait_for_timeline(&driver, name))).await;
                }
            }
            Err(error) => {
                driver.metrics.count("relay.store_failed", 1);
                let took_ms = driver.now().saturating_sub(started).as_millis() as u64;
                let table = name.name();
                match failures {
                    0 => tracing::warn!(event = "store_lost", table, took_ms, error = %error),
                    _ => {
                        tracing::info!(event = "store_failed", table, failures, took_ms, error = %error)
                    }
                }
                failures += 1;
                tokio::time::sleep(backoff(&driver, failures)).await;
            }
        }
    }
}

/// How long to wait after consecutive failed calls.
fn backoff(driver: &Driver, failures: u32) -> Duration {
    let pause = INITIAL_BACKOFF * 2_u32.saturating_pow(failures.min(8) - 1);
    let region_rank = driver.peers.region_rank(driver.now());
    match region_rank.map(|region_rank| region_rank.max_backoff(MAX_BACKOFF)) {
        Some(max) if max > MAX_BACKOFF => pause + max.mul_f64(rand::rng().random()),
        _ => jittered(pause.min(MAX_BACKOFF)),
    }
}

/// How long to wait between two reads of a table. Changes of the configuration, the
/// quarantine table and the table of rollouts are awaited by long polling; the other
/// tables change all the time, so a long poll would return at once.
fn pause_after(name: TableName) -> Option<Duration> {
    match name {
        TableName::Config => None,
        TableName::Endpoints => Some(readers::READ_INTERVAL),
        TableName::Instances => Some(readers::INSTANCES_INTERVAL),
        TableName::Quarantine | TableName::Rollouts => None,
    }
}

/// Reads a table right after this instance has written to it.
///
/// # Errors
/// If the store does not answer.
pub async fn read_back(driver: &Rc<Driver>, name: TableName) -> Result<(), StoreError> {
    let tables = &driver.peers.tables;
    if !tables.is_loaded(name) || later_timeline(driver, name).is_some() {
        return read_whole(driver, name).await.map(drop);
    }
    read_on(driver, name, tables.position(name), Duration::ZERO).await
}

/// The store's timeline, if it is later than that of the table's copy.
fn later_timeline(driver: &Driver, name: TableName) -> Option<Timeline> {
    let timeline = (driver.platform.store.timeline)();
    (timeline > driver.peers.tables.position(name).timeline).then_some(timeline)
}

/// Returns once the store's timeline is later than that of the table's copy.
async fn wait_for_timeline(driver: &Driver, name: TableName) {
    while later_timeline(driver, name).is_none() {
        tokio::time::sleep(readers::READ_INTERVAL).await;
    }
}

/// Gives the readers time to send the tables of a later timeline, unless this instance is
/// a reader.
async fn wait_for_readers(driver: &Driver, name: TableName) {
    let is_reader = driver.peers.is_reader(driver.now());
    if is_reader || !driver.peers.tables.is_loaded(name) || later_timeline(driver, name).is_none() {
        return;
    }
    let until = driver.now() + TIMELINE_JITTER.mul_f64(rand::rng().random());
    while driver.now() < until && later_timeline(driver, name).is_some() {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Reads all tables that requests depend on, without waiting for the next regular read.
pub async fn refresh_tables(driver: Rc<Driver>) {
    let followed = driver.peers.tables.followed().iter();
    let urgent: Vec<_> = followed.filter(|name| **name != TableName::Instances).collect();
    let reads = urgent.iter().map(|name| read_back(&driver, **name));
    for (name, read) in urgent.iter().zip(future::join_all(reads).await) {
        if let Err(error) = read {
            tracing::info!(event = "look_failed", table = name.name(), error = %error);
        }
    }
}

/// Makes one call to the store and applies its result.
async fn step(driver: &Rc<Driver>, name: TableName) -> Result<(), StoreError> {
    let tables = &driver.peers.tables;
    if !tables.is_loaded(name) || later_timeline(driver, name).is_some() {
        return read_whole(driver, name).await.map(drop);
    }
    let wait = match name {
        // A copy counts as compared once a poll has ended, and copies of these tables must not
        // be older than `readers::STALE_AFTER`.
        TableName::Config | TableName::Rollouts => readers::READ_INTERVAL,
        TableName::Quarantine => readers::LONG_POLL_WAIT,
        TableName::Endpoints | TableName::Instances => Duration::ZERO,
    };
    let read = Box::pin(read_on(driver, name, tables.position(name), wait));
    if wait <= readers::READ_INTERVAL {
        return read.await;
    }
    // A long poll may wait at an offset of an earlier timeline.
    match future::select(read, Box::pin(wait_for_timeline(driver, name))).await {
        Either::Left((read, _)) => read,
        Either::Right(_) => Ok(()),
    }
}

/// Reads a table's log from a position on.
async fn read_on(
    driver: &Rc<Driver>,
    name: TableName,
    from: Position,
    wait: Duration,
) -> Result<(), StoreError> {
    let tables = &driver.peers.tables;
    driver.metrics.count("relay.store_reads", 1);
    let started = driver.now();
    let read = (driver.platform.store.read)(name, from.offset, wait);
    match with_timeout(wait, read).await? {
        Read::Records { records, end, has_more, timeline } => {
            record_read(driver, name, &records, started);
            if timeline.is_some_and(|timeline| timeline < from.timeline) {
                return Err(outdated(driver, name, timeline));
            }
            let is_same = timeline.is_none_or(|timeline| timeline == from.timeline);
            if !is_same || tables.position(name).timeline != from.timeline {
                // The timeline changed, so the requested offset names another record now.
                return Ok(());
            }
            let changed = tables.apply_changes(name, records, end);
            if !has_more {
                tables::mark_compared(driver, name, started);
            }
            table_changes::apply(driver, name, "store", changed);
            Ok(())
        }
        Read::Expired => {
            driver.metrics.count("relay.store_expired", 1);
            let (table, offset) = (name.name(), from.offset);
            tracing::info!(event = "table_expired", table, offset);
            check_length(from, read_whole(driver, name).await?)
        }
    }
}

/// Reads the newest record of every key. The pages are no consistent snapshot, so the
/// log is then followed from where it ended at the first page; that position is
/// returned.
async fn read_whole(driver: &Rc<Driver>, name: TableName) -> Result<Position, StoreError> {
    let started = driver.now();
    let tables = &driver.peers.tables;
    let first = read_page(driver, name, None).await?;
    let Page { mut records, next_after: mut after, end: offset, timeline } = first;
    while after.is_some() {
        let page = read_page(driver, name, after).await?;
        if page.timeline != timeline {
            return Err(outdated(driver, name, timeline));
        }
        records.extend(page.records);
        after = page.next_after;
    }
    record_read(driver, name, &records, started);
    let previous = tables.position(name);
    let end = Position { timeline: timeline.unwrap_or(previous.timeline), offset };
    if end.timeline < previous.timeline || later_timeline(driver, name) > Some(end.timeline) {
        return Err(outdated(driver, name, timeline));
    }
    let before = (tables.is_loaded(name), previous);
    let changed = tables.apply_listing(name, records, end);
    tables::record_timeline(driver, name, "store", before);
    tables::mark_compared(driver, name, started);
    table_changes::apply(driver, name, "store", changed);
    Ok(end)
}

async fn read_page(
    driver: &Driver,
    name: TableName,
    after: Option<Arc<str>>,
) -> Result<Page, StoreError> {
    driver.metrics.count("relay.store_reads", 1);
    with_timeout(Duration::ZERO, (driver.platform.store.newest)(name, after)).await
}

/// The error for an answer from an earlier timeline than the newest one seen.
fn outdated(driver: &Driver, name: TableName, timeline: Option<Timeline>) -> StoreError {
    let newest =
        (driver.platform.store.timeline)().max(driver.peers.tables.position(name).timeline);
    StoreError::Outdated { timeline: timeline.unwrap_or_default().0, newest: newest.0 }
}

/// Fails if the log is shorter than before in the same timeline. Without this error, and
/// the backoff after it, the table would be read whole in a loop.
fn check_length(read: Position, end: Position) -> Result<(), StoreError> {
    if end.timeline == read.timeline && end.offset < read.offset {
        return Err(StoreError::Shortened { end: end.offset, read: read.offset });
    }
    Ok(())
}

/// Counts the bytes that the store sent, and logs them if they are many.
fn record_read(driver: &Driver, name: TableName, records: &[Record], started: Duration) {
    let bytes = records.iter().map(Record::bytes).sum::<usize>() as u64;
    driver.metrics.count("relay.store_bytes", bytes);
    if bytes >= tables::MIN_LOGGED_BYTES {
        let took_ms = driver.now().saturating_sub(started).as_millis() as u64;
        tracing::info!(event = "store_read", table = name.name(), bytes, took_ms);
    }
}

async fn with_timeout<T>(wait: Duration, call: StoreCall<T>) -> Result<T, StoreError> {
    match tokio::time::timeout(wait + CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::TimedOut),
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.9..1.1))
}
