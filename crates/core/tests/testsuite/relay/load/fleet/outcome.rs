//! Requests of a simulation, and its results.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use super::limited::LimitedEngine;

/// A simulated request.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub id: u64,
    /// Number of pieces of its stage.
    pub pieces: u16,
    /// Selects the second shared part of its prompt.
    pub shared: u64,
}

impl Request {
    /// The prompt parts that it shares with other requests, with their numbers of tokens.
    pub fn shared_parts(&self) -> [(u64, u64); 2] {
        [(1 + self.shared % 4, 2500), (1000 + self.shared, 3800)]
    }
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests whose answer began within the objective.
    pub on_time: usize,
    pub late: usize,
    /// Requests refused before anything ran.
    pub refused: usize,
    /// Requests that failed after some of their work may have run.
    pub failed: usize,
    pub unanswered: usize,
    /// The mean time until a request was refused or failed.
    pub mean_refusal_time: Duration,
    /// Shared parts that an engine prefilled although another one held them.
    pub prefilled_again: usize,
    /// Instances that sent calls for pieces.
    pub batchers: HashSet<usize>,
    /// Calls to the busiest engine, relative to the mean of all engines.
    pub peak_load: f64,
    /// The times at which each engine was sent calls, by its address.
    pub calls_by_engine: HashMap<Arc<str>, Vec<Duration>>,
    /// Engines that stated a limit.
    pub limited: Vec<LimitedEngine>,
}

impl Outcome {
    pub fn on_time_ratio(&self) -> f64 {
        let all = self.on_time + self.late + self.refused + self.failed + self.unanswered;
        self.on_time as f64 / all as f64
    }
}
