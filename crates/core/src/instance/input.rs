//! Inputs of an instance.

use std::sync::Arc;

use peatdeck_macros::message;

use crate::{
    membership::Gossip,
    model::{
        AppendId, CallId, CallerId, Echo, Incarnation, InstanceName, Listing, Load, Outcome,
        Request, RequestId, Text,
    },
    record::{Batch, ClaimBatch, ConfigRecord, Offset, Stream},
};

/// An event that an instance handles. Its time is passed with it.
#[message]
pub enum Input {
    /// A caller sent a well-formed request.
    Submit {
        /// Connection that gets the outcome.
        caller: CallerId,
        /// The parsed request.
        request: Request,
    },
    /// A caller disconnected before it got its answer.
    CallerGone(CallerId),
    /// An event of a call to an endpoint.
    Call {
        /// Id from the `Call` action.
        call: CallId,
        /// What happened.
        event: CallEvent,
    },
    /// Records of the configuration stream were read.
    ConfigRead(Batch<ConfigRecord>),
    /// Records of the claims stream were read.
    ClaimsRead(Batch<ClaimBatch>),
    /// A read of a stream failed because the log is unavailable or slow.
    ReadFailed(Stream),
    /// An append was acknowledged.
    Appended {
        /// Id from the append action.
        append: AppendId,
        /// Where the record was written.
        offset: Offset,
    },
    /// An append failed or went unanswered. It may have taken effect.
    AppendFailed(AppendId),
    /// The platform's list was read.
    Listed(Listing),
    /// The platform's list could not be read.
    ListFailed,
    /// A peer sent gossip, either on its own or as a reply.
    Gossip(Gossip),
    /// A peer could not be reached.
    PeerFailed(InstanceName),
    /// A peer asks for the outcome of a request whose claim it lost to this instance.
    OutcomeAsked {
        /// Number of the query, to be returned with the answer.
        question: u64,
        /// Identity of the request.
        key: RequestId,
    },
    /// A peer answered a query for the outcome of a request.
    OutcomeTold {
        /// Identity of the request.
        key: RequestId,
        /// Peer that was asked.
        peer: InstanceName,
        /// State of the request on that peer; `None` if the peer could not be reached.
        answer: Option<PeerOutcome>,
    },
    /// The process received a request to stop.
    Stop,
    /// No event; time has passed.
    Tick,
}

/// State of a request on a peer.
#[message]
pub enum PeerOutcome {
    /// The request ended with this outcome.
    Finished(Outcome),
    /// The request is still running.
    Running,
    /// The peer has no record of the request.
    Unknown,
}

/// An event of a call.
#[message]
pub enum CallEvent {
    /// A piece of generated text.
    Chunk {
        /// Echo that the endpoint sent.
        echo: Echo,
        /// Index of the piece among the tokens, from 0.
        index: u32,
        /// Text of the piece.
        text: Text,
    },
    /// The complete reply of a service, or the end of an engine's stream.
    Reply {
        /// Echo that the endpoint sent.
        echo: Echo,
        /// Output of a service; `None` for an engine, whose pieces are the output.
        output: Option<Text>,
        /// Number of tokens in the complete output; only for engines.
        tokens: Option<u32>,
        /// Load of the endpoint, if it reports it.
        load: Option<Load>,
    },
    /// The endpoint refused the call and did not run it.
    Refused {
        /// Reason for the refusal.
        reason: RefuseReason,
        /// Load of the endpoint, if it reports it.
        load: Option<Load>,
    },
    /// The call ended without a complete reply.
    Failed(CallFailure),
}

/// Why an endpoint refused a call.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint has no free slot.
    Busy,
}

/// How a call failed.
#[message]
#[derive(Copy, Eq)]
pub enum CallFailure {
    /// The connection could not be made, so not a byte of the call was sent.
    NotSent,
    /// The connection broke during the request or the reply. The call may have run.
    Cut,
    /// The reply could not be parsed. The call may have run.
    Malformed,
}

/// Identifies an instance.
#[message]
pub struct Identity {
    /// Name of the instance in the platform's list.
    pub name: InstanceName,
    /// Incarnation of the process; larger after a restart.
    pub incarnation: Incarnation,
    /// Data centre of the instance.
    pub data_centre: Arc<str>,
}
