//! Rates of calls to endpoints that are cold or state a limit.
//!
//! Either rate holds for the calls of all instances together, even if they cannot reach each
//! other. One instance alone therefore decides the calls to such an engine (its placer) or
//! such an endpoint for pieces (the batcher of the service), and leaves the required interval
//! between two calls. An endpoint that every instance calls itself is meanwhile called only
//! by a few, those that rank first for its name, and they share the rate. While instances
//! disagree on which peers are alive, there may be one caller more.
//!
//! Alternatives that were considered: a share for each instance is less than a call a second
//! with 86 instances, so that the first calls of all of them together exceed the rate; leases
//! granted by gossip arrive as late as an endpoint is cold; a single caller of an endpoint
//! that every instance calls has too few requests of its own to use the allowed rate.

use std::time::Duration;

use peatdeck_macros::data;
use rand::Rng;
use xxhash_rust::xxh3;

use crate::relay::{
    choice::Chooser,
    directory::Endpoint,
    exchange::Exchange,
    machine::Relay,
    model::{EndpointKey, ExchangeKey},
    pool::{Pool, Track},
    terms::Rate,
};

/// Callers of an endpoint with a limit get its limit reports often. If none has arrived for
/// this long, no instance calls it.
const LIMIT_EXPIRY: Duration = Duration::from_secs(60);

/// How an endpoint that is cold or states a limit is called.
#[data]
#[derive(Copy)]
struct Pace {
    /// Time between two calls of one caller.
    interval: Duration,
    /// Number of instances that call the endpoint.
    callers: u32,
    /// How late a call may be without delaying the next ones, so that a caller whose requests
    /// arrive at random uses all of its slots.
    slack: Duration,
}

impl Pace {
    /// One call for each `interval` from any of the callers.
    fn new(interval: Duration, callers: u32) -> Pace {
        Pace { interval: interval * callers, callers, slack: Duration::ZERO }
    }
}

impl Relay {
    /// Number of endpoints that are known to state a limit.
    pub fn limited_count(&self) -> usize {
        self.directory.all().filter(|endpoint| endpoint.limit().is_some()).count()
    }

    /// Drops limits that were last reported long ago, since the instances that call such an
    /// endpoint may have no requests for it. By the random choice about one instance at a
    /// time drops the limit; the reply to its first call shows whether it still holds.
    pub(super) fn expire_limits(&mut self, now: Duration) {
        let instances = self.instance_count() as u32;
        for endpoint in self.directory.all_mut() {
            let is_old = endpoint.limit_report.is_some_and(|word| now >= word.at + LIMIT_EXPIRY);
            if is_old && self.rng.random_ratio(1, instances) {
                endpoint.limit_report = None;
            }
        }
    }

    /// Endpoints of a pool that get no call from this instance now: they are on hold, or
    /// they are cold or state a limit and other instances call them, or their last call was
    /// too recent; or neither this instance nor a peer reaches them, or they are fragile and full.
    pub(super) fn withheld(
        &self,
        now: Duration,
        pool: Pool<'_>,
        chooser: Chooser,
    ) -> Vec<EndpointKey> {
        let usable = self.directory.usable(now, pool);
        if pool.track == Track::Canary {
            let canaries = self.canaries(now, pool);
            return usable.into_iter().filter(|key| !canaries.contains(key)).collect();
        }
        let known = usable.iter().filter_map(|key| Some((*key, self.directory.get(*key)?)));
        let limited = known.filter_map(|(key, endpoint)| {
            let pace = self.pace(now, endpoint);
            (pace.is_some() || endpoint.is_on_hold(now)).then_some((key, endpoint, pace))
        });
        let limited: Vec<_> = limited.collect();
        let mut barred = self.unreachable_of(now, pool);
        barred.extend(self.fragile_and_full(now, &usable));
        if limited.is_empty() {
            return barred;
        }
        let foreign = chooser.owned_by_others(&self.directory, &usable);
        let is_withheld = |(key, endpoint, pace): &(EndpointKey, &Endpoint, Option<Pace>)| {
            let is_paced = pace.is_some_and(|pace| {
                let is_own = match chooser {
                    Chooser::Placer { .. } => !foreign.contains(key),
                    Chooser::Independent => self.is_caller_of(endpoint, pace),
                };
                !is_own || endpoint.is_throttled(now, pace.interval)
            });
            is_paced || endpoint.is_on_hold(now)
        };
        let paced = limited.into_iter().filter(is_withheld).map(|(key, ..)| key);
        paced.chain(barred).collect()
    }

    /// Endpoints that refusals would make fall over, and that have no room for another call. An
    /// endpoint that every instance calls itself is shared evenly, since load reports are late.
    fn fragile_and_full(&self, now: Duration, usable: &[EndpointKey]) -> Vec<EndpointKey> {
        let instances = self.instance_count() as u32;
        let is_full = |key: &&EndpointKey| {
            let Some(endpoint) = self.directory.get(**key) else { return false };
            let slots = endpoint.entry.slots;
            let share = match self.has_one_caller(&endpoint.entry.service) {
                true => slots,
                false => (slots / instances).max(1),
            };
            endpoint.is_fragile_and_full(now, share)
        };
        usable.iter().filter(is_full).copied().collect()
    }

    /// When an exchange may first call an endpoint again, if all untried ones are on hold;
    /// `None` if one of them is not, or none is left.
    pub(super) fn first_available(&self, now: Duration, key: ExchangeKey) -> Option<Duration> {
        let exchange = &self.exchanges[key];
        let Exchange { tried, .. } = exchange;
        let usable = self.directory.usable(now, exchange.pool()).into_iter();
        let open = usable.filter(|endpoint| !tried.contains(endpoint));
        let known = open.filter_map(|endpoint| self.directory.get(endpoint));
        let first = known.map(|endpoint| endpoint.hold_until).min()?;
        (first > now).then_some(first)
    }

    /// Records a call to an endpoint in its pace.
    pub(super) fn pace_call(&mut self, now: Duration, key: EndpointKey) {
        let Some(endpoint) = self.directory.get(key) else { return };
        let Some(Pace { interval, slack, .. }) = self.pace(now, endpoint) else { return };
        if let Some(endpoint) = self.directory.get_mut(key) {
            endpoint.take_slot(now, interval, slack);
        }
        self.pace_pieces(now, key);
    }

    /// Tells the batch queues until when an endpoint that makes pieces gets none.
    pub(super) fn pace_pieces(&mut self, now: Duration, key: EndpointKey) {
        let Some(endpoint) = self.directory.get(key) else { return };
        if self.piece_config(&endpoint.entry.service).is_some() {
            let pace = self.pace(now, endpoint);
            let slot = pace.and_then(|pace| Some(endpoint.last_slot? + pace.interval));
            let until = endpoint.hold_until.max(slot.unwrap_or(now));
            self.batcher.hold_endpoint(key, until);
        }
    }

    /// The pace of an endpoint that is cold or states a limit; the slower one if both hold.
    fn pace(&self, now: Duration, endpoint: &Endpoint) -> Option<Pace> {
        let service = &endpoint.entry.service;
        let cold = endpoint.is_cold(now).then(|| self.cold_interval(service)).flatten();
        let cold = cold.map(|interval| self.paced_when_cold(service, interval));
        let limit = endpoint.limit().map(|rate| self.paced_by_limit(service, rate));
        match (cold, limit) {
            (Some(cold), Some(limit)) if cold.interval < limit.interval => Some(limit),
            (cold, limit) => cold.or(limit),
        }
    }

    /// The rate holds in any single second. Of several callers there are half as many as
    /// calls allowed in a second, so that the first calls of all at once stay within it too.
    fn paced_when_cold(&self, service: &str, interval: Duration) -> Pace {
        let calls_per_second = 1.0 / interval.as_secs_f64().max(f64::MIN_POSITIVE);
        Pace::new(interval, self.caller_count(service, (calls_per_second / 2.0) as u32))
    }

    /// In any four seconds an endpoint accepts 1.5 times its limit and five calls more. Of
    /// several callers there are half as many as calls allowed in a second, and one: if each
    /// makes two calls at once, that is 1.25 times the limit.
    fn paced_by_limit(&self, service: &str, rate: Rate) -> Pace {
        let wanted = ((rate.calls() / 2.0) as u32).saturating_add(1);
        let pace = Pace::new(rate.interval(), self.caller_count(service, wanted));
        Pace { slack: pace.interval, ..pace }
    }

    fn caller_count(&self, service: &str, wanted: u32) -> u32 {
        if self.has_one_caller(service) {
            return 1;
        }
        let max = u32::try_from(self.instance_count()).unwrap_or(u32::MAX);
        wanted.clamp(1, max)
    }

    fn cold_interval(&self, service: &str) -> Option<Duration> {
        self.config.as_ref()?.services.get(service)?.cold_interval
    }

    /// Whether one instance (a placer or a batcher) decides all calls to an endpoint of a service.
    fn has_one_caller(&self, service: &str) -> bool {
        let is_placed = self.has_engines(service) && !self.has_route_policy();
        is_placed || self.piece_config(service).is_some()
    }

    /// Whether this instance is one of an endpoint's callers. An instance that stops is not,
    /// since its peers no longer count it among them.
    fn is_caller_of(&self, endpoint: &Endpoint, pace: Pace) -> bool {
        let is_stopping = !self.is_batching && !self.peers.is_empty();
        if self.has_one_caller(&endpoint.entry.service) || is_stopping {
            return false;
        }
        let region = self.directory.regions().work_region(&endpoint.entry.data_centre);
        let seed = xxh3::xxh3_64(endpoint.entry.name.as_bytes());
        let rank = self.rank_of(region.as_deref(), seed);
        rank < pace.callers as usize
    }
}
