//! Types shared by the relay's modules and its event loop.

mod action;
mod refusal;
mod reply_end;

use std::{sync::Arc, time::Duration};

use peatdeck_macros::{data, id};

use crate::{
    model::{DataCentre, EndpointName, Incarnation, InstanceName, Load, TeamName},
    relay::{
        fingerprint::Fingerprint, paths::Detour, region::RegionName, rollout::Version, terms::Terms,
    },
};

pub use crate::relay::ids::{
    CallKey, EndpointId, EndpointKey, ExchangeKey, Handle, HandoverKey, RunNumber, ServiceName,
};
pub use action::Action;
pub use refusal::Refusal;
pub use reply_end::{BodyEnd, ReplyContent};

/// A part of a prompt. Requests whose prompts begin with the same parts share them.
#[data]
#[derive(Copy)]
pub struct Part {
    /// Identifies its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The tokens that a generation reads and generates.
#[data]
pub struct Prompt {
    /// The parts in order. The last one belongs to this request or session alone.
    pub parts: Vec<Part>,
    /// Tokens of the prompt, all parts together.
    pub input: u32,
    /// The most tokens to generate.
    pub output: u32,
}

impl Prompt {
    /// The parts that other requests may share: all but the last one.
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.shared().iter().map(|part| u64::from(part.tokens)).sum()
    }

    /// Tokens of the part that belongs to this request or session alone.
    pub fn own_tokens(&self) -> u64 {
        u64::from(self.input).saturating_sub(self.shared_tokens())
    }
}

/// The properties of a caller's request that decisions depend on.
#[data]
pub struct Arrival {
    /// The id that the caller gave this attempt. Endpoints echo it.
    pub id: Arc<str>,
    /// The host of the request, without the port.
    pub host: Arc<str>,
    /// The path, without the query.
    pub path: Arc<str>,
    /// The caller's key; `None` if the request has none.
    pub key: Option<Arc<str>>,
    /// How much longer the caller waits; `None` if it did not state it.
    pub deadline: Option<Duration>,
    /// The last event that the caller received of an interrupted stream.
    pub resume: Option<u64>,
    /// The id of the attempt that brought the first event of the stream that this request takes
    /// up; `None` if the caller names none.
    pub first_attempt: Option<Arc<str>>,
    /// The prompt, if the request is for a generation.
    pub prompt: Option<Prompt>,
    /// The number of pieces of each stage, in the order of the route's stages.
    pub pieces: Vec<u16>,
    /// The key of the data from which pieces without inputs are produced.
    pub piece_key: Option<Arc<str>>,
    /// Identifies the work that it asks for, regardless of the team.
    pub content: Fingerprint,
}

/// The properties of a reply's status line and headers that decisions depend on.
#[data]
pub struct ReplyHead {
    /// The HTTP status.
    pub status: u16,
    /// Whether the endpoint states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the endpoint's seal shows that this is its own complete answer.
    pub is_sealed: bool,
    /// The endpoint's load; `None` if the reply does not state it.
    pub load: Option<Load>,
    /// The terms on which the endpoint accepts calls.
    pub terms: Terms,
}

impl ReplyHead {
    /// Whether the endpoint refused the call because it accepts none at present.
    pub fn is_refusal(&self) -> bool {
        self.is_not_run && matches!(self.status, 429 | 503)
    }
}

/// How a call failed without a complete reply.
#[id]
#[derive(Copy)]
pub enum Failure {
    /// No byte was sent.
    Unsent,
    /// The connection closed or timed out after bytes were sent.
    Cut,
    /// The reply is not an answer to this request.
    Foreign,
}

/// A call to an endpoint for an exchange.
#[data]
pub struct Call {
    /// Its key.
    pub key: CallKey,
    /// The exchange that the call is for.
    pub exchange: ExchangeKey,
    /// The endpoint, which must refuse a call addressed to another one.
    pub endpoint: EndpointName,
    /// Where it listens, `ip:port`.
    pub addr: Arc<str>,
    /// The version of its software.
    pub software: Version,
    /// The peer that makes the call for this instance, if it needs one.
    pub via: Option<Detour>,
    /// How much longer the caller waits.
    pub remaining: Duration,
    /// The team that the caller's key belongs to; `None` if there is no such team.
    pub team: Option<TeamName>,
    /// Results of stages that are inputs of the call.
    pub inputs: Vec<Handle>,
    /// The address of the engine from which this one should fetch the parts of the
    /// prompt that it does not hold.
    pub source: Option<Arc<str>>,
    /// The last event that the caller received; the stream resumes after it.
    pub resume: Option<u64>,
    /// The priority at an engine, 0 first; `None` for the engine's default.
    pub rank: Option<u8>,
    /// The number of this attempt, from 1.
    pub attempt: u32,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// The data on which the choice of the endpoint is based.
    pub basis: Basis,
}

/// The data on which the choice of an endpoint is based, for the log.
#[data]
#[derive(Copy, Default)]
pub struct Basis {
    /// The configuration's version.
    pub version: u64,
    /// The estimated number of calls at the endpoint.
    pub calls: u32,
    /// The age of its newest load report; `None` if there was none.
    pub load_age: Option<Duration>,
    /// The estimated number of prompt tokens that the engine has to prefill.
    pub tokens: u64,
    /// Endpoints of the service that accepted new work.
    pub usable: usize,
}

/// One piece of a stage's work.
#[data]
pub struct Piece {
    /// The service that produces its result.
    pub service: ServiceName,
    /// The only region whose endpoints may run it; `None` for any region.
    pub region: Option<RegionName>,
    /// The route of the request; empty if the peer that handed it over did not state it.
    pub route: Arc<str>,
    /// The caller's id of the request.
    pub request: Arc<str>,
    /// The stage's position in its route.
    pub stage: u16,
    /// The piece's number within the stage.
    pub number: u16,
    /// The key of its input data; `None` where the stage follows another.
    pub key: Option<Arc<str>>,
    /// The results that are its inputs; empty where the stage follows no other.
    pub inputs: Vec<Handle>,
    /// Approximate size of its result, in bytes.
    pub bytes: u64,
    /// When the caller stops waiting.
    pub deadline: Duration,
    /// When it should be done for the answer to meet the route's objective.
    pub target: Duration,
    /// The priority of its request, 0 first.
    pub priority: u8,
    /// The data centre where its result will be used; `None` if that is unknown or
    /// irrelevant.
    pub destination: Option<DataCentre>,
    /// How often all stages of its request were repeated from the start.
    pub round: u8,
    /// How many calls that contained it brought no complete result.
    pub tries: u8,
    /// Whether it has run or may have run before.
    pub is_repeat: bool,
    /// Whether other work of its request has been done already.
    pub is_begun: bool,
    /// Whether its request goes on with a stream that has begun.
    pub is_resumed: bool,
    /// Identifies the work that its request asks for.
    pub content: Fingerprint,
    /// Whether it is never batched with pieces of other requests, because a call that
    /// contained it was interrupted and any of its pieces may have crashed the endpoint.
    pub is_isolated: bool,
    /// Whether its inputs are not needed any more once all pieces of its stage have read
    /// them.
    pub is_last_reader: bool,
}

/// Asks a placer which engine should run a prompt.
#[data]
pub struct PlacementRequest {
    /// The service.
    pub service: ServiceName,
    /// The only region whose engines may run the prompt; `None` for any region.
    pub region: Option<RegionName>,
    /// The prompt.
    pub prompt: Prompt,
    /// Bytes of the call's inputs, by data centre.
    pub inputs: Vec<(DataCentre, u64)>,
    /// Engines that must not be chosen.
    pub excluded: Vec<EndpointId>,
}

/// A placer's answer to a [`PlacementRequest`].
#[data]
pub struct Placement {
    /// The chosen engine.
    pub engine: EndpointId,
    /// The address of the engine from which it should fetch parts of the prompt first;
    /// `None` if it should not fetch any.
    pub source: Option<Arc<str>>,
    /// The estimated number of prompt tokens that it has to prefill.
    pub tokens: u64,
    /// The estimated time until it has prefilled the prompts that it received before.
    pub wait: Duration,
    /// The placer's number of the call.
    pub number: RunNumber,
}

/// The progress of a call, reported to the placer that placed it.
#[data]
#[derive(Copy)]
pub struct Progress {
    /// The placer's number of the call.
    pub number: RunNumber,
    /// What the call has reached.
    pub step: Step,
}

/// What a call has reached.
#[data]
#[derive(Copy)]
pub enum Step {
    /// Its reply has begun; with the endpoint's load if the reply states it.
    Answered(Option<Load>),
    /// Its endpoint refused it; with the load if the reply states it. The few
    /// milliseconds that a refusal takes do not count as a response time.
    Refused(Option<Load>),
    /// It has ended.
    Ended,
    /// It has failed.
    Failed(Failure),
}

/// The parts of prompts that an engine reports to hold.
#[data]
pub struct HeldParts {
    /// The engine's incarnation; `None` if it does not state it.
    pub incarnation: Option<Incarnation>,
    /// The parts.
    pub parts: Vec<u64>,
}

/// The result of opening a new connection to an endpoint after calls were interrupted.
#[id]
#[derive(Copy)]
pub enum ProbeResult {
    /// A process listens there.
    There,
    /// The connection was refused: the machine is up and the process has ended.
    Gone,
    /// The attempt timed out: the machine or the network may be down.
    Unknown,
}

/// Another instance, which may batch pieces and place prompts.
#[data]
pub struct Peer {
    /// Its name.
    pub name: InstanceName,
    /// Its CPU share in thousandths of a core; 0 if it did not report it.
    pub millicores: u32,
    /// Its data centre; empty if it did not report it.
    pub data_centre: DataCentre,
}

/// Why a piece has no result.
#[id]
#[derive(Copy)]
pub enum PieceFailure {
    /// Its deadline passed before it was sent.
    Late,
    /// One of its inputs no longer exists.
    InputGone,
    /// The endpoint had no result memory left.
    NoRoom,
    /// It failed, or no endpoint could run it.
    Failed,
}

/// The handle of a piece's result, or why there is none.
pub type PieceResult = Result<Handle, PieceFailure>;
