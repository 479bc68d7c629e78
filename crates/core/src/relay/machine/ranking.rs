//! Which instance does a task for all: the batcher of a pool, the placer of a prompt, the callers
//! of an endpoint.
//!
//! All instances rank each other by rendezvous hash. The work of a region is done by its own
//! instances. If none of them is alive, each other region has an instance that does it for that
//! region, so that contents of requests are passed only to the regions where they arrived or run.

use xxhash_rust::xxh3;

use crate::{
    model::InstanceName,
    relay::{machine::Relay, model::Peer, pool::Pool},
};

impl Relay {
    /// The peer that batches a pool's pieces; `None` if this instance does. The instances with
    /// the largest CPU shares come first, since all pieces of a pool pass through one process.
    pub(super) fn batcher_peer(&self, pool: Pool<'_>) -> Option<InstanceName> {
        self.first_ranked(pool.region, xxh3::xxh3_64(pool.service.as_bytes()))
    }

    /// The peer that ranks first for a task of a region; `None` if this instance does.
    pub(super) fn first_ranked(&self, region: Option<&str>, seed: u64) -> Option<InstanceName> {
        let rank = |name: &str, cpu: u32| (cpu, xxh3::xxh3_64_with_seed(name.as_bytes(), seed));
        let first = |region| {
            let peers = self.peers_in(region);
            let peers = peers.filter(|peer| !self.unresponsive_peers.contains_key(&peer.name));
            peers.map(|peer| (rank(&peer.name, peer.millicores), &peer.name)).max()
        };
        if !self.is_in(region)
            && let Some((_, name)) = first(region)
        {
            return Some(name.clone());
        }
        let (best, name) = first(region.and(self.own_region()))?;
        let own = rank(&self.settings.name, self.settings.millicores);
        (best > own || !self.is_batching).then(|| name.clone())
    }

    /// How many peers rank before this instance for a task of a region, regardless of their CPU
    /// shares. Instances of other regions rank after those of the region.
    pub(super) fn rank_of(&self, region: Option<&str>, seed: u64) -> usize {
        let hash = |name: &str| xxh3::xxh3_64_with_seed(name.as_bytes(), seed);
        let own = (self.is_in(region), hash(&self.settings.name));
        let rank = |peer: &Peer| (self.is_peer_in(peer, region), hash(&peer.name));
        self.peers.iter().filter(|peer| rank(peer) > own).count()
    }

    /// The number of instances that do the tasks of a region.
    pub(super) fn instances_for(&self, region: Option<&str>) -> usize {
        let count = |region| self.peers_in(region).count();
        match (self.is_in(region), count(region)) {
            (true, peers) => peers + 1,
            (false, 0) => count(self.own_region()) + 1,
            (false, peers) => peers,
        }
    }

    /// Whether a region has a live instance that answers this one, or this is its instance.
    pub(super) fn has_responsive_instance(&self, region: &str) -> bool {
        let mut peers = self.peers_in(Some(region));
        self.is_in(Some(region))
            || peers.any(|peer| !self.unresponsive_peers.contains_key(&peer.name))
    }

    /// The region of this instance; `None` if the deployment has one region without a name.
    pub(super) fn own_region(&self) -> Option<&str> {
        self.directory.regions().region_of(&self.settings.data_centre)
    }

    /// The peers in a region; all if it is `None`.
    pub(super) fn peers_in<'a>(
        &'a self,
        region: Option<&'a str>,
    ) -> impl Iterator<Item = &'a Peer> {
        self.peers.iter().filter(move |peer| self.is_peer_in(peer, region))
    }

    fn is_peer_in(&self, peer: &Peer, region: Option<&str>) -> bool {
        region.is_none() || self.directory.regions().region_of(&peer.data_centre) == region
    }

    fn is_in(&self, region: Option<&str>) -> bool {
        region.is_none() || self.own_region() == region
    }
}
