//! How evenly independent subsets cover a pool, and what a change moves.
//!
//! Prints for each subset size how many instances have an endpoint in their
//! subset (least, mean, most), the load of the most loaded endpoint over the mean
//! if every instance spreads its calls evenly, and how many members of all
//! subsets change when one endpoint is removed.
//!
//! `cargo run --release -p peatdeck-core --example subset_spread`

use std::collections::{BTreeMap, BTreeSet};

use peatdeck_core::{
    model::{EndpointEntry, Incarnation, Presence},
    subset::{self, Params},
};

/// Instances in the largest planned deployment.
const INSTANCES: usize = 390;
/// Data centres in the largest planned deployment.
const DATA_CENTRES: usize = 17;
/// Endpoints in the pool of one of twelve models.
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
        let instance_counts = instance_counts(&subsets);
        let mean = (INSTANCES * size) as f64 / ENDPOINTS as f64;
        let least =
            entries.iter().map(|e| instance_counts.get(&*e.name).copied().unwrap_or(0)).min();
        let most = instance_counts.values().copied().max().unwrap_or(0);
        let moved = count_moved(&subsets, &self::subsets(size, &entries[1..]));
        println!(
            "{size:>6} {:>6} {mean:>6.1} {most:>6} {:>10.2} {moved:>14}",
            least.unwrap_or(0),
            most as f64 / mean
        );
    }
}

fn subsets(size: usize, entries: &[EndpointEntry]) -> Vec<Subset> {
    let of = |idx: usize| {
        let (name, data_centre) = (format!("entry-{idx}"), data_centre(idx));
        let params =
            Params { name: &name, data_centre: &data_centre, size, evacuated: &BTreeSet::new() };
        subset::choose(params, entries).iter().map(|entry| entry.name.to_string()).collect()
    };
    (0..INSTANCES).map(of).collect()
}

fn instance_counts(subsets: &[Subset]) -> BTreeMap<&str, usize> {
    let mut instance_counts = BTreeMap::new();
    for name in subsets.iter().flatten() {
        *instance_counts.entry(name.as_str()).or_default() += 1;
    }
    instance_counts
}

fn count_moved(before: &[Subset], after: &[Subset]) -> usize {
    before.iter().zip(after).map(|(before, after)| before.difference(after).count()).sum()
}

fn entry(idx: usize) -> EndpointEntry {
    EndpointEntry {
        name: format!("engine-{idx}").into(),
        pool: "generate".into(),
        addr: "127.0.0.1:9".into(),
        data_centre: data_centre(idx).into(),
        incarnation: Incarnation(1),
        presence: Presence::Live,
        software: "".into(),
    }
}

fn data_centre(idx: usize) -> String {
    format!("dc-{:02}", idx % DATA_CENTRES)
}
