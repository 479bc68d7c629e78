//! Outlier detection: ejects an endpoint whose calls fail, and readmits it.
//!
//! A few consecutive failures, or one reply that belongs to another call, eject an endpoint for a
//! time that doubles with each repeat. After that time, one call is sent to it as a probe. If the
//! probe succeeds, the endpoint gets calls again, with a slow start; if not, it is ejected for
//! longer.

use std::time::Duration;

/// When endpoints are ejected, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Consecutive failures after which an endpoint is ejected.
    pub failures: u32,
    /// How long the first ejection lasts; the time doubles with each repeat.
    pub base_ejection: Duration,
    /// The longest ejection.
    pub max_ejection: Duration,
    /// The largest share of a pool that may be ejected at the same time.
    pub max_share: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            failures: 3,
            base_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(30),
            max_share: 0.5,
        }
    }
}

/// The most doublings of the time of an ejection.
const MAX_DOUBLINGS: u32 = 16;

/// The health of one endpoint.
#[derive(Debug, Clone)]
pub struct Health {
    settings: Settings,
    failures: u32,
    repeats: u32,
    phase: Phase,
}

/// Whether an endpoint is ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It gets calls.
    Healthy,
    /// It gets no calls until the given time, and then one probe.
    Ejected {
        /// When the probe may be sent.
        until: Duration,
    },
    /// Its single probe is in flight.
    Probing {
        /// When the probe was sent.
        since: Duration,
    },
}

impl Health {
    /// A healthy endpoint.
    pub fn new(settings: Settings) -> Health {
        Health { settings, failures: 0, repeats: 0, phase: Phase::Healthy }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether it may get a call, including a probe.
    pub fn is_open(&self, now: Duration) -> bool {
        match self.phase {
            Phase::Healthy => true,
            Phase::Ejected { until } => now >= until,
            Phase::Probing { .. } => false,
        }
    }

    /// Whether the next call to it is its probe.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        matches!(self.phase, Phase::Ejected { until } if now >= until)
    }

    /// Records that a call was sent.
    pub fn started(&mut self, now: Duration) {
        if self.is_probe_due(now) {
            self.phase = Phase::Probing { since: now };
        }
    }

    /// Records a successful call. Returns `true` if it was the probe that ends the ejection.
    pub fn succeeded(&mut self, sent: Duration) -> bool {
        match self.phase {
            Phase::Healthy => {
                self.failures = 0;
                self.repeats = 0;
                false
            }
            Phase::Probing { since } if sent >= since => {
                self.failures = 0;
                self.phase = Phase::Healthy;
                true
            }
            Phase::Ejected { .. } | Phase::Probing { .. } => false,
        }
    }

    /// Records a failed call. Returns `true` if it ejects the endpoint.
    pub fn failed(&mut self, now: Duration, sent: Duration, may_eject: bool) -> bool {
        match self.phase {
            Phase::Healthy => {
                self.failures += 1;
                if self.failures < self.settings.failures || !may_eject {
                    return false;
                }
                self.eject(now);
                true
            }
            Phase::Probing { since } if sent >= since => {
                self.eject(now);
                true
            }
            Phase::Ejected { .. } | Phase::Probing { .. } => false,
        }
    }

    /// Records that a call ended without showing whether the endpoint works. If it was the probe,
    /// another one may be sent at once.
    pub fn probe_inconclusive(&mut self, now: Duration, sent: Duration) {
        if matches!(self.phase, Phase::Probing { since } if sent >= since) {
            self.phase = Phase::Ejected { until: now };
        }
    }

    /// Ejects it; each repeat before the next success of a normal call doubles the time.
    pub fn eject(&mut self, now: Duration) {
        let factor = 1_u32 << self.repeats.min(MAX_DOUBLINGS);
        let span =
            self.settings.base_ejection.saturating_mul(factor).min(self.settings.max_ejection);
        self.repeats += 1;
        self.failures = 0;
        self.phase = Phase::Ejected { until: now + span };
    }
}
