//! In which data centres the endpoints of a service are.

use std::time::Duration;

use crate::relay::{batch::queue::Group, directory::Directory, model::EndpointKey};

/// A piece whose result will be used in another data centre waits for an endpoint there while it
/// has this much slack: about the time of a full call.
const LOCALITY_WAIT: Duration = Duration::from_millis(200);

/// Locations of a service's endpoints, for the calls that are planned together.
pub struct EndpointLocations<'a> {
    directory: &'a Directory,
    /// The data centres with an endpoint that accepts new work.
    usable: Vec<&'a str>,
    /// Groups with an earlier target time run at any endpoint.
    urgent_before: Duration,
}

impl<'a> EndpointLocations<'a> {
    /// Locations of the usable endpoints, for calls that end by `done`.
    pub fn new(
        done: Duration,
        usable: &[EndpointKey],
        directory: &'a Directory,
    ) -> EndpointLocations<'a> {
        let data_centres = usable.iter().filter_map(|key| directory.get(*key));
        let mut data_centres: Vec<_> =
            data_centres.map(|endpoint| &*endpoint.entry.data_centre).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        EndpointLocations { directory, usable: data_centres, urgent_before: done + LOCALITY_WAIT }
    }

    /// Whether a group may run at an endpoint: its results will be used in that data centre, or no
    /// endpoint there is usable, or the group has no time to wait for one.
    pub fn may_run_at(&self, group: &Group, endpoint: EndpointKey) -> bool {
        let Some(destination) = &group.destination else { return true };
        let data_centre = self.directory.get(endpoint).map(|known| &*known.entry.data_centre);
        let is_destination_usable = self.usable.contains(&&**destination);
        data_centre == Some(destination)
            || group.target < self.urgent_before
            || !is_destination_usable
    }
}
