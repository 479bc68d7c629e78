//! Streams go on only at the version of the service's software that began them.
//!
//! A version is bound to an exchange with the first event that is passed on. A request that
//! takes a stream up is bound from the start: to the version that this instance, a peer or the
//! platform's store remembers. Where nobody remembers it, it may go on only if the store lists a
//! single version of the service; otherwise it is refused at once, since a guess would join two
//! versions.

use std::{collections::HashMap, time::Duration};

use crate::relay::{
    exchange::Binding,
    machine::{Relay, placing::Placed},
    model::{Action, EndpointKey, ExchangeKey, Refusal, ServiceName},
    pool::{Pool, Track},
    registry::Versions,
    rollout::Version,
    streams::{Origin, PeerAnswer, Source, StoredRecord, StreamId},
};

/// What the platform's store has of versions and streams.
#[derive(Debug, Clone, Default)]
pub struct StoredOrigins {
    /// The listed versions of each service.
    pub versions: HashMap<ServiceName, Versions>,
    /// Streams of the log that this instance has not read before.
    pub streams: Vec<StoredRecord>,
}

/// Exchanges that wait for the store to be read.
#[derive(Debug, Default)]
pub(super) struct OriginReaders {
    /// For the read that is under way.
    current: Vec<ExchangeKey>,
    /// For the next one, since they came after it had begun.
    next: Vec<ExchangeKey>,
}

impl Relay {
    /// Whether an exchange may go on: it is known which versions may answer. If not, peers or the
    /// store are asked, or the exchange has been refused.
    pub(super) fn ensure_bound(&mut self, now: Duration, key: ExchangeKey) -> bool {
        match &self.exchanges[key].binding {
            Binding::Open => true,
            Binding::Version(_) => self.is_version_left(now, key),
            Binding::Asked | Binding::Reading => false,
            Binding::Unknown => self.may_go_on_unbound(now, key),
            Binding::Unasked => self.look_up_origin(now, key) && self.ensure_bound(now, key),
        }
    }

    /// Finds out which version began the stream that an exchange takes up. Returns false if
    /// peers or the store have to be asked.
    fn look_up_origin(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let stream = self.exchanges[key].stream;
        match self.streams.origin(stream) {
            Some(Origin::Version(version)) => {
                let age = self.streams.age(now, stream).unwrap_or_default();
                self.bind_to_origin(key, version, Source::Memory, age);
                return true;
            }
            Some(_) => {
                self.exchanges[key].binding = Binding::Unknown;
                return true;
            }
            None => {}
        }
        let peers = self.asked_about(stream);
        if peers.is_empty() {
            self.read_origin_of(key);
            return false;
        }
        let exchange = &mut self.exchanges[key];
        exchange.binding = Binding::Asked;
        let service = exchange.service.clone();
        self.actions.push(Action::AskOrigin { exchange: key, stream, service, peers });
        false
    }

    /// All peers know one version at most, and have no record of the stream that an exchange takes
    /// up. Returns false if the store has to be read.
    fn settle_unrecorded(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let service = self.exchanges[key].service.clone();
        if self.is_settled(now, &service) && !self.has_several_versions(&service) {
            self.leave_unbound(now, key);
            return true;
        }
        self.read_origin_of(key);
        false
    }

    /// Has an exchange wait until the store has been read.
    fn read_origin_of(&mut self, key: ExchangeKey) {
        self.exchanges[key].binding = Binding::Reading;
        self.readers.next.push(key);
        self.read_origins();
    }

    /// Reads the store for the exchanges that wait for that, unless a read is under way.
    fn read_origins(&mut self) {
        if self.readers.current.is_empty() && !self.readers.next.is_empty() {
            self.readers.current = std::mem::take(&mut self.readers.next);
            self.actions.push(Action::ReadOrigins);
        }
    }

    /// Takes in what the store has of versions and streams; `None` if it could not be read.
    pub fn on_origins_read(&mut self, now: Duration, stored: Option<StoredOrigins>) {
        let is_read = stored.is_some();
        let StoredOrigins { versions, streams } = stored.unwrap_or_default();
        for stored in &streams {
            self.streams.record_stored(now, stored);
        }
        if is_read {
            self.on_versions_read(now, versions);
        }
        for key in std::mem::take(&mut self.readers.current) {
            self.on_origin_read(now, key, is_read);
        }
        self.read_origins();
    }

    fn on_origin_read(&mut self, now: Duration, key: ExchangeKey, is_read: bool) {
        let waiting = self.exchanges.get(key).filter(|it| it.binding == Binding::Reading);
        let Some(exchange) = waiting else { return };
        match self.streams.origin(exchange.stream) {
            Some(Origin::Version(version)) => {
                let age = self.streams.age(now, exchange.stream).unwrap_or_default();
                self.bind_to_origin(key, version, Source::Log, age);
            }
            _ if !is_read => {
                self.give_up(now, key, Refusal::OriginUnavailable);
                return;
            }
            // Streams of several versions have its id.
            Some(_) => self.exchanges[key].binding = Binding::Unknown,
            None if self.may_be_remembered(now, key) => {
                self.give_up(now, key, Refusal::OriginUnavailable);
                return;
            }
            None => self.leave_unbound(now, key),
        }
        self.advance(now, key);
    }

    fn bind_to_origin(
        &mut self,
        key: ExchangeKey,
        version: Version,
        source: Source,
        age: Duration,
    ) {
        self.exchanges[key].binding = Binding::Version(version.clone());
        let version = Some(version);
        self.actions.push(Action::OriginKnown { exchange: key, version, source, age });
    }

    /// Whether a peer that has not answered may remember the stream that an exchange takes up, and
    /// it would be taken for one from before this instance.
    fn may_be_remembered(&self, now: Duration, key: ExchangeKey) -> bool {
        let exchange = &self.exchanges[key];
        let is_guessed = self.has_several_versions(&exchange.service)
            && exchange.arrival.first_attempt.is_some()
            && self.version_before_start(now, &exchange.service).is_some();
        is_guessed && !exchange.all_answered
    }

    /// Nobody knows which version began the stream that an exchange takes up.
    fn leave_unbound(&mut self, now: Duration, key: ExchangeKey) {
        let exchange = &self.exchanges[key];
        let service = exchange.service.clone();
        // A caller that does not name the attempt may mean a stream that was recorded under it.
        let is_named = exchange.arrival.first_attempt.is_some();
        let before = self.version_before_start(now, &service).filter(|_| is_named);
        if let Some(version) = before {
            self.bind_to_origin(key, version, Source::SingleVersion, Duration::ZERO);
            return;
        }
        self.exchanges[key].binding = Binding::Unknown;
        if !self.has_several_versions(&service) {
            let age = self.directory.known_since().map_or(now, |at| now.saturating_sub(at));
            let source = Source::SingleVersion;
            self.actions.push(Action::OriginKnown { exchange: key, version: None, source, age });
        }
    }

    /// A stream of an unknown version goes on only where there is a single version. Refuses the
    /// exchange otherwise.
    fn may_go_on_unbound(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let Some(exchange) = self.exchanges.get(key) else { return false };
        if !self.has_several_versions(&exchange.service) {
            return true;
        }
        self.give_up(now, key, Refusal::UnknownVersion);
        false
    }

    /// How long ago the record of a stream was written.
    pub fn stream_age(&self, now: Duration, stream: StreamId) -> Option<Duration> {
        self.streams.age(now, stream)
    }

    /// What this instance knows of the version that began a stream of a service.
    pub fn stream_origin(&self, stream: StreamId, service: &str) -> Origin {
        let unrecorded = || match self.has_several_versions(service) {
            false => Origin::Unrecorded,
            true => Origin::Ambiguous,
        };
        self.streams.origin(stream).unwrap_or_else(unrecorded)
    }

    /// Takes in what peers know of the stream that an exchange takes up.
    pub fn on_origin(&mut self, now: Duration, key: ExchangeKey, answer: PeerAnswer) {
        let asked = self.exchanges.get_mut(key).filter(|it| it.binding == Binding::Asked);
        let Some(exchange) = asked else { return };
        exchange.all_answered = answer.answered == answer.asked;
        match answer.origin {
            Origin::Version(version) => {
                self.bind_to_origin(key, version, Source::Peer, answer.age);
                self.advance(now, key);
            }
            // One that does not answer may have begun the stream at a version that others have not
            // heard of yet.
            Origin::Unrecorded if answer.answered == answer.asked => {
                if self.settle_unrecorded(now, key) {
                    self.advance(now, key);
                }
            }
            Origin::Unrecorded | Origin::Ambiguous => self.read_origin_of(key),
        }
    }

    /// The version of an endpoint's software.
    pub(super) fn version_of(&self, endpoint: EndpointKey) -> Version {
        let known = self.directory.get(endpoint);
        known.map(|endpoint| endpoint.entry.version.clone()).unwrap_or_default()
    }

    /// Whether an endpoint's entry shows the version that an exchange would be answered by. It
    /// matters only for streams that can be taken up.
    pub(super) fn may_serve(&self, key: ExchangeKey, endpoint: EndpointKey) -> bool {
        let kind = self.exchanges[key].route.kind;
        !kind.is_resumable() || !self.directory.is_doubted(endpoint)
    }

    /// Whether the version that an exchange is bound to has endpoints that may be called. Refuses
    /// the exchange otherwise.
    fn is_version_left(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let exchange = &self.exchanges[key];
        let Binding::Version(version) = &exchange.binding else { return true };
        if self.directory.versions(&exchange.service).is_empty() {
            // The endpoints have not been read yet.
            self.give_up(now, key, Refusal::Unserved);
            return false;
        }
        let track = self.directory.track_of_version(&exchange.service, version);
        let may_try = track == Track::Stable
            || self.rollouts.get(&exchange.service).is_some_and(|rollout| rollout.may_try(now));
        if may_try && self.directory.is_expected_in(now, Pool { track, ..exchange.pool() }) {
            return true;
        }
        self.give_up(now, key, Refusal::VersionGone);
        false
    }

    /// Calls an endpoint of the version that an exchange is bound to. Returns false if it is
    /// bound to none.
    pub(super) fn call_bound(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let exchange = &self.exchanges[key];
        let Binding::Version(version) = &exchange.binding else { return false };
        let track = self.directory.track_of_version(&exchange.service, version);
        let inputs = exchange.graph.outputs_by_data_centre(&exchange.route);
        self.exchanges[key].track = self.settings.rollout.map(|_| track);
        let Some(chosen) = self.choose(now, key, &inputs) else {
            self.wait_for_endpoint(now, key);
            return true;
        };
        self.take_canary_call(key);
        let placed = Placed { chosen, source: self.addr_of(chosen.source), placer: None };
        self.send_call(now, key, placed);
        true
    }
}
