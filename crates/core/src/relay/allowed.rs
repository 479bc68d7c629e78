//! The regions where a request may be served, cached and stored.

use peatdeck_macros::data;

use crate::relay::region::RegionName;

/// The regions where a request may be served.
#[data]
#[derive(Default)]
pub struct AllowedRegions {
    /// `None` if all are allowed.
    names: Option<Vec<RegionName>>,
}

impl AllowedRegions {
    /// The regions that both lists contain. A list that is absent restricts nothing; an empty one
    /// allows nothing.
    pub fn intersect(route: Option<&[RegionName]>, team: Option<&[RegionName]>) -> AllowedRegions {
        let is_in_team = |name: &&RegionName| team.is_none_or(|team| team.contains(name));
        let names = route.or(team).map(|list| list.iter().filter(is_in_team).cloned().collect());
        AllowedRegions { names }
    }

    /// The regions that these and the route's list contain.
    pub fn restrict(&self, route: Option<&[RegionName]>) -> AllowedRegions {
        AllowedRegions::intersect(route, self.names.as_deref())
    }

    /// Whether a region is allowed. The only region of a deployment whose regions have no names
    /// (`None`) is in no list.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(names) = &self.names else { return true };
        region.is_some_and(|region| names.iter().any(|name| **name == *region))
    }

    /// Whether any region may be excluded.
    pub fn is_restricted(&self) -> bool {
        self.names.is_some()
    }
}
