//! Endpoints that bear few calls: they are cold, or name a limit.
//!
//! Either bound holds for the calls of all instances together, whether or not they hear
//! of each other. An engine that bears few calls therefore has one instance that has it
//! called, the placer that has it anyway, and the instance that batches a service's
//! pieces calls its endpoints alone; it leaves the time that the endpoint needs between
//! two calls. An endpoint that every instance calls for itself has a few of them as its
//! callers meanwhile, those that rank first for its name, and they share the pace.
//! While instances disagree on who is alive, there may be one caller more.
//!
//! Ways that were weighed: a share for each instance is less than a call a second
//! with 86 of them, so that a burst of each one's first call is over the bound;
//! leases by gossip are late by as long as an endpoint is cold; a single caller of
//! a plain endpoint has too few requests of its own to use what the endpoint bears.

use std::time::Duration;

use peatdeck_macros::data;
use rand::Rng;
use xxhash_rust::xxh3;

use crate::relay::{
    choice::Chooser,
    directory::Endpoint,
    exchange::Exchange,
    machine::Relay,
    model::{EndpointKey, ExchangeKey, ServiceName},
    terms::Rate,
};

/// Who calls an endpoint that bears few calls hears often what it says of its limit.
/// One of which nothing was heard for so long is called by nobody.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// How an endpoint that bears few calls is called.
#[data]
#[derive(Copy)]
struct Pace {
    /// Time between two calls of one of its callers.
    interval: Duration,
    /// How many instances call it.
    callers: u32,
    /// How much of a slot that was missed is made up for, so that a caller whose
    /// requests come at random uses all slots.
    slack: Duration,
}

impl Pace {
    /// Every so often a call of any of so many instances.
    fn new(interval: Duration, callers: u32) -> Pace {
        Pace { interval: interval * callers, callers, slack: Duration::ZERO }
    }
}

impl Relay {
    /// How many endpoints name a limit, as far as is known.
    pub fn limited_count(&self) -> usize {
        self.directory.all().filter(|endpoint| endpoint.limit().is_some()).count()
    }

    /// Forgets limits of which nothing was heard for long: whoever calls such an
    /// endpoint may have no requests for it. One instance after the other does so, and
    /// hears at its first call whether the limit holds on.
    pub(super) fn forget_limits(&mut self, now: Duration) {
        let instances = self.instances() as u32;
        for endpoint in self.directory.all_mut() {
            let is_old = endpoint.limit_report.is_some_and(|word| now >= word.at + FORGOTTEN_AFTER);
            if is_old && self.rng.random_ratio(1, instances) {
                endpoint.limit_report = None;
            }
        }
    }

    /// Endpoints of a service that get no call from this instance now: they want none,
    /// or bear few and are another one's to call, or were called too lately.
    pub(super) fn withheld(
        &self,
        now: Duration,
        service: &ServiceName,
        chooser: Chooser,
    ) -> Vec<EndpointKey> {
        let usable = self.directory.usable(now, service);
        let known = usable.iter().filter_map(|key| Some((*key, self.directory.get(*key)?)));
        let bound = known.filter_map(|(key, endpoint)| {
            let pace = self.pace(now, endpoint);
            (pace.is_some() || endpoint.is_on_hold(now)).then_some((key, endpoint, pace))
        });
        let bound: Vec<_> = bound.collect();
        if bound.is_empty() {
            return Vec::new();
        }
        let foreign = chooser.owned_by_others(&self.directory, &usable);
        let is_withheld = |(key, endpoint, pace): &(EndpointKey, &Endpoint, Option<Pace>)| {
            let is_paced = pace.is_some_and(|pace| {
                let is_own = match chooser {
                    Chooser::Placer { .. } => !foreign.contains(key),
                    Chooser::Independent => self.is_caller_of(service, endpoint, pace),
                };
                !is_own || endpoint.is_throttled(now, pace.interval)
            });
            is_paced || endpoint.is_on_hold(now)
        };
        bound.into_iter().filter(is_withheld).map(|(key, ..)| key).collect()
    }

    /// When an endpoint may be called with an exchange again, where all that it may
    /// still go to want nothing from this instance; `None` if one of them does, or there
    /// is none.
    pub(super) fn first_free(&self, now: Duration, key: ExchangeKey) -> Option<Duration> {
        let Exchange { service, tried, .. } = &self.exchanges[key];
        let usable = self.directory.usable(now, service).into_iter();
        let open = usable.filter(|endpoint| !tried.contains(endpoint));
        let known = open.filter_map(|endpoint| self.directory.get(endpoint));
        let first = known.map(|endpoint| endpoint.hold_until).min()?;
        (first > now).then_some(first)
    }

    /// An endpoint is sent a call.
    pub(super) fn pace_call(&mut self, now: Duration, key: EndpointKey) {
        let Some(endpoint) = self.directory.get(key) else { return };
        let Some(Pace { interval, slack, .. }) = self.pace(now, endpoint) else { return };
        if let Some(endpoint) = self.directory.get_mut(key) {
            endpoint.take_slot(now, interval, slack);
        }
        self.pace_pieces(now, key);
    }

    /// Tells until when an endpoint that makes pieces gets none.
    pub(super) fn pace_pieces(&mut self, now: Duration, key: EndpointKey) {
        let Some(endpoint) = self.directory.get(key) else { return };
        if self.shape(&endpoint.entry.service).is_some() {
            let pace = self.pace(now, endpoint);
            let slot = pace.and_then(|pace| Some(endpoint.last_slot? + pace.interval));
            let until = endpoint.hold_until.max(slot.unwrap_or(now));
            self.batches.hold_endpoint(key, until);
        }
    }

    /// The pace of an endpoint that bears few calls, the slower one of two.
    fn pace(&self, now: Duration, endpoint: &Endpoint) -> Option<Pace> {
        let service = &endpoint.entry.service;
        let cold = endpoint.is_cold(now).then(|| self.cold_pace(service)).flatten();
        let cold = cold.map(|interval| self.paced_when_cold(service, interval));
        let limit = endpoint.limit().map(|rate| self.paced_by_limit(service, rate));
        match (cold, limit) {
            (Some(cold), Some(limit)) if cold.interval < limit.interval => Some(limit),
            (cold, limit) => cold.or(limit),
        }
    }

    /// What it bears within a second. Of several callers there are half as many as it
    /// bears calls, so that a first call of each at once is within the bound too.
    fn paced_when_cold(&self, service: &str, interval: Duration) -> Pace {
        let borne = 1.0 / interval.as_secs_f64().max(f64::MIN_POSITIVE);
        Pace::new(interval, self.callers(service, (borne / 2.0) as u32))
    }

    /// What it takes within four seconds: half as many more, and five. Of several callers
    /// there are half as many as it takes calls a second, and one: with two calls of each
    /// at once that is still one and a quarter times the limit.
    fn paced_by_limit(&self, service: &str, rate: Rate) -> Pace {
        let wanted = ((rate.calls() / 2.0) as u32).saturating_add(1);
        let pace = Pace::new(rate.interval(), self.callers(service, wanted));
        Pace { slack: pace.interval, ..pace }
    }

    fn callers(&self, service: &str, wanted: u32) -> u32 {
        if self.has_one_caller(service) {
            return 1;
        }
        let most = u32::try_from(self.instances()).unwrap_or(u32::MAX);
        wanted.clamp(1, most)
    }

    fn cold_pace(&self, service: &str) -> Option<Duration> {
        self.config.as_ref()?.services.get(service)?.cold_interval
    }

    /// Whether one instance decides for all what an endpoint of a service is sent.
    fn has_one_caller(&self, service: &str) -> bool {
        let is_placed = self.has_engines(service) && !self.has_route_policy();
        is_placed || self.shape(service).is_some()
    }

    /// Whether this instance is one of an endpoint's callers. One that stops is none:
    /// its peers do not count on it.
    fn is_caller_of(&self, service: &ServiceName, endpoint: &Endpoint, pace: Pace) -> bool {
        let is_going = !self.is_batching && !self.peers.is_empty();
        if self.has_one_caller(service) || is_going {
            return false;
        }
        let place = self.place_of(xxh3::xxh3_64(endpoint.entry.name.as_bytes()));
        place < pace.callers as usize
    }
}
