//! Which instances read the platform's tables.
//!
//! Every call to the platform's store is paid for, so only a few instances
//! read it; the others ask one of those. All instances work the readers out
//! from the peers that they take for alive, so they agree without a message,
//! and where they do not for a moment, there is a reader more or less.

use std::{cmp::Reverse, time::Duration};

use xxhash_rust::xxh3;

use crate::{model::InstanceName, relay::model::Peer};

/// Readers at the least: one of them may be cut off from the store.
const FEWEST: usize = 2;
/// Instances that one reader answers at the most. At a question every
/// [`PACE`] that is about 30 answers a second.
const ANSWERED: usize = 18;
/// Pause between two looks at the tables, of readers and of those who ask
/// them. An endpoint that leaves, or a new configuration, has to be known to
/// everybody within two seconds.
pub const READ_INTERVAL: Duration = Duration::from_millis(450);
/// Copies that were compared with the store longer ago are stale: two paces,
/// and the time of their calls. An instance whose copies are stale calls the
/// store itself, so this bounds what a reader that is cut off can delay.
pub const STALE_AFTER: Duration = Duration::from_millis(1300);
/// Pause between two looks at the table of instances, which is not urgent.
pub const INSTANCES_INTERVAL: Duration = Duration::from_secs(2);

/// How long a question waits at the store for a table that hardly ever changes, and
/// whose changes instances tell each other: it bounds what an instance misses that
/// was told nothing, at some nine calls a reader in a minute and a half.
pub const LONG_POLL_WAIT: Duration = Duration::from_secs(10);

/// The instances that read the store, of those given; strong ones first.
pub fn select_readers(instances: &[Peer]) -> Vec<InstanceName> {
    let count = FEWEST.max(instances.len().div_ceil(ANSWERED));
    let mut ranked: Vec<_> = instances.iter().collect();
    let rank = |peer: &Peer| (Reverse(peer.millicores), xxh3::xxh3_64(peer.name.as_bytes()));
    ranked.sort_by_key(|peer| rank(peer));
    ranked.into_iter().take(count).map(|peer| peer.name.clone()).collect()
}
