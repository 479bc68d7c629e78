//! The state of each endpoint.
//!
//! The platform's directory lists the endpoints; the outcomes of their calls show
//! their health and speed. Leaving is final: an incarnation that was seen to leave
//! receives no more calls, even if an older record is read later. An endpoint whose entry
//! disappeared without notice has left, too, unless the platform's store was away before
//! ([`Outage`]): entries expire then, and their endpoints are used until they had time to
//! write them again.
//!
//! Records of one incarnation are judged by their own numbers, since the store may execute
//! a write seconds after later ones (`changes`). Entries that are first seen late have to prove
//! that their endpoints still run (`proof`).
//!
//! An endpoint may restart under its name. Each incarnation is an [`Endpoint`] with a
//! key of its own, so that neither load and speed nor the contents of its memory are
//! carried over from one incarnation to the next.

mod changes;
mod endpoint;
mod identity;
mod outage;
mod proof;
mod versions;

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use peatdeck_macros::data;
use slotmap::SlotMap;

use crate::{
    model::{DataCentre, EndpointName, Incarnation},
    relay::{
        directory::{endpoint::State, proof::Observation, versions::VersionCounts},
        model::{EndpointId, EndpointKey, ServiceName},
        pool::{Pool, PoolKey},
        region::RegionMap,
        registry::Versions,
        rollout::{Version, gate::Gates},
    },
};

pub use endpoint::Endpoint;
pub use outage::Outage;

/// An entry of the platform's directory.
#[data]
pub struct Entry {
    /// The endpoint's name, which it may keep after a restart.
    pub name: EndpointName,
    /// The incarnation; a later one has a larger number.
    pub incarnation: Incarnation,
    /// Its number among the entries of the incarnation; a later one has a larger number.
    pub number: u64,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens, `ip:port`.
    pub addr: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The version of its software.
    pub version: Version,
    /// Calls that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and accepts no new work.
    pub is_leaving: bool,
    /// How much longer it is cold; `None` if the entry does not state it.
    pub cold_left: Option<Duration>,
}

/// A change of the directory.
#[data]
pub enum Change {
    /// An entry is new or changed.
    Put(Entry),
    /// An entry was removed.
    Removed(EndpointName),
    /// The value under the name is not a valid entry.
    Unreadable(EndpointName),
}

/// The effect of a change.
#[data]
#[derive(Copy, Default)]
pub struct ChangeEffect {
    /// Whether it changed which endpoints accept new work.
    pub is_new: bool,
    /// The previous incarnation, if the endpoint has restarted.
    pub ended: Option<EndedEndpoint>,
    /// Whether the endpoint is cold and was not known to be.
    pub is_newly_cold: bool,
    /// Whether its service had no endpoint of this version before.
    pub is_new_version: bool,
}

/// An incarnation of an endpoint that has ended.
#[data]
#[derive(Copy)]
pub struct EndedEndpoint {
    /// Its key.
    pub endpoint: EndpointKey,
    /// Whether it had announced that it was leaving, or its entry had disappeared before.
    pub is_planned: bool,
}

/// All endpoints that are known or were until recently.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_name: HashMap<EndpointName, EndpointKey>,
    by_service: HashMap<ServiceName, Vec<EndpointKey>>,
    versions: VersionCounts,
    /// When the first entry was applied.
    known_since: Option<Duration>,
    observation: Observation,
    /// The last time in which the platform's store was away.
    outage: Option<Outage>,
    /// Data centres whose endpoints receive no calls because operators evacuated them.
    evacuated: BTreeSet<DataCentre>,
    regions: RegionMap,
    /// Which versions get work; `None` if versions are ignored.
    gates: Option<Gates>,
    /// Whether another process may be at the address of any endpoint.
    has_doubts: bool,
    /// Versions that get no new work while another one of their service serves.
    held: HashMap<ServiceName, Versions>,
}

impl Directory {
    /// An empty directory of a deployment with these regions.
    pub fn new(regions: RegionMap) -> Directory {
        Directory { regions, ..Directory::default() }
    }

    /// The regions of the deployment.
    pub fn regions(&self) -> &RegionMap {
        &self.regions
    }

    /// The endpoint; `None` if it has been forgotten.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// All endpoints that have not been forgotten.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// The same, to discard outdated state.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.values_mut()
    }

    /// The endpoint, to record the outcomes of its calls.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// Sends nothing to the endpoints of a data centre from now on. False if it is
    /// evacuated already.
    pub fn evacuate(&mut self, data_centre: DataCentre) -> bool {
        self.evacuated.insert(data_centre)
    }

    /// Uses the endpoints of a data centre again. False if it was not evacuated.
    pub fn restore(&mut self, data_centre: &str) -> bool {
        self.evacuated.remove(data_centre)
    }

    /// The evacuated data centres.
    pub fn evacuated(&self) -> impl Iterator<Item = &DataCentre> {
        self.evacuated.iter()
    }

    /// The number of endpoints of a data centre that accept new work.
    pub fn ready_count_in(&self, data_centre: &str) -> usize {
        let in_it = |it: &&Endpoint| *it.entry.data_centre == *data_centre && it.is_ready();
        self.endpoints.values().filter(in_it).count()
    }

    /// Whether a pool has endpoints that accept new work, all of them in evacuated data
    /// centres, and no usable endpoint elsewhere.
    pub fn is_evacuated(&self, now: Duration, pool: Pool<'_>) -> bool {
        if self.evacuated.is_empty() {
            return false;
        }
        let mut ready = self.ready_in(pool).peekable();
        let are_all = ready.peek().is_some() && ready.all(|it| self.is_in_evacuated(it));
        are_all && self.usable(now, pool).is_empty()
    }

    /// The endpoints of a pool that accept new work, also in evacuated data centres.
    fn ready_in<'a>(&'a self, pool: Pool<'a>) -> impl Iterator<Item = &'a Endpoint> {
        let keys = self.by_service.get(pool.service).map_or(&[][..], Vec::as_slice);
        let endpoints = keys.iter().map(|key| &self.endpoints[*key]);
        let has_version = self.version_filter(pool);
        endpoints
            .filter(move |it| it.is_ready() && has_version(it) && is_in_region(it, pool.region))
    }

    /// Whether an endpoint's data centre is evacuated.
    fn is_in_evacuated(&self, endpoint: &Endpoint) -> bool {
        self.evacuated.contains(&endpoint.entry.data_centre)
    }

    /// The endpoints of a pool that accept new work, except in evacuated data centres, and those
    /// whose entries have only expired.
    pub fn usable(&self, now: Duration, pool: Pool<'_>) -> Vec<EndpointKey> {
        let keys = self.by_service.get(pool.service).map_or(&[][..], Vec::as_slice);
        let has_version = self.version_filter(pool);
        let is_usable = |key: &&EndpointKey| {
            let endpoint = &self.endpoints[**key];
            let is_in_pool = has_version(endpoint) && is_in_region(endpoint, pool.region);
            let is_alive = endpoint.is_ready() || self.has_expired(now, endpoint);
            is_in_pool && is_alive && !self.is_in_evacuated(endpoint)
        };
        keys.iter().filter(is_usable).copied().collect()
    }

    /// Records that the platform's store was away.
    pub fn record_outage(&mut self, outage: Outage) {
        self.outage = Some(outage);
    }

    /// Whether an endpoint's entry has disappeared only because the store was away.
    fn has_expired(&self, now: Duration, endpoint: &Endpoint) -> bool {
        let lost_at = endpoint.missing_since();
        self.outage.zip(lost_at).is_some_and(|(outage, lost_at)| outage.excuses(now, lost_at))
    }

    /// Whether [`Directory::usable`] lists any endpoint.
    pub fn has_usable(&self, now: Duration, pool: Pool<'_>) -> bool {
        let has_ready = self.ready_in(pool).any(|endpoint| !self.is_in_evacuated(endpoint));
        has_ready || !self.usable(now, pool).is_empty()
    }

    /// The regions of a service's endpoints, by name; none if regions have no names.
    pub fn regions_of(&self, service: &str) -> BTreeSet<&str> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| self.endpoints[*key].region.as_deref()).collect()
    }

    /// The pool of the endpoint that listens at an address.
    pub fn pool_at(&self, addr: &str) -> Option<PoolKey> {
        let mut endpoints = self.endpoints.values();
        Some(self.pool_of(endpoints.find(|endpoint| *endpoint.entry.addr == *addr)?))
    }

    /// The keys of all endpoints that have not been forgotten.
    pub fn keys(&self) -> impl Iterator<Item = EndpointKey> {
        self.endpoints.keys()
    }

    /// The keys of the endpoints that accept new work.
    pub fn ready_keys(&self) -> impl Iterator<Item = EndpointKey> {
        self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_ready()).map(|(key, _)| key)
    }

    /// When the first entry was applied; `None` before.
    pub fn known_since(&self) -> Option<Duration> {
        self.known_since
    }

    /// Whether a pool has endpoints that accept new work, or may do so again shortly.
    pub fn is_expected_in(&self, now: Duration, pool: Pool<'_>) -> bool {
        let keys = self.by_service.get(pool.service).map_or(&[][..], Vec::as_slice);
        let has_version = self.version_filter(pool);
        let mut endpoints = keys.iter().map(|key| &self.endpoints[*key]);
        endpoints.any(|it| {
            let is_in_pool = has_version(it) && is_in_region(it, pool.region);
            let is_expected =
                matches!(it.state, State::Ready | State::Gone(_) | State::Unproven(_));
            is_in_pool && (is_expected || self.has_expired(now, it)) && !self.is_in_evacuated(it)
        })
    }

    /// The endpoint that accepts new work at an address.
    pub fn at_addr(&self, addr: &str) -> Option<EndpointKey> {
        let is_there =
            |(_, endpoint): &(_, &Endpoint)| *endpoint.entry.addr == *addr && endpoint.is_ready();
        self.endpoints.iter().find(is_there).map(|(key, _)| key)
    }

    /// The pool whose work an endpoint runs.
    pub fn pool_of(&self, endpoint: &Endpoint) -> PoolKey {
        let Entry { service, data_centre, .. } = &endpoint.entry;
        PoolKey { service: service.clone(), region: self.regions.work_region(data_centre) }
    }

    /// The newest incarnation of the endpoint of this name.
    pub fn by_name(&self, name: &str) -> Option<EndpointKey> {
        self.by_name.get(name).copied()
    }

    /// The service of the newest incarnation of an endpoint.
    pub fn service_of(&self, name: &str) -> Option<&ServiceName> {
        Some(&self.endpoints[self.by_name(name)?].entry.service)
    }

    /// The key of an incarnation; `None` if it is not the newest one known.
    pub fn by_id(&self, id: &EndpointId) -> Option<EndpointKey> {
        let key = self.by_name(&id.name)?;
        (self.endpoints[key].entry.incarnation == id.incarnation).then_some(key)
    }

    /// The data centre where a result is stored: that of the endpoint that produced it,
    /// or else of the endpoint whose address the handle begins with. `None` if the handle
    /// contains no address or the endpoint is unknown.
    pub fn data_centre_of(
        &self,
        handle: &str,
        producer: Option<EndpointKey>,
    ) -> Option<DataCentre> {
        let (addr, _) = handle.split_once('/')?;
        let producer = producer.and_then(|key| self.endpoints.get(key));
        let at_addr = |endpoint: &&Endpoint| *endpoint.entry.addr == *addr;
        let endpoint = producer.or_else(|| self.endpoints.values().find(at_addr))?;
        Some(endpoint.entry.data_centre.clone())
    }

    /// The number of endpoints of a pool that accept new work.
    pub fn ready_count_of(&self, pool: Pool<'_>) -> usize {
        self.ready_in(pool).count()
    }

    /// The number of endpoints that accept new work.
    pub fn ready_count(&self) -> usize {
        self.endpoints.values().filter(|endpoint| endpoint.is_ready()).count()
    }
}

fn is_in_region(endpoint: &Endpoint, region: Option<&str>) -> bool {
    region.is_none() || endpoint.region.as_deref() == region
}
