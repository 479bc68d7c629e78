//! Which software versions the endpoints of each service have.

use std::collections::{BTreeMap, HashMap};

use crate::relay::{directory::Entry, model::ServiceName, registry::Versions, rollout::Version};

/// The number of endpoints of each version of each service.
#[derive(Debug, Clone, Default)]
pub(super) struct VersionCounts {
    counts: HashMap<ServiceName, BTreeMap<Version, usize>>,
}

impl VersionCounts {
    /// Counts the endpoint of an entry. Returns whether its service did not have the version.
    pub(super) fn add(&mut self, entry: &Entry) -> bool {
        let counts = self.counts.entry(entry.service.clone()).or_default();
        let count = counts.entry(entry.version.clone()).or_default();
        *count += 1;
        *count == 1
    }

    /// Counts the endpoint of an entry no more.
    pub(super) fn remove(&mut self, entry: &Entry) {
        let Some(counts) = self.counts.get_mut(&entry.service) else { return };
        let Some(count) = counts.get_mut(&entry.version) else { return };
        *count -= 1;
        if *count == 0 {
            counts.remove(&entry.version);
        }
    }

    /// The versions of a service.
    pub(super) fn versions(&self, service: &str) -> Versions {
        self.counts.get(service).map(|counts| counts.keys().cloned().collect()).unwrap_or_default()
    }

    /// The number of versions of a service.
    pub(super) fn of(&self, service: &str) -> usize {
        self.counts.get(service).map_or(0, BTreeMap::len)
    }

    /// The largest number of versions of any service.
    pub(super) fn max(&self) -> usize {
        self.counts.values().map(BTreeMap::len).max().unwrap_or(0)
    }
}
