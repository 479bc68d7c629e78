//! Which versions of each service the platform's store lists.
//!
//! A version gets no work beside another one before the store lists it, unless the store accepts
//! no writes for seconds. The list outlives all instances, so those that are started afterwards
//! can tell at which versions a stream that none of them remembers may have begun.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
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
    /// The versions that the store listed when it was last read or written; `None` before.
    listed: Option<Versions>,
    /// Whether the store has lost some of these since, or may have.
    is_lost: bool,
    /// The versions that the store listed when it was first read: no stream that began before
    /// this instance has begun at another one.
    first: Versions,
    /// Since when the service has several versions, as far as this instance knows.
    several_since: Option<Duration>,
    /// Versions that the store was asked to list, until it does.
    requested: Option<Request>,
}

#[derive(Debug, Clone, Default)]
struct Request {
    /// The versions that the store does not list yet, and since when each has been known.
    waiting: BTreeMap<Version, Duration>,
    retry_at: Duration,
}

impl Request {
    /// Sets which versions the store does not list. Returns whether any of them is new.
    fn set_waiting(&mut self, now: Duration, unlisted: Versions) -> bool {
        self.waiting.retain(|version, _| unlisted.contains(version));
        let known = self.waiting.len();
        for version in unlisted {
            self.waiting.entry(version).or_insert(now);
        }
        self.waiting.len() > known
    }

    /// A version gets work after this time, listed or not.
    fn holds(&self) -> impl Iterator<Item = (&Version, Duration)> {
        self.waiting.iter().map(|(version, since)| (version, *since + MAX_HOLD))
    }
}

impl VersionRegistry {
    /// The number of versions in the list and among those given.
    pub(crate) fn count_with(&self, service: &str, seen: &Versions) -> usize {
        let listed = self.services.get(service).and_then(|it| it.listed.as_ref());
        listed.map_or(seen.len(), |listed| listed.union(seen).count())
    }

    /// Whether the list of a service has been read.
    pub(crate) fn is_read(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|it| it.listed.is_some())
    }

    /// Whether the store lists all of these versions.
    pub(crate) fn lists(&self, service: &str, seen: &Versions) -> bool {
        let registration = self.services.get(service).filter(|it| !it.is_lost);
        let listed = registration.and_then(|it| it.listed.as_ref());
        listed.is_some_and(|listed| listed.is_superset(seen))
    }

    /// The versions that the store has to list, besides those given: those that it has lost.
    pub(crate) fn with_lost(&self, service: &str, seen: Versions) -> Versions {
        let registration = self.services.get(service).filter(|it| it.is_lost);
        let lost = registration.and_then(|it| it.listed.clone());
        seen.into_iter().chain(lost.unwrap_or_default()).collect()
    }

    /// Notes whether a service has several versions now.
    pub(crate) fn note_several(&mut self, now: Duration, service: &ServiceName, has_several: bool) {
        let registration = self.services.entry(service.clone()).or_default();
        let since = registration.several_since.unwrap_or(now);
        registration.several_since = has_several.then_some(since);
    }

    /// Since when a service has several versions; `None` if it has not.
    pub(crate) fn several_since(&self, service: &str) -> Option<Duration> {
        self.services.get(service)?.several_since
    }

    /// The only version that the store listed when this instance first read it.
    pub(crate) fn first_only(&self, service: &str) -> Option<&Version> {
        let first = &self.services.get(service)?.first;
        first.first().filter(|_| first.len() == 1)
    }

    /// Whether the store has to be asked to list versions now. Notes that it is.
    pub(crate) fn request(
        &mut self,
        now: Duration,
        service: &ServiceName,
        seen: &Versions,
    ) -> bool {
        let is_listed = self.lists(service, seen);
        let registration = self.services.entry(service.clone()).or_default();
        if is_listed {
            registration.requested = None;
            return false;
        }
        let mut unlisted = seen.clone();
        unlisted.retain(|it| !registration.listed.as_ref().is_some_and(|known| known.contains(it)));
        let request = registration.requested.get_or_insert_default();
        let is_due = request.set_waiting(now, unlisted) || now >= request.retry_at;
        if is_due {
            request.retry_at = now + ATTEMPT_INTERVAL;
        }
        is_due
    }

    /// The store lists these versions of a service. Those that it has lost still count: all, if it
    /// lists none though it did before, since nobody removes the last version of a service.
    pub(crate) fn set_listed(&mut self, service: &ServiceName, listed: Versions) {
        let registration = self.services.entry(service.clone()).or_default();
        if let Some(known) = &mut registration.listed
            && (registration.is_lost || listed.is_empty())
        {
            registration.is_lost = !listed.is_superset(known);
            known.extend(listed);
            return;
        }
        registration.requested.take_if(|it| it.waiting.keys().all(|key| listed.contains(key)));
        if registration.listed.is_none() {
            registration.first = listed.clone();
            registration.requested = None;
        }
        registration.listed = Some(listed);
    }

    /// The store may have lost versions: each list is written again.
    pub(crate) fn mark_lost(&mut self) {
        for registration in self.services.values_mut() {
            registration.is_lost = registration.listed.is_some();
            registration.requested = None;
        }
    }

    /// The versions of a service that get no work yet. Before the list has been read, none is
    /// held back.
    pub(crate) fn held(&self, now: Duration, service: &str) -> Versions {
        let registration = self.services.get(service);
        let listed = registration.and_then(|it| it.listed.as_ref()).filter(|it| !it.is_empty());
        let requested = registration.and_then(|it| it.requested.as_ref());
        let (Some(listed), Some(request)) = (listed, requested) else { return Versions::new() };
        let held = request.holds().filter(|(it, until)| now < *until && !listed.contains(*it));
        held.map(|(version, _)| version.clone()).collect()
    }

    /// When a request has to be repeated or versions are held back no longer.
    pub(crate) fn next_wake(&self, now: Duration) -> Option<Duration> {
        let requests = self.services.values().filter_map(|it| it.requested.as_ref());
        let times = requests
            .flat_map(|it| it.holds().map(|(_, until)| until).chain(std::iter::once(it.retry_at)));
        times.filter(|at| *at > now).min()
    }
}
