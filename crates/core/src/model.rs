//! Names and small values that every other module shares.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::{id, message};
use serde::{Deserialize, Serialize};

/// A team: one customer that shares the system.
pub type TeamName = Arc<str>;
/// A pipeline, as the configuration names it.
pub type PipelineName = Arc<str>;
/// A stage within its pipeline.
pub type StageName = Arc<str>;
/// A pool of endpoints that serve the same stages.
pub type PoolName = Arc<str>;
/// One endpoint, as the platform's list names it.
pub type EndpointName = Arc<str>;
/// One instance of ours, as the platform's list names it.
pub type InstanceName = Arc<str>;
/// A data centre.
pub type DataCentre = Arc<str>;
/// Text that is passed on unread: a request's input, a stage's output.
pub type Text = Arc<str>;

/// The longest request id that is accepted, in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// The longest deadline that is accepted.
pub const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// What makes a request the same request when it is sent again.
#[id]
#[derive(Serialize, Deserialize)]
pub struct RequestId {
    /// The team that sent it; ids are unique within a team only.
    pub team: TeamName,
    /// The caller's own id.
    pub id: Arc<str>,
}

/// One life of a process: a restart gives a larger number.
#[id]
#[derive(Copy, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A caller's connection, numbered by the event loop. One answer each.
#[id]
#[derive(Copy, Serialize, Deserialize)]
pub struct CallerId(pub u64);

/// One call to an endpoint, numbered by the instance. Never used twice.
#[id]
#[derive(Copy, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// One append to the log, numbered by the instance. Never used twice.
#[id]
#[derive(Copy, Serialize, Deserialize)]
pub struct AppendId(pub u64);

/// A request as a caller states it, already checked for form.
#[message]
pub struct Request {
    /// Its identity.
    pub id: RequestId,
    /// The pipeline that should answer it.
    pub pipeline: PipelineName,
    /// How long the caller waits, from the moment of arrival.
    pub deadline: Duration,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether the caller sent it before and does not know what became of it.
    pub repeat: bool,
    /// Whether the answer's text is wanted piece by piece.
    pub stream: bool,
    /// The first stage's input.
    pub input: Text,
}

/// What an endpoint must send back so that a reply is taken for its call.
#[message]
pub struct Echo {
    /// The request, with its team.
    pub request: RequestId,
    /// The stage's position in its pipeline, from 0.
    pub stage: u32,
    /// The attempt at this stage, from 1, unique over hedges and retries.
    pub attempt: u32,
}

/// How busy an endpoint says it is. Reports lag.
#[message]
#[derive(Copy)]
pub struct Load {
    /// Calls being worked on.
    pub running: u32,
    /// Calls waiting inside the endpoint.
    pub queued: u32,
    /// Calls that it can work on at once.
    pub places: u32,
    /// How old the report was when the endpoint sent it, in milliseconds.
    pub age_ms: u32,
}

/// How a request ended. Exactly one of these is sent to its caller.
#[message]
pub enum Outcome {
    /// Every stage gave a whole answer.
    Answered(Answer),
    /// Nothing of the request ran anywhere.
    NotRun(Refusal),
    /// Something may have run, and the answer is not whole or not known.
    MayHaveRun(Uncertainty),
    /// The request itself is wrong; sending it again unchanged cannot help.
    Invalid(Invalid),
}

/// A whole answer.
#[message]
pub struct Answer {
    /// The last stage's output.
    pub output: Text,
    /// A line for each stage, in order.
    pub stages: Vec<StageReport>,
}

/// What one stage took.
#[message]
pub struct StageReport {
    /// The stage's name.
    pub stage: StageName,
    /// The endpoint whose reply was taken.
    pub endpoint: EndpointName,
    /// Attempts made, the one taken included.
    pub attempts: u32,
    /// From the stage's start to its whole reply.
    pub took: Duration,
}

/// Why a request was not run.
#[message]
pub struct Refusal {
    /// The kind of reason.
    pub kind: RefusalKind,
    /// When to come back.
    pub retry_after: Duration,
}

/// The kinds of reason for not running a request.
#[message]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The estimate does not fit the deadline.
    Infeasible,
    /// The team is over its share while others wait.
    OverShare,
    /// The deadline passed while the request waited for a place.
    Expired,
    /// A policy refused it.
    Policy,
    /// No endpoint of a pool it needs is usable.
    NoEndpoint,
    /// The instance cannot know which configuration is in force.
    NotReady,
    /// The instance is stopping.
    Stopping,
    /// The claim could not be read back in time.
    ClaimUnknown,
    /// A claim for the key could have been forgotten by the log.
    ClaimHorizon,
}

/// What is not known of a request that may have run.
#[message]
pub struct Uncertainty {
    /// The kind of doubt.
    pub kind: UncertaintyKind,
    /// The stage whose outcome is unknown, where one is.
    pub stage: Option<StageName>,
    /// When asking again is safe and useful; `None` where a repeat must not be sent.
    pub retry_after: Option<Duration>,
}

/// The kinds of doubt.
#[message]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum UncertaintyKind {
    /// The deadline passed while a stage ran.
    TimedOut,
    /// A stage failed and may not be tried again.
    StageFailed,
    /// Another instance holds the claim and has not finished.
    InProgress,
    /// Another instance held the claim; its outcome is not to be had.
    ClaimedElsewhere,
    /// The request already ran to its end; its answer is not kept here.
    AlreadyFinished,
    /// Nothing of this attempt ran; what became of an earlier one cannot be
    /// known now.
    EarlierUnknown,
}

/// Why a request is wrong in itself.
#[message]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Invalid {
    /// The configuration in force has no such pipeline.
    UnknownPipeline,
    /// The configuration in force has no such team.
    UnknownTeam,
    /// The key was used before with another body or another idempotence mark.
    KeyReused,
}

/// Where an endpoint or an instance is in its life, as the platform's list says.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// It serves.
    Live,
    /// It is going away: no new work.
    Leaving,
}

/// One endpoint in the platform's list.
#[message]
pub struct EndpointEntry {
    /// Its name, unique over all pools.
    pub name: EndpointName,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// Where it listens, `ip:port`.
    pub addr: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its life; larger after a restart.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub presence: Presence,
}

/// One instance of ours in the platform's list.
#[message]
pub struct InstanceEntry {
    /// Its name.
    pub name: InstanceName,
    /// Where its peers reach it, `ip:port`.
    pub peer_addr: Arc<str>,
    /// Where callers and operators reach it, `ip:port`.
    pub http_addr: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it is leaving.
    pub presence: Presence,
}

/// The platform's list, which lags behind the truth.
#[message]
#[derive(Default)]
pub struct Listing {
    /// Instances of ours.
    pub instances: Vec<InstanceEntry>,
    /// Endpoints of every pool.
    pub endpoints: Vec<EndpointEntry>,
}
