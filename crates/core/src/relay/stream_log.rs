//! Streams that wait to be appended to the log in the platform's store.
//!
//! One append is under way at a time, and the streams that come meanwhile go with the next one.
//! A store that slows down thus gets fewer and larger calls, so that its log does not fill up with
//! more calls than it can process.

use std::{collections::VecDeque, time::Duration};

use crate::relay::streams::StreamRecord;

/// How long after a failed append the next one begins at the earliest.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The most streams that wait; the oldest are dropped beyond that.
const MAX_WAITING: usize = 20_000;

/// The streams that this instance has yet to append.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamLog {
    waiting: VecDeque<StreamRecord>,
    /// When they are to be appended.
    due_at: Duration,
    /// No append begins before this time, since one has failed.
    retry_at: Duration,
    is_appending: bool,
}

impl StreamLog {
    /// Adds a stream. Others are collected for the given time from the first one on.
    pub(crate) fn push(&mut self, now: Duration, interval: Duration, record: StreamRecord) {
        if self.waiting.is_empty() {
            self.due_at = now + interval;
        }
        self.waiting.push_back(record);
        self.drop_oldest();
    }

    /// When the next append is to begin; `None` if no stream waits, or while one is under way.
    pub(crate) fn next_append(&self) -> Option<Duration> {
        let may_begin = !self.waiting.is_empty() && !self.is_appending;
        may_begin.then_some(self.due_at.max(self.retry_at))
    }

    /// Begins an append, if one is due, and returns its streams.
    pub(crate) fn begin_append(&mut self, now: Duration) -> Option<Vec<StreamRecord>> {
        self.next_append().filter(|at| *at <= now)?;
        self.is_appending = true;
        Some(std::mem::take(&mut self.waiting).into())
    }

    /// The append has ended. These streams could not be appended, and wait again before those that
    /// came meanwhile.
    pub(crate) fn end_append(&mut self, now: Duration, failed: Vec<StreamRecord>) {
        self.is_appending = false;
        if failed.is_empty() {
            return;
        }
        self.retry_at = now + RETRY_INTERVAL;
        self.due_at = now;
        for record in failed.into_iter().rev() {
            self.waiting.push_front(record);
        }
        self.drop_oldest();
    }

    fn drop_oldest(&mut self) {
        while self.waiting.len() > MAX_WAITING {
            self.waiting.pop_front();
        }
    }
}
