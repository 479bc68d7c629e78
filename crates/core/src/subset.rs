//! Which endpoints of a large pool one instance keeps to.
//!
//! Hundreds of instances before thousands of endpoints must not all know and
//! call all of them: every decision would pass over the whole pool, every
//! endpoint would hold a connection to every instance, and the little that one
//! instance sends to each would teach it nothing about their speed.
//!
//! Each instance ranks the endpoints by a hash of both names (rendezvous
//! hashing) and keeps to the first few: half of them out of its own data
//! centre as far as it has them, the rest out of all. Nobody has to agree on
//! anything; an endpoint that comes or goes changes one place in a few
//! instances' subsets, and an instance that comes or goes changes no other's.
//!
//! The trap: subsets drawn independently cover the endpoints unevenly, by
//! chance. Routing by load evens that out, as long as an endpoint's other
//! callers show in its reports.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use xxhash_rust::xxh3;

use crate::model::{DataCentre, EndpointEntry, PoolName};

/// Share of a subset that comes out of the instance's own data centre first.
const LOCAL_SHARE: f64 = 0.5;

/// Who chooses.
#[derive(Debug, Clone, Copy)]
pub struct Params<'a> {
    /// The instance.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Endpoints of a pool that it keeps to, at the most.
    pub size: usize,
    /// Data centres whose endpoints get nothing: they come last.
    pub evacuated: &'a BTreeSet<DataCentre>,
}

/// The endpoints that an instance keeps to, out of the whole list. A pool that
/// is no larger than the subset is kept whole.
pub fn choose(chooser: Params<'_>, entries: &[EndpointEntry]) -> Vec<EndpointEntry> {
    let mut pools: BTreeMap<&PoolName, Vec<&EndpointEntry>> = BTreeMap::new();
    for entry in entries {
        pools.entry(&entry.pool).or_default().push(entry);
    }
    pools.into_values().flat_map(|pool| of_pool(chooser, pool)).cloned().collect()
}

fn of_pool<'a>(chooser: Params<'_>, mut pool: Vec<&'a EndpointEntry>) -> Vec<&'a EndpointEntry> {
    if pool.len() <= chooser.size {
        return pool;
    }
    let is_empty = |entry: &EndpointEntry| chooser.evacuated.contains(&entry.data_centre);
    let place =
        |entry: &&EndpointEntry| (is_empty(entry), Reverse(rank(chooser.name, &entry.name)));
    pool.sort_by_key(place);
    let is_local =
        |entry: &&EndpointEntry| *entry.data_centre == *chooser.data_centre && !is_empty(entry);
    let reserved = (chooser.size as f64 * LOCAL_SHARE) as usize;
    let (local, other): (Vec<_>, Vec<_>) = pool.into_iter().partition(is_local);
    let near = reserved.min(local.len());
    let mut rest = [&local[near..], &other].concat();
    rest.sort_by_key(place);
    rest.truncate(chooser.size - near);
    [&local[..near], &rest].concat()
}

/// How much an endpoint is an instance's; a leaving one keeps its place, so
/// that its leaving is seen.
fn rank(instance: &str, endpoint: &str) -> u64 {
    xxh3::xxh3_64_with_seed(endpoint.as_bytes(), xxh3::xxh3_64(instance.as_bytes()))
}
