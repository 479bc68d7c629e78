//! The platform's log service and list.
//!
//! - `POST /v1/streams/{stream}/records` with [`AppendBody`]: 200 with
//!   [`AppendReply`]; 429 over the rate, 503 in an outage. No answer, or an
//!   error after the effect, leaves open whether the record stands.
//! - `GET /v1/streams/{stream}/records?from=N&max=M&wait_ms=W`: 200 with
//!   [`ReadReply`], after at most `wait_ms` when there is nothing from `from` on.
//!   A `from` that has expired gives the records from `earliest` on.
//! - `GET /v1/list`: [`peatdeck_core::model::Listing`], as of some seconds ago.
//!
//! Offsets count from 0 in each stream and have no gaps.

use std::sync::Arc;

use peatdeck_macros::message;

/// One record to append.
#[message]
pub struct AppendBody {
    /// The record, opaque to the service.
    pub data: Arc<str>,
}

/// Where an append stands.
#[message]
pub struct AppendReply {
    /// Its offset.
    pub offset: u64,
}

/// Records of a stream.
#[message]
pub struct ReadReply {
    /// The oldest offset kept; equal to `next` where none is.
    pub earliest: u64,
    /// The offset behind the last record of this reply.
    pub next: u64,
    /// The service's clock, in milliseconds.
    pub now_ms: u64,
    /// The records, by rising offset.
    pub records: Vec<RecordBody>,
}

/// One record as it stands.
#[message]
pub struct RecordBody {
    /// Its offset.
    pub offset: u64,
    /// When the service took it, by its clock, in milliseconds.
    pub time_ms: u64,
    /// The record.
    pub data: Arc<str>,
}
