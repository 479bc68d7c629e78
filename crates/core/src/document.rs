//! The configuration document: what operators publish, whole, as one version.
//!
//! Operators write it in TOML. The same types are carried as JSON in the log.
//! Unknown fields are errors, so that a misspelt setting is never ignored.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::message;

use crate::model::{PipelineName, PoolName, StageName, TeamName};

/// One whole configuration.
#[message]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Pools of endpoints.
    #[serde(default, rename = "pool")]
    pub pools: Vec<Pool>,
    /// Pipelines.
    #[serde(default, rename = "pipeline")]
    pub pipelines: Vec<Pipeline>,
    /// Teams.
    #[serde(default, rename = "team")]
    pub teams: Vec<Team>,
    /// Policies, by name.
    #[serde(default, rename = "policy")]
    pub policies: Vec<Policy>,
}

/// A pool of endpoints; which endpoints it has, the platform's list says.
#[message]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its name, as stages and the platform's list give it.
    pub name: PoolName,
    /// What its endpoints are.
    pub kind: PoolKind,
    /// Cost of one call, in units of the operators' choosing.
    #[serde(default = "default_cost")]
    pub cost: f64,
    /// Whether its endpoints refuse orders that carry an old fencing token.
    #[serde(default)]
    pub fenced: bool,
}

/// What the endpoints of a pool are.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// A model engine: streams tokens, can resume and cancel.
    Engine,
    /// A plain service: one reply a call.
    Service,
}

/// A chain of stages under one deadline.
#[message]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Its name.
    pub name: PipelineName,
    /// The longest deadline a caller may ask for, in milliseconds.
    pub max_deadline_ms: u64,
    /// Share of requests to be answered whole in time, between 0 and 1.
    #[serde(default = "default_objective")]
    pub objective: f64,
    /// The policy that decides for it, by name; the built-in decisions otherwise.
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
    /// The pool whose endpoints run it.
    pub pool: PoolName,
    /// Whether the stage may run again for a request that is not idempotent.
    #[serde(default)]
    pub repeatable: bool,
    /// Tokens to generate at the most; engines only.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// A team that shares the system.
#[message]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Its share, relative to the other teams' weights.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Requests of it that one instance holds at once, at the most.
    #[serde(default)]
    pub max_running: Option<u32>,
}

/// Short programs that decide instead of the built-in rules.
#[message]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Its name.
    pub name: Arc<str>,
    /// Its source, one script that defines any of the known functions.
    pub script: Arc<str>,
}

/// Cost of a call where the pool states none.
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
