//! The platform's list of versions and its log of the streams that they began.
//!
//! Both outlive all instances. They are read when a stream is taken up that no instance
//! remembers, and by one call for all such streams at a time. Each write to the list is
//! conditional on the end of the list's log, so that no instance overwrites a version that
//! another one has just added.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use peatdeck_core::relay::{
    StoredOrigins,
    model::ServiceName,
    position::Timeline,
    registry::Versions,
    streams::{StoredRecord, StreamRecord},
};
use peatdeck_wire::streams::{self as wire, LoggedStreams};

use crate::{
    driver::Driver,
    repair::WRITE_TIMEOUT,
    surroundings::{LogRead, StoreCall, StoreError, VersionList},
};

/// Longest time of a read. Callers wait for it.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time of an append to the log, which waits for up to two seconds at the store.
const APPEND_TIMEOUT: Duration = Duration::from_millis(2500);
/// Shortest time between the beginnings of two reads, so that many streams that are taken up
/// one after the other do not use up the calls that the store allows.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Attempts to write to the list while other instances write to it too.
const MAX_ATTEMPTS: usize = 8;
/// Calls for one read of the log, of a megabyte each.
const MAX_READS: usize = 16;
/// The most streams of one record of the log, 128 KB.
const MAX_RECORD: usize = 16_000;

/// How far this instance has read the log of streams.
#[derive(Debug, Default)]
pub struct Origins {
    /// The offset from which the log is read next.
    next: Cell<u64>,
    /// Streams that were read while a later part of the log could not be.
    pending: RefCell<Vec<StoredRecord>>,
    /// When the last read began.
    read_at: Cell<Option<Duration>>,
    /// The store's timeline of that offset and of the list.
    timeline: Cell<Timeline>,
}

/// Has the store list versions of a service, unless it does.
pub async fn list(driver: Rc<Driver>, service: ServiceName, versions: Versions, delay: Duration) {
    tokio::time::sleep(delay).await;
    // An instance that does not wait for others writes in any case.
    let is_forced = delay.is_zero();
    let listed = update(&driver, &service, MAX_ATTEMPTS, |listed| {
        let all: Versions = listed.union(&versions).cloned().collect();
        (is_forced || all != *listed).then_some(all)
    });
    finish(&driver, &service, listed.await);
}

/// Has the store list these versions of a service only, unless another instance changes the list
/// meanwhile: versions may have come that the decision did not take into account.
pub async fn prune(driver: Rc<Driver>, service: ServiceName, versions: Versions) {
    let listed = update(&driver, &service, 1, |listed| {
        let left: Versions = listed.intersection(&versions).cloned().collect();
        (left != *listed && !left.is_empty()).then_some(left)
    });
    finish(&driver, &service, listed.await);
}

fn finish(driver: &Rc<Driver>, service: &ServiceName, listed: Result<Versions, StoreError>) {
    match listed {
        Ok(listed) => {
            driver.metrics.count("relay.versions_listed", 1);
            let versions = listed.iter().map(|it| &**it).collect::<Vec<_>>().join(" ");
            tracing::info!(event = "versions_listed", service = &**service, versions);
            driver.feed(|machine, now| machine.on_versions_listed(now, service, listed));
        }
        Err(error) => {
            driver.metrics.count("relay.versions_unlisted", 1);
            tracing::warn!(event = "versions_unlisted", service = &**service, error = %error);
        }
    }
}

/// Reads the list and writes what `change` makes of a service's versions, if it changes them.
/// Returns the versions that are listed then.
async fn update(
    driver: &Rc<Driver>,
    service: &ServiceName,
    attempts: usize,
    change: impl Fn(&Versions) -> Option<Versions>,
) -> Result<Versions, StoreError> {
    let store = &driver.platform.store.origins;
    for _ in 0..attempts {
        let VersionList { mut services, end } =
            within(WRITE_TIMEOUT, (store.read_versions)()).await?;
        note_timeline(driver);
        let listed = services.remove(service).unwrap_or_default();
        let Some(changed) = change(&listed) else { return Ok(listed) };
        let written = (store.write_versions)(service.clone(), changed.clone(), end);
        match within(WRITE_TIMEOUT, written).await {
            Ok(()) => return Ok(changed),
            Err(StoreError::Advanced(_)) => {}
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::TimedOut)
}

/// Appends the versions that began streams to the log, and passes those that could not be
/// appended to the machine.
pub async fn append(driver: Rc<Driver>, records: Vec<StreamRecord>) {
    let written = driver.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let mut failed = Vec::new();
    for part in records.chunks(MAX_RECORD) {
        let bytes = wire::write_logged(&LoggedStreams { records: part.to_vec(), written });
        let len = bytes.len() as u64;
        let call = (driver.platform.store.origins.append_streams)(Bytes::from(bytes));
        match within(APPEND_TIMEOUT, call).await {
            Ok(()) => {
                driver.metrics.count("relay.streams_logged", part.len() as u64);
                driver.metrics.count("relay.stream_log_bytes", len);
            }
            Err(error) => {
                driver.metrics.count("relay.streams_unlogged", part.len() as u64);
                tracing::info!(event = "streams_unlogged", count = part.len(), error = %error);
                failed.extend_from_slice(part);
            }
        }
    }
    driver.feed(|machine, now| machine.on_streams_appended(now, failed));
}

/// Reads the list of versions and passes it to the machine, which asks again after a failure.
pub async fn read_list(driver: Rc<Driver>) {
    let read = within(WRITE_TIMEOUT, (driver.platform.store.origins.read_versions)()).await;
    note_timeline(&driver);
    match read {
        Ok(list) => {
            driver.metrics.count("relay.versions_listed", 1);
            driver.feed(|machine, now| machine.on_versions_read(now, list.services));
        }
        Err(error) => {
            driver.metrics.count("relay.versions_unlisted", 1);
            tracing::warn!(event = "versions_unread", error = %error);
        }
    }
}

/// Reads the list of versions, and the log of streams if a service has several versions, and
/// passes them to the machine.
pub async fn read(driver: Rc<Driver>) {
    let next_read = driver.origins.read_at.get().map_or(Duration::ZERO, |at| at + READ_INTERVAL);
    tokio::time::sleep(next_read.saturating_sub(driver.now())).await;
    let started = driver.now();
    driver.origins.read_at.set(Some(started));
    driver.metrics.count("relay.origins_read", 1);
    let read = within(READ_TIMEOUT, Box::pin(read_all(driver.clone()))).await;
    let took_ms = driver.now().saturating_sub(started).as_millis() as u64;
    match &read {
        Ok(stored) => {
            let (services, streams) = (stored.versions.len(), stored.streams.len());
            tracing::info!(event = "origins_read", services, streams, took_ms);
        }
        Err(error) => {
            driver.metrics.count("relay.origins_unread", 1);
            tracing::warn!(event = "origins_unread", error = %error, took_ms);
        }
    }
    driver.feed(|machine, now| machine.on_origins_read(now, read.ok()));
}

async fn read_all(driver: Rc<Driver>) -> Result<StoredOrigins, StoreError> {
    let VersionList { services: versions, .. } =
        (driver.platform.store.origins.read_versions)().await?;
    note_timeline(&driver);
    let has_several = |(service, listed): (&ServiceName, &Versions)| {
        let seen = driver.inspect(|machine| machine.directory().versions(service));
        listed.union(&seen).collect::<BTreeSet<_>>().len() > 1
    };
    let serve_several = driver.inspect(|machine| machine.directory().max_versions() > 1);
    let streams = match serve_several || versions.iter().any(has_several) {
        true => read_streams(&driver).await?,
        false => Vec::new(),
    };
    Ok(StoredOrigins { versions, streams })
}

/// Reads what was appended to the log since this instance last read it.
async fn read_streams(driver: &Rc<Driver>) -> Result<Vec<StoredRecord>, StoreError> {
    let origins = &driver.origins;
    let wall = driver.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    for _ in 0..MAX_READS {
        let read = (driver.platform.store.origins.read_streams)(origins.next.get()).await?;
        match read {
            LogRead::Expired(first) => origins.next.set(first),
            LogRead::Records { records, end, has_more } => {
                let streams = records.iter().flat_map(|record| decode(driver, record, wall));
                origins.pending.borrow_mut().extend(streams);
                origins.next.set(end);
                if !has_more {
                    return Ok(origins.pending.take());
                }
            }
        }
    }
    Err(StoreError::TimedOut)
}

/// The streams of a record. One that cannot be read is ignored, since anybody may write to the
/// platform's topics.
fn decode(driver: &Driver, record: &[u8], wall: Duration) -> Vec<StoredRecord> {
    match wire::read_logged(record) {
        Ok(LoggedStreams { records, written }) => {
            let age = wall.saturating_sub(written);
            records.into_iter().map(|record| StoredRecord { record, age }).collect()
        }
        Err(error) => {
            driver.metrics.count("relay.streams_unreadable", 1);
            tracing::warn!(event = "streams_unreadable", error = %error);
            Vec::new()
        }
    }
}

/// Begins anew if the store was restored from an older copy.
pub fn note_timeline(driver: &Rc<Driver>) {
    let timeline = (driver.platform.store.timeline)();
    let known = driver.origins.timeline.replace(timeline);
    if timeline > known && known > Timeline::default() {
        driver.origins.next.set(0);
        driver.feed(|machine, now| machine.on_store_restored(now));
    }
}

async fn within<T>(limit: Duration, call: StoreCall<T>) -> Result<T, StoreError> {
    tokio::time::timeout(limit, call).await.unwrap_or(Err(StoreError::TimedOut))
}
