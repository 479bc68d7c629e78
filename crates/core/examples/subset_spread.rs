//! How evenly independent subsets cover a pool, and what a change moves.
//!
//! For each size of subset: instances that keep to an endpoint (least, mean,
//! most), how far the most loaded endpoint is above the mean if every instance
//! spread its calls evenly, and places moved in all subsets when one endpoint
//! or one instance goes.
//!
//! `cargo run --release -p peatdeck-core --example subset_spread`

use std::collections::{BTreeMap, BTreeSet};

use peatdeck_core::{
    model::{EndpointEntry, Incarnation, Presence},
    subset::{self, Params},
};

/// Instances at the planned size.
const INSTANCES: usize = 390;
/// Data centres at the planned size.
const CENTRES: usize = 17;
/// Endpoints of one of twelve models.
const ENDPOINTS: usize = 167;

type Subset = BTreeSet<String>;

fn main() {
    let entries: Vec<EndpointEntry> = (0..ENDPOINTS).map(entry).collect();
    println!(
        "{:>6} {:>6} {:>6} {:>6} {:>10} {:>14}",
        "subset", "least", "mean", "most", "most/mean", "moved by one"
    );
    for size in [5, 10, 20, 40, 80] {
        let subsets = subsets(size, &entries);
        let held = held(&subsets);
        let mean = (INSTANCES * size) as f64 / ENDPOINTS as f64;
        let least = entries.iter().map(|e| held.get(&*e.name).copied().unwrap_or(0)).min();
        let most = held.values().copied().max().unwrap_or(0);
        let moved = moved(&subsets, &self::subsets(size, &entries[1..]));
        println!(
            "{size:>6} {:>6} {mean:>6.1} {most:>6} {:>10.2} {moved:>14}",
            least.unwrap_or(0),
            most as f64 / mean
        );
    }
}

fn subsets(size: usize, entries: &[EndpointEntry]) -> Vec<Subset> {
    let of = |idx: usize| {
        let (name, data_centre) = (format!("entry-{idx}"), centre(idx));
        let chooser =
            Params { name: &name, data_centre: &data_centre, size, evacuated: &BTreeSet::new() };
        subset::choose(chooser, entries).iter().map(|entry| entry.name.to_string()).collect()
    };
    (0..INSTANCES).map(of).collect()
}

fn held(subsets: &[Subset]) -> BTreeMap<&str, usize> {
    let mut held = BTreeMap::new();
    for name in subsets.iter().flatten() {
        *held.entry(name.as_str()).or_default() += 1;
    }
    held
}

fn moved(before: &[Subset], after: &[Subset]) -> usize {
    before.iter().zip(after).map(|(before, after)| before.difference(after).count()).sum()
}

fn entry(idx: usize) -> EndpointEntry {
    EndpointEntry {
        name: format!("engine-{idx}").into(),
        pool: "generate".into(),
        addr: "127.0.0.1:9".into(),
        data_centre: centre(idx).into(),
        incarnation: Incarnation(1),
        presence: Presence::Live,
    }
}

fn centre(idx: usize) -> String {
    format!("dc-{:02}", idx % CENTRES)
}
