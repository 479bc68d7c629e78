//! Which endpoints are in the subset of an instance.

use std::collections::{BTreeMap, BTreeSet};

use peatdeck_core::{
    model::{EndpointEntry, Incarnation, Presence},
    subset::{self, Params},
};

/// Endpoints of one pool, distributed over data centres in turn.
fn pool(count: usize, data_centres: usize) -> Vec<EndpointEntry> {
    let entry = |idx: usize| EndpointEntry {
        name: format!("engine-{idx}").into(),
        pool: "generate".into(),
        addr: "127.0.0.1:9".into(),
        data_centre: format!("dc-{}", idx % data_centres).into(),
        incarnation: Incarnation(1),
        presence: Presence::Live,
        software: "".into(),
    };
    (0..count).map(entry).collect()
}

fn names(instance: usize, size: usize, entries: &[EndpointEntry]) -> BTreeSet<String> {
    let name = format!("entry-{instance}");
    let params = Params { name: &name, data_centre: "dc-0", size, evacuated: &BTreeSet::new() };
    subset::choose(params, entries).iter().map(|entry| entry.name.to_string()).collect()
}

#[test]
fn a_pool_smaller_than_the_subset_is_used_whole() {
    let entries = pool(18, 4);
    assert_eq!(names(1, 40, &entries).len(), 18);
}

#[test]
fn each_pool_has_a_subset_of_its_own() {
    let mut entries = pool(100, 1);
    entries.extend(pool(3, 1).into_iter().map(|entry| EndpointEntry {
        name: format!("ledger-{}", entry.name).into(),
        pool: "ledger".into(),
        ..entry
    }));
    let kept = names(1, 40, &entries);
    assert_eq!(kept.len(), 43);
}

#[test]
fn half_of_a_subset_is_local_if_there_are_enough_endpoints() {
    let entries = pool(400, 4);
    let params =
        Params { name: "entry-1", data_centre: "dc-0", size: 40, evacuated: &BTreeSet::new() };
    let kept = subset::choose(params, &entries);
    let local = kept.iter().filter(|entry| &*entry.data_centre == "dc-0").count();
    assert_eq!(kept.len(), 40);
    assert!((20..40).contains(&local), "{local} of 40 are local");
}

#[test]
fn removing_an_endpoint_replaces_only_it_in_the_subsets_that_contained_it() {
    let entries = pool(400, 1);
    for instance in 0..20 {
        let before = names(instance, 40, &entries);
        let after = names(instance, 40, &entries[1..]);
        let replaced = before.difference(&after).count();
        assert_eq!(replaced, usize::from(before.contains("engine-0")));
    }
}

#[test]
fn every_endpoint_is_in_a_subset_at_the_planned_size() {
    let entries = pool(2000 / 12, 1);
    let mut subsets: BTreeMap<String, usize> = BTreeMap::new();
    for instance in 0..390 {
        for name in names(instance, 40, &entries) {
            *subsets.entry(name).or_default() += 1;
        }
    }
    assert_eq!(subsets.len(), entries.len());
}

/// Evacuated endpoints receive no calls, so they must not displace others from a subset.
#[test]
fn evacuated_endpoints_come_last() {
    let entries = pool(400, 4);
    let evacuated = BTreeSet::from(["dc-0".into()]);
    let params = Params { name: "entry-1", data_centre: "dc-0", size: 40, evacuated: &evacuated };
    let kept = subset::choose(params, &entries);
    assert_eq!(kept.len(), 40);
    assert!(kept.iter().all(|entry| &*entry.data_centre != "dc-0"));
}
