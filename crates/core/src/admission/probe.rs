//! Paces requests that are admitted against the estimate, so that the estimate can change.

use std::time::Duration;

/// The shortest time from any admission to a probe.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Paces the probes of one pipeline.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProbePacer {
    last_admission: Option<Duration>,
}

impl ProbePacer {
    /// A pacer that allows a probe at once.
    pub fn new() -> ProbePacer {
        ProbePacer::default()
    }

    /// Records that a request was admitted, whether by the estimate or as a probe.
    pub fn record_admission(&mut self, now: Duration) {
        self.last_admission = Some(now);
    }

    /// Whether an infeasible request is admitted as a probe, because no request was admitted for a
    /// while.
    pub fn is_due(&self, now: Duration) -> bool {
        self.last_admission.is_none_or(|last| now.saturating_sub(last) >= MIN_INTERVAL)
    }
}
