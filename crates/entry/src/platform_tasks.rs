//! Readers of the platform's log and list, and appends to the log.
//!
//! Each stream of the log has one reader that long-polls; the list is read
//! once a second. A failure is fed to the state machine as an input; a stream's
//! reader then backs off with jitter. A line is logged when a source starts to
//! fail and when it has recovered, not for each failure.

use std::{rc::Rc, time::Duration};

use peatdeck_client::log;
use peatdeck_core::{
    instance::input::Input,
    model::AppendId,
    record::{Batch, Stream},
};
use rand::Rng;
use serde::{Serialize, de::DeserializeOwned};

use crate::driver::Driver;

/// How long the log service waits for a first record. Short enough that an
/// outage is detected within seconds, long enough that idle reads cost little.
const POLL_WAIT: Duration = Duration::from_secs(2);
/// Maximum number of records of one read.
const MAX_RECORDS: u32 = 1_000;
/// Delay after an empty read that returned at once, as from a service that
/// does not support waiting.
const EMPTY_READ_DELAY: Duration = Duration::from_millis(100);
/// Timeout of an append; its outcome is unknown then.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after the first failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Reads the configuration stream for as long as the process runs.
pub async fn read_config(driver: Rc<Driver>) {
    read_stream(driver, Stream::Config, Input::ConfigRead).await;
}

/// Reads the claims stream for as long as the process runs.
pub async fn read_claims(driver: Rc<Driver>) {
    read_stream(driver, Stream::Claims, Input::ClaimsRead).await;
}

/// Reads the list for as long as the process runs.
pub async fn read_list(driver: Rc<Driver>) {
    let mut health = SourceHealth::new("list");
    loop {
        match driver.clients.list.read().await {
            Ok(listing) => {
                health.record_success();
                driver.feed(Input::Listed(listing));
            }
            Err(error) => {
                driver.counts.lists_failed.increment();
                health.record_failure(&error);
                driver.feed(Input::ListFailed);
            }
        }
        tokio::time::sleep(jittered(LIST_INTERVAL)).await;
    }
}

/// Appends one record and returns the input that reports the result.
pub async fn append<R: Serialize>(
    driver: &Driver,
    append: AppendId,
    stream: Stream,
    record: &R,
) -> Input {
    match driver.clients.log.append(stream, record, APPEND_TIMEOUT).await {
        Ok(offset) => Input::Appended { append, offset },
        Err(error) => {
            driver.counts.appends_failed.increment();
            tracing::debug!(stream = stream.name(), %error, "append failed");
            Input::AppendFailed(append)
        }
    }
}

async fn read_stream<R: DeserializeOwned>(
    driver: Rc<Driver>,
    stream: Stream,
    to_input: impl Fn(Batch<R>) -> Input,
) {
    let mut health = SourceHealth::new(stream.name());
    let mut backoff = MIN_BACKOFF;
    loop {
        let from = driver.next_offset(stream);
        let at_end = driver.with_machine(|machine| machine.has_reached_end(stream));
        let wait = if at_end { POLL_WAIT } else { Duration::ZERO };
        let range = log::Range { from, max: MAX_RECORDS, wait };
        let start = driver.now();
        match driver.clients.log.read(stream, range).await {
            Ok(batch) => {
                health.record_success();
                backoff = MIN_BACKOFF;
                let is_empty = batch.entries.is_empty();
                driver.feed(to_input(batch));
                if is_empty && driver.now().saturating_sub(start) < EMPTY_READ_DELAY {
                    tokio::time::sleep(EMPTY_READ_DELAY).await;
                }
            }
            Err(error) => {
                driver.counts.reads_failed.increment();
                health.record_failure(&error);
                driver.feed(Input::ReadFailed(stream));
                tokio::time::sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Returns 50 to 100 % of a duration, so that instances are not synchronised.
fn jittered(duration: Duration) -> Duration {
    duration.mul_f64(rand::rng().random_range(0.5..=1.0))
}

/// Logs a line when a source starts to fail and when it has recovered.
struct SourceHealth {
    source: &'static str,
    is_failing: bool,
}

impl SourceHealth {
    fn new(source: &'static str) -> SourceHealth {
        SourceHealth { source, is_failing: false }
    }

    fn record_success(&mut self) {
        if std::mem::replace(&mut self.is_failing, false) {
            tracing::info!(source = self.source, "reads succeed again");
        }
    }

    fn record_failure(&mut self, error: &dyn std::error::Error) {
        if !std::mem::replace(&mut self.is_failing, true) {
            tracing::warn!(source = self.source, %error, "read failed; retrying");
        }
    }
}
