//! Log lines about regions: data centres that the region map does not list, and lists of allowed
//! regions that allow nothing.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashSet},
    sync::Arc,
};

use peatdeck_core::{
    model::DataCentre,
    relay::{
        config::Config,
        region::{RegionMap, RegionName},
    },
};

use crate::tables::truncate;

/// Most data centres that are remembered as unlisted, so that records with ever new names can fill
/// neither the memory nor the logs.
const MAX_UNLISTED: usize = 64;
/// Most names that a log line about a configuration has.
const MAX_NAMED: usize = 12;

/// The data centres that were seen and are not in the region map.
#[derive(Debug, Default)]
pub struct Unlisted {
    names: RefCell<HashSet<DataCentre>>,
}

impl Unlisted {
    /// Logs a data centre that the map does not list, once for each.
    pub fn check(&self, map: &RegionMap, data_centre: &str) {
        if map.lists(data_centre) || self.contains(data_centre) {
            return;
        }
        let mut names = self.names.borrow_mut();
        if names.len() < MAX_UNLISTED {
            names.insert(Arc::from(data_centre));
            let data_centre = truncate(data_centre);
            tracing::warn!(event = "data_centre_unmapped", data_centre);
        }
    }

    /// Whether the data centre was seen and is not in the map.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.names.borrow().contains(data_centre)
    }
}

/// The lists of allowed regions in a configuration that do not say what was probably meant.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ListFaults {
    /// Routes and teams whose list is empty: their requests are refused.
    pub empty: Vec<String>,
    /// Names in the lists that are no region, sorted.
    pub unknown: Vec<RegionName>,
}

/// Checks the lists of allowed regions in a configuration.
pub fn check_lists(config: &Config, map: &RegionMap, unlisted: &Unlisted) -> ListFaults {
    let routes = config.routes.iter().map(|it| ("route", &it.name, &it.allowed_regions));
    // A team is listed once for each of its keys.
    let teams = config.keys.iter().flat_map(|keys| keys.values());
    let teams: BTreeMap<_, _> = teams.map(|it| (&it.name, &it.allowed_regions)).collect();
    let teams = teams.into_iter().map(|(name, list)| ("team", name, list));
    let mut faults = ListFaults::default();
    for (kind, owner, list) in routes.chain(teams) {
        let Some(list) = list else { continue };
        if list.is_empty() {
            faults.empty.push(format!("{kind} {owner}"));
        }
        let is_unknown = |name: &&RegionName| !map.has_region(name) && !unlisted.contains(name);
        faults.unknown.extend(list.iter().filter(is_unknown).cloned());
    }
    faults.unknown.sort_unstable();
    faults.unknown.dedup();
    faults
}

/// Logs the faults of a configuration's lists, one line for each kind.
pub fn log_list_faults(version: u64, faults: &ListFaults) {
    if !faults.empty.is_empty() {
        let owners = join(faults.empty.iter().map(|owner| &**owner), faults.empty.len());
        tracing::warn!(event = "allowed_regions_empty", version, owners);
    }
    if !faults.unknown.is_empty() {
        let regions = join(faults.unknown.iter().map(|name| &**name), faults.unknown.len());
        tracing::warn!(event = "allowed_regions_unknown", version, regions);
    }
}

fn join<'a>(names: impl Iterator<Item = &'a str>, count: usize) -> String {
    let shown = names.take(MAX_NAMED).map(truncate).collect::<Vec<_>>().join(", ");
    match count.saturating_sub(MAX_NAMED) {
        0 => shown,
        more => format!("{shown} and {more} more"),
    }
}
