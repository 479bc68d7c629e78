//! The records of the log's streams, and the result of reading a stream.
//!
//! The log gives each append an offset, counted from 0 within its stream, and a time. An append
//! whose acknowledgement is lost may still have taken effect, so a repeated append may be in the
//! stream twice. Whoever processes these records therefore counts a record once by its own id, not
//! by its offset.

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
    /// Configuration: publishes, snapshots, drains and evacuations.
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

/// The position of one append in a stream.
pub type Offset = u64;

/// One append, as read from the stream.
#[message]
pub struct Entry<R> {
    /// Its offset.
    pub offset: Offset,
    /// When the log accepted the append, in milliseconds of the log's own clock.
    pub time_ms: u64,
    /// What was appended.
    pub record: R,
}

/// The result of one read of a stream.
#[message]
pub struct Batch<R> {
    /// The requested offset. Offsets between it and `next` without an entry hold data that is not a
    /// record of this system.
    pub from: Offset,
    /// The oldest offset that the log still keeps. It is larger than the requested offset if
    /// records have expired before they were read.
    pub earliest: Offset,
    /// The offset at which the next read starts.
    pub next: Offset,
    /// The log's own clock at the time of the read, in milliseconds.
    pub now_ms: u64,
    /// The records, in ascending order of offsets.
    pub entries: Vec<Entry<R>>,
}

impl<R> Batch<R> {
    /// Whether the read shows that the stream ends at `position`. A read that returned records does
    /// not, however far it got: it may be a late copy.
    pub fn shows_end_at(&self, position: Offset) -> bool {
        self.from == position && self.next == position && self.earliest <= position
    }
}

/// A version of the configuration; 0 is the empty document before the first publish.
pub type Version = u64;

/// A record of [`Stream::Config`].
#[message]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// A new document from an operator; accepted if `base` is the version in force.
    Publish(Publish),
    /// The state as of an earlier offset, appended before the record after that offset expires.
    Snapshot(Snapshot),
    /// An operator's order that an endpoint gets no new work.
    Drain(Drain),
    /// An operator's order that a data centre's endpoints get no new work, or the end of that
    /// order.
    Evacuation(Evacuation),
}

/// A document that an operator publishes.
#[message]
pub struct Publish {
    /// The id of the publish: a repeat with the same id counts once.
    pub id: Arc<str>,
    /// The version that the document was made from.
    pub base: Version,
    /// The operator who published it.
    pub author: Arc<str>,
    /// The complete document.
    pub document: Arc<Document>,
}

/// An operator's order that an endpoint gets no new work for the rest of an incarnation.
#[message]
pub struct Drain {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The incarnation that is drained.
    pub incarnation: Incarnation,
    /// The operator who gave the order.
    pub author: Arc<str>,
}

/// An operator's order that the endpoints of a data centre get no new work until it is withdrawn.
#[message]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether this withdraws the order.
    pub is_over: bool,
    /// The operator who gave the order.
    pub author: Arc<str>,
}

/// A data centre that is evacuated.
#[message]
pub struct Evacuated {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The operator who gave the order.
    pub author: Arc<str>,
}

/// The state that results from applying the configuration stream up to one offset.
#[message]
pub struct Snapshot {
    /// The state includes every record up to this offset; `None` before the first record.
    pub as_of: Option<Offset>,
    /// The version in force.
    pub version: Version,
    /// The id of the publish that created the version; `None` for version 0.
    pub publish: Option<Arc<str>>,
    /// The document in force.
    pub document: Arc<Document>,
    /// Drains in force, at most one for each endpoint.
    pub drains: Vec<Drain>,
    /// Data centres that are evacuated.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated: Vec<Evacuated>,
    /// The operator who restored this version; `None` if a publish created it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restorer: Option<Arc<str>>,
}

/// A record of [`Stream::Claims`]: the facts that one instance appended together.
#[message]
pub struct ClaimBatch {
    /// The instance that appended it.
    pub instance: InstanceName,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
    /// The facts, in the order in which they arose.
    pub facts: Vec<ClaimFact>,
}

/// One fact about a claim.
#[message]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ClaimFact {
    /// The instance asks to run the request.
    Claim {
        /// The id of the request.
        key: RequestId,
        /// Identifies this attempt to claim.
        nonce: u64,
        /// Digest of the request, which shows if a key is reused for a different one.
        digest: u64,
    },
    /// The instance that claimed has not run the request and never will.
    Void {
        /// The id of the request.
        key: RequestId,
        /// The attempt that is given up.
        nonce: u64,
    },
    /// The instance that claimed has finished the request.
    Finished {
        /// The id of the request.
        key: RequestId,
        /// The attempt that ran.
        nonce: u64,
        /// Whether the request ended in a complete answer.
        answered: bool,
    },
}
