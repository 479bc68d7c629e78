//! When the next snapshot has to be appended.
//!
//! The best snapshot in the stream covers every record up to its `as_of`. A new reader can start
//! from it as long as the record after `as_of` has not expired. So the age of that record, the
//! oldest uncovered one, decides.

use std::{collections::VecDeque, time::Duration};

use crate::{
    config_log::chain,
    record::{ConfigRecord, Entry, Offset},
};

/// The instance of rank 0 appends when a quarter of the retention has passed.
const FIRST_DUE_DIVISOR: u64 = 4;
/// Each higher rank waits for another 1/64 of the retention,
const RANK_STEP_DIVISOR: u64 = 64;
/// but never for longer than half of the retention.
const LAST_DUE_DIVISOR: u64 = 2;

/// The part of the stream that is not covered by a snapshot in it.
#[derive(Default)]
pub struct SnapshotCoverage {
    /// The first offset that no snapshot in the stream covers.
    first_uncovered: Offset,
    /// The offset and the log's time of each record from `first_uncovered` on.
    uncovered: VecDeque<(Offset, u64)>,
    /// The oldest offset that the log keeps.
    earliest: Offset,
}

impl SnapshotCoverage {
    /// Records an entry that was read from the stream.
    pub fn record(&mut self, entry: &Entry<ConfigRecord>) {
        self.uncovered.push_back((entry.offset, entry.time_ms));
        if let Some(snapshot) = chain::snapshot_in(entry) {
            self.first_uncovered = self.first_uncovered.max(chain::first_uncovered(snapshot));
        }
        while self.uncovered.front().is_some_and(|&(offset, _)| offset < self.first_uncovered) {
            self.uncovered.pop_front();
        }
    }

    /// Sets the oldest offset that the log keeps.
    pub fn set_earliest(&mut self, earliest: Offset) {
        self.earliest = self.earliest.max(earliest);
    }

    /// Whether a snapshot is due for the instance of the given rank.
    pub fn is_due(&self, now_ms: u64, retention: Duration, rank: u32) -> bool {
        if self.earliest > self.first_uncovered {
            return true;
        }
        let Some(&(_, time_ms)) = self.uncovered.front() else { return false };
        let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        let first_wait = retention_ms / FIRST_DUE_DIVISOR;
        let rank_wait = (retention_ms / RANK_STEP_DIVISOR).saturating_mul(u64::from(rank));
        let due = first_wait.saturating_add(rank_wait).min(retention_ms / LAST_DUE_DIVISOR);
        now_ms.saturating_sub(time_ms) >= due
    }
}
