//! Bounded waits for an event.

use std::time::{Duration, Instant};

use ntex::time;

use crate::error::{Error, Result};

/// Pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long an event may take that should come soon. Far above what it takes
/// on a busy machine: running out of it is a failure, never a measurement.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Looks until there is something to see.
///
/// # Errors
/// [`Error::Timeout`] once `timeout` has passed.
pub async fn until<T>(
    what: &str,
    timeout: Duration,
    mut poll: impl AsyncFnMut() -> Option<T>,
) -> Result<T> {
    let start = Instant::now();
    loop {
        if let Some(seen) = poll().await {
            return Ok(seen);
        }
        if start.elapsed() >= timeout {
            return Err(Error::Timeout { what: what.to_owned(), timeout });
        }
        time::sleep(POLL_INTERVAL).await;
    }
}
