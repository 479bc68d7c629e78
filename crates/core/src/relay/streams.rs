//! Which version of a service's software began each stream.
//!
//! What endpoints of two versions write does not fit together, and endpoints do not check it. A
//! stream that has begun therefore goes on only at the version that began it, within one answer
//! and over all attempts of its caller. The instance that passes on a stream's first event
//! remembers the version; while a service has several, so do a few of its peers, which outlive
//! it, and a log in the platform's store, which outlives all instances.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use peatdeck_macros::{data, id};

use crate::relay::{fingerprint::Fingerprint, rollout::Version};

/// How long a version is remembered after the last attempt began to bring events: longer than
/// any stream lasts.
const RETENTION: Duration = Duration::from_secs(60);
/// The most streams that an instance remembers; the oldest are dropped beyond that.
const MAX_STREAMS: usize = 50_000;

/// Identifies a stream over all attempts of its caller: the team and the first attempt's id.
#[id]
#[derive(Copy)]
pub struct StreamId(pub Fingerprint);

impl StreamId {
    /// The stream that an attempt of a team's caller began.
    pub fn new(team: Option<&str>, attempt: &str) -> StreamId {
        StreamId(Fingerprint::of_stream(team, attempt))
    }

    /// The half of the id that the store's log has. Among a million streams two have the same
    /// one with a probability of 3 in 100 million.
    pub fn short(self) -> u64 {
        self.0.0 as u64
    }

    /// A stream of which only the half of its id is known.
    pub fn from_short(short: u64) -> StreamId {
        StreamId(Fingerprint(u128::from(short)))
    }
}

/// The version that began a stream.
#[data]
pub struct StreamRecord {
    /// The stream.
    pub stream: StreamId,
    /// The version.
    pub version: Version,
}

/// A record that was read from the store's log.
#[data]
pub struct StoredRecord {
    /// The record.
    pub record: StreamRecord,
    /// How long ago it was written, by the clocks of its writer and its reader. These may differ
    /// by any amount.
    pub age: Duration,
}

/// What peers know of the version that began a stream.
#[data]
pub struct PeerAnswer {
    /// What the first one that knows the version said, or else all of them together.
    pub origin: Origin,
    /// How many were asked.
    pub asked: usize,
    /// How many have answered.
    pub answered: usize,
    /// How long the peer has known the version.
    pub age: Duration,
}

/// What an instance knows of the version that began a stream.
#[data]
pub enum Origin {
    /// This version did.
    Version(Version),
    /// It is not known, and several versions of the service serve or did so lately.
    Ambiguous,
    /// It is not known, and the service has no more than one version.
    Unrecorded,
}

/// Where an instance knows the version from that began a stream.
#[id]
#[derive(Copy)]
pub enum Source {
    /// It passed on an event of the stream, or a peer told it before it was asked.
    Memory,
    /// A peer answered its question.
    Peer,
    /// The store's log of streams.
    Log,
    /// The service has had a single version for as long as any stream lasts, as the store's list
    /// of versions or what this instance has seen shows.
    SingleVersion,
}

impl Source {
    /// The name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Source::Memory => "memory",
            Source::Peer => "peer",
            Source::Log => "log",
            Source::SingleVersion => "single_version",
        }
    }
}

/// The versions that began the streams of the last minute.
#[derive(Debug, Clone, Default)]
pub struct StreamVersions {
    /// By [`StreamId::short`].
    known: HashMap<u64, Known>,
    /// The streams by the time of their records, oldest first.
    order: VecDeque<(Duration, u64)>,
}

#[derive(Debug, Clone)]
struct Known {
    recorded_at: Duration,
    /// How old the record was then.
    age: Duration,
    /// `None` if two streams of different versions have the same id.
    version: Option<Version>,
}

impl StreamVersions {
    /// Records the version that began a stream, or that an attempt to go on with it brought
    /// events.
    pub fn record(&mut self, now: Duration, record: &StreamRecord) {
        self.record_aged(now, Duration::ZERO, record);
    }

    /// Records what the store's log has.
    pub fn record_stored(&mut self, now: Duration, stored: &StoredRecord) {
        self.record_aged(now, stored.age, &stored.record);
    }

    fn record_aged(&mut self, now: Duration, age: Duration, record: &StreamRecord) {
        let StreamRecord { stream, version } = record;
        let new = || Known { recorded_at: now, age, version: Some(version.clone()) };
        let known = self.known.entry(stream.short()).or_insert_with(new);
        known.recorded_at = now;
        known.age = age;
        known.version.take_if(|known| known != version);
        self.order.push_back((now, stream.short()));
        while self.order.len() > MAX_STREAMS {
            self.drop_oldest();
        }
    }

    /// The version that began a stream: `None` if it is not known, [`Origin::Ambiguous`] if two
    /// streams have its id.
    pub fn origin(&self, stream: StreamId) -> Option<Origin> {
        let known = self.known.get(&stream.short())?;
        Some(known.version.clone().map_or(Origin::Ambiguous, Origin::Version))
    }

    /// How long ago the record of a stream was written, here or elsewhere.
    pub fn age(&self, now: Duration, stream: StreamId) -> Option<Duration> {
        let known = self.known.get(&stream.short())?;
        Some(now.saturating_sub(known.recorded_at).saturating_add(known.age))
    }

    /// All streams whose version is known.
    pub fn records(&self) -> impl Iterator<Item = StreamRecord> {
        self.known.iter().filter_map(|(short, known)| {
            let stream = StreamId::from_short(*short);
            Some(StreamRecord { stream, version: known.version.clone()? })
        })
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(at, _)| now >= *at + RETENTION) {
            self.drop_oldest();
        }
    }

    /// Number of streams whose version is remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no stream's version is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn drop_oldest(&mut self) {
        let Some((at, stream)) = self.order.pop_front() else { return };
        if self.known.get(&stream).is_some_and(|known| known.recorded_at <= at) {
            self.known.remove(&stream);
        }
    }
}
