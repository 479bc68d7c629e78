//! Types shared by the relay's modules and its event loop.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::{data, id};

use crate::{
    model::{DataCentre, EndpointName, Incarnation, InstanceName, Load, TeamName},
    relay::{
        fingerprint::Fingerprint,
        quarantine::Crash,
        terms::{Notice, Rate, Terms},
    },
};

/// A group of endpoints that serve the same routes or stages.
pub type ServiceName = Arc<str>;
/// The number that a placer assigns to a call that it placed.
pub type RunNumber = u64;
/// An endpoint's reference to a result that it stores, sent on as it is.
pub type Handle = Arc<str>;

slotmap::new_key_type! {
    /// One request of a caller, from its arrival to its answer.
    pub struct ExchangeKey;
    /// One call to an endpoint.
    pub struct CallKey;
    /// One incarnation of an endpoint.
    pub struct EndpointKey;
    /// Pieces that were handed over to a peer and have not been returned yet.
    pub struct HandoverKey;
}

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
    /// Whether it echoes the request's id, which shows that it answers this request.
    pub has_request_id: bool,
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
    /// Identifies the work that its request asks for.
    pub content: Fingerprint,
    /// Whether it is never batched with pieces of other requests, because a call that
    /// contained it was interrupted and any of its pieces may have crashed the endpoint.
    pub is_isolated: bool,
    /// Whether its inputs are not needed any more once all pieces of its stage have read
    /// them.
    pub is_last_reader: bool,
}

/// Identifies one incarnation of an endpoint in messages between instances.
#[data]
pub struct EndpointId {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The incarnation.
    pub incarnation: Incarnation,
}

/// Asks a placer which engine should run a prompt.
#[data]
pub struct PlacementRequest {
    /// The service.
    pub service: ServiceName,
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

/// Why an exchange ends without an endpoint's answer.
#[id]
#[derive(Copy)]
pub enum Refusal {
    /// The instance has not read the configuration and the quarantined contents yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// The caller's key is unknown or missing.
    UnknownKey,
    /// The request lacks what its route needs.
    Malformed,
    /// Nothing ran and nothing will: no endpoint accepts the request.
    Unserved,
    /// Nothing ran and nothing will: it cannot be done before its deadline.
    Infeasible,
    /// Nothing ran and nothing will: the operators' policy rejects the request.
    Policy,
    /// Nothing ran and nothing will: the content is quarantined because it crashes
    /// endpoints.
    Quarantined,
    /// Nothing ran and nothing will: all endpoints of a service that it needs are in
    /// evacuated data centres.
    Evacuated,
    /// The deadline passed; something may have run.
    TimedOut,
    /// An endpoint failed; something may have run.
    Failed,
}

impl Refusal {
    /// The refusal to send given whether something may have run. A refusal that promises
    /// that nothing ran becomes [`Refusal::Failed`] then.
    pub fn after(self, has_run: bool) -> Refusal {
        match self {
            Refusal::Infeasible
            | Refusal::Unserved
            | Refusal::Policy
            | Refusal::Quarantined
            | Refusal::Evacuated
                if has_run =>
            {
                Refusal::Failed
            }
            other => other,
        }
    }

    /// The HTTP status of the answer to the caller.
    pub fn status(self) -> u16 {
        match self {
            Refusal::NotReady
            | Refusal::Unserved
            | Refusal::Infeasible
            | Refusal::Policy
            | Refusal::Quarantined
            | Refusal::Evacuated => 503,
            Refusal::NoRoute => 404,
            Refusal::UnknownKey => 401,
            Refusal::Malformed => 400,
            Refusal::TimedOut => 504,
            Refusal::Failed => 502,
        }
    }

    /// The name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NotReady => "not_ready",
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::Malformed => "malformed",
            Refusal::Unserved => "unserved",
            Refusal::Infeasible => "infeasible",
            Refusal::Policy => "policy",
            Refusal::Quarantined => "quarantined",
            Refusal::Evacuated => "evacuated",
            Refusal::TimedOut => "timed_out",
            Refusal::Failed => "failed",
        }
    }
}

/// An action that the event loop is to carry out.
#[data]
pub enum Action {
    /// Call an endpoint.
    Send(Call),
    /// Abandon a call and close its connection.
    Cancel(CallKey),
    /// Pass on the call's complete reply.
    Answer {
        /// The exchange.
        exchange: ExchangeKey,
        /// The call.
        call: CallKey,
    },
    /// Pass on the head of the call's stream; its events follow.
    BeginStream {
        /// The exchange.
        exchange: ExchangeKey,
        /// The call.
        call: CallKey,
    },
    /// End a stream that is complete.
    FinishStream(ExchangeKey),
    /// End a stream so that the caller detects that it is incomplete.
    AbortStream(ExchangeKey),
    /// Answer the caller with a refusal.
    Refuse {
        /// The exchange.
        exchange: ExchangeKey,
        /// The reason.
        refusal: Refusal,
        /// When to retry; `None` where a repeat is not known to be safe.
        retry_after: Option<Duration>,
    },
    /// Call an endpoint to run pieces.
    MakePieces {
        /// The call's key.
        call: CallKey,
        /// The endpoint.
        endpoint: EndpointName,
        /// Where it listens.
        addr: Arc<str>,
        /// The pieces.
        pieces: Vec<Piece>,
    },
    /// Free results at an endpoint.
    FreeResults {
        /// Where the endpoint listens.
        addr: Arc<str>,
        /// The results.
        handles: Vec<Handle>,
    },
    /// Ask the peer that batches the service of results to free them.
    FreeViaPeer {
        /// The peer.
        peer: InstanceName,
        /// The results.
        handles: Vec<Handle>,
        /// Whether they are to be freed only once result memory is scarce.
        is_evictable: bool,
    },
    /// Hand pieces over to the peer that batches their service.
    HandOverPieces {
        /// The key of the handover.
        key: HandoverKey,
        /// The peer.
        peer: InstanceName,
        /// The pieces.
        pieces: Vec<Piece>,
    },
    /// Recall pieces that were handed over.
    RecallPieces(HandoverKey),
    /// Close connections to an address: the endpoint there has restarted.
    Disconnect(Arc<str>),
    /// Ask an engine which parts of prompts it holds.
    ListParts {
        /// The engine.
        endpoint: EndpointKey,
        /// Where it listens.
        addr: Arc<str>,
    },
    /// Ask a placer which engine should run an exchange's call.
    RequestPlacement {
        /// The exchange.
        exchange: ExchangeKey,
        /// The peer.
        peer: InstanceName,
        /// The request.
        request: PlacementRequest,
    },
    /// Report the progress of calls to the placer that placed them.
    ReportProgress {
        /// The placer.
        peer: InstanceName,
        /// The progress of each call.
        progress: Vec<Progress>,
        /// Limits that the engines of these calls stated.
        notices: Vec<Notice>,
    },
    /// Open a new connection to find out whether an endpoint whose calls were interrupted
    /// is still running.
    Probe {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Where it listens.
        addr: Arc<str>,
    },
    /// Log and count that an endpoint crashed during these runs.
    EndpointCrashed {
        /// The endpoint's incarnation.
        endpoint: EndpointId,
        /// The runs.
        crashes: Vec<Crash>,
    },
    /// Report crashes to a collector of their contents.
    ReportCrashes {
        /// The peer.
        peer: InstanceName,
        /// The crashes.
        crashes: Vec<Crash>,
    },
    /// Ask all peers whether an endpoint has answered a content since a time.
    QueryAnswered {
        /// The content.
        content: Fingerprint,
        /// The time.
        since: Duration,
    },
    /// Log and count that a content is not quarantined, because an endpoint has answered it
    /// since the first of its crashes.
    SuspicionCleared(Fingerprint),
    /// Log that this instance has quarantined a content, and count such contents.
    Quarantined {
        /// The content.
        content: Fingerprint,
        /// The number of endpoints that crashed while they ran it.
        crashes: u32,
    },
    /// Announce to all peers that a content is quarantined, and write the platform's record
    /// of it.
    AnnounceQuarantine {
        /// The content.
        content: Fingerprint,
        /// The number of endpoints that crashed while they ran it.
        crashes: u32,
    },
    /// Renew the platform's record of a content.
    WriteQuarantine {
        /// The content.
        content: Fingerprint,
        /// The number of endpoints that crashed while they ran it.
        crashes: u32,
    },
    /// Delete the platform's record of a content.
    DeleteQuarantine(Fingerprint),
    /// Log that a content is no longer quarantined, and count those that still are.
    Released(Fingerprint),
    /// Tell a peer that pieces are queued at a service.
    AnnounceQueue {
        /// The peer.
        peer: InstanceName,
        /// The service, whose pieces this instance batches.
        service: ServiceName,
    },
    /// Log and count that an endpoint stated that it is leaving.
    EndpointLeaving {
        /// The endpoint.
        endpoint: EndpointName,
        /// The peer that reported it; `None` if the endpoint itself did.
        source: Option<InstanceName>,
    },
    /// Log and count that the limit that an endpoint states has changed.
    EndpointLimit {
        /// The endpoint.
        endpoint: EndpointName,
        /// The limit; `None` if it states none any more.
        limit: Option<Rate>,
        /// The peer that reported it; `None` if the endpoint itself did.
        source: Option<InstanceName>,
    },
    /// Return the results of a peer's pieces to it.
    ReturnResults {
        /// The number that the event loop assigned to the peer's pieces.
        ticket: u64,
        /// The results, in the order of the pieces.
        results: Vec<PieceResult>,
    },
}
