//! Has the platform's store list the versions of each service whose streams can be taken up.
//!
//! A version is listed before it gets work beside another one, and is removed from the list once
//! the first instance in rank has seen a single version for longer than any stream lasts. Each
//! instance asks for itself, those that rank first without delay, so that the others mostly find
//! the version listed.
//!
//! An instance that has just started reads the list before it has it changed: what it first finds
//! there are the versions of all streams from before. Instances that start together leave each
//! other time for that.

use std::{collections::HashMap, time::Duration};

use xxhash_rust::xxh3;

use crate::relay::{
    machine::Relay,
    model::{Action, ServiceName},
    registry::Versions,
    rollout::Version,
};

/// An instance that has seen the directory for this long has seen all versions whose streams
/// may still be taken up.
const SETTLING_TIME: Duration = Duration::from_secs(60);
/// Streams from before the start of an instance are taken up within this time.
const MAX_STREAM_TIME: Duration = Duration::from_secs(30);
/// An instance whose copy of the directory is older than this may not have seen a new version.
const MAX_DIRECTORY_AGE: Duration = Duration::from_secs(2);
/// Delay of a request for each instance that ranks before this one.
const RANK_DELAY: Duration = Duration::from_millis(50);
/// The longest such delay.
const MAX_RANK_DELAY: Duration = Duration::from_millis(500);
/// How long an instance that has just started waits before it has a version listed beside
/// others, so that those that start with it have read the list.
const START_DELAY: Duration = Duration::from_secs(1);
/// Interval at which an instance reads the list again while it believes that the list has
/// versions which no longer serve.
const REREAD_INTERVAL: Duration = Duration::from_secs(30);

impl Relay {
    /// Has the store list the versions that endpoints of services with resumable streams have.
    pub(super) fn register_versions(&mut self, now: Duration) {
        for service in self.resumable_services() {
            let seen = self.directory.versions(&service);
            if seen.is_empty() || !self.registry.request(now, &service, &seen) {
                continue;
            }
            if !self.registry.is_read(&service) {
                self.actions.push(Action::ReadVersions);
                continue;
            }
            let rank_delay = (RANK_DELAY * self.version_rank(&service)).min(MAX_RANK_DELAY);
            let delay = rank_delay + self.start_delay(now, &service);
            let versions = self.registry.with_lost(&service, seen);
            self.actions.push(Action::ListVersions { service, versions, delay });
        }
        self.update_held(now);
    }

    /// The time that other instances may still need to read the list of a service, if this one
    /// has just started and the list is not empty.
    fn start_delay(&self, now: Duration, service: &str) -> Duration {
        let is_first = self.registry.count_with(service, &Versions::new()) == 0;
        let since = self.directory.known_since().unwrap_or(now);
        match is_first {
            true => Duration::ZERO,
            false => (since + START_DELAY).saturating_sub(now),
        }
    }

    /// A version serves that did not before. Where the list has it already, the first instance in
    /// rank writes it anew: a removal that another instance has decided on and the store executes
    /// late is conditional on the end of the list's log, and fails then.
    pub(super) fn confirm_version(&mut self, service: &ServiceName) {
        let seen = self.directory.versions(service);
        let is_resumable = self.resumable_services().contains(service);
        if is_resumable && self.registry.lists(service, &seen) && self.version_rank(service) == 0 {
            let (service, delay) = (service.clone(), Duration::ZERO);
            self.actions.push(Action::ListVersions { service, versions: seen, delay });
        }
    }

    /// The store's list has been read. A service that it lacks has no listed version.
    pub fn on_versions_read(&mut self, now: Duration, mut list: HashMap<ServiceName, Versions>) {
        for service in self.resumable_services() {
            let listed = list.remove(&service).unwrap_or_default();
            self.on_versions_listed(now, &service, listed);
        }
    }

    /// The store lists these versions of a service.
    pub fn on_versions_listed(&mut self, now: Duration, service: &ServiceName, listed: Versions) {
        let had_several = self.has_several_versions(service);
        self.registry.set_listed(service, listed);
        if !had_several && self.has_several_versions(service) {
            self.report_streams(now, service);
        }
        self.register_versions(now);
        self.search(now);
    }

    /// The only version at which a stream of a service can have begun that nobody remembers: it
    /// was the only one that was listed when this instance started, and no peer has ended since
    /// another one came, so that all streams which began after that are remembered.
    pub(super) fn version_before_start(&self, now: Duration, service: &str) -> Option<Version> {
        let started_at = self.directory.known_since()?;
        let only = self.registry.first_only(service)?;
        let several_since = self.registry.several_since(service).unwrap_or(now);
        let is_from_before = !self.losses.any_since(several_since);
        (is_from_before && now < started_at + MAX_STREAM_TIME).then(|| only.clone())
    }

    /// The store was restored from an older copy: versions and streams are written again.
    pub fn on_store_restored(&mut self, now: Duration) {
        self.registry.mark_lost();
        self.register_versions(now);
        for service in self.resumable_services() {
            if self.has_several_versions(&service) {
                self.report_streams(now, &service);
            }
        }
    }

    /// This instance's copy of the directory was the same as the store's at time `at`.
    pub fn mark_directory_read(&mut self, at: Duration) {
        self.directory_read_at = at;
        self.directory.mark_read(at);
        let suspended = self.directory.suspend_unproven(at);
        if !suspended.is_empty() {
            self.actions.push(Action::EndpointsSuspended(suspended));
        }
        let (is_released, is_settled) =
            (self.directory.release_unproven(), self.directory.settle_doubts(at));
        if is_released || is_settled {
            self.search(at);
        }
    }

    /// Whether several versions of a service serve, or did so lately.
    pub(super) fn has_several_versions(&self, service: &str) -> bool {
        self.registry.count_with(service, &self.directory.versions(service)) > 1
    }

    /// Whether this instance has seen a single version of a service for as long as any stream
    /// lasts.
    pub(super) fn is_settled(&self, now: Duration, service: &str) -> bool {
        let since = self.directory.known_since().map(|at| at.max(self.observed_since));
        let is_old = since.is_some_and(|at| now >= at + SETTLING_TIME);
        let is_fresh = now <= self.directory_read_at + MAX_DIRECTORY_AGE;
        is_old && is_fresh && self.directory.version_count(service) <= 1
    }

    /// Removes versions from the store's list that have not served for longer than any stream
    /// lasts.
    pub(super) fn prune_versions(&mut self, now: Duration) {
        for service in self.resumable_services() {
            let seen = self.directory.versions(&service);
            let is_outdated = self.registry.count_with(&service, &seen) > seen.len();
            let may_prune = self.is_settled(now, &service) && seen.len() == 1;
            if !is_outdated || !may_prune {
                continue;
            }
            if self.version_rank(&service) == 0 {
                self.actions.push(Action::PruneVersions { service, versions: seen });
            } else if now >= self.reread_at {
                self.reread_at = now + REREAD_INTERVAL;
                self.actions.push(Action::ReadVersions);
            }
        }
    }

    /// Keeps new work from versions that the store does not list yet.
    fn update_held(&mut self, now: Duration) {
        for service in self.resumable_services() {
            let has_several = self.has_several_versions(&service);
            self.registry.note_several(now, &service, has_several);
        }
        self.registry_at = self.registry.next_wake(now);
        let services = self.resumable_services().into_iter();
        let held = services.map(|service| {
            let held = self.registry.held(now, &service);
            (service, held)
        });
        let held = held.filter(|(_, held)| !held.is_empty()).collect();
        self.directory.hold_versions(held);
    }

    /// How many peers rank before this instance as the one that writes a service's versions.
    fn version_rank(&self, service: &str) -> u32 {
        let rank = self.rank_of(None, xxh3::xxh3_64(service.as_bytes()));
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// The services that answer with streams which can be taken up.
    fn resumable_services(&self) -> Vec<ServiceName> {
        let Some(config) = &self.config else { return Vec::new() };
        let routes = config.routes.iter().filter(|route| route.kind.is_resumable());
        let targets = routes.flat_map(|route| &route.targets);
        let mut services: Vec<_> = targets.map(|target| target.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }
}
