//! Where a service's endpoints are.

use std::time::Duration;

use crate::relay::{batch::queue::Group, directory::Directory, model::EndpointKey};

/// A piece whose result belongs in another data centre waits for an endpoint
/// there while it has this much time to spare: about a full call.
const HOME_PATIENCE: Duration = Duration::from_millis(200);

/// Where a service's endpoints are, for the calls that are planned together.
pub struct Places<'a> {
    directory: &'a Directory,
    /// The data centres with an endpoint that takes new work.
    usable: Vec<&'a str>,
    /// A group without so much time does not wait for the right place.
    urgent_before: Duration,
}

impl<'a> Places<'a> {
    /// Where the usable endpoints are, for calls that are done by `done`.
    pub fn new(done: Duration, usable: &[EndpointKey], directory: &'a Directory) -> Places<'a> {
        let places = usable.iter().filter_map(|key| directory.get(*key));
        let mut places: Vec<_> = places.map(|endpoint| &*endpoint.entry.data_centre).collect();
        places.sort_unstable();
        places.dedup();
        Places { directory, usable: places, urgent_before: done + HOME_PATIENCE }
    }

    /// Whether a group may be made at an endpoint: its results are needed
    /// there, or it has no time to wait for one that is nearer.
    pub fn may_be_made_at(&self, group: &Group, endpoint: EndpointKey) -> bool {
        let Some(home) = &group.home else { return true };
        let place = self.directory.get(endpoint).map(|known| &*known.entry.data_centre);
        let has_home = self.usable.contains(&&**home);
        place == Some(home) || group.aim < self.urgent_before || !has_home
    }
}
