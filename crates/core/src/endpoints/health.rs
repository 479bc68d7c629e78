//! Whether an endpoint's calls go well: ejection, and the way back.
//!
//! A few failures in a row, or one reply that belongs to another call, eject
//! an endpoint for a time that doubles with each repeat. After it, one call
//! is let through as a probe. If that goes well the endpoint is back, with a
//! slow start; if not, it is out for longer.

use std::time::Duration;

/// When endpoints are ejected, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Failures in a row that eject.
    pub failures: u32,
    /// The first ejection's time; it doubles with each repeat.
    pub base_ejection: Duration,
    /// The longest ejection.
    pub max_ejection: Duration,
    /// The largest share of a pool that is ejected at once.
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

/// The most doublings of an ejection's time.
const MAX_DOUBLINGS: u32 = 16;

/// One endpoint's health.
#[derive(Debug, Clone)]
pub struct Health {
    settings: Settings,
    failures: u32,
    repeats: u32,
    phase: Phase,
}

/// Where an endpoint stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Its calls go well.
    Healthy,
    /// It gets no calls until then, and after that one probe.
    Ejected {
        /// When the probe is allowed.
        until: Duration,
    },
    /// Its one probe is under way.
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

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether it may get a call, a probe included.
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

    /// A call was sent.
    pub fn started(&mut self, now: Duration) {
        if self.is_probe_due(now) {
            self.phase = Phase::Probing { since: now };
        }
    }

    /// A call ended well; true if the endpoint is back by it.
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

    /// A call failed; true if the endpoint is ejected by it.
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

    /// The probe ended without a verdict: another one is allowed at once.
    pub fn probe_inconclusive(&mut self, now: Duration, sent: Duration) {
        if matches!(self.phase, Phase::Probing { since } if sent >= since) {
            self.phase = Phase::Ejected { until: now };
        }
    }

    /// Ejects it, or ejects it again.
    pub fn eject(&mut self, now: Duration) {
        let factor = 1_u32 << self.repeats.min(MAX_DOUBLINGS);
        let span =
            self.settings.base_ejection.saturating_mul(factor).min(self.settings.max_ejection);
        self.repeats += 1;
        self.failures = 0;
        self.phase = Phase::Ejected { until: now + span };
    }
}
