//! The result of a replay.

use peatdeck_macros::message;

use crate::{
    instance::input::Identity,
    model::{CallerId, EndpointName, RequestId, StageName},
    record::Version,
    trace::OutcomeKind,
};

/// The result of a replay.
#[message]
pub struct Report {
    /// The instance that wrote the trace.
    pub identity: Identity,
    /// The number of inputs that were replayed.
    pub inputs: u64,
    /// The number of calls that the replayed instance made.
    pub calls: u64,
    /// Whether the trace ends within a record, as it may if the process was killed.
    pub torn: bool,
    /// The callers, in the order in which they arrived.
    pub callers: Vec<Caller>,
    /// All differences and violations, in the order of the trace.
    pub faults: Vec<Finding>,
}

/// One caller and its outcomes.
#[message]
pub struct Caller {
    /// The caller's number in the trace.
    pub caller: CallerId,
    /// The id of its request.
    pub key: RequestId,
    /// The number of calls that were certainly made for this caller.
    pub calls: u32,
    /// The kind of the recorded outcome; `None` if the trace has none.
    pub recorded: Option<OutcomeKind>,
    /// The kind of the outcome in the replay; `None` if there is none.
    pub replayed: Option<OutcomeKind>,
}

/// A fault and its location.
#[message]
pub struct Finding {
    /// The number of the line in the trace, from 1.
    pub line: u64,
    /// What is wrong.
    pub fault: Fault,
}

/// A difference between trace and replay, or a violation of an invariant.
#[message]
#[derive(thiserror::Error)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// The answers of the trace and the replay differ.
    #[error(
        "caller {} was sent {recorded}; the replay sends caller {} {replayed}", caller.0, other.0
    )]
    Differs {
        /// The caller that was answered in the trace.
        caller: CallerId,
        /// The caller that is answered in the replay.
        other: CallerId,
        /// The outcome in the trace.
        recorded: String,
        /// The outcome in the replay.
        replayed: String,
    },
    /// The trace has an answer that the replay does not give.
    #[error("caller {} was sent {recorded}; the replay sends no answer here", caller.0)]
    Missing {
        /// The caller.
        caller: CallerId,
        /// The outcome in the trace.
        recorded: String,
    },
    /// The replay gives an answer that the trace does not have.
    #[error("the replay sends caller {} {replayed}; the trace has no answer here", caller.0)]
    Added {
        /// The caller.
        caller: CallerId,
        /// The outcome in the replay.
        replayed: String,
    },
    /// A caller got a second outcome.
    #[error("caller {} is sent a second outcome", caller.0)]
    SecondOutcome {
        /// The caller.
        caller: CallerId,
    },
    /// An outcome was sent to a caller that never sent a request.
    #[error("caller {} is sent an outcome but never sent a request", caller.0)]
    Unasked {
        /// The caller.
        caller: CallerId,
    },
    /// "Not run" was sent although a call for the request may have run.
    #[error("caller {} is sent \"not run\", but a call of {} may have run", caller.0, key.id)]
    Ran {
        /// The caller.
        caller: CallerId,
        /// The id of its request.
        key: RequestId,
    },
    /// A call was made for a request for which no caller waits.
    #[error("stage {stage} of {} is called after the request has ended", key.id)]
    AfterEnd {
        /// The id of the request.
        key: RequestId,
        /// The stage that was called.
        stage: StageName,
    },
    /// A stage that may run only once was called again.
    #[error("stage {stage} of {} may run only once, but is called again", key.id)]
    SecondRun {
        /// The id of the request.
        key: RequestId,
        /// The stage that was called.
        stage: StageName,
    },
    /// An endpoint that is known to be leaving was called.
    #[error("{endpoint} is known to be leaving, but is called")]
    Leaving {
        /// The endpoint that was called.
        endpoint: EndpointName,
    },
    /// The version in force decreased.
    #[error("the version in force goes back from {from} to {to}")]
    Back {
        /// The version before.
        from: Version,
        /// The version after.
        to: Version,
    },
    /// An expectation of the trace is not met.
    #[error("expected: {stated}; found: {found}")]
    Unmet {
        /// The expectation.
        stated: String,
        /// The actual result.
        found: String,
    },
}

impl Report {
    /// Whether there are no differences and no violations.
    pub fn is_clean(&self) -> bool {
        self.faults.is_empty()
    }
}
