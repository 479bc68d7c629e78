//! The configuration in force, made ready for use.

use std::{collections::HashMap, rc::Rc, sync::Arc};

use crate::{
    document::{Document, Pipeline, Team},
    model::{PipelineName, TeamName},
    policy,
    record::Version,
};

/// A configuration made ready for use. Held requests keep the parts that they
/// began with, so a new version never changes a request under way.
#[derive(Debug)]
pub struct Plan {
    /// Its version.
    pub version: Version,
    /// Its document.
    pub document: Arc<Document>,
    pipelines: HashMap<PipelineName, Rc<Pipeline>>,
    teams: HashMap<TeamName, Rc<Team>>,
    programs: HashMap<Arc<str>, Rc<policy::Program>>,
}

impl Plan {
    /// Compiles a document.
    ///
    /// # Errors
    /// If a policy does not compile: the version is accepted elsewhere, so
    /// this instance must not serve with anything else in its place.
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

    /// A pipeline by name.
    pub fn pipeline(&self, name: &str) -> Option<&Rc<Pipeline>> {
        self.pipelines.get(name)
    }

    /// A team by name.
    pub fn team(&self, name: &str) -> Option<&Rc<Team>> {
        self.teams.get(name)
    }

    /// The program that decides for a pipeline, where one does.
    pub fn program(&self, pipeline: &Pipeline) -> Option<&Rc<policy::Program>> {
        self.programs.get(pipeline.policy.as_ref()?)
    }

    /// Cost of one call to a pool.
    pub fn cost(&self, pool: &str) -> f64 {
        self.document.pool(pool).map_or(1.0, |pool| pool.cost)
    }
}
