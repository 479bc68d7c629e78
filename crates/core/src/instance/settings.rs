//! What an instance is started with.

use std::time::Duration;

use peatdeck_macros::message;

use crate::{claims, endpoints, limits, membership};

/// Settings of the decisions. The defaults are what operators should run.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Which decisions are on.
    pub decisions: Decisions,
    /// How long an instance may hear neither the log nor a peer before it
    /// can no longer know which configuration is in force.
    pub isolation: Duration,
    /// How long a stopping instance still takes requests, so that the
    /// balancer can notice.
    pub grace: Duration,
    /// How long a stopping instance tries to write what it owes the log,
    /// after its last request has ended.
    pub settle: Duration,
    /// How long to wait for another instance to tell a request's outcome.
    pub ask: Duration,
    /// Finished non-idempotent requests whose outcome is kept for repeats.
    pub finished: usize,
    /// Calls in flight at one endpoint where its limit does not adapt.
    pub limit: u32,
    /// Endpoints of one pool that the instance keeps to, at the most.
    pub subset: usize,
    /// Time between gossip rounds.
    pub gossip: Duration,
    /// How long the log keeps records, as its operators state it.
    pub retention: Duration,
    /// How long a claim protects its key.
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

/// Switches of the single decisions, for experiments.
#[message]
#[derive(Copy, Eq)]
#[serde(deny_unknown_fields)]
pub struct Decisions {
    /// Refuse at once what the estimate says cannot be in time.
    pub admission: bool,
    /// Send a second call where the first is slow.
    pub hedging: bool,
    /// Prefer the engine that is likely to hold a prompt's start in its cache.
    pub affinity: bool,
    /// Leave out endpoints that fail until a probe succeeds.
    pub ejection: bool,
    /// Adapt the calls in flight at each endpoint to its latency.
    pub adaptive_limits: bool,
    /// Order by deadline and share between teams; first come, first served otherwise.
    pub fair_queue: bool,
    /// Compare two endpoints by load; take any one otherwise.
    pub load_aware: bool,
    /// Retries out of the shared budget; a single retry for each stage otherwise.
    pub budget: bool,
}

impl Decisions {
    /// Everything on.
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

    /// The baseline of the experiments: first come, first served, random
    /// choice, one retry, no admission control.
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
    /// Names by which single decisions are switched off.
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

    /// Switches one decision off. False if there is none of that name.
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
