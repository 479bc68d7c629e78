//! Timers of an instance.
//!
//! Timers are never cancelled. The handler checks whether the cause of the timer still exists.

use std::{collections::BTreeMap, time::Duration};

use peatdeck_macros::data;

use crate::instance::held::{CallKey, RequestKey};

/// The cause of a timer.
#[data]
#[derive(Copy)]
pub enum Timer {
    /// A request's deadline.
    Deadline(RequestKey),
    /// A call may have been slow enough for a hedge.
    Hedge(CallKey),
    /// A stream may be stalled.
    Stall(CallKey),
    /// A request that got no endpoint or was refused is queued again.
    Requeue(RequestKey),
    /// Limits the wait for another instance to send a request's outcome.
    WinnerReply(RequestKey),
}

/// Pending timers, ordered by time.
#[derive(Debug, Default)]
pub struct Timers {
    by_time: BTreeMap<(Duration, u64), Timer>,
    last: u64,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Duration, timer: Timer) {
        self.last += 1;
        self.by_time.insert((at, self.last), timer);
    }

    /// Removes and returns the next timer that is due.
    pub fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let first = self.by_time.first_entry()?;
        if first.key().0 > now {
            return None;
        }
        Some(first.remove())
    }

    /// When the next timer is due.
    pub fn next(&self) -> Option<Duration> {
        self.by_time.keys().next().map(|(at, _)| *at)
    }
}
