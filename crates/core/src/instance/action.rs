//! Actions that an instance requests. The event loop carries them out in order.

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

/// An action for the event loop.
#[message]
pub enum Action {
    /// Send a caller its one final outcome.
    Answer {
        /// Caller that sent the request.
        caller: CallerId,
        /// Final outcome of the request.
        outcome: Outcome,
    },
    /// Send a caller a piece of the last stage's text.
    Stream {
        /// Caller that asked for a stream.
        caller: CallerId,
        /// Next piece of text.
        text: Text,
    },
    /// Call an endpoint.
    Call(Call),
    /// Cancel a call by closing its stream. The instance ignores later events of the call.
    Cancel(CallId),
    /// Append a record to the configuration stream.
    AppendConfig {
        /// Identifies the append in later inputs.
        append: AppendId,
        /// Record to append.
        record: ConfigRecord,
    },
    /// Append records to the claims stream.
    AppendClaims {
        /// Identifies the append in later inputs.
        append: AppendId,
        /// Records to append.
        batch: ClaimBatch,
    },
    /// Send gossip to a peer. Its reply is passed back as an input; a message that is itself a
    /// reply gets none.
    Gossip {
        /// Peer that receives the message.
        to: InstanceName,
        /// The peer's address, `ip:port`.
        addr: Arc<str>,
        /// Message to send.
        message: Gossip,
    },
    /// Ask a peer for the outcome of a request.
    AskOutcome {
        /// Peer that holds the claim.
        to: InstanceName,
        /// The peer's address, `ip:port`.
        addr: Arc<str>,
        /// Identity of the request.
        key: RequestId,
    },
    /// Answer a peer's query for an outcome.
    TellOutcome {
        /// Number of the query, from `Input::OutcomeAsked`.
        question: u64,
        /// State of the request on this instance.
        answer: PeerOutcome,
    },
    /// Exit the process: no request is active any more.
    Exit,
}

/// A call to an endpoint.
#[message]
pub struct Call {
    /// Identifies the call in later inputs.
    pub id: CallId,
    /// Endpoint to call.
    pub endpoint: EndpointName,
    /// The endpoint's address, `ip:port`.
    pub addr: Arc<str>,
    /// Values that the endpoint must return with its reply.
    pub echo: Echo,
    /// Name of the stage.
    pub stage: StageName,
    /// Input of the stage.
    pub input: Text,
    /// Time left for this call.
    pub deadline: Duration,
    /// Whether the endpoint is an engine.
    pub engine: bool,
    /// The most tokens to generate; only for engines.
    pub max_tokens: Option<u32>,
    /// Pieces that an earlier call already generated, which this call continues; only for engines.
    pub resume: Vec<Text>,
}
