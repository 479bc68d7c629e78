//! Estimates when calls have read their inputs.
//!
//! A result takes up memory at its endpoint until it is freed, and where memory is scarce it bounds
//! the rate of a stage: 108 results of 60 KB fit into one endpoint, and each was held for a second,
//! half of that by a call that had long read it. Inputs that a call has probably read are therefore
//! evictable, and are freed when queued pieces need their memory.

use std::time::Duration;

use crate::relay::{
    batch::{Batcher, TrackedPiece},
    model::{CallKey, Handle, PieceFailure, PieceResult},
};

/// Initial and shortest estimate of the time from the start of a call until it has read its inputs.
/// An endpoint reads them before it does anything else; for a full call that takes some 20 ms on a
/// shared link of 10 Gbit/s.
const INITIAL_READ_TIME: Duration = Duration::from_millis(60);
/// Upper bound of the estimate: most calls end sooner.
const MAX_READ_TIME: Duration = Duration::from_millis(500);
/// Factor on the estimate when a call misses an input that was freed early.
const GROWTH_FACTOR: u32 = 2;
/// Factor on the estimate with each call that misses none: it returns to its minimum after some
/// fifty calls, which take two seconds at a busy service.
const DECAY_FACTOR: f64 = 0.98;

/// Estimate of how long calls take to read their inputs.
#[derive(Debug)]
pub struct ReadTime {
    estimate: Duration,
}

impl Default for ReadTime {
    fn default() -> ReadTime {
        ReadTime { estimate: INITIAL_READ_TIME }
    }
}

impl ReadTime {
    /// Time from the start of a call until it has probably read its inputs.
    pub fn estimate(&self) -> Duration {
        self.estimate
    }

    /// Adjusts the estimate to a call's results; `was_evictable` if its inputs had been marked as
    /// evictable before it ended.
    pub fn record_call(&mut self, was_evictable: bool, results: &[PieceResult]) {
        let has_lost_input = results.contains(&Err(PieceFailure::InputGone));
        self.estimate = match was_evictable && has_lost_input {
            true => (self.estimate * GROWTH_FACTOR).min(MAX_READ_TIME),
            false => self.estimate.mul_f64(DECAY_FACTOR).max(INITIAL_READ_TIME),
        };
    }
}

impl Batcher {
    /// Returns the inputs that calls have probably read since the last check and that no other
    /// piece needs.
    pub fn take_read(&mut self, now: Duration) -> Vec<Handle> {
        let is_due = |at: Option<Duration>| at.is_some_and(|at| at <= now);
        let due = self.running.iter_mut().filter(|(_, running)| is_due(running.read_by));
        let calls: Vec<CallKey> = due
            .map(|(call, running)| {
                running.read_by = None;
                *call
            })
            .collect();
        let mut handles = Vec::new();
        for call in calls {
            for key in &self.running[&call].keys {
                let Some(entry) = self.pieces.get(*key) else { continue };
                if entry.piece.is_last_reader && !self.has_unread_sibling(entry) {
                    handles.extend(entry.piece.inputs.iter().cloned());
                }
            }
        }
        handles.sort_unstable();
        handles.dedup();
        handles
    }

    /// Whether another piece of the same stage of the same request has yet to read the same inputs.
    /// Such pieces are handed over together, so they have the same requester.
    fn has_unread_sibling(&self, entry: &TrackedPiece) -> bool {
        let siblings = self.by_requester.get(&entry.origin.requester()).into_iter().flatten();
        let siblings = siblings.filter_map(|key| self.pieces.get(*key));
        let mut siblings = siblings.filter(|other| other.piece.stage == entry.piece.stage);
        siblings.any(|other| {
            let call = other.call.and_then(|call| self.running.get(&call));
            call.is_none_or(|running| running.read_by.is_some())
        })
    }
}
