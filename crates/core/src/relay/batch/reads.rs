//! When calls have read what their pieces are made from.
//!
//! Results take up room until they are given up, and where that is scarce it bounds
//! how many pieces of a stage are made: 108 results of 60 KB have room at one endpoint,
//! and each was held for a second, for the half of it by the call that was made from
//! it and had long read it. So what a call has probably read is spare, and given up
//! where pieces wait for room.

use std::time::Duration;

use crate::relay::{
    batch::{Batcher, TrackedPiece},
    model::{CallKey, Handle, PieceFailure, PieceResult},
};

/// How long after its beginning a call has probably read its inputs, as long as none
/// has shown otherwise: it reads them before anything else, and those of a full call
/// take some 20 ms on a link of 10 Gbit/s, which others use too.
const INITIAL_READ_TIME: Duration = Duration::from_millis(60);
/// The longest such time: most calls have ended by then.
const MAX_READ_TIME: Duration = Duration::from_millis(500);
/// By how much the time grows when a call misses what was given up.
const GROWTH_FACTOR: u32 = 2;
/// By how much it shrinks with each call that does not: back within some fifty calls,
/// two seconds of a busy service.
const DECAY_FACTOR: f64 = 0.98;

/// How long calls take to read.
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
    /// How long after its beginning a call has probably read its inputs.
    pub fn estimate(&self) -> Duration {
        self.estimate
    }

    /// A call brought results; `is_spare` if what it read was taken for spare before.
    pub fn record_call(&mut self, was_evictable: bool, results: &[PieceResult]) {
        let has_lost_input = results.contains(&Err(PieceFailure::InputGone));
        self.estimate = match was_evictable && has_lost_input {
            true => (self.estimate * GROWTH_FACTOR).min(MAX_READ_TIME),
            false => self.estimate.mul_f64(DECAY_FACTOR).max(INITIAL_READ_TIME),
        };
    }
}

impl Batcher {
    /// Results that calls have probably read, and that nothing else needs.
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

    /// Whether another piece of the same stage of the same request has yet to read the
    /// same inputs. They were handed over together, so they have one holder.
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
