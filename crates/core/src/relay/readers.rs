//! Selects the instances that read the platform's tables.
//!
//! Calls to the platform's store are charged, so only a few instances, the readers, make them; the
//! others ask a reader. Each instance computes the readers from the peers that it takes to be
//! alive. They thus agree without messages, and while their views differ there is a reader more or
//! less.

use std::{cmp::Reverse, time::Duration};

use xxhash_rust::xxh3;

use crate::{model::InstanceName, relay::model::Peer};

/// The smallest number of readers: one of them may be cut off from the store.
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

/// The instances among those given that read the store, those with the most CPU first.
pub fn select_readers(instances: &[Peer]) -> Vec<InstanceName> {
    let count = MIN_READERS.max(instances.len().div_ceil(INSTANCES_PER_READER));
    let mut ranked: Vec<_> = instances.iter().collect();
    let rank = |peer: &Peer| (Reverse(peer.millicores), xxh3::xxh3_64(peer.name.as_bytes()));
    ranked.sort_by_key(|peer| rank(peer));
    ranked.into_iter().take(count).map(|peer| peer.name.clone()).collect()
}
