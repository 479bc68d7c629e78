//! Names and small values that all other modules share.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::{id, message};
use serde::{Deserialize, Serialize};

/// The name of a team: one customer that shares the system.
pub type TeamName = Arc<str>;
/// The name of a pipeline, as in the configuration.
pub type PipelineName = Arc<str>;
/// The name of a stage, unique within its pipeline.
pub type StageName = Arc<str>;
/// The name of a pool of endpoints that serve the same stages.
pub type PoolName = Arc<str>;
/// The name of an endpoint, as in the platform's list.
pub type EndpointName = Arc<str>;
/// The version of an endpoint's software, as in the platform's list.
pub type SoftwareVersion = Arc<str>;
/// The name of one of our instances, as in the platform's list.
pub type InstanceName = Arc<str>;
/// The name of a data centre.
pub type DataCentre = Arc<str>;
/// Text that is passed on without being interpreted: a request's input, a stage's output.
pub type Text = Arc<str>;

/// The longest request id that is accepted, in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// The longest deadline that is accepted.
pub const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Identifies a request; a request that is sent again has the same id.
#[id]
#[derive(Serialize, Deserialize)]
pub struct RequestId {
    /// The team that sent it; ids are unique within a team only.
    pub team: TeamName,
    /// The id that the caller has chosen.
    pub id: Arc<str>,
}

/// The number of one run of a process. A restart gives a larger one.
#[id]
#[derive(Copy, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A caller's connection, numbered by the event loop. It gets one answer.
#[id]
#[derive(Copy, Serialize, Deserialize)]
pub struct CallerId(pub u64);

/// A call to an endpoint, numbered by the instance. Numbers are not reused.
#[id]
#[derive(Copy, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// An append to the log, numbered by the instance. Numbers are not reused.
#[id]
#[derive(Copy, Serialize, Deserialize)]
pub struct AppendId(pub u64);

/// A request of a caller, after its format was checked.
#[message]
pub struct Request {
    /// Its id, which stays the same when it is sent again.
    pub id: RequestId,
    /// The pipeline that should answer it.
    pub pipeline: PipelineName,
    /// How long the caller waits, counted from the arrival of the request.
    pub deadline: Duration,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Whether the caller has sent the request before and does not know its outcome.
    pub repeat: bool,
    /// Whether the output should be streamed in pieces.
    pub stream: bool,
    /// The input of the first stage.
    pub input: Text,
}

/// What an endpoint must return in its reply, so that the reply is accepted for the call.
#[message]
pub struct Echo {
    /// The id of the request, including the team.
    pub request: RequestId,
    /// The index of the stage in its pipeline, from 0.
    pub stage: u32,
    /// The number of the attempt at this stage, from 1; hedges and retries have numbers of their
    /// own.
    pub attempt: u32,
}

/// The load that an endpoint reports. Reports lag.
#[message]
#[derive(Copy)]
pub struct Load {
    /// Calls that are running.
    pub running: u32,
    /// Calls that wait in the endpoint's queue.
    pub queued: u32,
    /// Calls that the endpoint can run at the same time.
    pub places: u32,
    /// The age of the report when the endpoint sent it, in milliseconds.
    pub age_ms: u32,
}

/// The outcome of a request. Exactly one is sent to its caller.
#[message]
pub enum Outcome {
    /// Every stage gave a complete reply.
    Answered(Answer),
    /// Nothing of the request ran anywhere.
    NotRun(Refusal),
    /// Something may have run, and the answer is incomplete or unknown.
    MayHaveRun(Uncertainty),
    /// The request itself is wrong; sending it again unchanged cannot help.
    Invalid(Invalid),
}

/// A complete answer.
#[message]
pub struct Answer {
    /// The output of the last stage.
    pub output: Text,
    /// One report for each stage, in order.
    pub stages: Vec<StageReport>,
}

/// How one stage was run.
#[message]
pub struct StageReport {
    /// The stage's name.
    pub stage: StageName,
    /// The endpoint whose reply was used.
    pub endpoint: EndpointName,
    /// The number of attempts, including the one whose reply was used.
    pub attempts: u32,
    /// The time from the stage's start to its complete reply.
    pub took: Duration,
}

/// Why a request was not run.
#[message]
pub struct Refusal {
    /// The reason.
    pub kind: RefusalKind,
    /// How long the caller should wait before it retries.
    pub retry_after: Duration,
}

/// The reasons for not running a request.
#[message]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The estimated time does not fit into the deadline.
    Infeasible,
    /// The team has used up its share while others wait.
    OverShare,
    /// The deadline passed while the request waited for a slot.
    Expired,
    /// A policy refused it.
    Policy,
    /// A pool that the request needs has no usable endpoint.
    NoEndpoint,
    /// It is unknown which configuration is in force.
    NotReady,
    /// The instance is stopping.
    Stopping,
    /// The claim could not be read back in time.
    ClaimUnknown,
    /// Another claim with the key may have expired in the log before this instance read it.
    ClaimHorizon,
}

/// What is unknown about a request that may have run.
#[message]
pub struct Uncertainty {
    /// Why the outcome is unknown.
    pub kind: UncertaintyKind,
    /// The stage whose outcome is unknown; `None` if no particular stage is concerned.
    pub stage: Option<StageName>,
    /// How long the caller should wait before it asks again; `None` if it must not repeat the
    /// request.
    pub retry_after: Option<Duration>,
}

/// Why the outcome of a request that may have run is unknown.
#[message]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum UncertaintyKind {
    /// The deadline passed while a stage ran.
    TimedOut,
    /// A stage failed and may not be retried.
    StageFailed,
    /// Another instance holds the claim and has not finished the request.
    InProgress,
    /// Another instance held the claim; the outcome can't be obtained from it.
    ClaimedElsewhere,
    /// The request has already ended; its answer is not kept here.
    AlreadyFinished,
    /// Nothing of this attempt ran; the outcome of an earlier one cannot be determined at present.
    EarlierUnknown,
}

/// Why a request is invalid in itself.
#[message]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Invalid {
    /// The configuration in force has no such pipeline.
    UnknownPipeline,
    /// The configuration in force has no such team.
    UnknownTeam,
    /// The key was used before with another body or another `idempotent` flag.
    KeyReused,
}

/// Whether an endpoint or an instance serves, according to the platform's list.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// It serves.
    Live,
    /// It is about to stop and gets no new work.
    Leaving,
}

/// One endpoint in the platform's list.
#[message]
pub struct EndpointEntry {
    /// Its name, unique across all pools.
    pub name: EndpointName,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// The address on which it listens, `ip:port`.
    pub addr: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its incarnation, larger after a restart.
    pub incarnation: Incarnation,
    /// Whether it serves or is leaving.
    pub presence: Presence,
    /// The version of its software; empty if the list does not state it.
    #[serde(default)]
    pub software: SoftwareVersion,
}

/// One of our instances in the platform's list.
#[message]
pub struct InstanceEntry {
    /// Its name.
    pub name: InstanceName,
    /// The address for peers, `ip:port`.
    pub peer_addr: Arc<str>,
    /// The address for callers and operators, `ip:port`.
    pub http_addr: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it serves or is leaving.
    pub presence: Presence,
}

/// The platform's list, which lags behind the actual state.
#[message]
#[derive(Default)]
pub struct Listing {
    /// Our own instances.
    pub instances: Vec<InstanceEntry>,
    /// The endpoints of all pools.
    pub endpoints: Vec<EndpointEntry>,
}
