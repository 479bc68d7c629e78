//! How many requests the version on trial gets.
//!
//! Each instance counts its own requests, so the sum over all instances stays within the share and
//! the calls that they start with, although they agree on nothing, and also while they cannot reach
//! each other.

/// The part of the largest share that is used. The rest is a reserve for retries, which count as
/// requests to the service but never go to the version on trial.
pub const USED_PART: f64 = 0.6;
/// Calls that all instances together may start with. Without any, an instance would send its first
/// call after 17 requests, and of 86 instances most would send none in a rollout of seconds. It is
/// less than the requests allowed on top of the share.
const STARTING_CALLS: f64 = 40.0;
/// The most that one instance may start with.
const MAX_STARTING_CALLS: f64 = 0.5;
/// The most calls that are saved up while the version on trial gets none. More would
/// reach its few endpoints at once.
const MAX_SAVED_CALLS: f64 = 2.0;

/// Counters of one service.
#[derive(Debug, Clone, Default)]
pub struct Exposure {
    /// Calls that may go to the version on trial.
    calls: f64,
    /// Pieces that may go there.
    pieces: f64,
}

impl Exposure {
    /// Counters of one of `instances`. `position` is a number from 0 to 1 that differs between
    /// instances, so that they do not all send their first call at once.
    pub fn new(instances: usize, position: f64) -> Exposure {
        let calls = position * (STARTING_CALLS / instances.max(1) as f64).min(MAX_STARTING_CALLS);
        Exposure { calls, pieces: 0.0 }
    }

    /// Counts a request. Returns whether it may go to the version on trial.
    pub fn count_call(&mut self, share: f64) -> bool {
        self.calls = (self.calls + share).min(MAX_SAVED_CALLS);
        self.calls >= 1.0
    }

    /// A request goes to the version on trial.
    pub fn take_call(&mut self) {
        self.calls -= 1.0;
    }

    /// Counts pieces that were sent; at most two calls of `batch` pieces are saved up.
    pub fn count_pieces(&mut self, pieces: usize, share: f64, batch: usize) {
        self.pieces = (self.pieces + pieces as f64 * share).min(2.0 * batch as f64);
    }

    /// The number of pieces that a call to the version on trial may have. Calls of less than half
    /// a batch would show nothing about the version under load, so it is 0 below that.
    pub fn allowed_pieces(&self, batch: usize) -> usize {
        let allowed = self.pieces as usize;
        if allowed >= batch.div_ceil(2).max(1) { allowed.min(batch) } else { 0 }
    }

    /// Pieces go to the version on trial.
    pub fn take_pieces(&mut self, pieces: usize) {
        self.pieces -= pieces as f64;
    }
}
