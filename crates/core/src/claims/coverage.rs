//! Which part of the claims stream was read, by the log's own times.
//!
//! Records that expired before they were read are assumed to be older than the retention that the
//! log's operators state. The assumption is checked: if a younger record turns out to have expired,
//! the stated retention is no longer used, and only the times of the records that were read count.

use std::collections::VecDeque;

use crate::{
    claims::Settings,
    record::{Batch, Offset},
};

/// Consecutive failed reads after which the log counts as unavailable.
const FAILING_READS: u32 = 2;

/// What is known of the part of the stream that was read.
pub struct Coverage {
    position: Offset,
    log_now: u64,
    has_reached_end: bool,
    failed_reads: u32,
    /// Upper bound on the time of every record that expired before it was read; `None` if none did.
    lost_until: Option<u64>,
    /// Every record older than this was read or has expired.
    read_until: u64,
    /// Times of the records that were read and may not have expired yet.
    unexpired: VecDeque<(Offset, u64)>,
    trusts_retention: bool,
    retention_ms: u64,
    horizon_ms: u64,
    is_at_end: bool,
}

impl Coverage {
    /// The state before the first read.
    pub fn new(settings: &Settings) -> Coverage {
        Coverage {
            position: 0,
            log_now: 0,
            has_reached_end: false,
            failed_reads: 0,
            lost_until: None,
            read_until: 0,
            unexpired: VecDeque::new(),
            trusts_retention: true,
            retention_ms: settings.retention_ms(),
            horizon_ms: settings.horizon_ms(),
            is_at_end: false,
        }
    }

    /// The offset at which the next read starts.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// The newest time of the log's clock that was read.
    pub fn log_now(&self) -> u64 {
        self.log_now
    }

    /// Whether a read has ever shown that no record follows `position`.
    pub fn has_reached_end(&self) -> bool {
        self.has_reached_end
    }

    /// Whether reads fail at present.
    pub fn is_failing(&self) -> bool {
        self.failed_reads >= FAILING_READS
    }

    /// Records a failed read.
    pub fn read_failed(&mut self) {
        self.failed_reads = self.failed_reads.saturating_add(1);
    }

    /// Whether every record of the horizon that ends at the given time was read.
    pub fn covers(&self, time_ms: u64) -> bool {
        let Some(lost_until) = self.lost_until else { return true };
        lost_until.saturating_add(self.horizon_ms) <= time_ms
    }

    /// Begins a batch. Returns `false` if it does not continue what was read.
    pub fn start_batch<R>(&mut self, batch: &Batch<R>) -> bool {
        if batch.from > self.position {
            return false;
        }
        self.failed_reads = 0;
        self.log_now = self.log_now.max(batch.now_ms);
        self.verify_retention(batch);
        self.is_at_end = batch.shows_end_at(self.position);
        if batch.earliest > self.position {
            self.record_loss(batch);
        }
        true
    }

    /// Moves the position past a record. Returns `false` if the record was read before.
    pub fn advance(&mut self, offset: Offset, time_ms: u64) -> bool {
        if offset < self.position {
            return false;
        }
        self.position = offset + 1;
        self.log_now = self.log_now.max(time_ms);
        self.read_until = self.read_until.max(time_ms);
        self.unexpired.push_back((offset, time_ms));
        true
    }

    /// Ends a batch, after [`Coverage::advance`] was called for each of its records.
    pub fn end_batch<R>(&mut self, batch: &Batch<R>) {
        self.position = self.position.max(batch.next);
        if self.is_at_end {
            self.has_reached_end = true;
            self.read_until = self.read_until.max(batch.now_ms);
        }
        self.prune();
    }

    /// Compares the stated retention with the age of the records that have expired.
    fn verify_retention<R>(&mut self, batch: &Batch<R>) {
        while let Some(&(offset, time_ms)) = self.unexpired.front() {
            if offset >= batch.earliest {
                return;
            }
            self.unexpired.pop_front();
            self.check_retention(batch.now_ms, time_ms);
        }
    }

    fn record_loss<R>(&mut self, batch: &Batch<R>) {
        self.check_retention(batch.now_ms, self.read_until);
        let first_kept = batch.entries.iter().find(|entry| entry.offset >= batch.earliest);
        let mut lost_until = first_kept.map_or(batch.now_ms, |entry| entry.time_ms);
        if self.trusts_retention {
            lost_until = lost_until.min(batch.now_ms.saturating_sub(self.retention_ms));
        }
        self.lost_until = self.lost_until.max(Some(lost_until));
        self.position = batch.earliest;
    }

    /// Stops trusting the stated retention if a record of the given time, or a later one, had
    /// expired at `now_ms` before its retention was over.
    fn check_retention(&mut self, now_ms: u64, time_ms: u64) {
        if now_ms.saturating_sub(time_ms) < self.retention_ms {
            self.trusts_retention = false;
        }
    }

    /// Drops times that are too old to show that the retention is too short.
    fn prune(&mut self) {
        while let Some(&(_, time_ms)) = self.unexpired.front() {
            if time_ms.saturating_add(self.retention_ms) > self.log_now {
                return;
            }
            self.unexpired.pop_front();
        }
    }
}
