//! Values that the relay's modules and its event loop share.

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
/// A placer's number of a call that it placed.
pub type RunNumber = u64;
/// Where a result lies, as its endpoint names it.
pub type Handle = Arc<str>;

slotmap::new_key_type! {
    /// One request of a caller, from its arrival to its answer.
    pub struct ExchangeKey;
    /// One call to an endpoint.
    pub struct CallKey;
    /// One life of an endpoint.
    pub struct EndpointKey;
    /// Pieces that were handed to a peer and are not back yet.
    pub struct HandoverKey;
}

/// A part of a prompt; requests that begin with the same parts share them.
#[data]
#[derive(Copy)]
pub struct Part {
    /// Its identity.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a generation asks of an engine.
#[data]
pub struct Prompt {
    /// The parts in order. The last one belongs to this request or session.
    pub parts: Vec<Part>,
    /// Tokens to read, all parts together.
    pub input: u32,
    /// Tokens to generate at the most.
    pub output: u32,
}

impl Prompt {
    /// The parts that other requests may have too: all but the last one.
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

/// A caller's request, as far as decisions need it.
#[data]
pub struct Arrival {
    /// The caller's id of this attempt. Endpoints echo it.
    pub id: Arc<str>,
    /// The host that the caller named, without a port.
    pub host: Arc<str>,
    /// The path, without a query.
    pub path: Arc<str>,
    /// The caller's key, if it gave one.
    pub key: Option<Arc<str>>,
    /// How long the caller still waits.
    pub deadline: Option<Duration>,
    /// The last event that the caller holds of a stream that was cut.
    pub resume: Option<u64>,
    /// The generation, if this asks for one.
    pub prompt: Option<Prompt>,
    /// Pieces of each stage of the route, in the route's order.
    pub pieces: Vec<u16>,
    /// What pieces without inputs are made from.
    pub piece_key: Option<Arc<str>>,
    /// What it asks for, whoever sends it.
    pub content: Fingerprint,
}

/// The first line and headers of an endpoint's reply, as far as decisions
/// need them.
#[data]
pub struct ReplyHead {
    /// The status.
    pub status: u16,
    /// Whether it echoes the request's id.
    pub has_request_id: bool,
    /// Whether the endpoint states that it did not run the request.
    pub is_not_run: bool,
    /// Whether it is the endpoint's own whole answer, by the endpoint's seal.
    pub is_sealed: bool,
    /// How busy the endpoint is.
    pub load: Option<Load>,
    /// On which terms the endpoint takes calls.
    pub terms: Terms,
}

impl ReplyHead {
    /// Whether the endpoint takes no call just now.
    pub fn is_refusal(&self) -> bool {
        self.is_not_run && matches!(self.status, 429 | 503)
    }
}

/// How a call failed without a whole reply.
#[id]
#[derive(Copy)]
pub enum Failure {
    /// Not a byte was sent.
    Unsent,
    /// The connection ended or went silent after bytes were sent.
    Cut,
    /// What came back is not an answer to this request.
    Foreign,
}

/// A call to an endpoint that an exchange needs.
#[data]
pub struct Call {
    /// Its key.
    pub key: CallKey,
    /// The exchange that it is for.
    pub exchange: ExchangeKey,
    /// The endpoint, which must refuse a call meant for another.
    pub endpoint: EndpointName,
    /// Where it listens, `ip:port`.
    pub addr: Arc<str>,
    /// How long the caller still waits.
    pub remaining: Duration,
    /// The team that the caller's key belongs to.
    pub team: Option<TeamName>,
    /// Results of the stages that the call takes in.
    pub inputs: Vec<Handle>,
    /// Address of the engine that this one should fetch from what it lacks of
    /// the prompt.
    pub source: Option<Arc<str>>,
    /// The last event that the caller holds; the stream goes on behind it.
    pub resume: Option<u64>,
    /// Urgency at an engine, 0 first; `None` for the engine's default.
    pub rank: Option<u8>,
    /// Which attempt this is, from 1.
    pub attempt: u32,
    /// What the choice of the endpoint went by.
    pub basis: Basis,
}

/// What the choice of an endpoint went by.
#[data]
#[derive(Copy, Default)]
pub struct Basis {
    /// The configuration's version.
    pub version: u64,
    /// Calls that the endpoint was taken to have.
    pub calls: u32,
    /// How old its newest report of load was; `None` if there was none.
    pub load_age: Option<Duration>,
    /// Prompt tokens that an engine was taken to have to read.
    pub tokens: u64,
    /// Endpoints of the service that took new work.
    pub usable: usize,
}

/// One piece of a stage's work, as it is sent to an endpoint.
#[data]
pub struct Piece {
    /// The service that makes it.
    pub service: ServiceName,
    /// The caller's id of the request.
    pub request: Arc<str>,
    /// The stage's position in its route.
    pub stage: u16,
    /// The piece's number within the stage.
    pub number: u16,
    /// What it is made from, where the stage follows no other.
    pub key: Option<Arc<str>>,
    /// The results that it is made from, where the stage follows others.
    pub inputs: Vec<Handle>,
    /// Approximate size of its result, in bytes.
    pub bytes: u64,
    /// When the caller gives up.
    pub deadline: Duration,
    /// When it should be done for the caller to be served in good time.
    pub target: Duration,
    /// Urgency of its request, 0 first.
    pub priority: u8,
    /// Where its result will be used, if that is known and matters.
    pub preferred_data_centre: Option<DataCentre>,
    /// How often its request's pieces were made before, from the start.
    pub round: u8,
    /// How often it was sent without coming back whole.
    pub tries: u8,
    /// Whether it was made or may have been made before.
    pub is_repeat: bool,
    /// Whether any other work of its request has been done.
    pub is_begun: bool,
    /// What its request asks for.
    pub content: Fingerprint,
    /// Whether it is made without pieces of other requests: a call that it was part
    /// of was cut, and which of them ended the endpoint is not known.
    pub is_isolated: bool,
    /// Whether nothing needs its inputs once all pieces of its stage have read them.
    pub is_last_reader: bool,
}

/// One life of an endpoint, as instances name it to each other.
#[data]
pub struct EndpointId {
    /// The endpoint's name.
    pub name: EndpointName,
    /// Which of its lives.
    pub incarnation: Incarnation,
}

/// What a placer is asked: which engine should read a prompt.
#[data]
pub struct PlacementRequest {
    /// The service.
    pub service: ServiceName,
    /// The prompt.
    pub prompt: Prompt,
    /// Bytes of the results that the call takes in, by data centre.
    pub inputs: Vec<(DataCentre, u64)>,
    /// Engines that are out of the question for the asker.
    pub excluded: Vec<EndpointId>,
}

/// A placer's answer.
#[data]
pub struct Placement {
    /// The engine.
    pub engine: EndpointId,
    /// Address of the engine that it should fetch from first.
    pub source: Option<Arc<str>>,
    /// Prompt tokens that it will probably have to read.
    pub tokens: u64,
    /// How long it reads what it was given before.
    pub wait: Duration,
    /// The placer's number of the call.
    pub number: RunNumber,
}

/// How a call goes on that a placer placed.
#[data]
#[derive(Copy)]
pub struct Progress {
    /// The placer's number of the call.
    pub number: RunNumber,
    /// How far it has got.
    pub step: Step,
}

/// How far a call has got.
#[data]
#[derive(Copy)]
pub enum Step {
    /// Its reply began, with the endpoint's load if that tells it.
    Answered(Option<Load>),
    /// Its endpoint turned it away, with the load if that tells it. The few
    /// milliseconds that this takes are no answer time.
    Refused(Option<Load>),
    /// It has ended.
    Ended,
    /// It has failed.
    Failed(Failure),
}

/// Which parts of prompts an engine says that it holds.
#[data]
pub struct HeldParts {
    /// Which of its lives says so, if it tells.
    pub incarnation: Option<Incarnation>,
    /// The parts.
    pub parts: Vec<u64>,
}

/// What a new connection tells of an endpoint that cut calls.
#[id]
#[derive(Copy)]
pub enum ProbeResult {
    /// Something listens there.
    There,
    /// The machine answers, and nothing listens: the process has ended.
    Gone,
    /// Nothing was heard: the machine, or the way to it, may be down.
    Unknown,
}

/// Another instance that may batch pieces or place prompts.
#[data]
pub struct Peer {
    /// Its name.
    pub name: InstanceName,
    /// Its processor's share, in thousandths of a core; 0 if it did not tell.
    pub millicores: u32,
}

/// Why a piece has no result.
#[id]
#[derive(Copy)]
pub enum PieceFailure {
    /// Its time was over before its turn came.
    Late,
    /// A result that it is made from is gone.
    InputGone,
    /// The endpoint had no room for its result.
    NoRoom,
    /// It failed, or nobody could make it.
    Failed,
}

/// A piece's result: its handle, or why there is none.
pub type PieceResult = Result<Handle, PieceFailure>;

/// Why an exchange ends without an endpoint's answer.
#[id]
#[derive(Copy)]
pub enum Refusal {
    /// No configuration is known yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// The key is unknown or missing.
    UnknownKey,
    /// The request lacks what its route needs.
    Malformed,
    /// Nothing ran and nothing will: no endpoint can take it.
    Unserved,
    /// Nothing ran and nothing will: it cannot be done in time.
    Infeasible,
    /// Nothing ran and nothing will: the operators' policy says so.
    Policy,
    /// Nothing ran and nothing will: it crashes what runs it.
    Quarantined,
    /// Nothing ran and nothing will: all endpoints of a service that it needs are in
    /// data centres that are evacuated.
    Evacuated,
    /// The time is over; something may have run.
    TimedOut,
    /// An endpoint failed; something may have run.
    Failed,
}

impl Refusal {
    /// What it comes to if something may have run: not being run is not promised.
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

    /// The HTTP status that says so.
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

    /// A word for logs and counters.
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

/// What the event loop is to do.
#[data]
pub enum Action {
    /// Call an endpoint.
    Send(Call),
    /// Give a call up and close its connection.
    Cancel(CallKey),
    /// Pass on the call's whole reply.
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
    /// The stream has ended whole.
    FinishStream(ExchangeKey),
    /// End the stream so that the caller sees that it is not whole.
    AbortStream(ExchangeKey),
    /// Tell the caller that no endpoint's answer comes.
    Refuse {
        /// The exchange.
        exchange: ExchangeKey,
        /// Why.
        refusal: Refusal,
        /// When to come back; `None` where a repeat is not known to be safe.
        retry_after: Option<Duration>,
    },
    /// Have pieces made.
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
    /// Give up results at an endpoint.
    FreeResults {
        /// Where they lie.
        addr: Arc<str>,
        /// The results.
        handles: Vec<Handle>,
    },
    /// Have the peer that batches their service give results up.
    FreeViaPeer {
        /// The peer.
        peer: InstanceName,
        /// The results.
        handles: Vec<Handle>,
        /// Whether they are only to be given up once room is scarce.
        is_evictable: bool,
    },
    /// Hand pieces to the peer that batches their service.
    HandOverPieces {
        /// The hand-over's key.
        key: HandoverKey,
        /// The peer.
        peer: InstanceName,
        /// The pieces.
        pieces: Vec<Piece>,
    },
    /// Take back pieces that were handed over.
    RecallPieces(HandoverKey),
    /// Close connections to an address: the endpoint there has started again.
    Disconnect(Arc<str>),
    /// Ask an engine which parts of prompts it holds.
    ListParts {
        /// The engine.
        endpoint: EndpointKey,
        /// Where it listens.
        addr: Arc<str>,
    },
    /// Ask a peer where an exchange's call should go.
    RequestPlacement {
        /// The exchange.
        exchange: ExchangeKey,
        /// The peer.
        peer: InstanceName,
        /// The question.
        question: PlacementRequest,
    },
    /// Tell a placer how the calls go on that it placed.
    ReportProgress {
        /// The placer.
        peer: InstanceName,
        /// What there is to tell.
        progress: Vec<Progress>,
        /// Limits that the engines of these calls named.
        notices: Vec<Notice>,
    },
    /// Find out by a new connection whether an endpoint that cut calls is there.
    Probe {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Where it listens.
        addr: Arc<str>,
    },
    /// An endpoint has ended with these runs.
    EndpointCrashed {
        /// Its life.
        life: EndpointId,
        /// The runs.
        crashes: Vec<Crash>,
    },
    /// Tell a keeper of contents of their crashes.
    ReportCrashes {
        /// The peer.
        peer: InstanceName,
        /// The crashes.
        crashes: Vec<Crash>,
    },
    /// Ask all peers whether they had a content answered since that time.
    QueryAnswered {
        /// The content.
        content: Fingerprint,
        /// The time.
        since: Duration,
    },
    /// A content that crashed endpoints was answered meanwhile: it is no poison.
    SuspicionCleared(Fingerprint),
    /// A content is held back here from now on.
    Quarantined {
        /// The content.
        content: Fingerprint,
        /// Endpoints that ended under it.
        crashes: u32,
    },
    /// Tell all peers that a content is held back, and have the platform keep it.
    AnnounceQuarantine {
        /// The content.
        content: Fingerprint,
        /// Endpoints that ended under it.
        crashes: u32,
    },
    /// Write the platform's record of a content anew.
    WriteQuarantine {
        /// The content.
        content: Fingerprint,
        /// Endpoints that ended under it.
        crashes: u32,
    },
    /// Remove the platform's record of a content.
    DeleteQuarantine(Fingerprint),
    /// A content is not held back any more.
    Released(Fingerprint),
    /// Tell a peer that pieces wait at a service.
    AnnounceQueue {
        /// The peer.
        peer: InstanceName,
        /// The service, which this instance batches.
        service: ServiceName,
    },
    /// An endpoint said that it leaves.
    EndpointLeaving {
        /// The endpoint.
        endpoint: EndpointName,
        /// The peer that told; `None` if the endpoint itself did.
        source: Option<InstanceName>,
    },
    /// An endpoint names a limit, another one than before, or none any more.
    EndpointLimit {
        /// The endpoint.
        endpoint: EndpointName,
        /// The limit.
        limit: Option<Rate>,
        /// The peer that told; `None` if the endpoint itself did.
        source: Option<InstanceName>,
    },
    /// Give a peer the results of its pieces.
    ReturnResults {
        /// The number that the event loop gave to the peer's pieces.
        ticket: u64,
        /// The results, in the order of the pieces.
        results: Vec<PieceResult>,
    },
}
