//! Where a service's endpoints are.

use std::time::Duration;

use crate::relay::{batch::queue::Group, directory::Directory, model::EndpointKey};

/// A piece whose result belongs in another data centre waits for an endpoint
/// there while it has this much time to spare: about a full call.
const LOCALITY_WAIT: Duration = Duration::from_millis(200);

/// Where a service's endpoints are, for the calls that are planned together.
pub struct EndpointLocations<'a> {
    directory: &'a Directory,
    /// The data centres with an endpoint that takes new work.
    usable: Vec<&'a str>,
    /// A group without so much time does not wait for the right place.
    urgent_before: Duration,
}

impl<'a> EndpointLocations<'a> {
    /// Where the usable endpoints are, for calls that are done by `done`.
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

    /// Whether a group may be made at an endpoint: its results are needed
    /// there, or it has no time to wait for one that is nearer.
    pub fn may_run_at(&self, group: &Group, endpoint: EndpointKey) -> bool {
        let Some(preferred) = &group.preferred_data_centre else { return true };
        let data_centre = self.directory.get(endpoint).map(|known| &*known.entry.data_centre);
        let is_preferred_usable = self.usable.contains(&&**preferred);
        data_centre == Some(preferred) || group.target < self.urgent_before || !is_preferred_usable
    }
}
