//! Which software versions the endpoints of each service have, and which of them get work.

use std::collections::{BTreeMap, HashMap};

use crate::relay::{
    directory::{Directory, Endpoint, Entry},
    model::ServiceName,
    pool::{Pool, Track},
    registry::Versions,
    rollout::{Version, gate::Gate},
};

/// The number of endpoints of each version of each service.
#[derive(Debug, Clone, Default)]
pub(super) struct VersionCounts {
    counts: HashMap<ServiceName, BTreeMap<Version, usize>>,
}

impl VersionCounts {
    /// Counts the endpoint of an entry. Returns whether its service did not have the version.
    pub(super) fn add(&mut self, entry: &Entry) -> bool {
        let counts = self.counts.entry(entry.service.clone()).or_default();
        let count = counts.entry(entry.version.clone()).or_default();
        *count += 1;
        *count == 1
    }

    /// Counts the endpoint of an entry no more.
    pub(super) fn remove(&mut self, entry: &Entry) {
        let Some(counts) = self.counts.get_mut(&entry.service) else { return };
        let Some(count) = counts.get_mut(&entry.version) else { return };
        *count -= 1;
        if *count == 0 {
            counts.remove(&entry.version);
        }
    }

    /// The versions of a service.
    pub(super) fn versions(&self, service: &str) -> Versions {
        self.counts.get(service).map(|counts| counts.keys().cloned().collect()).unwrap_or_default()
    }

    /// The number of versions of a service.
    pub(super) fn of(&self, service: &str) -> usize {
        self.counts.get(service).map_or(0, BTreeMap::len)
    }

    /// The largest number of versions of any service.
    pub(super) fn max(&self) -> usize {
        self.counts.values().map(BTreeMap::len).max().unwrap_or(0)
    }
}

impl Directory {
    /// From now on the versions of endpoints decide which of them get work.
    pub fn heed_versions(&mut self) {
        self.gates.get_or_insert_default();
    }

    /// Sets which versions of a service get work. Returns whether that changes it.
    pub fn set_gate(&mut self, service: &ServiceName, gate: Gate) -> bool {
        self.gates.as_mut().is_some_and(|gates| gates.set(service, gate))
    }

    /// The version of a service that was in force first as far as its endpoints show, besides one
    /// that is ordered to be rolled out.
    pub fn first_version(&self, service: &str, ordered: Option<&Version>) -> Option<&Version> {
        self.gates.as_ref()?.first(service, ordered)
    }

    /// Keeps new work from these versions of services while another version of the service has
    /// endpoints that accept it.
    pub fn hold_versions(&mut self, held: HashMap<ServiceName, Versions>) {
        self.held = held;
    }

    /// The versions of a service that get no new work.
    fn held_versions(&self, service: &str) -> Option<&Versions> {
        let held = self.held.get(service)?;
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let mut endpoints = keys.iter().map(|key| &self.endpoints[*key]);
        let has_other = endpoints.any(|it| it.is_ready() && !held.contains(&it.entry.version));
        has_other.then_some(held)
    }

    /// A test whether an endpoint's version gets the work of a pool.
    pub(super) fn version_filter<'a>(
        &'a self,
        pool: Pool<'a>,
    ) -> impl Fn(&Endpoint) -> bool + Copy + use<'a> {
        let gates = self.gates.as_ref();
        let held = self.held_versions(pool.service).filter(|_| pool.version.is_none());
        let of_track = gates.map(|gates| gates.admitted(pool.service, pool.track));
        move |endpoint| {
            let version = &endpoint.entry.version;
            if held.is_some_and(|held| held.contains(version)) {
                return false;
            }
            match (pool.version, of_track) {
                (Some(bound), _) if *bound != **version => false,
                (Some(_), _) => gates.is_none_or(|it| it.may_resume(pool.service, version)),
                (None, Some(admitted)) => admitted == Some(version),
                (None, None) => pool.track == Track::Stable,
            }
        }
    }

    /// The number of versions that a service's endpoints have, with those that left lately.
    pub fn version_count(&self, service: &str) -> usize {
        self.versions.of(service)
    }

    /// The versions that a service's endpoints have, with those that left lately.
    pub fn versions(&self, service: &str) -> Versions {
        self.versions.versions(service)
    }

    /// The largest [`Directory::version_count`] of any service.
    pub fn max_versions(&self) -> usize {
        self.versions.max()
    }

    /// The track that an endpoint's version belongs to.
    pub fn track_of(&self, endpoint: &Endpoint) -> Track {
        self.track_of_version(&endpoint.entry.service, &endpoint.entry.version)
    }

    /// The track that a version of a service belongs to.
    pub fn track_of_version(&self, service: &str, version: &Version) -> Track {
        let canary = self.gates.as_ref().and_then(|gates| gates.admitted(service, Track::Canary));
        if canary == Some(version) { Track::Canary } else { Track::Stable }
    }
}
