//! The interface to the platform that a relay runs on.
//!
//! The platform keeps five tables for the relay: the operators' commands, the directory
//! of endpoints, the instances of the relay, the quarantined contents, and the states of
//! rollouts.
//! Each is a log of keyed records; the newest record of a key is in force. A platform
//! adapter provides a [`Platform`]; tests provide one with stand-ins.
//!
//! Besides it keeps a list of the versions of services and a log of the streams that they began
//! ([`OriginStore`]), which are read only when they are needed.

use std::{
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use peatdeck_core::relay::{
    directory::Change, model::ServiceName, operator::OperatorCommand, position::Timeline,
    registry::Versions, rollout::RolloutRecord, table::Record,
};
use peatdeck_macros::{data, id};

use crate::dialect::Dialect;

/// A table that the platform keeps.
#[id]
#[derive(Copy)]
pub enum TableName {
    /// The operators' commands: the configuration, the evacuated data centres and the
    /// ordered rollouts.
    Config,
    /// The directory of endpoints.
    Endpoints,
    /// The instances of the relay.
    Instances,
    /// Quarantined contents: those that crash the endpoints that run them.
    Quarantine,
    /// The states of rollouts. Read only while a rollout is ordered.
    Rollouts,
}

/// All tables, in the order in which they stand in messages between instances. Builds
/// without rollouts send and accept the first four.
pub const TABLES: [TableName; 5] = [
    TableName::Config,
    TableName::Endpoints,
    TableName::Instances,
    TableName::Quarantine,
    TableName::Rollouts,
];

impl TableName {
    /// The table's name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            TableName::Config => "config",
            TableName::Endpoints => "endpoints",
            TableName::Instances => "instances",
            TableName::Quarantine => "quarantine",
            TableName::Rollouts => "rollouts",
        }
    }
}

/// A page of a listing: the newest records of some keys.
#[data]
pub struct Page {
    /// One record for each key.
    pub records: Vec<Record>,
    /// The key after which the next page starts; `None` on the last page.
    pub next_after: Option<Arc<str>>,
    /// Offset at which the log ended.
    pub end: u64,
    /// The timeline of the log, if the store states it.
    pub timeline: Option<Timeline>,
}

/// Result of reading a table's log from an offset.
#[data]
pub enum Read {
    /// The records from the requested offset up to `end`.
    Records {
        /// Records in the order of the log.
        records: Vec<Record>,
        /// The offset after the last of them.
        end: u64,
        /// Whether the log has records after `end`.
        has_more: bool,
        /// The timeline of the log, if the store states it.
        timeline: Option<Timeline>,
    },
    /// The log does not have the requested offset: its record has expired, or the log
    /// was restored from an older copy and is shorter.
    Expired,
}

/// A failed call to the platform's store.
#[derive(Debug, Clone, thiserror::Error)]
pub enum StoreError {
    /// The store cannot be reached, or its answer was lost.
    #[error("the store cannot be reached: {0}; check its address and that it runs")]
    Unreachable(String),
    /// The store did not answer in time.
    #[error("the store did not answer in time; the call will be retried")]
    TimedOut,
    /// The store refused the call with this HTTP status.
    #[error("the store refused with status {0}; the call will be retried later")]
    Refused(u16),
    /// The log did not end where a conditional write required it; nothing was written.
    #[error("the log no longer ends at {0}; it is read again before the next write")]
    Advanced(u64),
    /// The store's answer cannot be parsed.
    #[error("the store's answer cannot be read: {0}; check that the adapter fits its version")]
    Malformed(String),
    /// The answer belongs to an earlier timeline than the newest one seen.
    #[error(
        "the store answered from timeline {timeline}, but {newest} is the newest seen; the call \
         will be retried"
    )]
    Outdated {
        /// The answer's timeline.
        timeline: u64,
        /// The newest timeline that any answer named.
        newest: u64,
    },
    /// The log is shorter than before within the same timeline.
    #[error(
        "the store's log ends at {end}, but it was read up to {read}; if the store was restored \
         from an older copy, it has to name a new timeline"
    )]
    Shortened {
        /// Offset at which the log ends.
        end: u64,
        /// Offset up to which it was read before.
        read: u64,
    },
}

/// A call to the store in flight. It fails by itself if the store stops sending.
pub type StoreCall<T> = LocalBoxFuture<'static, Result<T, StoreError>>;

/// Reads one page of the newest records of a table, after a key if one is given.
pub type ReadNewest = Rc<dyn Fn(TableName, Option<Arc<str>>) -> StoreCall<Page>>;
/// Reads records of a table from an offset on; if there are none, waits for up to the
/// given time.
pub type ReadFrom = Rc<dyn Fn(TableName, u64, Duration) -> StoreCall<Read>>;
/// Writes a record of one of the relay's own tables; without a value it removes the key.
pub type Write = Rc<dyn Fn(TableName, Arc<str>, Option<Bytes>) -> StoreCall<()>>;
/// Writes a record on the condition that the table's log ends at this offset.
pub type WriteAt = Rc<dyn Fn(TableName, Arc<str>, Option<Bytes>, u64) -> StoreCall<()>>;

/// The versions that the platform's store lists.
#[data]
pub struct VersionList {
    /// The versions of each service.
    pub services: HashMap<ServiceName, Versions>,
    /// Offset at which the list's log ended.
    pub end: u64,
}

/// Result of reading the log of streams from an offset.
#[data]
pub enum LogRead {
    /// The records from the requested offset up to `end`.
    Records {
        /// The records.
        records: Vec<Bytes>,
        /// The offset after the last of them.
        end: u64,
        /// Whether the log has records after `end`.
        has_more: bool,
    },
    /// The log does not have the requested offset; it begins at this one.
    Expired(u64),
}

/// Reads the list of versions.
pub type ReadVersions = Rc<dyn Fn() -> StoreCall<VersionList>>;
/// Writes the versions of a service on the condition that the list's log ends at this offset.
pub type WriteVersions = Rc<dyn Fn(ServiceName, Versions, u64) -> StoreCall<()>>;
/// Appends a record to the log of streams.
pub type AppendStreams = Rc<dyn Fn(Bytes) -> StoreCall<()>>;
/// Reads the log of streams from an offset on.
pub type ReadStreams = Rc<dyn Fn(u64) -> StoreCall<LogRead>>;

/// What the platform's store keeps of versions and of the streams that they began.
#[derive(Clone)]
pub struct OriginStore {
    /// Reads the list of versions.
    pub read_versions: ReadVersions,
    /// Writes to the list; fails with [`StoreError::Advanced`] if the condition does not hold.
    pub write_versions: WriteVersions,
    /// Appends to the log of streams, whose records expire after a time that the store sets.
    pub append_streams: AppendStreams,
    /// Reads the log of streams.
    pub read_streams: ReadStreams,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    /// Lists the newest records of a table, page by page.
    pub newest: ReadNewest,
    /// Reads a table's log from an offset on.
    pub read: ReadFrom,
    /// Writes to one of the relay's own tables.
    pub write: Write,
    /// Writes on a condition; fails with [`StoreError::Advanced`] if that does not hold.
    pub write_at: WriteAt,
    /// Versions, and the streams that they began.
    pub origins: OriginStore,
    /// The newest timeline that any answer named, refusals included.
    pub timeline: Rc<dyn Fn() -> Timeline>,
}

/// The state of a rollout, as its record in the platform's store holds it. The record
/// states when the order was first seen; its age is computed from that.
#[data]
pub struct RolloutStatus {
    /// The state, whose age is only valid once the event loop has set it.
    pub record: RolloutRecord,
    /// When the order was first seen, by the clock of the instance that wrote the record.
    pub begun: SystemTime,
}

/// A record of the table of rollouts: the service, and its state unless it was removed.
pub type RolloutEntry = (ServiceName, Option<RolloutStatus>);

/// An operators' record that cannot be used.
#[data]
pub struct CommandError {
    /// The field that is wrong, and the remedy.
    pub message: String,
    /// The command that takes the place of the record's, so that the one before it does
    /// not stay in force.
    pub replacement: Option<Box<OperatorCommand>>,
}

impl From<String> for CommandError {
    fn from(message: String) -> CommandError {
        CommandError { message, replacement: None }
    }
}

/// Parses a record of the endpoints' table.
pub type ReadEndpoint = Rc<dyn Fn(&Record) -> Result<Change, String>>;

/// The platform that a relay runs on.
#[derive(Clone)]
pub struct Platform {
    /// Headers and bodies exchanged with callers and endpoints.
    pub dialect: Dialect,
    /// Client of the platform's store.
    pub store: Store,
    /// Parses a record of the operators' table; `Ok(None)` if it does not concern the relay.
    pub read_command: fn(&Record) -> Result<Option<OperatorCommand>, CommandError>,
    /// Parses a record of the endpoints' table.
    pub read_endpoint: ReadEndpoint,
    /// Parses a record of the table of rollouts; `Ok(None)` if it does not concern the relay.
    pub read_rollout: fn(&Record) -> Result<Option<RolloutEntry>, String>,
    /// The key and the value of the record for a rollout's state.
    pub encode_rollout: fn(&RolloutStatus) -> (Arc<str>, Bytes),
    /// Number of log lines dropped since the start.
    pub dropped_lines: Rc<dyn Fn() -> u64>,
}
