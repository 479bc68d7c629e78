//! Instances in two regions, and the checks on regions in a configuration.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use peatdeck_core::relay::region::RegionMap;
use peatdeck_relay::{
    peers::remote::Bucket,
    regions::{Unlisted, check_lists},
    surroundings::TableName,
};

use crate::standins::{self, MemoryStore, Relay, ScriptedEndpoint, exchange, wait_for};

/// Size of a large configuration.
const LARGE_BYTES: u64 = 1_400_000;
/// Delay of the store's replies: a round trip between two regions.
const STORE_DELAY: Duration = Duration::from_millis(60);
/// Longest call to the store that an instance began while it did not know all others and took
/// itself for a reader: the wait for a change, and the delay of the reply.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Bytes per second that callers leave of the link. Two copies of the configuration take 1.9 s.
const BUSY_LINK: f64 = 1_500_000.0;
/// How long a change may take until it is in force everywhere.
const APPLY_LIMIT: Duration = Duration::from_secs(4);

fn names(list: &[&str]) -> Option<Arc<[Arc<str>]>> {
    Some(list.iter().map(|name| Arc::from(*name)).collect())
}

// Requests with such a list are refused, which nobody would expect of a misspelt name.
#[test]
fn lists_that_are_empty_or_name_no_region_are_found() {
    let map = RegionMap::new(HashMap::from([(Arc::from("east"), Arc::from("r"))]));
    let unlisted = Unlisted::default();
    unlisted.check(&map, "west");
    unlisted.check(&map, "east");
    let mut config = standins::config(1);
    let route = Arc::make_mut(&mut config.routes[0]);
    route.allowed_regions = names(&["r", "west", "east", "R"]);
    let empty = route.name.clone();
    let keys = config.keys.as_mut().unwrap();
    keys.get_mut("key-1").unwrap().allowed_regions = names(&["R"]);
    let faults = check_lists(&config, &map, &unlisted);
    assert_eq!(faults.empty, Vec::<String>::new());
    assert_eq!(faults.unknown, [Arc::from("R"), Arc::from("east")]);

    Arc::make_mut(&mut config.routes[0]).allowed_regions = names(&[]);
    config.keys.as_mut().unwrap().get_mut("key-1").unwrap().allowed_regions = names(&[]);
    let faults = check_lists(&config, &map, &unlisted);
    assert_eq!(faults.empty, [format!("route {empty}"), "team markets".to_owned()]);
    assert_eq!(faults.unknown, Vec::<Arc<str>>::new());
}

/// A configuration of this version, padded with blanks.
fn large(version: u64) -> Vec<u8> {
    let mut value = vec![b' '; LARGE_BYTES as usize];
    value.extend(version.to_string().bytes());
    value
}

/// Starts instances in two regions, whose store answers as over a link between them.
fn start_instances(store: &MemoryStore) -> (Vec<Relay>, Vec<Relay>) {
    start_instances_with(store, store)
}

/// The same with the store as the second region reaches it.
fn start_instances_with(store: &MemoryStore, remote: &MemoryStore) -> (Vec<Relay>, Vec<Relay>) {
    store.put(TableName::Config, "config", b"1".to_vec());
    store.add_endpoint("desk", "desk", ScriptedEndpoint::answering("x").addr);
    store.set_delay(STORE_DELAY);
    let start = |centre: &str, count: usize| -> Vec<Relay> {
        let name = |idx| format!("{centre}-{idx}");
        let store = if centre == "east" { store } else { remote };
        let builder = |idx| Relay::builder(&name(idx), store).in_region_of(centre);
        (0..count).map(|idx| builder(idx).start()).collect()
    };
    let (east, west) = (start("east", 2), start("west", 6));
    for relay in east.iter().chain(&west) {
        wait_for("the instance has found its peers", || relay.counter("peatdeck.relay.peers") == 7);
    }
    let settled = Instant::now() + SETTLE_TIME;
    wait_for("calls to the store from before have ended", || Instant::now() > settled);
    (east, west)
}

fn sum(relays: &[Relay], counter: &str) -> u64 {
    relays.iter().map(|relay| relay.counter(counter)).sum()
}

/// Waits until a version is in force at all instances.
fn wait_for_version(relays: &[Relay], version: u64) {
    let path = format!("/since-{version}/x");
    for relay in relays {
        wait_for("the version is in force", || exchange(relay.front, &path, "").status == 200);
    }
}

// Guards against a configuration that crosses the link once for each instance of a region, which
// takes 7 s for 37 of them, and against instances that wait too long for it instead.
#[test]
fn a_configuration_crosses_the_link_twice_and_is_in_force_in_time() {
    let store = MemoryStore::default();
    let (east, west) = start_instances(&store);
    let before = sum(&west, "peatdeck.relay.store_bytes");
    let written = Instant::now();
    store.put(TableName::Config, "config", large(2));
    wait_for_version(&east, 2);
    wait_for_version(&west, 2);
    let took = written.elapsed();
    assert!(took < APPLY_LIMIT, "{took:?}");
    let crossed = sum(&west, "peatdeck.relay.store_bytes") - before;
    assert!((LARGE_BYTES..3 * LARGE_BYTES).contains(&crossed), "{crossed} bytes");
}

// Guards against instances that read the store themselves while a transfer over a busy link takes
// longer than their copies may be old: the transfers would delay each other.
#[test]
fn a_configuration_is_in_force_in_time_over_a_busy_link() {
    let store = MemoryStore::default();
    let remote = store.behind_link(BUSY_LINK);
    let (_east, west) = start_instances_with(&store, &remote);
    let before = sum(&west, "peatdeck.relay.store_bytes");
    let written = Instant::now();
    store.put(TableName::Config, "config", large(2));
    wait_for_version(&west, 2);
    let took = written.elapsed();
    assert!(took < APPLY_LIMIT, "{took:?}");
    let crossed = sum(&west, "peatdeck.relay.store_bytes") - before;
    assert!(crossed < 3 * LARGE_BYTES, "{crossed} bytes");
    println!("in force after {took:?}, {crossed} bytes from the store");
}

// Guards against a joining instance that reads all tables over the link, although its region has
// them.
#[test]
fn a_joining_instance_receives_the_tables_from_its_region() {
    let store = MemoryStore::default();
    let (_east, west) = start_instances(&store);
    store.put(TableName::Config, "config", large(2));
    wait_for_version(&west, 2);
    let late = Relay::builder("west-9", &store).in_region_of("west").millicores(1).start();
    late.wait_ready();
    let read = late.counter("peatdeck.relay.store_bytes");
    assert!(read < LARGE_BYTES / 10, "{read} bytes from the store");
    wait_for_version(&[late], 2);
}

// Guards against a region that never receives a change, since its own readers cannot reach the
// store and no instance asks another region.
#[test]
fn a_region_cut_off_from_the_store_receives_changes_from_the_other() {
    let shared = MemoryStore::default();
    let (east, west) = start_instances(&shared);
    let _ = west;
    let own = MemoryStore::default();
    own.set_unavailable(true);
    let seeds: Vec<_> = east.iter().map(|relay| relay.peers).collect();
    let start = |name: &str| Relay::builder(name, &own).in_region_of("north").seeds(&seeds).start();
    let north: Vec<_> = ["north-0", "north-1"].map(start).into();
    north.iter().for_each(Relay::wait_ready);
    let written = Instant::now();
    shared.put(TableName::Config, "config", b"2".to_vec());
    wait_for_version(&north, 2);
    let took = written.elapsed();
    assert!(took < Duration::from_secs(6), "{took:?}");
}

// Guards against control traffic that takes the link from callers without being noticed, and
// against traffic within a region that is counted as if it crossed the link.
#[test]
fn bytes_sent_to_another_region_are_counted_by_kind() {
    let store = MemoryStore::default();
    let (east, _west) = start_instances(&store);
    wait_for("gossip was sent", || sum(&east, "peatdeck.relay.remote_bytes.gossip") > 1000);
    assert_eq!(sum(&east, "peatdeck.relay.remote_bytes.pieces"), 0);

    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.add_endpoint("desk", "desk", ScriptedEndpoint::answering("x").addr);
    let one = ["a", "b"].map(|name| Relay::start(name, &store, &[]));
    wait_for("gossip was sent", || sum(&one, "peatdeck.relay.gossip") > 8);
    assert_eq!(sum(&one, "peatdeck.relay.remote_bytes.gossip"), 0);
}

/// The most bytes in any 10 s that the bucket lets pass in messages of this size, which are sent
/// as soon as `may_send` allows.
fn greatest_load(bytes: u64, may_send: impl Fn(&mut Bucket, Duration) -> bool) -> u64 {
    let mut bucket = Bucket::default();
    let mut sent = Vec::new();
    for at in (0..60_000).step_by(10).map(Duration::from_millis) {
        if may_send(&mut bucket, at) {
            bucket.spend(at, SHARE, bytes);
            sent.push(at);
        }
    }
    let window = |from: &Duration| {
        let window = *from..*from + Duration::from_secs(10);
        sent.iter().filter(|at| window.contains(*at)).count()
    };
    sent.iter().map(window).max().unwrap() as u64 * bytes
}

/// An instance's share of a link of 60 Mbit/s in a region of 37, in bytes per second.
const SHARE: f64 = 60e6 / 8.0 * 0.1 / 37.0;

// Guards against bursts that exceed a tenth of the link over 10 s, for example after a cut.
#[test]
fn gossip_and_tables_stay_within_the_share_of_the_link() {
    let limit = (SHARE * 10.0) as u64;
    let gossip = greatest_load(4_500, |bucket, now| bucket.available(now, SHARE) > 0.0);
    assert!(gossip <= limit + 4_500, "{gossip} of {limit}");
    assert!(gossip > limit / 2, "{gossip} of {limit}");
    let tables =
        greatest_load(32_768, |bucket, now| bucket.table_delay(now, SHARE) == Duration::ZERO);
    assert!(tables <= limit, "{tables} of {limit}");
    // Gossip still passes after tables have taken what they may.
    let mut bucket = Bucket::default();
    bucket.spend(Duration::ZERO, SHARE, (SHARE * 4.0) as u64);
    assert!(bucket.table_delay(Duration::ZERO, SHARE) > Duration::ZERO);
    assert!(bucket.available(Duration::ZERO, SHARE) > 0.0);
}
