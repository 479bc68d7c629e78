//! Keeps the copies of the platform's tables up to date.
//!
//! Each table is read whole once and followed from there. The store is scarce:
//! only the readers ([`readers`]) call it, one call at a time for each table,
//! with a pause that grows while it fails, and a counter. The other instances
//! ask a reader ([`crate::peers`]); one that gets no fresh answer calls the
//! store itself.
//!
//! Once any answer of the store names a later timeline, each table is read whole, and
//! answers of earlier timelines that still come are dropped.

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
    surroundings::{Page, Read, StoreCall, StoreError, TableName},
    tables,
};

/// Longest time of a call beyond its wait. Only a guard against a store that
/// never ends its answer: one that says nothing any more is noticed sooner
/// ([`crate::pool::Pool::fetch`]), and one that goes on sending is heard out,
/// since whatever is cut off has to be sent again from its beginning.
const LONGEST_CALL: Duration = Duration::from_secs(30);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls in a row.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);
/// Pause before an instance looks again whether it has to read the store.
const LOOK_PAUSE: Duration = Duration::from_millis(150);
/// Instances that do not read for others give the readers so long to tell them of a
/// later timeline: were all to read all tables whole at once, the store would turn some
/// away, and the operators with them.
const TIMELINE_SPREAD: Duration = Duration::from_millis(800);
/// Instances of a platform begin together; their first calls do not.
const START_JITTER: Duration = Duration::from_millis(60);

/// Follows a table for as long as the process runs.
pub async fn run(driver: Rc<Driver>, name: TableName) {
    let mut failures = 0_u32;
    tokio::time::sleep(START_JITTER.mul_f64(rand::rng().random())).await;
    loop {
        if !driver.peers.reads_store(driver.now()) {
            tokio::time::sleep(LOOK_PAUSE).await;
            continue;
        }
        await_tellers(&driver, name).await;
        let asked = driver.now();
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

/// The configuration and what is held back are waited for at the store; the other
/// tables change all the time, so each answer would come at once.
fn pause_after(name: TableName) -> Option<Duration> {
    match name {
        TableName::Config => None,
        TableName::Endpoints => Some(readers::READ_INTERVAL),
        TableName::Instances => Some(readers::INSTANCES_INTERVAL),
        TableName::Quarantine => None,
    }
}

/// Takes in at once what was just written to a table.
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

/// The store's timeline, if it is later than that of a table.
fn later_timeline(driver: &Driver, name: TableName) -> Option<Timeline> {
    let timeline = (driver.platform.store.timeline)();
    (timeline > driver.peers.tables.position(name).timeline).then_some(timeline)
}

/// Ends once the store's timeline is later than that of a table.
async fn wait_for_timeline(driver: &Driver, name: TableName) {
    while later_timeline(driver, name).is_none() {
        tokio::time::sleep(readers::READ_INTERVAL).await;
    }
}

/// Gives the readers time to tell of a later timeline, unless this instance is one.
async fn await_tellers(driver: &Driver, name: TableName) {
    let is_teller = driver.peers.is_reader(driver.now());
    if is_teller || !driver.peers.tables.is_loaded(name) || later_timeline(driver, name).is_none() {
        return;
    }
    let until = driver.now() + TIMELINE_SPREAD.mul_f64(rand::rng().random());
    while driver.now() < until && later_timeline(driver, name).is_some() {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Looks at all tables that requests go by, at once: whoever follows them may be in a
/// pause.
pub async fn refresh_tables(driver: Rc<Driver>) {
    let urgent = [TableName::Config, TableName::Endpoints, TableName::Quarantine];
    let reads = urgent.map(|name| read_back(&driver, name));
    for (name, read) in urgent.into_iter().zip(future::join_all(reads).await) {
        if let Err(error) = read {
            tracing::info!(event = "look_failed", table = name.name(), error = %error);
        }
    }
}

/// One call and what it brings.
async fn step(driver: &Rc<Driver>, name: TableName) -> Result<(), StoreError> {
    let tables = &driver.peers.tables;
    if !tables.is_loaded(name) || later_timeline(driver, name).is_some() {
        return read_whole(driver, name).await.map(drop);
    }
    let wait = match name {
        TableName::Config => readers::READ_INTERVAL,
        TableName::Quarantine => readers::LONG_POLL_WAIT,
        TableName::Endpoints | TableName::Instances => Duration::ZERO,
    };
    let read = Box::pin(read_on(driver, name, tables.position(name), wait));
    if wait <= readers::READ_INTERVAL {
        return read.await;
    }
    // What waits for longer may wait for something that an earlier timeline had.
    match future::select(read, Box::pin(wait_for_timeline(driver, name))).await {
        Either::Left((read, _)) => read,
        Either::Right(_) => Ok(()),
    }
}

/// Reads what a table's log has behind that position.
async fn read_on(
    driver: &Rc<Driver>,
    name: TableName,
    from: Position,
    wait: Duration,
) -> Result<(), StoreError> {
    let tables = &driver.peers.tables;
    driver.metrics.count("relay.store_reads", 1);
    let asked = driver.now();
    let read = (driver.platform.store.read)(name, from.offset, wait);
    match limited(wait, read).await? {
        Read::Records { records, end, has_more, timeline } => {
            note_read(driver, name, &records, asked);
            if timeline.is_some_and(|timeline| timeline < from.timeline) {
                return Err(outdated(driver, name, timeline));
            }
            let is_same = timeline.is_none_or(|timeline| timeline == from.timeline);
            if !is_same || tables.position(name).timeline != from.timeline {
                // The offset that was asked for is another one now.
                return Ok(());
            }
            let changed = tables.apply_changes(name, records, end);
            if !has_more {
                tables.mark_compared(name, asked);
            }
            tables::apply(driver, name, "store", changed);
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

/// Reads the newest record of every key. The pages are no snapshot: whatever
/// is written meanwhile is read again from where the log ended at first, which is
/// returned.
async fn read_whole(driver: &Rc<Driver>, name: TableName) -> Result<Position, StoreError> {
    let asked = driver.now();
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
    note_read(driver, name, &records, asked);
    let known = tables.position(name);
    let end = Position { timeline: timeline.unwrap_or(known.timeline), offset };
    if end.timeline < known.timeline || later_timeline(driver, name) > Some(end.timeline) {
        return Err(outdated(driver, name, timeline));
    }
    let before = (tables.is_loaded(name), known);
    let changed = tables.apply_listing(name, records, end);
    tables::record_timeline(driver, name, "store", before);
    tables.mark_compared(name, asked);
    tables::apply(driver, name, "store", changed);
    Ok(end)
}

async fn read_page(
    driver: &Driver,
    name: TableName,
    after: Option<Arc<str>>,
) -> Result<Page, StoreError> {
    driver.metrics.count("relay.store_reads", 1);
    limited(Duration::ZERO, (driver.platform.store.newest)(name, after)).await
}

/// An answer belongs to an earlier timeline than one that was seen.
fn outdated(driver: &Driver, name: TableName, told: Option<Timeline>) -> StoreError {
    let known = (driver.platform.store.timeline)().max(driver.peers.tables.position(name).timeline);
    StoreError::Outdated { timeline: told.unwrap_or_default().0, newest: known.0 }
}

/// Guards against reading the same table whole again and again, without a pause, from
/// a store whose log is shorter than it was and that names no timeline.
fn check_length(read: Position, end: Position) -> Result<(), StoreError> {
    if end.timeline == read.timeline && end.offset < read.offset {
        return Err(StoreError::Shortened { end: end.offset, read: read.offset });
    }
    Ok(())
}

/// Counts what the store sent, and logs it if that was much.
fn note_read(driver: &Driver, name: TableName, records: &[Record], asked: Duration) {
    let bytes = records.iter().map(Record::bytes).sum::<usize>() as u64;
    driver.metrics.count("relay.store_bytes", bytes);
    if bytes >= tables::MIN_LOGGED_BYTES {
        let took_ms = driver.now().saturating_sub(asked).as_millis() as u64;
        tracing::info!(event = "store_read", table = name.name(), bytes, took_ms);
    }
}

async fn limited<T>(wait: Duration, call: StoreCall<T>) -> Result<T, StoreError> {
    match tokio::time::timeout(wait + LONGEST_CALL, call).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::TimedOut),
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.9..1.1))
}
