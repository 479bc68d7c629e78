//! Has others remember which versions began streams: a few peers, which answer at once, and the
//! log in the platform's store, which outlives all instances.
//!
//! Records are made only while a service has several versions. When the second one comes, all
//! streams that this instance remembers are recorded.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{
    model::InstanceName,
    relay::{
        exchange::Binding,
        machine::Relay,
        model::{Action, CallKey, ExchangeKey, ServiceName},
        streams::{StreamId, StreamRecord},
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
/// Records are collected for this long for each instance before they are appended to the log.
/// Up to 333 instances together make 333 calls a second at the most, each further one makes one a
/// second; with the minimum below, eight instances make 160, less than half of what the smallest
/// store allows.
const LOG_INTERVAL: Duration = Duration::from_millis(3);
/// The shortest time for which they are collected for the log.
const MIN_LOG_INTERVAL: Duration = Duration::from_millis(50);
/// The longest time for which they are collected for the log.
const MAX_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Up to this many peers are all asked about a stream, in larger deployments the holders only.
const MAX_ASKED: usize = 16;

impl Relay {
    /// The first event of a call is passed on: from now on the exchange's stream goes on only at
    /// the version of its endpoint.
    pub(super) fn bind(&mut self, now: Duration, key: ExchangeKey, call: CallKey) {
        let version = self.calls[call].version.clone();
        let exchange = &mut self.exchanges[key];
        exchange.binding = Binding::Version(version.clone());
        let service = exchange.service.clone();
        let record = StreamRecord { stream: exchange.stream, version };
        self.streams.record(now, &record);
        if self.has_several_versions(&service) {
            self.queue_report(now, &record);
            self.queue_for_log(now, record);
        }
    }

    /// A service has got a second version: others have to remember the streams from before.
    pub(super) fn report_streams(&mut self, now: Duration, service: &ServiceName) {
        let open = self.exchanges.values().filter(|exchange| exchange.service == *service);
        let records = open.filter_map(|exchange| {
            let version = exchange.binding.version()?.into();
            Some(StreamRecord { stream: exchange.stream, version })
        });
        for record in records.collect::<Vec<_>>() {
            self.queue_report(now, &record);
        }
        for record in self.streams.records().collect::<Vec<_>>() {
            self.queue_for_log(now, record);
        }
    }

    /// Takes in the versions of streams that a peer passes on.
    pub fn on_stream_records(&mut self, now: Duration, records: &[StreamRecord]) {
        for record in records {
            self.streams.record(now, record);
        }
    }

    /// An append to the store's log has ended. These records could not be appended.
    pub fn on_streams_appended(&mut self, now: Duration, failed: Vec<StreamRecord>) {
        self.stream_log.end_append(now, failed);
    }

    fn queue_report(&mut self, now: Duration, record: &StreamRecord) {
        if self.stream_reports.is_empty() {
            let interval = REPORT_INTERVAL * self.instance_count() as u32;
            self.streams_at = now + interval.min(MAX_REPORT_INTERVAL);
        }
        for peer in self.holders(record.stream).into_iter().take(HOLDERS) {
            self.stream_reports.entry(peer).or_default().push(record.clone());
        }
    }

    fn queue_for_log(&mut self, now: Duration, record: StreamRecord) {
        let interval = LOG_INTERVAL * self.instance_count() as u32;
        let interval = interval.clamp(MIN_LOG_INTERVAL, MAX_LOG_INTERVAL);
        self.stream_log.push(now, interval, record);
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

    /// Appends the collected records of streams to the log.
    pub(super) fn log_streams(&mut self, now: Duration) {
        if let Some(records) = self.stream_log.begin_append(now) {
            self.actions.push(Action::LogStreams(records));
        }
    }

    /// The peers that are asked about a stream. Instances may differ in whom they take for alive,
    /// so more are asked than remember it.
    pub(super) fn asked_about(&self, stream: StreamId) -> Vec<InstanceName> {
        let mut peers = self.holders(stream);
        if peers.len() > MAX_ASKED {
            peers.truncate(2 * HOLDERS);
        }
        peers
    }

    /// The peers in the order in which they remember a stream.
    fn holders(&self, stream: StreamId) -> Vec<InstanceName> {
        let group = (stream.0.0 % HOLDER_GROUPS) as u64;
        let mut names: Vec<_> = self.peers.iter().map(|peer| peer.name.clone()).collect();
        names.sort_by_cached_key(|name| xxh3::xxh3_64_with_seed(name.as_bytes(), group));
        names
    }
}
