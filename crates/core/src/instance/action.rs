//! What an instance wants done. The event loop does it in the given order.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::message;

use crate::{
    instance::input::PeerOutcome,
    membership::Gossip,
    model::{
        AppendId, CallId, CallerId, Echo, EndpointName, InstanceName, Outcome, RequestId,
        StageName, Text,
    },
    record::{ClaimBatch, ConfigRecord},
};

/// One thing to do.
#[message]
pub enum Action {
    /// Send a caller its one final outcome.
    Answer {
        /// The caller.
        caller: CallerId,
        /// The outcome.
        outcome: Outcome,
    },
    /// Send a caller a piece of the last stage's text.
    Stream {
        /// The caller.
        caller: CallerId,
        /// The piece.
        text: Text,
    },
    /// Call an endpoint.
    Call(Call),
    /// Cancel a call: close its stream and free its place. No event of it is wanted any more.
    Cancel(CallId),
    /// Append to the configuration stream.
    AppendConfig {
        /// The append.
        append: AppendId,
        /// What to append.
        record: ConfigRecord,
    },
    /// Append to the claims stream.
    AppendClaims {
        /// The append.
        append: AppendId,
        /// What to append.
        batch: ClaimBatch,
    },
    /// Send gossip to a peer. Its reply comes back as an input; none is expected
    /// where the message is itself a reply.
    Gossip {
        /// The peer.
        to: InstanceName,
        /// Where it listens, `ip:port`.
        addr: Arc<str>,
        /// The message.
        message: Gossip,
    },
    /// Ask a peer for the outcome of a request.
    AskOutcome {
        /// The peer.
        to: InstanceName,
        /// Where it listens, `ip:port`.
        addr: Arc<str>,
        /// The request.
        key: RequestId,
    },
    /// Answer a peer's question.
    TellOutcome {
        /// The question.
        question: u64,
        /// What is known.
        answer: PeerOutcome,
    },
    /// The instance has finished what it held; the process should exit.
    Exit,
}

/// A call to an endpoint.
#[message]
pub struct Call {
    /// The call.
    pub id: CallId,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Where it listens, `ip:port`.
    pub addr: Arc<str>,
    /// What the reply must send back.
    pub echo: Echo,
    /// The stage's name.
    pub stage: StageName,
    /// The stage's input.
    pub input: Text,
    /// Time left for this call.
    pub deadline: Duration,
    /// Whether the endpoint is an engine.
    pub engine: bool,
    /// Tokens to generate at the most; engines only.
    pub max_tokens: Option<u32>,
    /// Pieces already held, when a cut generation goes on; engines only.
    pub resume: Vec<Text>,
}
