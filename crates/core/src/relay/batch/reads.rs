//! When calls have read what their pieces are made from.
//!
//! Results take up room until they are given up, and where that is scarce it bounds
//! how many pieces of a stage are made: 108 results of 60 KB have room at one endpoint,
//! and each was held for a second, for the half of it by the call that was made from
//! it and had long read it. So what a call has probably read is spare, and given up
//! where pieces wait for room.

use std::time::Duration;

use crate::relay::{
    batch::{Batcher, Entry},
    model::{CallKey, Handle, PieceFailure, PieceResult},
};

/// How long after its beginning a call has probably read its inputs, as long as none
/// has shown otherwise: it reads them before anything else, and those of a full call
/// take some 20 ms on a link of 10 Gbit/s, which others use too.
const FIRST_TIME: Duration = Duration::from_millis(60);
/// The longest such time: most calls have ended by then.
const LONGEST_TIME: Duration = Duration::from_millis(500);
/// By how much the time grows when a call misses what was given up.
const GROWTH: u32 = 2;
/// By how much it shrinks with each call that does not: back within some fifty calls,
/// two seconds of a busy service.
const SHRINKAGE: f64 = 0.98;

/// How long calls take to read.
#[derive(Debug)]
pub struct Reads {
    time: Duration,
}

impl Default for Reads {
    fn default() -> Reads {
        Reads { time: FIRST_TIME }
    }
}

impl Reads {
    /// How long after its beginning a call has probably read its inputs.
    pub fn time(&self) -> Duration {
        self.time
    }

    /// A call brought results; `is_spare` if what it read was taken for spare before.
    pub fn note(&mut self, is_spare: bool, results: &[PieceResult]) {
        let has_missed = results.contains(&Err(PieceFailure::InputGone));
        self.time = match is_spare && has_missed {
            true => (self.time * GROWTH).min(LONGEST_TIME),
            false => self.time.mul_f64(SHRINKAGE).max(FIRST_TIME),
        };
    }
}

impl Batcher {
    /// Results that calls have probably read, and that nothing else needs.
    pub fn take_read(&mut self, now: Duration) -> Vec<Handle> {
        let is_due = |at: Option<Duration>| at.is_some_and(|at| at <= now);
        let due = self.running.iter_mut().filter(|(_, running)| is_due(running.read_at));
        let calls: Vec<CallKey> = due
            .map(|(call, running)| {
                running.read_at = None;
                *call
            })
            .collect();
        let mut read = Vec::new();
        for call in calls {
            for key in &self.running[&call].keys {
                let Some(entry) = self.pieces.get(*key) else { continue };
                if entry.piece.is_last_reader && !self.has_unread_sibling(entry) {
                    read.extend(entry.piece.inputs.iter().cloned());
                }
            }
        }
        read.sort_unstable();
        read.dedup();
        read
    }

    /// Whether another piece of the same stage of the same request has yet to read the
    /// same inputs. They were handed over together, so they have one holder.
    fn has_unread_sibling(&self, entry: &Entry) -> bool {
        let siblings = self.held_by.get(&entry.origin.holder()).into_iter().flatten();
        let siblings = siblings.filter_map(|key| self.pieces.get(*key));
        let mut siblings = siblings.filter(|other| other.piece.stage == entry.piece.stage);
        siblings.any(|other| {
            let call = other.call.and_then(|call| self.running.get(&call));
            call.is_none_or(|running| running.read_at.is_some())
        })
    }
}
