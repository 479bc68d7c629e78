//! Timers of an instance: what to look at again, and when.
//!
//! A timer is never cancelled. When it fires, whoever handles it checks
//! whether its cause still stands.

use std::{collections::BTreeMap, time::Duration};

use peatdeck_macros::data;

use crate::instance::held::{CallKey, RequestKey};

/// What a timer is for.
#[data]
#[derive(Copy)]
pub enum Timer {
    /// A request's answer is due.
    Deadline(RequestKey),
    /// A call has been slow enough for a second one beside it.
    Hedge(CallKey),
    /// A stream should have brought another piece by now.
    Stall(CallKey),
    /// A request that was refused everywhere may be queued again.
    Requeue(RequestKey),
    /// Another instance should have told a request's outcome by now.
    WinnerReply(RequestKey),
}

/// Timers in the order of their time.
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

    /// Takes the next timer that is due.
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
