//! Settings of an instance.

use std::time::Duration;

use peatdeck_macros::message;

use crate::{claims, endpoints, limits, membership};

/// Settings of an instance. The defaults suit production.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Which decisions are enabled.
    pub decisions: Decisions,
    /// Time without contact to the log and to any peer after which the instance can no longer know
    /// which configuration is in force.
    pub isolation: Duration,
    /// How long a stopping instance still accepts requests, so that the balancer can notice the
    /// stop.
    pub grace: Duration,
    /// How long a stopping instance tries to append its pending claim facts after its last request
    /// ended.
    pub settle: Duration,
    /// The longest wait for another instance to send a request's outcome; half of the request's
    /// remaining time if that is less.
    pub ask: Duration,
    /// Number of finished non-idempotent requests whose outcome is kept for repeats.
    pub finished: usize,
    /// The most calls in flight at one endpoint if limits are not adaptive.
    pub limit: u32,
    /// The most endpoints of one pool that the instance uses.
    pub subset: usize,
    /// Time between gossip rounds.
    pub gossip: Duration,
    /// The log's retention of records, as configured by its operators.
    pub retention: Duration,
    /// How long a claim protects its key against a second run.
    pub horizon: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            decisions: Decisions::full(),
            isolation: Duration::from_secs(5),
            grace: Duration::from_secs(2),
            settle: Duration::from_secs(5),
            ask: Duration::from_secs(5),
            finished: 4096,
            limit: 64,
            subset: 20,
            gossip: Duration::from_millis(250),
            retention: Duration::from_secs(24 * 60 * 60),
            horizon: Duration::from_secs(60 * 60),
        }
    }
}

impl Settings {
    pub(super) fn claims(&self) -> claims::Settings {
        let settings = claims::Settings::default();
        settings.with_horizon(self.horizon).with_retention(self.retention)
    }

    pub(super) fn membership(&self) -> membership::Settings {
        membership::Settings { tick: self.gossip, ..Default::default() }
    }

    pub(super) fn endpoints(&self) -> endpoints::Settings {
        let mut settings = endpoints::Settings::default();
        if !self.decisions.ejection {
            settings.health.max_share = 0.0;
        }
        if !self.decisions.adaptive_limits {
            let fixed = self.limit;
            settings.limit = limits::Settings { initial: fixed, min: fixed, max: fixed };
        }
        settings
    }
}

/// Switches for single decisions, used in experiments.
#[message]
#[derive(Copy, Eq)]
#[serde(deny_unknown_fields)]
pub struct Decisions {
    /// Refuse requests at once if the estimate exceeds their deadline.
    pub admission: bool,
    /// Send a second call if the first is slow.
    pub hedging: bool,
    /// Prefer the engine that has likely cached the start of a prompt.
    pub affinity: bool,
    /// Exclude failing endpoints until a probe succeeds.
    pub ejection: bool,
    /// Adapt the limit on calls in flight at each endpoint to its latency.
    pub adaptive_limits: bool,
    /// Order by deadline and share between teams; otherwise first come, first served.
    pub fair_queue: bool,
    /// Compare two endpoints by load; otherwise choose at random.
    pub load_aware: bool,
    /// Take retries from the shared retry budget; otherwise allow one retry per stage.
    pub budget: bool,
}

impl Decisions {
    /// All decisions enabled.
    pub const fn full() -> Decisions {
        Decisions {
            admission: true,
            hedging: true,
            affinity: true,
            ejection: true,
            adaptive_limits: true,
            fair_queue: true,
            load_aware: true,
            budget: true,
        }
    }

    /// The baseline of the experiments: first come, first served, random endpoints, one retry and
    /// no admission control.
    pub const fn plain() -> Decisions {
        Decisions {
            admission: false,
            hedging: false,
            affinity: false,
            ejection: false,
            adaptive_limits: false,
            fair_queue: false,
            load_aware: false,
            budget: false,
        }
    }
    /// Names accepted by [`Decisions::switch_off`].
    pub const NAMES: [&str; 8] = [
        "admission",
        "hedging",
        "affinity",
        "ejection",
        "adaptive-limits",
        "fair-queue",
        "load-aware",
        "budget",
    ];

    /// Disables one decision. False if there is none of that name.
    pub fn switch_off(&mut self, name: &str) -> bool {
        let decision = match name {
            "admission" => &mut self.admission,
            "hedging" => &mut self.hedging,
            "affinity" => &mut self.affinity,
            "ejection" => &mut self.ejection,
            "adaptive-limits" => &mut self.adaptive_limits,
            "fair-queue" => &mut self.fair_queue,
            "load-aware" => &mut self.load_aware,
            "budget" => &mut self.budget,
            _ => return false,
        };
        *decision = false;
        true
    }
}
