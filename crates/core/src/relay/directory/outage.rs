//! Times in which the platform's store was away.
//!
//! Endpoints cannot write their entries then, so entries expire although their endpoints are
//! alive. At any other time an entry that disappears was removed because its endpoint has left.

use std::time::Duration;

use peatdeck_macros::data;

/// Entries outlive a shorter outage: they expire after three intervals of silence, and are written
/// at least once in 1.2 s.
const MIN_OUTAGE: Duration = Duration::from_secs(2);
/// How long after the store's return an endpoint whose entry has expired is still used. Entries
/// are written again within about two seconds, and the return is noticed half a second late.
const RETURN_GRACE: Duration = Duration::from_millis(1500);

/// A time in which the store could not be read, long enough for entries to expire.
#[data]
#[derive(Copy)]
pub struct Outage {
    /// When the store could last be read before.
    since: Duration,
    /// When it could be read again.
    until: Duration,
}

impl Outage {
    /// The outage between two successive times at which the store could be read; `None` if
    /// entries outlive it.
    pub fn between(last: Duration, next: Duration) -> Option<Outage> {
        (next >= last + MIN_OUTAGE).then_some(Outage { since: last, until: next })
    }

    /// How long it lasted.
    pub fn length(&self) -> Duration {
        self.until.saturating_sub(self.since)
    }

    /// Whether an entry that disappeared at time `lost_at` may have expired because of it, and
    /// its endpoint still has time to write it again.
    pub(super) fn excuses(&self, now: Duration, lost_at: Duration) -> bool {
        lost_at >= self.since + MIN_OUTAGE && now < self.until + RETURN_GRACE
    }
}
