//! Which instances read the platform's tables.

use std::{collections::HashMap, sync::Arc, time::Duration};

use peatdeck_core::relay::{
    model::Peer,
    readers::{RegionRank, select_readers},
    region::RegionMap,
};

fn names(count: usize) -> Vec<Peer> {
    let name = |idx| Arc::from(format!("edge-{idx}"));
    (0..count)
        .map(|idx| Peer { name: name(idx), millicores: 120, data_centre: "east".into() })
        .collect()
}

/// The map of a deployment that names no regions.
fn one() -> RegionMap {
    RegionMap::default()
}

#[test]
fn two_of_a_few_instances_read_and_one_in_eighteen_of_many() {
    assert_eq!(select_readers(&names(1), &one()).len(), 1);
    assert_eq!(select_readers(&names(8), &one()).len(), 2);
    assert_eq!(select_readers(&names(74), &one()).len(), 5);
}

#[test]
fn the_instances_with_the_largest_cpu_share_read() {
    let mut peers = names(74);
    peers[40].millicores = 500;
    peers[50].millicores = 500;
    let readers = select_readers(&peers, &one());
    assert!(readers.contains(&peers[40].name) && readers.contains(&peers[50].name));
}

#[test]
fn the_selection_does_not_depend_on_the_order() {
    let mut reversed = names(30);
    reversed.reverse();
    assert_eq!(select_readers(&names(30), &one()), select_readers(&reversed, &one()));
}

/// The map of a deployment with the regions `r` (east) and `s` (west).
fn two() -> RegionMap {
    let regions = [("east", "r"), ("west", "s")];
    RegionMap::new(regions.map(|(centre, region)| (centre.into(), region.into())).into())
}

/// Instances of two regions, 37 in east and 38 in west.
fn instances_of_two_regions() -> Vec<Peer> {
    let mut peers = names(75);
    peers[37..].iter_mut().for_each(|peer| peer.data_centre = "west".into());
    peers
}

// Without readers of its own, each instance of a region would fetch all changes over the link.
#[test]
fn each_region_has_readers_of_its_own() {
    let peers = instances_of_two_regions();
    let readers = select_readers(&peers, &two());
    let count_in = |range: std::ops::Range<usize>| {
        peers[range].iter().filter(|peer| readers.contains(&peer.name)).count()
    };
    assert_eq!((count_in(0..37), count_in(37..75)), (3, 3));
    let few = &peers[36..39];
    assert_eq!(select_readers(few, &two()).len(), 3, "one instance in east, two in west");
}

#[test]
fn with_one_region_the_readers_are_the_same_whatever_the_map_says() {
    let map: HashMap<_, _> = [("east".into(), "r".into()), ("west".into(), "r".into())].into();
    let peers = instances_of_two_regions();
    let map = RegionMap::new(map);
    assert_eq!(select_readers(&peers, &map), select_readers(&peers, &one()));
    assert_eq!(RegionRank::of(&peers, &map, &peers[0].name), None);
    assert_eq!(RegionRank::of(&peers, &one(), &peers[0].name), None);
}

/// How many instances of each region read a table from the store while all copies are this old.
fn reading(is_large: bool, age: Duration) -> (usize, usize) {
    let peers = instances_of_two_regions();
    let reads = |peer: &&Peer| {
        RegionRank::of(&peers, &two(), &peer.name).unwrap().reads_store(is_large, age)
    };
    (peers[..37].iter().filter(reads).count(), peers[37..].iter().filter(reads).count())
}

// Guards against a configuration of 1.4 MB that crosses the link once for each of 37 instances.
#[test]
fn a_large_record_crosses_to_two_instances_of_a_region() {
    assert_eq!(reading(true, Duration::from_millis(500)), (2, 2));
    assert_eq!(reading(false, Duration::from_millis(500)), (3, 3));
    assert_eq!(reading(true, Duration::from_millis(2900)), (2, 2));
    assert_eq!(reading(true, Duration::from_millis(3100)), (4, 4), "the readers have failed");
    assert_eq!(reading(true, Duration::from_millis(4100)), (6, 6));
}

// A link that was cut for long must not carry all instances' reads at once when it returns.
#[test]
fn other_instances_retry_the_store_rarely() {
    let peers = instances_of_two_regions();
    let backoff = |peer: &Peer| {
        RegionRank::of(&peers, &two(), &peer.name).unwrap().max_backoff(Duration::from_secs(1))
    };
    let long = peers[37..].iter().filter(|peer| backoff(peer) >= Duration::from_secs(19)).count();
    assert_eq!(long, 35);
}
