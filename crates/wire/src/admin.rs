//! The administration API, and the status that an entry gives.
//!
//! An entry serves `GET /livez`, `GET /readyz` and `GET /v1/status`.

use std::{collections::BTreeMap, sync::Arc};

use peatdeck_core::{model::Incarnation, record::Version};
use peatdeck_macros::message;

/// An entry's status.
#[message]
pub struct EntryStatus {
    /// Its name.
    pub instance: Arc<str>,
    /// Its life.
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
    /// Its life.
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
}
