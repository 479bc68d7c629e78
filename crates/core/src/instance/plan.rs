//! The configuration in force, indexed and compiled.

use std::{collections::HashMap, rc::Rc, sync::Arc};

use crate::{
    document::{Document, Pipeline, Team},
    model::{PipelineName, TeamName},
    policy,
    record::Version,
};

/// A configuration, indexed and compiled. Active requests keep their pipeline, so a new version
/// never changes a request that has begun.
#[derive(Debug)]
pub struct Plan {
    /// Version of the configuration.
    pub version: Version,
    /// The document that the configuration was built from.
    pub document: Arc<Document>,
    pipelines: HashMap<PipelineName, Rc<Pipeline>>,
    teams: HashMap<TeamName, Rc<Team>>,
    programs: HashMap<Arc<str>, Rc<policy::Program>>,
}

impl Plan {
    /// Indexes a document and compiles its policies.
    ///
    /// # Errors
    /// Fails if a policy does not compile. Other instances may have accepted the version, so this
    /// instance must not serve any other one instead.
    pub fn new(version: Version, document: Arc<Document>) -> Result<Plan, policy::Error> {
        let pipelines =
            document.pipelines.iter().map(|p| (p.name.clone(), Rc::new(p.clone()))).collect();
        let teams = document.teams.iter().map(|t| (t.name.clone(), Rc::new(t.clone()))).collect();
        let mut programs = HashMap::new();
        for policy in &document.policies {
            let program = policy::compile(&policy.script)?;
            programs.insert(policy.name.clone(), Rc::new(program));
        }
        Ok(Plan { version, document, pipelines, teams, programs })
    }

    /// The pipeline with that name.
    pub fn pipeline(&self, name: &str) -> Option<&Rc<Pipeline>> {
        self.pipelines.get(name)
    }

    /// The team with that name.
    pub fn team(&self, name: &str) -> Option<&Rc<Team>> {
        self.teams.get(name)
    }

    /// The policy program of a pipeline, if it has one.
    pub fn program(&self, pipeline: &Pipeline) -> Option<&Rc<policy::Program>> {
        self.programs.get(pipeline.policy.as_ref()?)
    }

    /// Cost of one call to a pool; 1 for an unknown pool.
    pub fn cost(&self, pool: &str) -> f64 {
        self.document.pool(pool).map_or(1.0, |pool| pool.cost)
    }
}
