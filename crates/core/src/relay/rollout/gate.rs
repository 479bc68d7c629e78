//! Which versions of a service's endpoints receive work.

use std::{collections::HashMap, time::Duration};

use peatdeck_macros::data;

use crate::{
    model::Incarnation,
    relay::{ids::ServiceName, pool::Track, rollout::Version},
};

/// The versions of one service that receive work; each track has at most one.
#[data]
#[derive(Default)]
pub struct Gate {
    /// The version that serves the service's requests.
    pub stable: Option<Version>,
    /// The version that gets a share of the requests on trial.
    pub canary: Option<Version>,
    /// The version that gets no new requests, but may go on with the streams that it began.
    pub previous: Option<Version>,
}

/// Endpoints of a service that are read within this time after its first one are taken to be listed
/// together. Their order says nothing, and those of a version that is about to be rolled out may be
/// among them.
const LISTING_TIME: Duration = Duration::from_secs(3);

/// The versions of a service's endpoints that were listed first.
#[derive(Debug, Clone)]
struct FirstListed {
    since: Duration,
    /// The version of each, and the earliest incarnation among its endpoints.
    versions: Vec<(Incarnation, Version)>,
}

/// The gates of all services, and the versions that are in force without any record of a rollout.
#[derive(Debug, Clone, Default)]
pub struct Gates {
    gates: HashMap<ServiceName, Gate>,
    listed: HashMap<ServiceName, FirstListed>,
}

impl Gates {
    /// Takes in the version of an endpoint.
    pub fn record_endpoint(
        &mut self,
        now: Duration,
        service: &ServiceName,
        incarnation: Incarnation,
        version: &Version,
    ) {
        let new = || FirstListed { since: now, versions: Vec::new() };
        let listed = self.listed.entry(service.clone()).or_insert_with(new);
        if now > listed.since + LISTING_TIME {
            return;
        }
        match listed.versions.iter_mut().find(|(_, known)| known == version) {
            Some((earliest, _)) => *earliest = incarnation.min(*earliest),
            None => listed.versions.push((incarnation, version.clone())),
        }
    }

    /// The version in force if no record states one: among those listed first, the one whose
    /// endpoints started first. Endpoints may not state when they started; among equal ones it is
    /// the lower version, and not one that is ordered to be rolled out.
    pub fn first(&self, service: &str, ordered: Option<&Version>) -> Option<&Version> {
        let versions = &self.listed.get(service)?.versions;
        let rank =
            |it: &&(Incarnation, Version)| (it.0, Some(&it.1) == ordered, it.1.len(), it.1.clone());
        versions.iter().min_by_key(rank).map(|(_, version)| version)
    }

    /// Sets the gate of a service. Returns whether that changes it.
    pub fn set(&mut self, service: &ServiceName, gate: Gate) -> bool {
        self.gates.insert(service.clone(), gate.clone()) != Some(gate)
    }

    /// Whether a version may go on with the streams that it began.
    pub fn may_resume(&self, service: &str, version: &Version) -> bool {
        let admitted = [Track::Stable, Track::Canary].map(|track| self.admitted(service, track));
        let previous = self.gates.get(service).and_then(|gate| gate.previous.as_ref());
        admitted.contains(&Some(version)) || previous == Some(version)
    }

    /// The version that receives the work of a service's track; `None` if none does.
    pub fn admitted(&self, service: &str, track: Track) -> Option<&Version> {
        match (self.gates.get(service), track) {
            (Some(gate), Track::Stable) => gate.stable.as_ref(),
            (Some(gate), Track::Canary) => gate.canary.as_ref(),
            (None, Track::Stable) => self.first(service, None),
            (None, Track::Canary) => None,
        }
    }
}
