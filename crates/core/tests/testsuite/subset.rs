//! Which endpoints an instance keeps to.

use std::collections::{BTreeMap, BTreeSet};

use peatdeck_core::{
    model::{EndpointEntry, Incarnation, Presence},
    subset::{self, Params},
};

/// Endpoints of one pool, dealt over data centres.
fn pool(count: usize, centres: usize) -> Vec<EndpointEntry> {
    let entry = |idx: usize| EndpointEntry {
        name: format!("engine-{idx}").into(),
        pool: "generate".into(),
        addr: "127.0.0.1:9".into(),
        data_centre: format!("dc-{}", idx % centres).into(),
        incarnation: Incarnation(1),
        presence: Presence::Live,
    };
    (0..count).map(entry).collect()
}

fn names(instance: usize, size: usize, entries: &[EndpointEntry]) -> BTreeSet<String> {
    let name = format!("entry-{instance}");
    let chooser = Params { name: &name, data_centre: "dc-0", size, evacuated: &BTreeSet::new() };
    subset::choose(chooser, entries).iter().map(|entry| entry.name.to_string()).collect()
}

#[test]
fn a_small_pool_is_kept_whole() {
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
fn half_of_a_subset_is_near_where_there_are_enough() {
    let entries = pool(400, 4);
    let chooser =
        Params { name: "entry-1", data_centre: "dc-0", size: 40, evacuated: &BTreeSet::new() };
    let kept = subset::choose(chooser, &entries);
    let near = kept.iter().filter(|entry| &*entry.data_centre == "dc-0").count();
    assert_eq!(kept.len(), 40);
    assert!((20..40).contains(&near), "{near} of 40 are near");
}

#[test]
fn an_endpoint_that_goes_moves_one_place_in_the_subsets_that_held_it() {
    let entries = pool(400, 1);
    for instance in 0..20 {
        let before = names(instance, 40, &entries);
        let after = names(instance, 40, &entries[1..]);
        let moved = before.difference(&after).count();
        assert_eq!(moved, usize::from(before.contains("engine-0")));
    }
}

#[test]
fn every_endpoint_is_in_some_subset_at_the_planned_size() {
    let entries = pool(2000 / 12, 1);
    let mut held: BTreeMap<String, usize> = BTreeMap::new();
    for instance in 0..390 {
        for name in names(instance, 40, &entries) {
            *held.entry(name).or_default() += 1;
        }
    }
    assert_eq!(held.len(), entries.len());
}

/// Endpoints that get nothing take no place from those that do.
#[test]
fn evacuated_endpoints_come_last() {
    let entries = pool(400, 4);
    let evacuated = BTreeSet::from(["dc-0".into()]);
    let chooser = Params { name: "entry-1", data_centre: "dc-0", size: 40, evacuated: &evacuated };
    let kept = subset::choose(chooser, &entries);
    assert_eq!(kept.len(), 40);
    assert!(kept.iter().all(|entry| &*entry.data_centre != "dc-0"));
}
