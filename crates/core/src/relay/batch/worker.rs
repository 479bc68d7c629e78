//! One endpoint that makes pieces, as the instance that batches them sees it.

use std::{collections::HashMap, time::Duration};

use crate::relay::{
    backoff::{self, Backoff},
    config::Pieces,
    model::Handle,
};

/// A call that should take no time by its configuration is not slow beyond measure.
const LEAST_EXPECTED: Duration = Duration::from_millis(1);
/// Weight of a new measurement of an endpoint's slowness.
const NEWEST_SHARE: f64 = 0.5;
/// Time after which half of an endpoint's slowness is forgotten, so that it
/// is tried again.
const SLOW_HALF_LIFE: Duration = Duration::from_secs(3);
/// An endpoint that had no room for results holds as much that is not known here, or
/// has not yet heard what it may give up. That is reckoned with for so long.
const UNKNOWN_HELD: Duration = Duration::from_millis(400);

/// A result that takes up room.
#[derive(Debug, Clone, Copy)]
struct Held {
    bytes: u64,
    until: Duration,
    /// Whether it has probably been read by all that need it.
    is_spare: bool,
}

/// One endpoint.
#[derive(Debug, Clone, Default)]
pub struct Worker {
    /// Own calls that it works on.
    pub calls: usize,
    /// How long it is taken to be busy with somebody else's call.
    pub busy: Backoff,
    /// Until when it rests.
    pub rests_until: Duration,
    /// Bytes of results that are being made.
    pub promised: u64,
    slowness: f64,
    slowed_at: Duration,
    held: HashMap<Handle, Held>,
    /// Bytes that results of others take up, as results without room showed, and until
    /// when they are reckoned with.
    pub unknown: Option<(u64, Duration)>,
}

impl Worker {
    /// Room for further results, in bytes.
    pub fn room(&self, now: Duration, shape: &Pieces) -> u64 {
        let held = self.held.values().filter(|held| now < held.until);
        let held: u64 = held.map(|held| held.bytes).sum();
        shape.room.saturating_sub(held + self.promised).saturating_sub(self.unknown(now))
    }

    fn unknown(&self, now: Duration) -> u64 {
        self.unknown.filter(|(_, until)| now < *until).map_or(0, |(bytes, _)| bytes)
    }

    /// It holds a result until it is given up, or until then.
    pub fn hold(&mut self, now: Duration, handle: Handle, bytes: u64, until: Duration) {
        self.held.retain(|_, held| now < held.until);
        self.held.insert(handle, Held { bytes, until, is_spare: false });
    }

    /// Results have probably been read; those of others are passed over.
    pub fn spare(&mut self, handles: &[Handle]) {
        for handle in handles {
            if let Some(held) = self.held.get_mut(handle) {
                held.is_spare = true;
            }
        }
    }

    /// Its results that are spare.
    pub fn spares(&self) -> impl Iterator<Item = &Handle> {
        self.held.iter().filter(|(_, held)| held.is_spare).map(|(handle, _)| handle)
    }

    /// Results have been given up; those of others are passed over.
    pub fn give_up(&mut self, handles: &[Handle]) {
        for handle in handles {
            self.held.remove(handle);
        }
    }

    /// It had no room for so many bytes of a call's results, or for any of them. Where
    /// others had room only as much as lacked it is taken to be held: while nothing was
    /// sent at all then, each such answer left an endpoint idle for 0.4 s, a tenth of
    /// all endpoints of a service in a burst.
    pub fn had_no_room(&mut self, now: Duration, bytes: u64, had_any: bool) {
        let bytes = if had_any { self.unknown(now).saturating_add(bytes) } else { u64::MAX };
        self.unknown = Some((bytes, now + UNKNOWN_HELD));
    }

    /// It refused a call.
    pub fn refused(&mut self, now: Duration) {
        self.busy.record_failure(now, backoff::REFUSAL_DELAYS);
    }

    /// A call took so long where so much was expected.
    pub fn took(&mut self, now: Duration, took: Duration, expected: Duration) {
        self.busy.record_success();
        let factor = took.as_secs_f64() / expected.max(LEAST_EXPECTED).as_secs_f64();
        let known = self.slowness(now);
        self.slowness = known * (1.0 - NEWEST_SHARE) + factor * NEWEST_SHARE;
        self.slowed_at = now;
    }

    /// How many times longer than expected its calls take.
    pub fn slowness(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.slowed_at).as_secs_f64();
        let kept = 0.5_f64.powf(age / SLOW_HALF_LIFE.as_secs_f64());
        1.0 + (self.slowness - 1.0).max(0.0) * kept
    }
}
