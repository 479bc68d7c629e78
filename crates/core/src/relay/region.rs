//! The regions of a deployment, and how far its data centres are from each other.
//!
//! Data centres of one region are close to each other; between regions, messages take tens of
//! milliseconds and the link is narrow.

use std::{collections::HashMap, sync::Arc};

use peatdeck_macros::{data, id};

use crate::model::DataCentre;

/// The name of a region.
pub type RegionName = Arc<str>;

/// How far two data centres are from each other.
#[id]
#[derive(Copy)]
pub enum Distance {
    /// They are the same.
    Same,
    /// They are in one region.
    Near,
    /// They are in different regions.
    Remote,
}

/// The region of each data centre.
#[data]
#[derive(Default)]
pub struct RegionMap {
    regions: HashMap<DataCentre, RegionName>,
}

impl RegionMap {
    /// A map from data centres to regions.
    pub fn new(regions: HashMap<DataCentre, RegionName>) -> RegionMap {
        RegionMap { regions }
    }

    /// The region of a data centre. A data centre that is not in the map is a region of its own.
    /// `None` if the map is empty: all data centres are in one region without a name.
    pub fn region_of<'a>(&'a self, data_centre: &'a str) -> Option<&'a str> {
        if self.regions.is_empty() {
            return None;
        }
        Some(self.regions.get(data_centre).map_or(data_centre, |region| region))
    }

    /// The region that work is assigned to if it is to run near a data centre. `None` if the map has
    /// no more than one region, so that work may run anywhere.
    pub fn work_region(&self, data_centre: &str) -> Option<RegionName> {
        self.has_several().then(|| self.region_name(data_centre)).flatten()
    }

    /// [`RegionMap::region_of`] as a name to keep.
    pub fn region_name(&self, data_centre: &str) -> Option<RegionName> {
        let known = || self.regions.get(data_centre).cloned();
        (!self.regions.is_empty()).then(|| known().unwrap_or_else(|| Arc::from(data_centre)))
    }

    /// Whether the map lists a data centre. An empty map needs no entries and lists all of them.
    pub fn lists(&self, data_centre: &str) -> bool {
        self.regions.is_empty() || self.regions.contains_key(data_centre)
    }

    /// Whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.regions.is_empty()
    }

    /// Whether a data centre of the map is in this region.
    pub fn has_region(&self, region: &str) -> bool {
        self.regions.values().any(|name| **name == *region)
    }

    /// The distance between two data centres.
    pub fn distance(&self, a: &str, b: &str) -> Distance {
        if a == b {
            Distance::Same
        } else if self.region_of(a) == self.region_of(b) {
            Distance::Near
        } else {
            Distance::Remote
        }
    }

    /// Whether the map names more than one region.
    pub fn has_several(&self) -> bool {
        let mut names = self.regions.values();
        let Some(first) = names.next() else { return false };
        names.any(|name| name != first)
    }
}
