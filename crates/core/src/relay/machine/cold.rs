//! Endpoints that are cold: more than a few calls a second end them.
//!
//! The bound holds for the calls of all instances together, whether or not they hear
//! of each other. A cold engine therefore has one instance that has it called, the
//! placer that has it anyway, and the instance that batches a service's pieces calls
//! its endpoints alone; it leaves the pace that the endpoint bears between two calls.
//! An endpoint that every instance calls for itself has a few of them as its callers
//! while it is cold, those that rank first for its name, and they share the pace.
//! While instances disagree on who is alive, there may be one caller more.
//!
//! Ways that were weighed: a share for each instance is less than a call a second
//! with 86 of them, so that a burst of each one's first call is over the bound;
//! leases by gossip are late by as long as an endpoint is cold; a single caller of
//! a plain endpoint has too few requests of its own to use what the endpoint bears.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::relay::{
    choice::Chooser,
    directory::Endpoint,
    machine::Relay,
    model::{CallKey, EndpointKey, ServiceName},
};

impl Relay {
    /// An endpoint said in its reply how much longer it is cold.
    pub(super) fn note_cold(&mut self, now: Duration, call: CallKey, left: Option<Duration>) {
        let endpoint = self.calls.get(call).map(|state| state.endpoint);
        let known = endpoint.and_then(|key| self.directory.get_mut(key));
        if let (Some(endpoint), Some(left)) = (known, left) {
            endpoint.cools(now, left);
        }
    }

    /// Cold endpoints of a service that get no call from this instance now: they are
    /// another one's to call, or were called too lately.
    pub(super) fn withheld(
        &self,
        now: Duration,
        service: &ServiceName,
        chooser: Chooser,
    ) -> Vec<EndpointKey> {
        if self.cold_pace(service).is_none() {
            return Vec::new();
        }
        let usable = self.directory.usable(now, service);
        let is_cold =
            |key: &EndpointKey| self.directory.get(*key).is_some_and(|it| it.is_cold(now));
        let cold: Vec<_> = usable.iter().copied().filter(is_cold).collect();
        if cold.is_empty() {
            return cold;
        }
        let foreign = chooser.foreign(&self.directory, &usable);
        let is_withheld = |key: &EndpointKey| {
            let Some(endpoint) = self.directory.get(*key) else { return true };
            let is_own = match chooser {
                Chooser::Placer { .. } => !foreign.contains(key),
                Chooser::Alone => self.is_caller_of(service, endpoint),
            };
            !is_own || endpoint.is_resting(now)
        };
        cold.into_iter().filter(is_withheld).collect()
    }

    /// An endpoint is sent a call. Returns until when it rests, if it is cold.
    pub(super) fn pace_cold(&mut self, now: Duration, key: EndpointKey) -> Option<Duration> {
        let service = self.directory.get(key)?.entry.service.clone();
        let pace = self.cold_pace(&service)?;
        let until = now + pace * self.cold_callers(&service, pace);
        let endpoint = self.directory.get_mut(key).filter(|endpoint| endpoint.is_cold(now))?;
        endpoint.rest(until);
        Some(until)
    }

    fn cold_pace(&self, service: &str) -> Option<Duration> {
        self.config.as_ref()?.services.get(service)?.cold_pace
    }

    /// Whether one instance decides for all what an endpoint of a service is sent.
    fn has_one_caller(&self, service: &str) -> bool {
        let is_placed = self.has_engines(service) && !self.has_route_policy();
        is_placed || self.shape(service).is_some()
    }

    /// How many instances call a cold endpoint: half as many as it bears calls a
    /// second, so that a first call of each at once is within the bound too.
    fn cold_callers(&self, service: &str, pace: Duration) -> u32 {
        if self.has_one_caller(service) {
            return 1;
        }
        let borne = 1.0 / pace.as_secs_f64().max(f64::MIN_POSITIVE);
        let most = u32::try_from(self.instances()).unwrap_or(u32::MAX);
        ((borne / 2.0) as u32).clamp(1, most)
    }

    fn is_caller_of(&self, service: &ServiceName, endpoint: &Endpoint) -> bool {
        let Some(pace) = self.cold_pace(service) else { return true };
        if self.has_one_caller(service) {
            return false;
        }
        let place = self.place_of(xxh3::xxh3_64(endpoint.entry.name.as_bytes()));
        place < self.cold_callers(service, pace) as usize
    }
}
