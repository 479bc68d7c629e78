//! Waits for an event, with a timeout.

use std::time::{Duration, Instant};

use ntex::time;

use crate::error::{Error, Result};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout for an event that should occur soon. It is far longer than the event
/// takes on a busy host, so that a timeout always means a failure.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Calls `poll` until it returns a value.
///
/// # Errors
/// [`Error::Timeout`] after `timeout`; `what` describes the event.
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
