use std::{collections::BTreeMap, sync::Arc};

use peatdeck_load::{fairness, report::Share};

fn teams(counts: &[(&str, u64, u64)]) -> BTreeMap<Arc<str>, Share> {
    counts
        .iter()
        .map(|(team, planned, in_time)| {
            let share = Share { planned: *planned, in_time: *in_time, ..Share::default() };
            (Arc::from(*team), share)
        })
        .collect()
}

fn weights(weights: &[(&str, u32)]) -> BTreeMap<Arc<str>, u32> {
    weights.iter().map(|(team, weight)| (Arc::from(*team), *weight)).collect()
}

#[test]
fn a_team_is_entitled_to_its_weight_of_what_was_answered() {
    let weights = weights(&[("a", 3), ("b", 1)]);
    let got = fairness::entitlement_ratios(&weights, &teams(&[("a", 100, 30), ("b", 100, 30)]));
    assert_eq!(got, BTreeMap::from([("a".into(), 30.0 / 45.0), ("b".into(), 2.0)]));
}

#[test]
fn a_team_is_entitled_to_no_more_than_it_asked_for() {
    let weights = weights(&[("a", 1), ("b", 1)]);
    let got = fairness::entitlement_ratios(&weights, &teams(&[("a", 10, 9), ("b", 100, 51)]));
    assert_eq!(got["a"], 0.9);
}
