//! Selects the instances that read the platform's tables.
//!
//! Calls to the platform's store are charged, so only a few instances, the readers, make them; the
//! others ask a reader. Each instance computes the readers from the peers that it takes to be
//! alive. They thus agree without messages, and while their views differ there is a reader more or
//! less.
//!
//! Each region has readers of its own, and instances ask those of their region, since a byte
//! between regions is expensive and the link is narrow.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use peatdeck_macros::data;
use xxhash_rust::xxh3;

use crate::{
    model::InstanceName,
    relay::{model::Peer, region::RegionMap},
};

/// The smallest number of readers of a region: one of them may be cut off from the store.
const MIN_READERS: usize = 2;
/// The most instances that one reader serves. With a request every [`READ_INTERVAL`] from each of
/// them, that is about 30 replies per second.
const INSTANCES_PER_READER: usize = 18;
/// Interval between two reads of the tables, by readers as well as by the instances that ask them.
/// All instances must learn within two seconds that an endpoint leaves or that the configuration
/// has changed.
pub const READ_INTERVAL: Duration = Duration::from_millis(450);
/// Copies that were last compared with the store longer ago than this are stale: two intervals and
/// the time of their calls. An instance with stale copies calls the store itself, so this bounds
/// the delay that a reader without access to the store can cause.
pub const STALE_AFTER: Duration = Duration::from_millis(1300);
/// Interval between two reads of the table of instances, which is not urgent.
pub const INSTANCES_INTERVAL: Duration = Duration::from_secs(2);

/// How long a read waits at the store for a change of a table that hardly ever changes. Instances
/// also tell each other of such changes; this bounds how late an instance is that was not told, at
/// a cost of some nine calls per reader in a minute and a half.
pub const LONG_POLL_WAIT: Duration = Duration::from_secs(10);

/// How old the copies of one of the [`MIN_READERS`] first instances of a region become until it
/// takes records from another region's instances, if there are several regions. It is longer than
/// a large configuration takes from the store over a link that others use too, since a second
/// transfer would slow down the first.
const FIRST_PATIENCE: Duration = Duration::from_secs(2);
/// The same for the region's other instances, which also read the store then. The next two in rank
/// begin in time for a change to be in force everywhere within four seconds.
const OTHERS_PATIENCE: Duration = Duration::from_secs(3);
/// Delay after which the next two of the other instances begin, so that a region without a working
/// reader does not transfer a large configuration to all of its instances at once.
const PATIENCE_STEP: Duration = Duration::from_secs(1);

/// The instances among those given that read the store, of each region those with the most CPU
/// first.
pub fn select_readers(instances: &[Peer], regions: &RegionMap) -> Vec<InstanceName> {
    let by_region = rank_by_region(instances, regions).into_values();
    let readers = by_region.flat_map(|ranked| {
        let count = reader_count(ranked.len());
        ranked.into_iter().take(count).map(|peer| peer.name.clone())
    });
    readers.collect()
}

/// The instances of each region, those with the most CPU first.
fn rank_by_region<'a>(
    instances: &'a [Peer],
    regions: &'a RegionMap,
) -> BTreeMap<Option<&'a str>, Vec<&'a Peer>> {
    let mut by_region: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for peer in instances {
        by_region.entry(regions.region_of(&peer.data_centre)).or_default().push(peer);
    }
    let rank = |peer: &Peer| (Reverse(peer.millicores), xxh3::xxh3_64(peer.name.as_bytes()));
    by_region.values_mut().for_each(|ranked| ranked.sort_by_key(|peer| rank(peer)));
    by_region
}

fn reader_count(instances: usize) -> usize {
    MIN_READERS.max(instances.div_ceil(INSTANCES_PER_READER))
}

/// The rank of an instance in its region, in a deployment of several regions. Records cross the
/// link between regions to the first instances only; the others receive them from these.
#[data]
#[derive(Copy)]
pub struct RegionRank {
    rank: usize,
    readers: usize,
    instances: usize,
}

impl RegionRank {
    /// The rank of an instance among those given; `None` if there is one region.
    pub fn of(instances: &[Peer], regions: &RegionMap, name: &str) -> Option<RegionRank> {
        let by_region = rank_by_region(instances, regions);
        if !regions.has_several() {
            return None;
        }
        let find = |ranked: Vec<&Peer>| {
            let rank = ranked.iter().position(|peer| *peer.name == *name)?;
            let (readers, instances) = (reader_count(ranked.len()), ranked.len());
            Some(RegionRank { rank, readers, instances })
        };
        by_region.into_values().find_map(find)
    }

    /// Whether the instance is one of the two that read the store's large records, which are those
    /// of the configuration, for their region.
    pub fn is_first(&self) -> bool {
        self.rank < MIN_READERS
    }

    /// Whether the instance reads a table from the store while its copies are `age` old.
    pub fn reads_store(&self, is_large: bool, age: Duration) -> bool {
        let is_reader = self.is_first() || (self.rank < self.readers && !is_large);
        is_reader || age > self.patience()
    }

    /// How old its copies, or the news that it has none of, become until the instance takes records
    /// from other regions' instances.
    pub fn patience(&self) -> Duration {
        match self.rank.checked_sub(MIN_READERS) {
            None => FIRST_PATIENCE,
            Some(idx) => OTHERS_PATIENCE + PATIENCE_STEP * (idx / MIN_READERS) as u32,
        }
    }

    /// Longest delay between two failed calls to the store. Instances that are no readers spread
    /// their calls as their first ones, so that they do not all read when a link returns.
    pub fn max_backoff(&self, of_readers: Duration) -> Duration {
        if self.rank < self.readers {
            return of_readers;
        }
        of_readers.max(PATIENCE_STEP * self.instances.div_ceil(MIN_READERS) as u32)
    }
}
