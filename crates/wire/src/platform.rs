//! The platform's log service and instance list.
//!
//! - `POST /v1/streams/{stream}/records` with [`AppendBody`]: 200 with
//!   [`AppendReply`]; 429 over the rate limit, 503 in an outage. Without an
//!   answer, or after an error that may follow the storing of the record, the client
//!   does not know whether the record is in the stream.
//! - `GET /v1/streams/{stream}/records?from=N&max=M&wait_ms=W`: 200 with
//!   [`ReadReply`]. If there is no record at or after `from`, the service waits up
//!   to `wait_ms` for one. If `from` has expired, the reply starts at `earliest`.
//! - `GET /v1/list`: [`peatdeck_core::model::Listing`], which may be some seconds old.
//!
//! Offsets of each stream start at 0 and have no gaps.

use std::sync::Arc;

use peatdeck_macros::message;

/// Body of an append.
#[message]
pub struct AppendBody {
    /// The record, opaque to the service.
    pub data: Arc<str>,
}

/// Reply to a successful append.
#[message]
pub struct AppendReply {
    /// Offset of the record.
    pub offset: u64,
}

/// Reply to a read of a stream.
#[message]
pub struct ReadReply {
    /// The oldest stored offset; equal to `next` if the stream holds no record.
    pub earliest: u64,
    /// The offset after the last record of this reply.
    pub next: u64,
    /// The service's clock, in milliseconds.
    pub now_ms: u64,
    /// The records in ascending order of their offsets.
    pub records: Vec<RecordBody>,
}

/// One stored record.
#[message]
pub struct RecordBody {
    /// Offset of the record.
    pub offset: u64,
    /// When the service stored the record, in milliseconds of its clock.
    pub time_ms: u64,
    /// The data of the record.
    pub data: Arc<str>,
}
