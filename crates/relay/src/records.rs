//! Records of the platform's quarantine table.
//!
//! A record's key is the content's fingerprint. Its value is for people: which
//! instance wrote it, when, and how many endpoints crashed. Instances go only by the
//! existence of the record, and by when they received it on their own clock, since the
//! clocks of two instances may differ by any amount.

use std::{
    cmp::Reverse,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use peatdeck_core::relay::{fingerprint::Fingerprint, quarantine::QuarantineEntry, table::Record};
use peatdeck_macros::message;
use peatdeck_wire::operators::QuarantinedContent;

use crate::{driver::Driver, follow, repair, surroundings::TableName, tables};

/// Delay after the first failed write. It doubles with each failure, which limits the
/// writes of many contents during an outage of seconds.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Longest delay after a failed write.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);
/// Attempts to remove a record, which take about half a minute. A removal that failed is
/// requested again a minute later, or by an operator.
const MAX_REMOVALS: u32 = 20;

/// A record of the platform's quarantine table.
#[message]
pub struct QuarantineRecord {
    /// Number of endpoints that crashed while they ran the content.
    pub crashes: u32,
    /// The instance that wrote the record.
    pub by: Arc<str>,
    /// When it was written, in Unix milliseconds by that instance's clock.
    pub at_ms: u64,
}

/// Lists the contents that this instance has quarantined, for operators, oldest first.
pub fn list(driver: &Driver) -> Vec<QuarantinedContent> {
    let now = driver.now();
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let listed = |(content, entry): (Fingerprint, &QuarantineEntry)| QuarantinedContent {
        content: Arc::from(content.to_string()),
        crashes: entry.crashes,
        held_ms: millis(now.saturating_sub(entry.since)),
        left_ms: millis(entry.until.saturating_sub(now)),
        refused: entry.refused,
    };
    let mut all: Vec<_> = driver.inspect(|machine| machine.quarantined().map(listed).collect());
    all.sort_by_key(|listed| Reverse(listed.held_ms));
    all
}

/// Writes a content's record, or removes it if `crashes` is `None`, and retries until the
/// store has accepted that or the content is no longer quarantined. Then reads the table
/// back at once, so that peers receive the change from this instance.
pub async fn write(driver: Rc<Driver>, content: Fingerprint, crashes: Option<u32>) {
    let mut pause = INITIAL_BACKOFF;
    let is_quarantined =
        || driver.inspect(|machine| machine.quarantined().any(|(key, _)| key == content));
    let mut removals = 0..MAX_REMOVALS;
    while if crashes.is_some() { is_quarantined() } else { removals.next().is_some() } {
        match try_write(&driver, content, crashes).await {
            Ok(()) => return,
            Err(error) => {
                driver.metrics.count("relay.store_failed", 1);
                tracing::warn!(event = "quarantine_unwritten", %content, error);
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_BACKOFF);
    }
}

async fn try_write(
    driver: &Rc<Driver>,
    content: Fingerprint,
    crashes: Option<u32>,
) -> Result<(), String> {
    let value = crashes.map(|crashes| value(driver, crashes));
    let key: Arc<str> = Arc::from(content.to_string());
    repair::write(driver, TableName::Quarantine, key.clone(), value.as_ref()).await?;
    // The store may be restored from an older copy before any instance reads the record.
    let read = follow::read_back(driver, TableName::Quarantine).await;
    read.map_err(|error| error.to_string())?;
    let is_there =
        driver.peers.tables.has_value(TableName::Quarantine, &key, None) == value.is_none();
    is_there.then_some(()).ok_or_else(|| "the table does not show the change".to_owned())
}

fn value(driver: &Driver, crashes: u32) -> Bytes {
    let since = driver.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let record = QuarantineRecord {
        crashes,
        by: driver.settings.name.clone(),
        at_ms: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
    };
    Bytes::from(serde_json::to_vec(&record).expect("numbers and a name are JSON"))
}

/// Applies a record of the quarantine table. An invalid record is ignored, since anybody
/// may write to the platform's tables.
pub fn apply(driver: &Rc<Driver>, record: &Record) {
    let Some(content) = Fingerprint::parse(&record.key) else {
        let key = tables::truncate(&record.key);
        tracing::warn!(
            event = "quarantine_unreadable",
            key,
            error = "the key is not a fingerprint"
        );
        return;
    };
    let value = record.value.as_deref().map(serde_json::from_slice::<QuarantineRecord>);
    match value {
        None => driver.feed(|machine, _| machine.on_quarantine_removal(content)),
        Some(Ok(record)) => {
            driver.feed(|machine, now| machine.on_quarantine_record(now, content, record.crashes));
        }
        Some(Err(error)) => {
            let error = error.to_string();
            tracing::warn!(event = "quarantine_unreadable", %content, error = tables::truncate(&error));
        }
    }
}
