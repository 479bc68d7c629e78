//! What is written to the log's streams, and how a stream is read.
//!
//! The log gives each append an offset, counted from 0 within its stream, and
//! a time. An append whose answer is lost may still have taken effect, and a
//! repeated one may then stand twice; every fold over these records therefore
//! counts a record once by its own id, not by its offset.

use std::sync::Arc;

use peatdeck_macros::{id, message};
use serde::{Deserialize, Serialize};

use crate::{
    document::Document,
    model::{DataCentre, EndpointName, Incarnation, InstanceName, RequestId},
};

/// A stream of the log.
#[id]
#[derive(Copy, Serialize, Deserialize)]
pub enum Stream {
    /// Configuration: publishes, snapshots, drains, evacuations.
    Config,
    /// Claims of non-idempotent requests.
    Claims,
}

impl Stream {
    /// The stream's name in the log service.
    pub fn name(self) -> &'static str {
        match self {
            Stream::Config => "peatdeck-config",
            Stream::Claims => "peatdeck-claims",
        }
    }
}

/// A position in a stream: the offset of one append.
pub type Offset = u64;

/// One append as it is read back.
#[message]
pub struct Entry<R> {
    /// Its offset.
    pub offset: Offset,
    /// When the log took it, in milliseconds of the log's own clock.
    pub time_ms: u64,
    /// What was appended.
    pub record: R,
}

/// What one read of a stream gave.
#[message]
pub struct Batch<R> {
    /// The offset that was asked for. Offsets between it and `next` that have
    /// no entry hold something that is no record of ours.
    pub from: Offset,
    /// The oldest offset that the log still keeps. Larger than the offset
    /// asked for when records have expired unread.
    pub earliest: Offset,
    /// Where the next read starts.
    pub next: Offset,
    /// The log's own clock at the read, in milliseconds.
    pub now_ms: u64,
    /// The records, by rising offset.
    pub entries: Vec<Entry<R>>,
}

impl<R> Batch<R> {
    /// Whether the read shows that a stream ends at `position`. A read that
    /// gave something does not, however far it got: it may be a late copy.
    pub fn shows_end_at(&self, position: Offset) -> bool {
        self.from == position && self.next == position && self.earliest <= position
    }
}

/// A version of the configuration; 0 is the empty document before any publish.
pub type Version = u64;

/// A record of [`Stream::Config`].
#[message]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// An operator's publish; accepted if `base` is the version in force.
    Publish(Publish),
    /// The state as of an earlier offset, appended before that offset expires.
    Snapshot(Snapshot),
    /// An operator's order that an endpoint gets no new work.
    Drain(Drain),
    /// An operator's order that a data centre's endpoints get none, or its end.
    Evacuation(Evacuation),
}

/// An operator's publish.
#[message]
pub struct Publish {
    /// The publish's own id: a repeat of the same publish counts once.
    pub id: Arc<str>,
    /// The version it was made from.
    pub base: Version,
    /// Who published.
    pub author: Arc<str>,
    /// The whole document.
    pub document: Arc<Document>,
}

/// An operator's order that an endpoint gets no new work in this life.
#[message]
pub struct Drain {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The life it holds for.
    pub incarnation: Incarnation,
    /// Who ordered it.
    pub author: Arc<str>,
}

/// An operator's order that the endpoints of a data centre get no new work until it is
/// taken back.
#[message]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether this takes the order back.
    pub is_over: bool,
    /// Who ordered it.
    pub author: Arc<str>,
}

/// A data centre that is evacuated.
#[message]
pub struct Evacuated {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Who ordered it.
    pub author: Arc<str>,
}

/// The folded state of the configuration stream as of one offset.
#[message]
pub struct Snapshot {
    /// Every record up to and including this offset is folded in; `None` before the first.
    pub as_of: Option<Offset>,
    /// The version in force.
    pub version: Version,
    /// The publish that made it.
    pub publish: Option<Arc<str>>,
    /// The document in force.
    pub document: Arc<Document>,
    /// Drains in force.
    pub drains: Vec<Drain>,
    /// Data centres that are evacuated.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated: Vec<Evacuated>,
    /// Who restored this version; `None` where a publish made it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restorer: Option<Arc<str>>,
}

/// A record of [`Stream::Claims`]: what one instance batched into one append.
#[message]
pub struct ClaimBatch {
    /// The instance that appended it.
    pub instance: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
    /// The facts, in order.
    pub facts: Vec<ClaimFact>,
}

/// One fact about a claim.
#[message]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ClaimFact {
    /// The instance wants to run the request.
    Claim {
        /// The request.
        key: RequestId,
        /// This attempt to claim; unique.
        nonce: u64,
        /// Digest of body and pipeline: a reused key with another body shows.
        digest: u64,
    },
    /// The claim's instance has not run it and never will.
    Void {
        /// The request.
        key: RequestId,
        /// The attempt that is given up.
        nonce: u64,
    },
    /// The claim's instance is done with the request.
    Finished {
        /// The request.
        key: RequestId,
        /// The attempt that ran.
        nonce: u64,
        /// Whether it ended in a whole answer.
        answered: bool,
    },
}
