//! How far peers are, and which instances take records from other regions.

use std::time::Duration;

use peatdeck_core::{
    model::InstanceName,
    relay::{model::Peer, readers::RegionRank, region::Distance},
};

use crate::{peers::Peers, surroundings::TableName};

/// How long after its start an instance counts peers of which it has received nothing yet as
/// alive, in a deployment of several regions. Otherwise each instance of a region that restarts
/// would take itself for a reader and read all tables over the link.
const START_TIME: Duration = Duration::from_secs(2);

impl Peers {
    /// The rank of this instance in its region; `None` if there is one region.
    pub fn region_rank(&self, now: Duration) -> Option<RegionRank> {
        if self.regions.is_empty() {
            return None;
        }
        RegionRank::of(&self.live_instances(now), &self.regions, &self.own_name)
    }

    /// Listed peers of which nothing was received yet, right after the start of this instance.
    pub(super) fn unknown_at_start(&self, now: Duration) -> Vec<Peer> {
        if now >= START_TIME || !self.regions.has_several() {
            return Vec::new();
        }
        let statuses = self.members.borrow().peer_statuses(now).into_iter();
        let unknown = statuses.filter(|status| status.is_unknown && status.is_listed);
        unknown.map(|status| self.peer(status.name)).collect()
    }

    /// [`Peers::reads_store`] in a deployment of several regions.
    pub(super) fn reads_store_in_region(
        &self,
        now: Duration,
        name: TableName,
        region_rank: RegionRank,
    ) -> bool {
        let is_loaded = self.tables.is_loaded(name);
        if name == TableName::Instances && !is_loaded {
            return true;
        }
        // The rank is computed from the table of instances.
        let is_ranked = self.tables.is_loaded(TableName::Instances) || now >= START_TIME;
        let is_underway = self.learn_state.is_underway(now);
        let age = self.tables.age(now).filter(|_| is_loaded).unwrap_or(now);
        let age = if is_underway { Duration::ZERO } else { age };
        is_ranked && region_rank.reads_store(name == TableName::Config, age)
    }

    /// The readers to request tables from: those of this region, or those of all regions if the
    /// copies here have been old for too long. Empty if this instance needs none.
    pub(super) fn sources(&self, now: Duration) -> Vec<InstanceName> {
        let mut readers = self.readers(now);
        let region_rank = self.region_rank(now);
        let is_served = region_rank
            .map_or_else(|| readers.contains(&self.own_name), |region_rank| region_rank.is_first());
        if is_served && !self.is_stale(now) {
            return Vec::new();
        }
        readers.retain(|name| *name != self.own_name);
        let age = self.tables.age(now).unwrap_or(now);
        if !self.may_cross(now, age) {
            readers.retain(|name| !self.is_remote(name));
        }
        readers
    }

    /// Whether this instance may take records from a peer of another region, after its own region
    /// has had nothing newer for `waited`.
    pub fn may_cross(&self, now: Duration, waited: Duration) -> bool {
        self.region_rank(now).is_none_or(|region_rank| waited > region_rank.patience())
    }

    /// Whether the instance that listens on an address is in another region.
    pub fn is_remote_addr(&self, addr: &str) -> bool {
        let announced = self.announced.borrow();
        let mut entries = announced.values().map(|instance| &instance.entry);
        let entry = entries.find(|entry| *entry.peer_addr == *addr);
        entry.is_some_and(|entry| self.is_remote_place(&entry.data_centre))
    }

    /// Whether an instance is in another region.
    pub fn is_remote(&self, name: &str) -> bool {
        let announced = self.announced.borrow();
        announced.get(name).is_some_and(|it| self.is_remote_place(&it.entry.data_centre))
    }

    pub(super) fn is_remote_place(&self, data_centre: &str) -> bool {
        self.regions.distance(&self.own_data_centre, data_centre) == Distance::Remote
    }
}
