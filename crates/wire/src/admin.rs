//! The administration API, and the status that an entry gives.
//!
//! An entry serves `GET /livez`, `GET /readyz` and `GET /v1/status`.
//!
//! The administration API serves, with a bearer token:
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
//! Every other status than 200 comes with an [`ApiError`].

use std::{collections::BTreeMap, sync::Arc};

use peatdeck_core::{
    check::Problem,
    document::Document,
    model::Incarnation,
    record::{Drain, Evacuated, Offset, Version},
};
use peatdeck_macros::message;

/// An entry's status.
#[message]
pub struct EntryStatus {
    /// Its name.
    pub instance: Arc<str>,
    /// Its incarnation, larger after each start.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it takes requests.
    pub ready: bool,
    /// Why not, one sentence each; empty when ready.
    pub reasons: Vec<Arc<str>>,
    /// The configuration version in force.
    pub version: Version,
    /// Requests held now.
    pub running: u32,
    /// Peers believed alive.
    pub peers: Vec<Arc<str>>,
    /// Endpoints, with what is known of them.
    pub endpoints: Vec<EndpointStatus>,
    /// Counters since the start, by name.
    pub counters: BTreeMap<Arc<str>, u64>,
    /// Outcomes since the start, for the report on service-level burn.
    pub outcomes: Vec<OutcomeCount>,
}

/// What an entry knows of one endpoint.
#[message]
pub struct EndpointStatus {
    /// Its name.
    pub endpoint: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// Its incarnation, larger after each start.
    pub incarnation: Incarnation,
    /// `usable`, `leaving` or `ejected`.
    pub state: Arc<str>,
    /// Calls that this entry has in flight there.
    pub in_flight: u32,
    /// Calls that this entry lets run there at once.
    pub limit: u32,
}

/// How many requests of a team and a pipeline ended in one way within one
/// slot of time.
#[message]
pub struct OutcomeCount {
    /// Start of the slot, in seconds of Unix time.
    pub slot: u64,
    /// The pipeline.
    pub pipeline: Arc<str>,
    /// The team.
    pub team: Arc<str>,
    /// `answered`, or the code of the refusal or doubt.
    pub outcome: Arc<str>,
    /// The stage it ended in, where one is to blame.
    pub stage: Option<Arc<str>>,
    /// How many.
    pub count: u64,
}

/// Any error of the administration API.
#[message]
pub struct ApiError {
    /// A stable code.
    pub code: Arc<str>,
    /// What happened.
    pub message: Arc<str>,
    /// What to do about it.
    pub remedy: Arc<str>,
    /// What a program may want to know besides, where there is more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<ErrorDetail>,
}

/// What belongs to an error beyond its text.
#[message]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ErrorDetail {
    /// The document is not valid.
    Invalid {
        /// Everything that is wrong with it.
        problems: Vec<Problem>,
    },
    /// Another publish came first.
    Conflict(VersionInForce),
    /// The record of this id may stand in the log.
    Unknown {
        /// The publish's id.
        id: Arc<str>,
    },
}

/// The version that a conflicting publish met.
#[message]
pub struct VersionInForce {
    /// The version that was in force.
    pub version: Version,
    /// The publish that made it; `None` for the empty document.
    pub publish: Option<Arc<str>>,
    /// Who published it; `None` where the log no longer keeps the record.
    pub author: Option<Arc<str>>,
}

/// Asks whether a document is valid. Nothing is published.
#[message]
#[serde(deny_unknown_fields)]
pub struct CheckBody {
    /// The document.
    pub document: Document,
}

/// What is wrong with a document.
#[message]
pub struct CheckReply {
    /// Whether it may be published.
    pub valid: bool,
    /// Everything that is wrong with it; empty if it is valid.
    pub problems: Vec<Problem>,
}

/// Publishes a document as the next version.
#[message]
#[serde(deny_unknown_fields)]
pub struct PublishBody {
    /// The publish's own id: sending it again counts once.
    pub id: Arc<str>,
    /// The version that the document was made from.
    pub base: Version,
    /// Who publishes.
    pub author: Arc<str>,
    /// The whole document.
    pub document: Arc<Document>,
}

/// Restores a document as the version behind the last one known, where the
/// log no longer tells what is in force.
#[message]
#[serde(deny_unknown_fields)]
pub struct RestoreBody {
    /// The restore's own id: sending it again counts once.
    pub id: Arc<str>,
    /// The newest version that was ever in force.
    pub version: Version,
    /// Who restores.
    pub author: Arc<str>,
    /// The whole document.
    pub document: Arc<Document>,
}

/// A publish or a restore that was accepted.
#[message]
pub struct PublishReply {
    /// Its id.
    pub id: Arc<str>,
    /// The version that it made.
    pub version: Version,
    /// Instances that have this version or a later one in force.
    pub in_force: Vec<Arc<str>>,
    /// Listed instances that did not say so in time.
    pub missing: Vec<MissingInstance>,
}

/// An instance that did not say what was asked of it.
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
    /// Its version.
    pub version: Version,
    /// The publish that made it; `None` for the empty document.
    pub publish: Option<Arc<str>>,
    /// Who published it; `None` where the log no longer keeps the record.
    pub author: Option<Arc<str>>,
    /// Whether the log was read just now. If not, a later version may exist.
    pub confirmed: bool,
    /// The document.
    pub document: Arc<Document>,
    /// Drains in force.
    pub drains: Vec<Drain>,
    /// Data centres that are evacuated.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated: Vec<Evacuated>,
}

/// One page of what was done to the configuration, oldest first.
#[message]
pub struct HistoryReply {
    /// The acts.
    pub acts: Vec<HistoryEntry>,
    /// `from` of the next page; `None` on the last one.
    pub next: Option<Offset>,
    /// The oldest offset that the log still kept.
    pub earliest: Offset,
}

/// One thing that an operator did to the configuration.
#[message]
pub struct HistoryEntry {
    /// Where its first record stands in the log.
    pub offset: Offset,
    /// When the log took it, in milliseconds of the log's own clock.
    pub time_ms: u64,
    /// Who did it.
    pub author: Arc<str>,
    /// What was done.
    pub what: OperatorAction,
}

/// What an operator did.
#[message]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OperatorAction {
    /// Published a document.
    Publish {
        /// The publish.
        id: Arc<str>,
        /// The version that it was based on.
        base: Version,
        /// What became of it.
        verdict: PublishVerdict,
    },
    /// Restored a document when the log no longer told what is in force.
    Restore {
        /// The restore.
        id: Arc<str>,
        /// The version that it made.
        version: Version,
    },
    /// Drained an endpoint.
    Drain {
        /// The endpoint.
        endpoint: Arc<str>,
        /// The incarnation it holds for.
        incarnation: Incarnation,
    },
    /// Evacuated a data centre, or took that back.
    Evacuation {
        /// The data centre.
        data_centre: Arc<str>,
        /// Whether it was taken back.
        is_over: bool,
    },
}

/// What became of a publish.
#[message]
#[derive(Eq)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum PublishVerdict {
    /// It made a version.
    Accepted {
        /// The version.
        version: Version,
    },
    /// Another publish came first.
    Conflict {
        /// The version that was in force.
        current: Version,
    },
    /// The log no longer keeps enough to tell.
    Forgotten,
}

/// What became of the publish that was asked for.
#[message]
pub struct VerdictReply {
    /// The publish.
    pub id: Arc<str>,
    /// Who published.
    pub author: Arc<str>,
    /// What became of it.
    #[serde(flatten)]
    pub verdict: PublishVerdict,
}

/// Drains an endpoint: it gets no new work in this incarnation.
#[message]
#[serde(deny_unknown_fields)]
pub struct DrainBody {
    /// Who orders it.
    pub author: Arc<str>,
    /// The incarnation it holds for; the one in the platform's list if not given.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
}

/// A drain that is in force.
#[message]
pub struct DrainReply {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// The incarnation it holds for.
    pub incarnation: Incarnation,
}

/// Evacuates a data centre, or takes that back.
#[message]
#[serde(deny_unknown_fields)]
pub struct EvacuationBody {
    /// Who orders it.
    pub author: Arc<str>,
    /// Whether this takes the order back.
    #[serde(default)]
    pub is_over: bool,
}

/// What holds for a data centre now.
#[message]
pub struct EvacuationReply {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Whether its endpoints get no new work.
    pub is_evacuated: bool,
    /// Endpoints there, as the platform's list has them; `None` where it is out.
    pub endpoints: Option<usize>,
}

/// The status of all instances.
#[message]
pub struct StatusReply {
    /// What the instances say, by name; without outcomes.
    pub entries: Vec<EntryStatus>,
    /// Listed instances that did not answer.
    pub missing: Vec<MissingInstance>,
}

/// Outcomes of all instances together.
#[message]
pub struct OutcomesReply {
    /// Counts of the instances that answered, added up.
    pub outcomes: Vec<OutcomeCount>,
    /// Instances that answered.
    pub instances: Vec<Arc<str>>,
    /// Listed instances that did not answer.
    pub missing: Vec<MissingInstance>,
}
