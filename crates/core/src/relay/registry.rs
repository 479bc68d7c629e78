//! Which versions of each service the platform's store lists.
//!
//! A stream begins at a version only once the store lists the version. The list outlives all
//! instances, so those that are started afterwards can tell whether a stream that none of them
//! remembers may have begun at another version than the one that serves now.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::relay::{model::ServiceName, rollout::Version};

/// Versions of a service.
pub type Versions = BTreeSet<Version>;

/// How long an instance waits for the store to list a version before it asks again.
const ATTEMPT_INTERVAL: Duration = Duration::from_secs(2);
/// How long a new version gets no work while the store does not list it and another version
/// serves. A store that is away for longer must not keep half of a service's endpoints idle.
const MAX_HOLD: Duration = Duration::from_secs(3);

/// This instance's knowledge of the store's list.
#[derive(Debug, Clone, Default)]
pub(crate) struct VersionRegistry {
    services: HashMap<ServiceName, Registration>,
}

#[derive(Debug, Clone, Default)]
struct Registration {
    /// The versions that the store listed when it was last read or written.
    listed: Versions,
    /// Versions that the store was asked to list, until it does.
    requested: Option<Request>,
}

#[derive(Debug, Clone)]
struct Request {
    versions: Versions,
    since: Duration,
    retry_at: Duration,
}

impl VersionRegistry {
    /// The number of versions in the list and among those given.
    pub(crate) fn count_with(&self, service: &str, seen: &Versions) -> usize {
        let listed = self.services.get(service).map(|it| &it.listed);
        listed.map_or(seen.len(), |listed| listed.union(seen).count())
    }

    /// Whether the store has to be asked to list versions now. Notes that it is.
    pub(crate) fn request(
        &mut self,
        now: Duration,
        service: &ServiceName,
        seen: &Versions,
    ) -> bool {
        let registration = self.services.entry(service.clone()).or_default();
        if registration.listed.is_superset(seen) {
            registration.requested = None;
            return false;
        }
        let known = registration.requested.as_ref();
        if known.is_some_and(|it| it.versions.is_superset(seen) && now < it.retry_at) {
            return false;
        }
        let since = known.map_or(now, |it| it.since);
        let retry_at = now + ATTEMPT_INTERVAL;
        registration.requested = Some(Request { versions: seen.clone(), since, retry_at });
        true
    }

    /// The store lists these versions of a service.
    pub(crate) fn set_listed(&mut self, service: &ServiceName, listed: Versions) {
        let registration = self.services.entry(service.clone()).or_default();
        registration.requested.take_if(|it| listed.is_superset(&it.versions));
        registration.listed = listed;
    }

    /// Forgets what the store lists, since it may have lost records.
    pub(crate) fn clear(&mut self) {
        self.services.clear();
    }

    /// The versions of a service that get no work yet. An instance that has just started holds
    /// none back: it does not know which ones the store listed before.
    pub(crate) fn held(&self, now: Duration, service: &str) -> Versions {
        let Some(registration) = self.services.get(service) else { return Versions::new() };
        let requested = registration.requested.as_ref().filter(|it| now < it.since + MAX_HOLD);
        match requested.filter(|_| !registration.listed.is_empty()) {
            Some(request) => request.versions.difference(&registration.listed).cloned().collect(),
            None => Versions::new(),
        }
    }

    /// When a request has to be repeated or versions are held back no longer.
    pub(crate) fn next_wake(&self, now: Duration) -> Option<Duration> {
        let requests = self.services.values().filter_map(|it| it.requested.as_ref());
        let times = requests.flat_map(|it| [it.retry_at, it.since + MAX_HOLD]);
        times.filter(|at| *at > now).min()
    }
}
