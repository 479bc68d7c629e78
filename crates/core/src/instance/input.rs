//! What can happen to an instance.

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

/// One thing that happened. The time of it comes beside it.
#[message]
pub enum Input {
    /// A caller sent a request whose form is right.
    Submit {
        /// The caller to answer.
        caller: CallerId,
        /// Its request.
        request: Request,
    },
    /// A caller went away before its answer was sent.
    CallerGone(CallerId),
    /// Something came of a call to an endpoint.
    Call {
        /// The call.
        call: CallId,
        /// What came of it.
        event: CallEvent,
    },
    /// Records of the configuration stream were read.
    ConfigRead(Batch<ConfigRecord>),
    /// Records of the claims stream were read.
    ClaimsRead(Batch<ClaimBatch>),
    /// A read of a stream failed: the log is out or slow.
    ReadFailed(Stream),
    /// An append was acknowledged.
    Appended {
        /// The append.
        append: AppendId,
        /// Where it stands.
        offset: Offset,
    },
    /// An append failed or went unanswered. It may have taken effect.
    AppendFailed(AppendId),
    /// The platform's list was read.
    Listed(Listing),
    /// The platform's list could not be read.
    ListFailed,
    /// A peer sent its gossip, as a question or as an answer.
    Gossip(Gossip),
    /// A peer could not be reached.
    PeerFailed(InstanceName),
    /// A peer asks for the outcome of a request that it lost the claim of.
    OutcomeAsked {
        /// Numbers the question, for the answer to go back by.
        question: u64,
        /// The request.
        key: RequestId,
    },
    /// A peer told what became of a request.
    OutcomeTold {
        /// The request.
        key: RequestId,
        /// The peer that was asked.
        peer: InstanceName,
        /// What it knows; `None` if it could not be reached.
        answer: Option<PeerOutcome>,
    },
    /// The process was told to stop.
    Stop,
    /// Time passed.
    Tick,
}

/// What a peer knows of a request.
#[message]
pub enum PeerOutcome {
    /// It ended so.
    Finished(Outcome),
    /// It still runs.
    Running,
    /// Not known here.
    Unknown,
}

/// What can come of a call.
#[message]
pub enum CallEvent {
    /// A piece of generated text.
    Chunk {
        /// What the endpoint says it belongs to.
        echo: Echo,
        /// Position of the piece among the tokens, from 0.
        index: u32,
        /// The piece.
        text: Text,
    },
    /// The whole reply of a service, or the end of an engine's stream.
    Reply {
        /// What the endpoint says it belongs to.
        echo: Echo,
        /// The output; for an engine, `None`: the pieces are the output.
        output: Option<Text>,
        /// Tokens in the whole output, for an engine.
        tokens: Option<u32>,
        /// The endpoint's load, where it reports it.
        load: Option<Load>,
    },
    /// The endpoint says that it did not run the call.
    Refused {
        /// Why.
        reason: RefuseReason,
        /// The endpoint's load, where it reports it.
        load: Option<Load>,
    },
    /// The call ended without a whole reply.
    Failed(CallFailure),
}

/// Why an endpoint did not run a call.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// It is going away.
    Leaving,
    /// It has no place free.
    Busy,
}

/// How a call ended without a whole reply.
#[message]
#[derive(Copy, Eq)]
pub enum CallFailure {
    /// Not a byte of it was written: the connection could not be made.
    NotSent,
    /// It was cut, in the request or in the reply. It may have run.
    Cut,
    /// The reply could not be read. It may have run.
    Malformed,
}

/// Names the settings an instance is started with.
#[message]
pub struct Identity {
    /// Its name in the platform's list.
    pub name: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: Arc<str>,
}
