//! Which version of a service's software began each stream.
//!
//! What endpoints of two versions write does not fit together, and endpoints do not check it. A
//! stream that has begun therefore goes on only at the version that began it, within one answer
//! and over all attempts of its caller. The instance that passes on a stream's first event
//! remembers the version; while a service has several, so do a few of its peers, which outlive
//! it.

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
}

/// The version that began a stream.
#[data]
pub struct StreamRecord {
    /// The stream.
    pub stream: StreamId,
    /// The version.
    pub version: Version,
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

/// The versions that began the streams of the last minute.
#[derive(Debug, Clone, Default)]
pub struct StreamVersions {
    known: HashMap<StreamId, Known>,
    /// The streams by the time of their records, oldest first.
    order: VecDeque<(Duration, StreamId)>,
}

#[derive(Debug, Clone)]
struct Known {
    recorded_at: Duration,
    /// `None` if two streams of different versions have the same id.
    version: Option<Version>,
}

impl StreamVersions {
    /// Records the version that began a stream, or that an attempt to go on with it brought
    /// events.
    pub fn record(&mut self, now: Duration, record: &StreamRecord) {
        let StreamRecord { stream, version } = record;
        let new = || Known { recorded_at: now, version: Some(version.clone()) };
        let known = self.known.entry(*stream).or_insert_with(new);
        known.recorded_at = now;
        known.version.take_if(|known| known != version);
        self.order.push_back((now, *stream));
        while self.order.len() > MAX_STREAMS {
            self.drop_oldest();
        }
    }

    /// The version that began a stream: `None` if it is not known, [`Origin::Ambiguous`] if two
    /// streams have its id.
    pub fn origin(&self, stream: StreamId) -> Option<Origin> {
        let known = self.known.get(&stream)?;
        Some(known.version.clone().map_or(Origin::Ambiguous, Origin::Version))
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
