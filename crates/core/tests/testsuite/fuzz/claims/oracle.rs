//! What must hold of runs, stated without a word on how.

#![allow(clippy::unwrap_used)]

use std::collections::{HashMap, HashSet};

/// Looks on, and panics where a promise is broken.
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
    /// A request starts to run. No other of its key did within `apart_ms`.
    pub fn runs(&mut self, key: usize, nonce: u64, at_ms: u64, apart_ms: u64) {
        assert!(!self.refused.contains(&nonce), "{nonce} runs after it was refused");
        assert!(self.started.insert(nonce), "{nonce} runs twice");
        let runs = self.runs.entry(key).or_default();
        for run in runs.iter() {
            let gap_ms = at_ms - run.at_ms;
            assert!(gap_ms >= apart_ms, "key {key} runs twice: {} and {nonce}", run.nonce);
        }
        runs.push(Run { nonce, at_ms });
    }

    /// The caller of an attempt is told that it did not run, or not here.
    pub fn refused(&mut self, nonce: u64) {
        assert!(!self.started.contains(&nonce), "{nonce} is refused after it ran");
        self.refused.insert(nonce);
    }

    /// Whether an attempt was started.
    pub fn has_run(&self, nonce: u64) -> bool {
        self.started.contains(&nonce)
    }

    /// A run has ended.
    pub fn finishes(&mut self, nonce: u64, answered: bool) {
        self.finished.insert(nonce, answered);
    }

    /// A caller is told of the holder of its key.
    pub fn told_holder(&self, holder: u64, finished: Option<bool>) {
        let Some(answered) = finished else { return };
        assert_eq!(self.finished.get(&holder), Some(&answered), "{holder} did not end so");
    }
}
