//! The platform that a relay runs on, as functions.
//!
//! The platform keeps four tables for the relay: the operator's configuration, the
//! directory of endpoints, the instances themselves, and what is held back.
//! Each is a log of keyed records of which the newest counts. A platform
//! adapter fills in [`Surroundings`]; tests fill it in with stand-ins.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use peatdeck_core::relay::{
    directory::Change, operator::OperatorCommand, position::Timeline, table::Record,
};
use peatdeck_macros::{data, id};

use crate::dialect::Dialect;

/// A table that the platform keeps.
#[id]
#[derive(Copy)]
pub enum TableName {
    /// The operators' orders: the configuration, and what is evacuated.
    Config,
    /// The directory of endpoints.
    Endpoints,
    /// The instances of the relay.
    Instances,
    /// Contents that are held back, since they crash what runs them.
    Quarantine,
}

/// All tables, in the order in which instances tell each other of them.
pub const TABLES: [TableName; 4] =
    [TableName::Config, TableName::Endpoints, TableName::Instances, TableName::Quarantine];

impl TableName {
    /// A word for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            TableName::Config => "config",
            TableName::Endpoints => "endpoints",
            TableName::Instances => "instances",
            TableName::Quarantine => "quarantine",
        }
    }
}

/// The newest record of some keys.
#[data]
pub struct Page {
    /// The records.
    pub records: Vec<Record>,
    /// The key to go on behind, if there are more.
    pub more: Option<Arc<str>>,
    /// Where the log ended.
    pub end: u64,
    /// The timeline of the log, if the answer says.
    pub timeline: Option<Timeline>,
}

/// What a read of a table's log brought.
#[data]
pub enum Read {
    /// The records from the asked offset up to `end`.
    Records {
        /// The records.
        records: Vec<Record>,
        /// The offset behind the last of them.
        end: u64,
        /// Whether the log goes on behind it.
        has_more: bool,
        /// The timeline of the log, if the answer says.
        timeline: Option<Timeline>,
    },
    /// The log does not have the asked offset: it is not kept any more, or the log
    /// came back shorter.
    Expired,
}

/// Why the platform's store did not answer.
#[derive(Debug, Clone, thiserror::Error)]
pub enum StoreError {
    /// It cannot be reached, or the answer was lost.
    #[error("the store cannot be reached: {0}; check its address and that it runs")]
    Unreachable(String),
    /// It gave no answer in time.
    #[error("the store gave no answer in time; it is asked again")]
    TimedOut,
    /// It refused.
    #[error("the store refused with status {0}; it is asked again later")]
    Refused(u16),
    /// Its answer cannot be read.
    #[error("the store's answer cannot be read: {0}; check that the adapter fits its version")]
    Malformed(String),
    /// Its answer belongs to an earlier history than one that was seen.
    #[error("the store answered from timeline {told}, and {known} was seen; it is asked again")]
    Outdated {
        /// The answer's timeline.
        told: u64,
        /// The newest that was seen.
        known: u64,
    },
    /// Its log is shorter than it was, and no timeline says why.
    #[error(
        "the store's log ends at {end}, and {read} was read; if it came back from an older copy, \
         it has to name its timeline"
    )]
    Shortened {
        /// Where its log ends.
        end: u64,
        /// Where it ended before.
        read: u64,
    },
}

/// A store call under way. It ends by itself, with an error, when the store
/// says nothing any more.
pub type StoreCall<T> = LocalBoxFuture<'static, Result<T, StoreError>>;

/// Reads the newest records of a table behind a key.
pub type ReadNewest = Rc<dyn Fn(TableName, Option<Arc<str>>) -> StoreCall<Page>>;
/// Reads records of a table from an offset on; waits for so long if there are
/// none.
pub type ReadFrom = Rc<dyn Fn(TableName, u64, Duration) -> StoreCall<Read>>;
/// Writes a record of a table that is the relay's own; without a value the key is
/// removed.
pub type Write = Rc<dyn Fn(TableName, Arc<str>, Option<Bytes>) -> StoreCall<()>>;

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    /// Reads the newest records behind a key.
    pub newest: ReadNewest,
    /// Reads records from an offset on; waits for so long if there are none.
    pub read: ReadFrom,
    /// Writes a record of a table that is the relay's own.
    pub write: Write,
    /// The newest timeline that any answer named, also a refusal.
    pub timeline: Rc<dyn Fn() -> Timeline>,
}

/// The platform that a relay runs on.
#[derive(Clone)]
pub struct Surroundings {
    /// How callers and endpoints are spoken to.
    pub dialect: Dialect,
    /// The store.
    pub store: Store,
    /// Reads a record of the operators' table; `Ok(None)` if it is another matter.
    pub read_act: fn(&Record) -> Result<Option<OperatorCommand>, String>,
    /// Reads a record of the directory.
    pub read_endpoint: fn(&Record) -> Result<Change, String>,
    /// How many log lines were dropped since the start.
    pub lines_dropped: Rc<dyn Fn() -> u64>,
}
