//! Records of what is held back, in the platform's table.
//!
//! A record's key is the content's fingerprint. Its value is for people: which
//! instance wrote it, when, and how many endpoints ended. That it is there is what
//! counts, and when it was heard of, by each instance's own clock: clocks of two
//! instances may differ by any time.

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

/// First pause after a write that failed. It doubles, so that an outage of seconds
/// is over before many contents that are written again add up.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(1600);
/// How often a removal is tried, some half a minute: one that was in vain is asked for
/// again a minute later, or by an operator.
const MOST_REMOVALS: u32 = 20;

/// A content that is held back, as the platform's table has it.
#[message]
pub struct Quarantined {
    /// Endpoints that ended under it.
    pub crashes: u32,
    /// The instance that wrote this.
    pub by: Arc<str>,
    /// When, in milliseconds since 1970 by its clock.
    pub at_ms: u64,
}

/// What an instance holds back, as an operator is shown it, oldest first.
pub fn list(driver: &Driver) -> Vec<QuarantinedContent> {
    let now = driver.now();
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let listed = |(content, hold): (Fingerprint, &QuarantineEntry)| QuarantinedContent {
        content: Arc::from(content.to_string()),
        crashes: hold.crashes,
        held_ms: millis(now.saturating_sub(hold.since)),
        left_ms: millis(hold.until.saturating_sub(now)),
        refused: hold.refused,
    };
    let mut all: Vec<_> = driver.look(|machine| machine.quarantined().map(listed).collect());
    all.sort_by_key(|listed| Reverse(listed.held_ms));
    all
}

/// Writes a content's record, or removes it, until the platform has taken it or
/// there is no reason for it any more. What is then there is taken in at once, so
/// that peers hear of it from here.
pub async fn write(driver: Rc<Driver>, content: Fingerprint, crashes: Option<u32>) {
    let mut pause = FIRST_PAUSE;
    let is_held = || driver.look(|machine| machine.quarantined().any(|(held, _)| held == content));
    let mut removals = 0..MOST_REMOVALS;
    while if crashes.is_some() { is_held() } else { removals.next().is_some() } {
        match try_write(&driver, content, crashes).await {
            Ok(()) => return,
            Err(error) => {
                driver.metrics.count("relay.store_failed", 1);
                tracing::warn!(event = "quarantine_unwritten", %content, error);
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
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
    // The store may come back from an older copy before anybody has read it.
    let read = follow::read_back(driver, TableName::Quarantine).await;
    read.map_err(|error| error.to_string())?;
    let is_there = driver.peers.tables.has(TableName::Quarantine, &key, None) == value.is_none();
    is_there.then_some(()).ok_or_else(|| "it is not in the table".to_owned())
}

fn value(driver: &Driver, crashes: u32) -> Bytes {
    let since = driver.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let record = Quarantined {
        crashes,
        by: driver.settings.name.clone(),
        at_ms: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
    };
    Bytes::from(serde_json::to_vec(&record).expect("numbers and a name are JSON"))
}

/// Takes in a record. One that cannot be read holds nothing back: anybody may write
/// to the platform's tables.
pub fn apply(driver: &Rc<Driver>, record: &Record) {
    let Some(content) = Fingerprint::parse(&record.key) else {
        let key = tables::brief(&record.key);
        tracing::warn!(event = "quarantine_unreadable", key, error = "the key is no fingerprint");
        return;
    };
    let value = record.value.as_deref().map(serde_json::from_slice::<Quarantined>);
    match value {
        None => driver.feed(|machine, _| machine.on_quarantine_removal(content)),
        Some(Ok(held)) => {
            driver.feed(|machine, now| machine.on_quarantine_record(now, content, held.crashes));
        }
        Some(Err(error)) => {
            let error = error.to_string();
            tracing::warn!(event = "quarantine_unreadable", %content, error = tables::brief(&error));
        }
    }
}
