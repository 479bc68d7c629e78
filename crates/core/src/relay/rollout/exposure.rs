//! How many requests the version on trial gets.
//!
//! Each instance counts its own requests from zero, so the sum over all instances stays within the
//! share although they agree on nothing, and also while they cannot reach each other.

use std::{collections::HashMap, sync::Arc};

/// The part of the largest share that is used. The rest is a reserve for retries, which count as
/// requests to the service but never go to the version on trial.
pub const USED_PART: f64 = 0.6;
/// The most calls of a route that are saved up while the version on trial gets none. More would
/// reach its few endpoints at once.
const MAX_SAVED_CALLS: f64 = 2.0;

/// Counters of one service.
#[derive(Debug, Clone, Default)]
pub struct Exposure {
    /// Calls that may go to the version on trial, by route.
    calls: HashMap<Arc<str>, f64>,
    /// Pieces that may go there.
    pieces: f64,
}

impl Exposure {
    /// Counts a request of a route. Returns whether it may go to the version on trial.
    pub fn count_call(&mut self, route: &Arc<str>, share: f64) -> bool {
        let saved = self.calls.entry(route.clone()).or_default();
        *saved = (*saved + share).min(MAX_SAVED_CALLS);
        *saved >= 1.0
    }

    /// A request of a route goes to the version on trial.
    pub fn take_call(&mut self, route: &str) {
        if let Some(saved) = self.calls.get_mut(route) {
            *saved -= 1.0;
        }
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
