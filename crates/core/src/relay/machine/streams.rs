//! Streams go on only at the version of the service's software that began them.
//!
//! A version is bound to an exchange with the first event that is passed on. A request that
//! takes a stream up is bound from the start: to the version that this instance or a peer
//! remembers. Where nobody remembers it, it may go on only if the service has had a single
//! version; otherwise it is refused at once, since a guess would join two versions.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{
    model::InstanceName,
    relay::{
        exchange::Binding,
        machine::{Relay, placing::Placed},
        model::{Action, CallKey, EndpointKey, ExchangeKey, Refusal, ServiceName},
        pool::{Pool, Track},
        rollout::Version,
        streams::{Origin, StreamId, StreamRecord},
    },
};

/// Number of peers that remember the version of a stream beside the instance that began it.
const HOLDERS: usize = 3;
/// Streams are divided into this many groups with the same holders, so that in a large
/// deployment an instance sends its records to a few peers only.
const HOLDER_GROUPS: u128 = 8;
/// Records of streams are collected for this long for each instance of the deployment. All
/// instances together thus send the same number of messages, however many they are.
const REPORT_INTERVAL: Duration = Duration::from_micros(2500);
/// The longest time for which they are collected.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Up to this many peers are all asked about a stream, in larger deployments the holders only.
const MAX_ASKED: usize = 16;
/// An instance that has known the directory for this long has seen all versions whose streams
/// may still be taken up.
const SETTLING_TIME: Duration = Duration::from_secs(60);

impl Relay {
    /// Whether an exchange may go on: it is known which versions may answer. If not, peers are
    /// asked, or the exchange has been refused.
    pub(super) fn ensure_bound(&mut self, now: Duration, key: ExchangeKey) -> bool {
        match &self.exchanges[key].binding {
            Binding::Open => true,
            Binding::Version(_) => self.is_version_left(now, key),
            Binding::Asked => false,
            Binding::Unknown => self.may_go_on_unbound(now, key),
            Binding::Unasked => self.look_up_origin(now, key) && self.ensure_bound(now, key),
        }
    }

    /// Finds out which version began the stream that an exchange takes up. Returns false if
    /// peers have to be asked.
    fn look_up_origin(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let (stream, service) = (self.exchanges[key].stream, self.exchanges[key].service.clone());
        match self.streams.origin(stream) {
            Some(Origin::Version(version)) => {
                self.exchanges[key].binding = Binding::Version(version);
                return true;
            }
            Some(_) => {
                self.exchanges[key].binding = Binding::Unknown;
                return true;
            }
            None => {}
        }
        let peers = self.asked_about(stream);
        if peers.is_empty() || self.is_settled(now, &service) {
            self.exchanges[key].binding = Binding::Unknown;
            return true;
        }
        self.exchanges[key].binding = Binding::Asked;
        self.actions.push(Action::AskOrigin { exchange: key, stream, service, peers });
        false
    }

    /// A stream of an unknown version goes on only where there is a single version. Refuses the
    /// exchange otherwise.
    fn may_go_on_unbound(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let Some(exchange) = self.exchanges.get(key) else { return false };
        if self.directory.version_count(&exchange.service) <= 1 {
            return true;
        }
        self.give_up(now, key, Refusal::UnknownVersion);
        false
    }

    /// Whether the service has had a single version for as long as any stream lasts.
    fn is_settled(&self, now: Duration, service: &str) -> bool {
        let is_old = self.directory.known_since().is_some_and(|at| now >= at + SETTLING_TIME);
        is_old && self.directory.version_count(service) <= 1
    }

    /// What this instance knows of the version that began a stream of a service.
    pub fn stream_origin(&self, stream: StreamId, service: &str) -> Origin {
        let unrecorded = || match self.directory.version_count(service) {
            0 | 1 => Origin::Unrecorded,
            _ => Origin::Ambiguous,
        };
        self.streams.origin(stream).unwrap_or_else(unrecorded)
    }

    /// Takes in what peers know of the stream that an exchange takes up.
    pub fn on_origin(&mut self, now: Duration, key: ExchangeKey, origin: Origin) {
        let asked = self.exchanges.get_mut(key).filter(|it| it.binding == Binding::Asked);
        let Some(exchange) = asked else { return };
        match origin {
            Origin::Version(version) => exchange.binding = Binding::Version(version),
            Origin::Unrecorded => exchange.binding = Binding::Unknown,
            Origin::Ambiguous => {
                self.give_up(now, key, Refusal::UnknownVersion);
                return;
            }
        }
        self.advance(now, key);
    }

    /// The first event of a call is passed on: from now on the exchange's stream goes on only at
    /// the version of its endpoint.
    pub(super) fn bind(&mut self, now: Duration, key: ExchangeKey, call: CallKey) {
        let version = self.calls[call].version.clone();
        let exchange = &mut self.exchanges[key];
        exchange.binding = Binding::Version(version.clone());
        let record = StreamRecord { stream: exchange.stream, version };
        self.streams.record(now, &record);
        if self.directory.version_count(&exchange.service) > 1 {
            self.queue_record(now, record);
        }
    }

    /// The version of an endpoint's software.
    pub(super) fn version_of(&self, endpoint: EndpointKey) -> Version {
        let known = self.directory.get(endpoint);
        known.map(|endpoint| endpoint.entry.version.clone()).unwrap_or_default()
    }

    /// A service has got a second version: peers have to remember the streams under way.
    pub(super) fn report_open_streams(&mut self, now: Duration, service: &ServiceName) {
        let open = self.exchanges.values().filter(|exchange| exchange.service == *service);
        let records = open.filter_map(|exchange| match &exchange.binding {
            Binding::Version(version) => {
                Some(StreamRecord { stream: exchange.stream, version: version.clone() })
            }
            _ => None,
        });
        for record in records.collect::<Vec<_>>() {
            self.queue_record(now, record);
        }
    }

    /// Takes in the versions of streams that a peer passes on.
    pub fn on_stream_records(&mut self, now: Duration, records: &[StreamRecord]) {
        for record in records {
            self.streams.record(now, record);
        }
    }

    fn queue_record(&mut self, now: Duration, record: StreamRecord) {
        if self.stream_reports.is_empty() {
            let interval = REPORT_INTERVAL * self.instance_count() as u32;
            self.streams_at = now + interval.min(MAX_REPORT_INTERVAL);
        }
        for peer in self.holders(record.stream).into_iter().take(HOLDERS) {
            self.stream_reports.entry(peer).or_default().push(record.clone());
        }
    }

    /// When records of streams are to be sent to peers; `None` if there are none.
    pub(super) fn next_stream_report(&self) -> Option<Duration> {
        (!self.stream_reports.is_empty()).then_some(self.streams_at)
    }

    /// Sends the collected records of streams to the peers that remember them.
    pub(super) fn send_stream_records(&mut self, now: Duration) {
        if now < self.streams_at {
            return;
        }
        for (peer, records) in std::mem::take(&mut self.stream_reports) {
            self.actions.push(Action::RecordStreams { peer, records });
        }
    }

    /// The peers in the order in which they remember a stream.
    fn holders(&self, stream: StreamId) -> Vec<InstanceName> {
        let group = (stream.0.0 % HOLDER_GROUPS) as u64;
        let mut names: Vec<_> = self.peers.iter().map(|peer| peer.name.clone()).collect();
        names.sort_by_cached_key(|name| xxh3::xxh3_64_with_seed(name.as_bytes(), group));
        names
    }

    /// The peers that are asked about a stream. Instances may differ in whom they take for alive,
    /// so more are asked than remember it.
    fn asked_about(&self, stream: StreamId) -> Vec<InstanceName> {
        let mut peers = self.holders(stream);
        if peers.len() > MAX_ASKED {
            peers.truncate(2 * HOLDERS);
        }
        peers
    }

    /// Whether the version that an exchange is bound to has endpoints that may be called. Refuses
    /// the exchange otherwise.
    fn is_version_left(&mut self, now: Duration, key: ExchangeKey) -> bool {
        let exchange = &self.exchanges[key];
        let Binding::Version(version) = &exchange.binding else { return true };
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
