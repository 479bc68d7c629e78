//! State of one endpoint that runs pieces, as the batcher of its service sees it.

use std::{collections::HashMap, time::Duration};

use crate::relay::{
    backoff::{self, Backoff},
    config::Pieces,
    model::Handle,
};

/// Lower bound of an expected call time, so that a configured time of zero does not make an
/// endpoint look infinitely slow.
const MIN_EXPECTED: Duration = Duration::from_millis(1);
/// Weight of a new sample in the moving average of the slowdown.
const NEW_SAMPLE_WEIGHT: f64 = 0.5;
/// Half-life of a measured slowdown, after which a slow endpoint gets calls again.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(3);
/// How long memory that an endpoint reported as full counts as taken. It is taken by results that
/// this instance has no record of, or that the endpoint has yet to free.
const UNACCOUNTED_TIME: Duration = Duration::from_millis(400);

/// A result in an endpoint's memory.
#[derive(Debug, Clone, Copy)]
struct StoredResult {
    bytes: u64,
    expires_at: Duration,
    /// Whether every piece that needs it has probably read it.
    is_evictable: bool,
}

/// One endpoint that runs pieces.
#[derive(Debug, Clone, Default)]
pub struct Worker {
    /// Calls of this instance that are in progress.
    pub calls: usize,
    /// Pauses calls after a refusal, which means that the endpoint is busy with another instance's
    /// call.
    pub backoff: Backoff,
    /// End of a hold that the endpoint asked for.
    pub on_hold_until: Duration,
    /// Bytes of the results of running pieces.
    pub reserved_bytes: u64,
    slowdown: f64,
    measured_at: Duration,
    results: HashMap<Handle, StoredResult>,
    /// Bytes of results that this instance has no record of, as `NoRoom` failures showed, and until
    /// when they count.
    pub unaccounted: Option<(u64, Duration)>,
}

impl Worker {
    /// Free memory for further results, in bytes.
    pub fn free_bytes(&self, now: Duration, config: &Pieces) -> u64 {
        let held = self.results.values().filter(|held| now < held.expires_at);
        let held: u64 = held.map(|held| held.bytes).sum();
        config.room.saturating_sub(held + self.reserved_bytes).saturating_sub(self.unaccounted(now))
    }

    fn unaccounted(&self, now: Duration) -> u64 {
        self.unaccounted.filter(|(_, until)| now < *until).map_or(0, |(bytes, _)| bytes)
    }

    /// Records a result that the endpoint holds until it is freed or its lease ends.
    pub fn add_result(&mut self, now: Duration, handle: Handle, bytes: u64, expires_at: Duration) {
        self.results.retain(|_, held| now < held.expires_at);
        self.results.insert(handle, StoredResult { bytes, expires_at, is_evictable: false });
    }

    /// Marks those of the results that the endpoint holds as evictable.
    pub fn mark_evictable(&mut self, handles: &[Handle]) {
        for handle in handles {
            if let Some(held) = self.results.get_mut(handle) {
                held.is_evictable = true;
            }
        }
    }

    /// The results that may be freed when memory is scarce.
    pub fn evictable(&self) -> impl Iterator<Item = &Handle> {
        self.results.iter().filter(|(_, held)| held.is_evictable).map(|(handle, _)| handle)
    }

    /// Removes those of the results that the endpoint holds.
    pub fn remove_results(&mut self, handles: &[Handle]) {
        for handle in handles {
            self.results.remove(handle);
        }
    }

    /// Records that a result of `bytes` did not fit, although results of the same call did if
    /// `had_some`. In that case only its size counts as taken, else all memory does. Before, both
    /// stopped further calls, and each such reply left an endpoint idle for 0.4 s: in a burst that
    /// was a tenth of a service's endpoints.
    pub fn record_no_room(&mut self, now: Duration, bytes: u64, had_some: bool) {
        let bytes = if had_some { self.unaccounted(now).saturating_add(bytes) } else { u64::MAX };
        self.unaccounted = Some((bytes, now + UNACCOUNTED_TIME));
    }

    /// Records that the endpoint refused a call.
    pub fn record_refusal(&mut self, now: Duration) {
        self.backoff.record_failure(now, backoff::REFUSAL_DELAYS);
    }

    /// Records the actual and the expected duration of a call.
    pub fn record_duration(&mut self, now: Duration, took: Duration, expected: Duration) {
        self.backoff.record_success();
        let factor = took.as_secs_f64() / expected.max(MIN_EXPECTED).as_secs_f64();
        let known = self.slowdown(now);
        self.slowdown = known * (1.0 - NEW_SAMPLE_WEIGHT) + factor * NEW_SAMPLE_WEIGHT;
        self.measured_at = now;
    }

    /// How many times longer than expected calls take here; at least 1.
    pub fn slowdown(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.measured_at).as_secs_f64();
        let kept = 0.5_f64.powf(age / SLOWDOWN_HALF_LIFE.as_secs_f64());
        1.0 + (self.slowdown - 1.0).max(0.0) * kept
    }
}
