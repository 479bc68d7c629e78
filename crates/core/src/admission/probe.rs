//! Requests let through against the estimate, so that it can change.

use std::time::Duration;

/// The least time between two of them.
const EVERY: Duration = Duration::from_secs(1);

/// Paces probes of one pipeline.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProbePacer {
    last: Option<Duration>,
}

impl ProbePacer {
    /// A pace that allows one at once.
    pub fn new() -> ProbePacer {
        ProbePacer::default()
    }

    /// A request was admitted, by the estimate or as a probe.
    pub fn record_admission(&mut self, now: Duration) {
        self.last = Some(now);
    }

    /// Whether an infeasible request is admitted as a probe: none at all was
    /// admitted for a while.
    pub fn is_due(&self, now: Duration) -> bool {
        self.last.is_none_or(|last| now.saturating_sub(last) >= EVERY)
    }
}
