//! Writes states of rollouts to the platform's table, each on the condition that the log
//! still ends where this instance has read it.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use peatdeck_core::relay::{rollout::RolloutRecord, table::Record};
use rand::Rng;

use crate::{
    driver::Driver,
    follow, repair, rollouts,
    surroundings::{RolloutStatus, StoreError, TableName},
};

const TABLE: TableName = TableName::Rollouts;
/// Writes for other services also advance the log, so a write is tried again if the record
/// of its own service has not changed.
const MAX_ATTEMPTS: usize = 4;
/// Reads until the end of the log; the log grows by one record per phase of a rollout.
const MAX_READS: usize = 16;
/// Delay before the machine is told that the store failed, so that its next attempt does
/// not follow at once. A phase must not be late by much more than a read of the store.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Why a record was not written.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("the record has changed since the decision")]
    Overtaken,
    #[error("the log was advanced by others {MAX_ATTEMPTS} times in a row")]
    Contended,
    #[error("{0}")]
    Store(String),
}

impl From<StoreError> for Error {
    fn from(error: StoreError) -> Error {
        Error::Store(error.to_string())
    }
}

/// Writes the state of a rollout, and reads it back so that peers receive it from this
/// instance. If the record of the service changes before it is written, it is not written,
/// since the decision did not take that change into account.
pub fn write(driver: &Rc<Driver>, record: RolloutRecord) {
    let driver = driver.clone();
    let revision = driver.rollouts.revision(&record.service);
    rollouts::log_evidence(&driver, &record.service);
    let begun = driver.wall().checked_sub(record.age).unwrap_or(driver.wall());
    ntex::rt::spawn(async move {
        let status = RolloutStatus { record, begun };
        let written = write_status(&driver, &status, revision).await;
        finish(&driver, &status.record, written).await;
    });
}

async fn finish(driver: &Rc<Driver>, record: &RolloutRecord, written: Result<(), Error>) {
    let (service, version, phase) = (&*record.service, &*record.destination, record.phase);
    let Err(error) = written else {
        driver.metrics.count("relay.rollouts_written", 1);
        tracing::warn!(event = "rollout_written", service, version, phase = ?phase);
        return;
    };
    driver.metrics.count("relay.rollouts_unwritten", 1);
    tracing::warn!(event = "rollout_unwritten", service, version, phase = ?phase, error = %error);
    if matches!(error, Error::Store(_)) {
        let pause = FAILURE_PAUSE.mul_f64(rand::rng().random_range(0.8..1.2));
        tokio::time::sleep(pause).await;
    }
    driver.feed(|machine, now| machine.on_rollout_unwritten(now, service));
}

async fn write_status(
    driver: &Rc<Driver>,
    status: &RolloutStatus,
    revision: u64,
) -> Result<(), Error> {
    let _turn = driver.rollouts.write_turn.lock().await;
    let (key, value) = (driver.platform.encode_rollout)(status);
    let service = &status.record.service;
    let is_current = || driver.rollouts.revision(service) == revision;
    write_at_end(driver, key, Some(value), is_current).await
}

/// Writes a record again that an earlier timeline had and the current one lacks, unless
/// the key was written meanwhile.
///
/// # Errors
/// A message that names the reason.
pub async fn rewrite(driver: &Rc<Driver>, record: &Record) -> Result<(), String> {
    let _turn = driver.rollouts.write_turn.lock().await;
    let tables = &driver.peers.tables;
    let is_current = || tables.carried_over(TABLE).contains(record);
    let written = write_at_end(driver, record.key.clone(), record.value.clone(), is_current);
    written.await.map_err(|error| error.to_string())
}

/// Reads the table to its end and writes a record there, if it is still current then.
async fn write_at_end(
    driver: &Rc<Driver>,
    key: Arc<str>,
    value: Option<Bytes>,
    is_current: impl Fn() -> bool,
) -> Result<(), Error> {
    for _ in 0..MAX_ATTEMPTS {
        read_to_end(driver).await?;
        if !is_current() {
            return Err(Error::Overtaken);
        }
        let end = driver.peers.tables.position(TABLE).offset;
        let call = (driver.platform.store.write_at)(TABLE, key.clone(), value.clone(), end);
        let written = match tokio::time::timeout(repair::WRITE_TIMEOUT, call).await {
            Ok(Err(StoreError::Advanced(_))) => continue,
            Ok(written) => written,
            Err(_) => Err(StoreError::TimedOut),
        };
        // A write whose answer was lost may have taken effect, so the table tells.
        read_to_end(driver).await?;
        if driver.peers.tables.has_value(TABLE, &key, value.as_ref()) {
            return Ok(());
        }
        let unseen = || Error::Store("the table does not show the record".to_owned());
        return Err(written.err().map_or_else(unseen, Error::from));
    }
    Err(Error::Contended)
}

/// Reads the table up to the end that its log has now.
async fn read_to_end(driver: &Rc<Driver>) -> Result<(), StoreError> {
    let started = driver.now();
    for _ in 0..MAX_READS {
        follow::read_back(driver, TABLE).await?;
        if driver.peers.tables.compared_at(TABLE) >= Some(started) {
            return Ok(());
        }
    }
    Err(StoreError::TimedOut)
}
