//! Which part of the claims stream was read, by the log's own times.
//!
//! Records expire. What expired unread was older than the retention that the
//! log's operators state. The statement is checked against what is seen: where
//! a record has gone that was younger, the statement is not used again, and
//! only the times of the records that were read count.

use std::collections::VecDeque;

use crate::{
    claims::Settings,
    record::{Batch, Offset},
};

/// Failed reads in a row from which on the log counts as out.
const FAILING_READS: u32 = 2;

/// What of the stream was read.
pub struct Coverage {
    position: Offset,
    log_now: u64,
    has_reached_end: bool,
    failed_reads: u32,
    /// No record that was lost unread is younger; `None` if none was lost.
    lost_until: Option<u64>,
    /// Every record older than this was read or lost.
    read_until: u64,
    /// Times of the records that were read and may not have expired yet.
    unexpired: VecDeque<(Offset, u64)>,
    trusts_retention: bool,
    retention_ms: u64,
    horizon_ms: u64,
    is_at_end: bool,
}

impl Coverage {
    /// Nothing read yet.
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

    /// Where the next read starts.
    pub fn position(&self) -> Offset {
        self.position
    }

    /// The log's newest time that was seen.
    pub fn log_now(&self) -> u64 {
        self.log_now
    }

    /// Whether a read has once shown that there is nothing behind `position`.
    pub fn has_reached_end(&self) -> bool {
        self.has_reached_end
    }

    /// Whether reads fail.
    pub fn is_failing(&self) -> bool {
        self.failed_reads >= FAILING_READS
    }

    /// Notes a failed read.
    pub fn read_failed(&mut self) {
        self.failed_reads = self.failed_reads.saturating_add(1);
    }

    /// Whether every record of the horizon before a time was read.
    pub fn covers(&self, time_ms: u64) -> bool {
        let Some(lost_until) = self.lost_until else { return true };
        lost_until.saturating_add(self.horizon_ms) <= time_ms
    }

    /// Begins a batch. `false` if it does not continue what was read.
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

    /// Takes the next record's place. `false` if it was read before.
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

    /// Ends a batch, after its records were taken.
    pub fn end_batch<R>(&mut self, batch: &Batch<R>) {
        self.position = self.position.max(batch.next);
        if self.is_at_end {
            self.has_reached_end = true;
            self.read_until = self.read_until.max(batch.now_ms);
        }
        self.prune();
    }

    /// Checks the stated retention against what has gone.
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

    /// Notes that a record of that time or a later one had gone at `now_ms`.
    fn check_retention(&mut self, now_ms: u64, time_ms: u64) {
        if now_ms.saturating_sub(time_ms) < self.retention_ms {
            self.trusts_retention = false;
        }
    }

    /// Forgets times that can no longer show the retention to be too short.
    fn prune(&mut self) {
        while let Some(&(_, time_ms)) = self.unexpired.front() {
            if time_ms.saturating_add(self.retention_ms) > self.log_now {
                return;
            }
            self.unexpired.pop_front();
        }
    }
}
