//! The administration API and the status of entry instances.
//!
//! An entry instance serves `GET /livez`, `GET /readyz` and `GET /v1/status`.
//!
//! The administration API requires a bearer token and serves:
//!
//! - `POST /v1/config/check`: [`CheckBody`] to [`CheckReply`].
//! - `POST /v1/config/publish`: [`PublishBody`] to [`PublishReply`].
//! - `POST /v1/config/restore`: [`RestoreBody`] to [`PublishReply`].
//! - `GET /v1/config`: [`ConfigReply`].
//! - `GET /v1/config/history?from=&limit=`: [`HistoryReply`].
//! - `GET /v1/config/verdict/{id}`: [`VerdictReply`].
//! - `POST /v1/endpoints/{name}/drain`: [`DrainBody`] to [`DrainReply`].
//! - `POST /v1/data-centres/{name}/evacuation`: [`EvacuationBody`] to [`EvacuationReply`].
//! - `GET /v1/status`: [`StatusReply`].
//! - `GET /v1/outcomes?since=`: [`OutcomesReply`].
//!
//! The body of every response with a status other than 200 is an [`ApiError`].

use std::{collections::BTreeMap, sync::Arc};

use peatdeck_core::{
    check::Problem,
    document::Document,
    model::Incarnation,
    record::{Drain, Evacuated, Offset, Version},
};
use peatdeck_macros::message;

/// Status of an entry instance.
#[message]
pub struct EntryStatus {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Incarnation of the instance, larger after each restart.
    pub incarnation: Incarnation,
    /// Data centre of the instance.
    pub data_centre: Arc<str>,
    /// Whether the instance accepts requests.
    pub ready: bool,
    /// Why the instance is not ready, one sentence each; empty when ready.
    pub reasons: Vec<Arc<str>>,
    /// Version of the configuration in force at the instance.
    pub version: Version,
    /// Number of active requests.
    pub running: u32,
    /// Names of the peers that are considered alive.
    pub peers: Vec<Arc<str>>,
    /// Endpoints in the instance's table.
    pub endpoints: Vec<EndpointStatus>,
    /// Counters since the start of the process, by name.
    pub counters: BTreeMap<Arc<str>, u64>,
    /// Outcomes in the requested period, for the error budget burn report.
    pub outcomes: Vec<OutcomeCount>,
}

/// State of one endpoint as seen by an entry instance.
#[message]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Pool of the endpoint.
    pub pool: Arc<str>,
    /// Incarnation of the endpoint, larger after each restart.
    pub incarnation: Incarnation,
    /// `usable`, `leaving` or `ejected`.
    pub state: Arc<str>,
    /// Calls that this instance has in flight to the endpoint.
    pub in_flight: u32,
    /// Maximum number of calls that this instance has in flight to the endpoint.
    pub limit: u32,
}

/// Number of requests of a team and a pipeline that ended with one outcome
/// within one time slot.
#[message]
pub struct OutcomeCount {
    /// Start of the slot, in seconds of Unix time.
    pub slot: u64,
    /// The pipeline; empty if it is not in the configuration or not counted separately.
    pub pipeline: Arc<str>,
    /// The team; empty under the same conditions.
    pub team: Arc<str>,
    /// `answered`, or the code of the error.
    pub outcome: Arc<str>,
    /// The stage that may have run; `None` for other outcomes.
    pub stage: Option<Arc<str>>,
    /// Number of requests.
    pub count: u64,
}

/// Error response of the administration API.
#[message]
pub struct ApiError {
    /// Stable error code.
    pub code: Arc<str>,
    /// What happened.
    pub message: Arc<str>,
    /// What to do about it.
    pub remedy: Arc<str>,
    /// Machine-readable details; `None` for most errors.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<ErrorDetail>,
}

/// Machine-readable details of an error.
#[message]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ErrorDetail {
    /// The document is invalid.
    Invalid {
        /// All problems of the document.
        problems: Vec<Problem>,
    },
    /// Another version was published first.
    Conflict(VersionInForce),
    /// It is unknown whether the record of this publish was appended to the log.
    Unknown {
        /// Id of the publish.
        id: Arc<str>,
    },
}

/// The version that was in force when a publish or a restore was rejected.
#[message]
pub struct VersionInForce {
    /// The version that was in force.
    pub version: Version,
    /// Id of the publish that created it; `None` for the empty document.
    pub publish: Option<Arc<str>>,
    /// Who published it; `None` if the log no longer holds its record.
    pub author: Option<Arc<str>>,
}

/// Validates a document without publishing it.
#[message]
#[serde(deny_unknown_fields)]
pub struct CheckBody {
    /// The document.
    pub document: Document,
}

/// Result of validating a document.
#[message]
pub struct CheckReply {
    /// Whether the document may be published.
    pub valid: bool,
    /// All problems of the document; empty if it is valid.
    pub problems: Vec<Problem>,
}

/// Publishes a document as the next version.
#[message]
#[serde(deny_unknown_fields)]
pub struct PublishBody {
    /// Id of the publish. A request that is retried with the same id takes effect once.
    pub id: Arc<str>,
    /// The version that the document is based on.
    pub base: Version,
    /// Who publishes.
    pub author: Arc<str>,
    /// The complete document.
    pub document: Arc<Document>,
}

/// Restores a document as the version after the last known one, when the log no
/// longer contains the configuration in force.
#[message]
#[serde(deny_unknown_fields)]
pub struct RestoreBody {
    /// Id of the restore. A request that is retried with the same id takes effect once.
    pub id: Arc<str>,
    /// The newest version that was ever in force.
    pub version: Version,
    /// Who restores.
    pub author: Arc<str>,
    /// The complete document.
    pub document: Arc<Document>,
}

/// A publish or a restore that was accepted.
#[message]
pub struct PublishReply {
    /// Id of the publish or restore.
    pub id: Arc<str>,
    /// The version that it created.
    pub version: Version,
    /// Instances that have this version or a later one in force.
    pub in_force: Vec<Arc<str>>,
    /// Listed instances that did not confirm this in time.
    pub missing: Vec<MissingInstance>,
}

/// An instance that did not give the requested information.
#[message]
pub struct MissingInstance {
    /// The instance.
    pub instance: Arc<str>,
    /// Why.
    pub reason: Arc<str>,
}

/// The configuration in force.
#[message]
pub struct ConfigReply {
    /// Version of the configuration.
    pub version: Version,
    /// Id of the publish that created it; `None` for the empty document.
    pub publish: Option<Arc<str>>,
    /// Who published it; `None` if the log no longer holds its record.
    pub author: Option<Arc<str>>,
    /// Whether the log was read for this response. If not, a later version may exist.
    pub confirmed: bool,
    /// The document.
    pub document: Arc<Document>,
    /// Drains in force.
    pub drains: Vec<Drain>,
    /// Evacuated data centres.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated: Vec<Evacuated>,
}

/// One page of the history of the configuration, oldest entry first.
#[message]
pub struct HistoryReply {
    /// Entries of the page.
    pub acts: Vec<HistoryEntry>,
    /// Value of `from` for the next page; `None` on the last page.
    pub next: Option<Offset>,
    /// The oldest offset that the log still holds.
    pub earliest: Offset,
}

/// One operator action in the history of the configuration.
#[message]
pub struct HistoryEntry {
    /// Offset of the first record of the action in the log.
    pub offset: Offset,
    /// When the log stored that record, in milliseconds of the log service's clock.
    pub time_ms: u64,
    /// Who performed the action.
    pub author: Arc<str>,
    /// The action.
    pub what: OperatorAction,
}

/// An operator action.
#[message]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OperatorAction {
    /// Published a document.
    Publish {
        /// Id of the publish.
        id: Arc<str>,
        /// The version that the document was based on.
        base: Version,
        /// Whether the publish was accepted.
        verdict: PublishVerdict,
    },
    /// Restored a document when the log no longer contained the configuration in
    /// force.
    Restore {
        /// Id of the restore.
        id: Arc<str>,
        /// The version that the restore created.
        version: Version,
    },
    /// Drained an endpoint.
    Drain {
        /// The endpoint.
        endpoint: Arc<str>,
        /// The incarnation that the drain applies to.
        incarnation: Incarnation,
    },
    /// Evacuated a data centre, or revoked its evacuation.
    Evacuation {
        /// The data centre.
        data_centre: Arc<str>,
        /// Whether the evacuation was revoked.
        is_over: bool,
    },
}

/// Verdict on a publish.
#[message]
#[derive(Eq)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum PublishVerdict {
    /// The publish created a version.
    Accepted {
        /// The version.
        version: Version,
    },
    /// Another version was published first.
    Conflict {
        /// The version that was in force.
        current: Version,
    },
    /// The log no longer holds the records that decide the verdict.
    Forgotten,
}

/// Verdict on the requested publish.
#[message]
pub struct VerdictReply {
    /// Id of the publish.
    pub id: Arc<str>,
    /// Who published.
    pub author: Arc<str>,
    /// The verdict.
    #[serde(flatten)]
    pub verdict: PublishVerdict,
}

/// Drains an endpoint: its given incarnation gets no new work.
#[message]
#[serde(deny_unknown_fields)]
pub struct DrainBody {
    /// Who orders it.
    pub author: Arc<str>,
    /// The incarnation to drain; the one in the platform's list if not given.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
}

/// A drain that is in force.
#[message]
pub struct DrainReply {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// The incarnation that the drain applies to.
    pub incarnation: Incarnation,
}

/// Evacuates a data centre, or revokes its evacuation.
#[message]
#[serde(deny_unknown_fields)]
pub struct EvacuationBody {
    /// Who orders it.
    pub author: Arc<str>,
    /// Whether this revokes the evacuation.
    #[serde(default)]
    pub is_over: bool,
}

/// Evacuation state of a data centre after the request.
#[message]
pub struct EvacuationReply {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Whether the data centre is evacuated, so that its endpoints get no new work.
    pub is_evacuated: bool,
    /// Number of endpoints of the data centre in the platform's list; `None` if the
    /// list is unavailable.
    pub endpoints: Option<usize>,
}

/// Status of all instances.
#[message]
pub struct StatusReply {
    /// Status of each instance, sorted by name, without outcomes.
    pub entries: Vec<EntryStatus>,
    /// Listed instances that did not answer.
    pub missing: Vec<MissingInstance>,
}

/// Outcomes of all instances.
#[message]
pub struct OutcomesReply {
    /// Sums of the counts of the instances that answered.
    pub outcomes: Vec<OutcomeCount>,
    /// Instances that answered.
    pub instances: Vec<Arc<str>>,
    /// Listed instances that did not answer.
    pub missing: Vec<MissingInstance>,
}
