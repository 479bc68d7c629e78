//! Actions that the state machine queues for the event loop.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::data;

use crate::{
    model::{EndpointName, InstanceName},
    relay::{
        fingerprint::Fingerprint,
        model::{
            Call, CallKey, EndpointId, EndpointKey, ExchangeKey, Handle, HandoverKey, Piece,
            PieceResult, PlacementRequest, ProbeResult, Progress, Refusal, ServiceName,
        },
        paths::Detour,
        quarantine::Crash,
        registry::Versions,
        rollout::{Evidence, RolloutRecord, Version},
        streams::{Source, StreamId, StreamRecord},
        terms::{Notice, Rate},
    },
};

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
        /// The peer that makes the call for this instance, if it needs one.
        via: Option<Detour>,
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
    /// Have a peer remember the versions that began streams.
    RecordStreams {
        /// The peer.
        peer: InstanceName,
        /// The versions.
        records: Vec<StreamRecord>,
    },
    /// Ask peers which version began the stream that an exchange takes up. What they know is
    /// passed to `Relay::on_origin`.
    AskOrigin {
        /// The exchange.
        exchange: ExchangeKey,
        /// The stream.
        stream: StreamId,
        /// Its service.
        service: ServiceName,
        /// The peers.
        peers: Vec<InstanceName>,
    },
    /// Read the store's list of versions, and its log of streams if a service has several
    /// versions. What it has is passed to `Relay::on_origins_read`.
    ReadOrigins,
    /// Read the store's list of versions. It is passed to `Relay::on_versions_read`.
    ReadVersions,
    /// Append the versions that began streams to the store's log. Once that has ended, those
    /// that could not be appended are passed to `Relay::on_streams_appended`.
    LogStreams(Vec<StreamRecord>),
    /// Have the store list versions of a service. What it then lists is passed to
    /// `Relay::on_versions_listed`.
    ListVersions {
        /// The service.
        service: ServiceName,
        /// Its versions.
        versions: Versions,
        /// How long to wait for another instance to do so.
        delay: Duration,
    },
    /// Have the store list no other versions of a service.
    PruneVersions {
        /// The service.
        service: ServiceName,
        /// Its versions.
        versions: Versions,
    },
    /// An exchange takes up a stream that was begun at this version, as far as it is known.
    OriginKnown {
        /// The exchange.
        exchange: ExchangeKey,
        /// The version; `None` if any may go on with it.
        version: Option<Version>,
        /// Where that is known from.
        source: Source,
        /// Since when this instance knows it.
        age: Duration,
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
    /// Ask peers whether they can connect to an endpoint; the answers are passed to
    /// `Relay::on_path_answers`.
    AskPeers {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Its name and incarnation.
        id: EndpointId,
        /// How this instance's own attempt ended.
        own: ProbeResult,
        /// The peers.
        peers: Vec<InstanceName>,
    },
    /// Check whether an endpoint answers: a request that it refuses at once is sent on a new
    /// connection. The result is passed to `Relay::on_answer_check`.
    CheckAnswer {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Where it listens.
        addr: Arc<str>,
    },
    /// Have peers check whether an endpoint from which this instance hears nothing answers them;
    /// those that it answered are passed to `Relay::on_silence_answers`.
    AskAnswered {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Its name and incarnation.
        id: EndpointId,
        /// The peers.
        peers: Vec<InstanceName>,
    },
    /// Open a new connection to find out whether the path to an endpoint works again.
    CheckPath {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Where it listens.
        addr: Arc<str>,
        /// Whether connections open and carry nothing, so that an answer has to come.
        is_silent: bool,
    },
    /// Log and count that this instance reaches no endpoint any more, or does again.
    CutOff(bool),
    /// Log and count that new connections to an endpoint have begun to fail, or to work again.
    PathChanged {
        /// The endpoint.
        endpoint: EndpointName,
        /// Whether they work again.
        is_open: bool,
        /// The number of endpoints that this instance cannot connect to.
        unreachable: usize,
        /// The number of endpoints that accept new work.
        ready: usize,
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
    /// Log and count that a content is not suspected, because the crashes of endpoints that ran
    /// it have a common cause and count as one.
    CrashesCombined {
        /// The content or part of prompts.
        content: Fingerprint,
        /// The number of endpoints.
        endpoints: u32,
    },
    /// Log that this instance has quarantined a content, and count such contents.
    Quarantined {
        /// The content.
        content: Fingerprint,
        /// The number of endpoints that crashed while they ran it.
        crashes: u32,
    },
    /// Log which quarantined content or part of prompts an exchange is refused for.
    QuarantineHit {
        /// The exchange.
        exchange: ExchangeKey,
        /// The content or part.
        content: Fingerprint,
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
    /// Log and count that endpoints get no new work, since their entries may have been written
    /// late: no further ones have followed.
    EndpointsSuspended(Vec<EndpointName>),
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
    /// Send the counts of a rollout to the instance that decides on it. Its reply is passed to
    /// `Relay::on_verdict`.
    ReportEvidence {
        /// The deciding instance.
        peer: InstanceName,
        /// The counts.
        evidence: Evidence,
    },
    /// Write the record of a rollout on the condition that the table has not changed, and read it
    /// back. A failure is passed to `Relay::on_rollout_unwritten`.
    WriteRollout(RolloutRecord),
    /// Log and count that this instance sends the new version of a service nothing more.
    RolloutHalted {
        /// The service.
        service: ServiceName,
        /// Why, for people.
        reason: Arc<str>,
    },
}
