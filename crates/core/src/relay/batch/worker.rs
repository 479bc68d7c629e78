//! One endpoint that makes pieces, as the instance that batches them sees it.

use std::{collections::HashMap, time::Duration};

use crate::relay::{
    backoff::{self, Backoff},
    config::Pieces,
    model::Handle,
};

/// A call that should take no time by its configuration is not slow beyond measure.
const MIN_EXPECTED: Duration = Duration::from_millis(1);
/// Weight of a new measurement of an endpoint's slowness.
const NEW_SAMPLE_WEIGHT: f64 = 0.5;
/// Time after which half of an endpoint's slowness is forgotten, so that it
/// is tried again.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(3);
/// An endpoint that had no room for results holds as much that is not known here, or
/// has not yet heard what it may give up. That is reckoned with for so long.
const UNACCOUNTED_TIME: Duration = Duration::from_millis(400);

/// A result that takes up room.
#[derive(Debug, Clone, Copy)]
struct StoredResult {
    bytes: u64,
    until: Duration,
    /// Whether it has probably been read by all that need it.
    is_evictable: bool,
}

/// One endpoint.
#[derive(Debug, Clone, Default)]
pub struct Worker {
    /// Own calls that it works on.
    pub calls: usize,
    /// How long it is taken to be busy with somebody else's call.
    pub backoff: Backoff,
    /// Until when it rests.
    pub on_hold_until: Duration,
    /// Bytes of results that are being made.
    pub reserved_bytes: u64,
    slowdown: f64,
    measured_at: Duration,
    results: HashMap<Handle, StoredResult>,
    /// Bytes that results of others take up, as results without room showed, and until
    /// when they are reckoned with.
    pub unaccounted: Option<(u64, Duration)>,
}

impl Worker {
    /// Room for further results, in bytes.
    pub fn free_bytes(&self, now: Duration, config: &Pieces) -> u64 {
        let held = self.results.values().filter(|held| now < held.until);
        let held: u64 = held.map(|held| held.bytes).sum();
        config.room.saturating_sub(held + self.reserved_bytes).saturating_sub(self.unaccounted(now))
    }

    fn unaccounted(&self, now: Duration) -> u64 {
        self.unaccounted.filter(|(_, until)| now < *until).map_or(0, |(bytes, _)| bytes)
    }

    /// It holds a result until it is given up, or until then.
    pub fn add_result(&mut self, now: Duration, handle: Handle, bytes: u64, until: Duration) {
        self.results.retain(|_, held| now < held.until);
        self.results.insert(handle, StoredResult { bytes, until, is_evictable: false });
    }

    /// Results have probably been read; those of others are passed over.
    pub fn mark_evictable(&mut self, handles: &[Handle]) {
        for handle in handles {
            if let Some(held) = self.results.get_mut(handle) {
                held.is_evictable = true;
            }
        }
    }

    /// Its results that are spare.
    pub fn evictable(&self) -> impl Iterator<Item = &Handle> {
        self.results.iter().filter(|(_, held)| held.is_evictable).map(|(handle, _)| handle)
    }

    /// Results have been given up; those of others are passed over.
    pub fn remove_results(&mut self, handles: &[Handle]) {
        for handle in handles {
            self.results.remove(handle);
        }
    }

    /// It had no room for so many bytes of a call's results, or for any of them. Where
    /// others had room only as much as lacked it is taken to be held: while nothing was
    /// sent at all then, each such answer left an endpoint idle for 0.4 s, a tenth of
    /// all endpoints of a service in a burst.
    pub fn record_no_room(&mut self, now: Duration, bytes: u64, had_some: bool) {
        let bytes = if had_some { self.unaccounted(now).saturating_add(bytes) } else { u64::MAX };
        self.unaccounted = Some((bytes, now + UNACCOUNTED_TIME));
    }

    /// It refused a call.
    pub fn record_refusal(&mut self, now: Duration) {
        self.backoff.record_failure(now, backoff::REFUSAL_DELAYS);
    }

    /// A call took so long where so much was expected.
    pub fn record_duration(&mut self, now: Duration, took: Duration, expected: Duration) {
        self.backoff.record_success();
        let factor = took.as_secs_f64() / expected.max(MIN_EXPECTED).as_secs_f64();
        let known = self.slowdown(now);
        self.slowdown = known * (1.0 - NEW_SAMPLE_WEIGHT) + factor * NEW_SAMPLE_WEIGHT;
        self.measured_at = now;
    }

    /// How many times longer than expected its calls take.
    pub fn slowdown(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.measured_at).as_secs_f64();
        let kept = 0.5_f64.powf(age / SLOWDOWN_HALF_LIFE.as_secs_f64());
        1.0 + (self.slowdown - 1.0).max(0.0) * kept
    }
}
