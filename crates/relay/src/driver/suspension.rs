//! What an instance does after its process was stopped or its host suspended.

use std::{rc::Rc, time::Duration};

use peatdeck_core::relay::Relay;

use crate::{driver::Driver, follow};

/// Gossip wakes the event loop every 400 ms. If it was idle for five times as long,
/// the process was stopped or its host suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_secs(2);
/// How long requests wait for the tables to be read after a suspension: the time of
/// two reads.
const TABLES_TIMEOUT: Duration = Duration::from_secs(1);

impl Driver {
    /// Returns the current time, and checks how long the event loop was idle before.
    /// After a suspension it sends nothing until the tables have been read: meanwhile
    /// routes may have moved, keys been revoked and endpoints removed, and the first
    /// event may be an old request.
    pub(super) fn check_suspension(self: &Rc<Self>) -> Duration {
        let now = self.now();
        let idle = now.saturating_sub(self.last_active.replace(now));
        if idle < SUSPENSION_THRESHOLD {
            return now;
        }
        let stood_ms = u64::try_from(idle.as_millis()).unwrap_or(u64::MAX);
        tracing::warn!(event = "resumed", stood_ms);
        self.metrics.count("relay.resumed", 1);
        self.pool.clear();
        self.resumed_at.set(Some(now));
        self.machine.borrow_mut().hold_for_tables(now + TABLES_TIMEOUT);
        ntex::rt::spawn(follow::refresh_tables(self.clone()));
        now
    }

    /// The copies of the tables have been compared with the store. If that was after the
    /// last suspension, the requests that wait for it continue.
    pub fn on_tables_read(self: &Rc<Self>) {
        let Some(resumed) = self.resumed_at.get() else { return };
        let now = self.now();
        let is_fresh = |age: Duration| age <= now.saturating_sub(resumed);
        let tables = &self.peers.tables;
        let has_rollouts =
            tables.rollouts_since().is_none() || tables.rollouts_age(now).is_some_and(is_fresh);
        if has_rollouts && tables.age(now).is_some_and(is_fresh) {
            self.resumed_at.set(None);
            self.feed(Relay::mark_tables_read);
            self.tables_read.notify_waiters();
        }
    }

    /// Waits until requests may be admitted after a suspension, since a request's route
    /// and key are looked up only once. Returns how long it waited.
    pub async fn wait_for_tables(self: &Rc<Self>) -> Duration {
        let started = self.check_suspension();
        while let Some(resumed) = self.resumed_at.get() {
            let left = (resumed + TABLES_TIMEOUT).saturating_sub(self.now());
            if left.is_zero() {
                break;
            }
            // Whether notified or timed out, the loop checks again.
            tokio::time::timeout(left, self.tables_read.notified()).await.ok();
        }
        self.now().saturating_sub(started)
    }
}
