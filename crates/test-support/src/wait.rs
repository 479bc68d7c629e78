//! Bounded waits for an event.

use std::time::{Duration, Instant};

use ntex::time;

use crate::error::{Error, Result};

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(10);
/// How long an event may take that should come soon. Far above what it takes
/// on a busy machine: running out of it is a failure, never a measurement.
pub const BOUND: Duration = Duration::from_secs(30);

/// Looks until there is something to see.
///
/// # Errors
/// [`Error::Late`] once `bound` has passed.
pub async fn until<T>(
    what: &str,
    bound: Duration,
    mut look: impl AsyncFnMut() -> Option<T>,
) -> Result<T> {
    let start = Instant::now();
    loop {
        if let Some(seen) = look().await {
            return Ok(seen);
        }
        if start.elapsed() >= bound {
            return Err(Error::Late { what: what.to_owned(), bound });
        }
        time::sleep(PAUSE).await;
    }
}
