//! Which versions of a service's endpoints receive work.

use std::collections::HashMap;

use peatdeck_macros::data;

use crate::{
    model::Incarnation,
    relay::{model::ServiceName, pool::Track, rollout::Version},
};

/// The versions of one service that receive work; each track has at most one.
#[data]
#[derive(Default)]
pub struct Gate {
    /// The version that serves the service's requests.
    pub stable: Option<Version>,
    /// The version that gets a share of the requests on trial.
    pub canary: Option<Version>,
}

/// The gates of all services, and the versions that are in force without any record of a rollout.
#[derive(Debug, Clone, Default)]
pub struct Gates {
    gates: HashMap<ServiceName, Gate>,
    /// The version of the endpoint that started first among those seen, of each service. Endpoints
    /// of a new version start later than those in force.
    earliest: HashMap<ServiceName, (Incarnation, Version)>,
}

impl Gates {
    /// Takes in the version of an endpoint.
    pub fn record_endpoint(
        &mut self,
        service: &ServiceName,
        incarnation: Incarnation,
        version: &Version,
    ) {
        let seen = (incarnation, version.clone());
        let earliest = self.earliest.entry(service.clone()).or_insert_with(|| seen.clone());
        if incarnation < earliest.0 {
            *earliest = seen;
        }
    }

    /// The version in force if no record states one.
    pub fn earliest(&self, service: &str) -> Option<&Version> {
        self.earliest.get(service).map(|(_, version)| version)
    }

    /// Sets the gate of a service. Returns whether that changes it.
    pub fn set(&mut self, service: &ServiceName, gate: Gate) -> bool {
        self.gates.insert(service.clone(), gate.clone()) != Some(gate)
    }

    /// The version that receives the work of a service's track; `None` if none does.
    pub fn admitted(&self, service: &str, track: Track) -> Option<&Version> {
        match (self.gates.get(service), track) {
            (Some(gate), Track::Stable) => gate.stable.as_ref(),
            (Some(gate), Track::Canary) => gate.canary.as_ref(),
            (None, Track::Stable) => self.earliest(service),
            (None, Track::Canary) => None,
        }
    }
}
