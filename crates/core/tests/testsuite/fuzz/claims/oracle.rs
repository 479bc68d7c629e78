//! Invariants of runs, checked independently of how claims work.

#![allow(clippy::unwrap_used)]

use std::collections::{HashMap, HashSet};

/// Records what happens to attempts, and panics if an invariant is violated.
#[derive(Default)]
pub struct Oracle {
    runs: HashMap<usize, Vec<Run>>,
    started: HashSet<u64>,
    refused: HashSet<u64>,
    finished: HashMap<u64, bool>,
}

struct Run {
    nonce: u64,
    at_ms: u64,
}

impl Oracle {
    /// Records that an attempt starts to run. No other attempt at its key may have started within
    /// `min_gap_ms`.
    pub fn record_run(&mut self, key: usize, nonce: u64, at_ms: u64, min_gap_ms: u64) {
        assert!(!self.refused.contains(&nonce), "{nonce} runs after it was refused");
        assert!(self.started.insert(nonce), "{nonce} runs twice");
        let runs = self.runs.entry(key).or_default();
        for run in runs.iter() {
            let gap_ms = at_ms - run.at_ms;
            assert!(gap_ms >= min_gap_ms, "key {key} runs twice: {} and {nonce}", run.nonce);
        }
        runs.push(Run { nonce, at_ms });
    }

    /// Records that the caller of an attempt receives that it did not run, or not on this instance.
    pub fn record_refusal(&mut self, nonce: u64) {
        assert!(!self.started.contains(&nonce), "{nonce} is refused after it ran");
        self.refused.insert(nonce);
    }

    /// Whether an attempt has started to run.
    pub fn has_run(&self, nonce: u64) -> bool {
        self.started.contains(&nonce)
    }

    /// Records the end of a run.
    pub fn record_finish(&mut self, nonce: u64, answered: bool) {
        self.finished.insert(nonce, answered);
    }

    /// Checks the outcome that a caller receives about the holder of its key.
    pub fn check_holder(&self, holder: u64, finished: Option<bool>) {
        let Some(answered) = finished else { return };
        assert_eq!(
            self.finished.get(&holder),
            Some(&answered),
            "{holder} did not end with this outcome"
        );
    }
}
