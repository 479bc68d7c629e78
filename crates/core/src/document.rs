//! The configuration document, which operators publish as a whole, as one version.
//!
//! Operators write it in TOML. The same types are stored as JSON in the log. Unknown fields are
//! errors, so that a misspelt setting is never ignored.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::message;

use crate::model::{PipelineName, PoolName, StageName, TeamName};

/// A complete configuration.
#[message]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Pools of endpoints.
    #[serde(default, rename = "pool")]
    pub pools: Vec<Pool>,
    /// Pipelines that callers can request.
    #[serde(default, rename = "pipeline")]
    pub pipelines: Vec<Pipeline>,
    /// Teams whose requests are accepted.
    #[serde(default, rename = "team")]
    pub teams: Vec<Team>,
    /// Policies that pipelines refer to by name.
    #[serde(default, rename = "policy")]
    pub policies: Vec<Policy>,
}

/// A pool of endpoints. The platform's list states which endpoints belong to it.
#[message]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name by which stages and the platform's list refer to the pool.
    pub name: PoolName,
    /// The kind of its endpoints.
    pub kind: PoolKind,
    /// Cost of one call, in units of the operators' choosing.
    #[serde(default = "default_cost")]
    pub cost: f64,
    /// Whether its endpoints refuse calls that carry an outdated fencing token.
    #[serde(default)]
    pub fenced: bool,
}

/// The kind of the endpoints of a pool.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// A model engine, which streams tokens and can resume and cancel calls.
    Engine,
    /// A plain service, which returns one reply for each call.
    Service,
}

/// A sequence of stages under one deadline.
#[message]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// The name by which callers request it.
    pub name: PipelineName,
    /// The longest deadline a caller may ask for, in milliseconds.
    pub max_deadline_ms: u64,
    /// The share of requests to be answered completely within the deadline, between 0 and 1.
    #[serde(default = "default_objective")]
    pub objective: f64,
    /// The name of the policy that takes its decisions; `None` for the built-in ones.
    #[serde(default)]
    pub policy: Option<Arc<str>>,
    /// Its stages, in order.
    #[serde(rename = "stage")]
    pub stages: Vec<Stage>,
}

impl Pipeline {
    /// The longest deadline a caller may ask for.
    pub fn max_deadline(&self) -> Duration {
        Duration::from_millis(self.max_deadline_ms)
    }
}

/// One stage of a pipeline.
#[message]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Its name, unique within the pipeline.
    pub name: StageName,
    /// The pool whose endpoints run the stage.
    pub pool: PoolName,
    /// Whether the stage may run again for a request that is not idempotent.
    #[serde(default)]
    pub repeatable: bool,
    /// The most tokens to generate; for engines only.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// A team that shares the system with others.
#[message]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The name that its requests carry.
    pub name: TeamName,
    /// Its share, relative to the weights of the other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The most requests of the team that one instance admits at the same time; `None` for no
    /// limit.
    #[serde(default)]
    pub max_running: Option<u32>,
}

/// A script that replaces built-in decisions.
#[message]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The name by which pipelines refer to it.
    pub name: Arc<str>,
    /// Its source: one script that defines any of the functions in [`crate::policy`].
    pub script: Arc<str>,
}

/// Cost of a call if the pool states none.
const DEFAULT_COST: f64 = 1.0;
/// Objective of a pipeline that states none.
const DEFAULT_OBJECTIVE: f64 = 0.99;
/// Weight of a team that states none.
const DEFAULT_WEIGHT: u32 = 1;

fn default_cost() -> f64 {
    DEFAULT_COST
}

fn default_objective() -> f64 {
    DEFAULT_OBJECTIVE
}

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

impl Document {
    /// The pipeline of that name.
    pub fn pipeline(&self, name: &str) -> Option<&Pipeline> {
        self.pipelines.iter().find(|pipeline| &*pipeline.name == name)
    }

    /// The team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| &*team.name == name)
    }

    /// The pool of that name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| &*pool.name == name)
    }
}
