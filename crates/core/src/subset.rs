//! Chooses which endpoints of a large pool an instance uses.
//!
//! With hundreds of instances and thousands of endpoints, not every instance can call every
//! endpoint: every decision would scan the whole pool, every endpoint would have a connection to
//! every instance, and each instance would send too few calls to an endpoint to measure its speed.
//!
//! Each instance ranks the endpoints by a hash of both names (rendezvous hashing) and uses the
//! first few: half of them from its own data centre as far as it has them, the rest from all. This
//! needs no coordination: an endpoint that is added or removed changes one entry in a few
//! instances' subsets, and an instance that is added or removed changes no other instance's subset.
//!
//! Subsets drawn independently cover the endpoints unevenly. Routing by load evens that out, as
//! long as an endpoint's load reports include its other callers.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use xxhash_rust::xxh3;

use crate::model::{DataCentre, EndpointEntry, PoolName};

/// Share of a subset that is reserved for the instance's own data centre.
const LOCAL_SHARE: f64 = 0.5;

/// What a subset is computed from.
#[derive(Debug, Clone, Copy)]
pub struct Params<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Data centre of the instance.
    pub data_centre: &'a str,
    /// The most endpoints of one pool in the subset.
    pub size: usize,
    /// Evacuated data centres; their endpoints rank last.
    pub evacuated: &'a BTreeSet<DataCentre>,
}

/// The endpoints of the whole list that an instance uses. A pool that is no larger than the subset
/// is used whole.
pub fn choose(params: Params<'_>, entries: &[EndpointEntry]) -> Vec<EndpointEntry> {
    let mut pools: BTreeMap<&PoolName, Vec<&EndpointEntry>> = BTreeMap::new();
    for entry in entries {
        pools.entry(&entry.pool).or_default().push(entry);
    }
    pools.into_values().flat_map(|pool| choose_from_pool(params, pool)).cloned().collect()
}

fn choose_from_pool<'a>(
    params: Params<'_>,
    mut pool: Vec<&'a EndpointEntry>,
) -> Vec<&'a EndpointEntry> {
    if pool.len() <= params.size {
        return pool;
    }
    let is_evacuated = |entry: &EndpointEntry| params.evacuated.contains(&entry.data_centre);
    let sort_key =
        |entry: &&EndpointEntry| (is_evacuated(entry), Reverse(rank(params.name, &entry.name)));
    pool.sort_by_key(sort_key);
    let is_local =
        |entry: &&EndpointEntry| *entry.data_centre == *params.data_centre && !is_evacuated(entry);
    let reserved = (params.size as f64 * LOCAL_SHARE) as usize;
    let (local, other): (Vec<_>, Vec<_>) = pool.into_iter().partition(is_local);
    let local_count = reserved.min(local.len());
    let mut rest = [&local[local_count..], &other].concat();
    rest.sort_by_key(sort_key);
    rest.truncate(params.size - local_count);
    [&local[..local_count], &rest].concat()
}

/// Rank of an endpoint for an instance. A leaving endpoint keeps its rank, so that the instance
/// sees that it leaves.
fn rank(instance: &str, endpoint: &str) -> u64 {
    xxh3::xxh3_64_with_seed(endpoint.as_bytes(), xxh3::xxh3_64(instance.as_bytes()))
}
