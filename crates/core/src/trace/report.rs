//! What a replay found.

use peatdeck_macros::message;

use crate::{
    instance::input::Identity,
    model::{CallerId, EndpointName, RequestId, StageName},
    record::Version,
    trace::OutcomeKind,
};

/// What a replay found.
#[message]
pub struct Report {
    /// Whose trace it is.
    pub identity: Identity,
    /// Inputs that were replayed.
    pub inputs: u64,
    /// Calls that the replayed instance made.
    pub calls: u64,
    /// Whether the trace ends within a record, as that of a killed process may.
    pub torn: bool,
    /// The callers, in the order in which they came.
    pub callers: Vec<Caller>,
    /// What differs or must not be, in the order of the trace.
    pub faults: Vec<Finding>,
}

/// One caller.
#[message]
pub struct Caller {
    /// The caller.
    pub caller: CallerId,
    /// Its request.
    pub key: RequestId,
    /// Calls made for it, as far as they are surely its own.
    pub calls: u32,
    /// What the trace says that it was told; `None` if it was told nothing.
    pub recorded: Option<OutcomeKind>,
    /// What it is told in the replay.
    pub replayed: Option<OutcomeKind>,
}

/// A fault and where it was found.
#[message]
pub struct Finding {
    /// The line of the trace, from 1.
    pub line: u64,
    /// The fault.
    pub fault: Fault,
}

/// What differs, or must not be.
#[message]
#[derive(thiserror::Error)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// An answer differs.
    #[error("caller {} was told {recorded}; the replay tells {}: {replayed}", caller.0, other.0)]
    Differs {
        /// The caller of the trace.
        caller: CallerId,
        /// The caller of the replay.
        other: CallerId,
        /// What the trace says.
        recorded: String,
        /// What the replay says.
        replayed: String,
    },
    /// The trace has an answer that the replay does not give.
    #[error("caller {} was told {recorded}; the replay tells nobody anything here", caller.0)]
    Missing {
        /// The caller.
        caller: CallerId,
        /// What the trace says.
        recorded: String,
    },
    /// The replay gives an answer that the trace does not have.
    #[error("the replay tells caller {} {replayed}; the trace has no answer here", caller.0)]
    Added {
        /// The caller.
        caller: CallerId,
        /// What the replay says.
        replayed: String,
    },
    /// A caller got a second outcome.
    #[error("caller {} is told a second outcome", caller.0)]
    SecondOutcome {
        /// The caller.
        caller: CallerId,
    },
    /// A caller that never came was told something.
    #[error("caller {} is told an outcome and never asked", caller.0)]
    Unasked {
        /// The caller.
        caller: CallerId,
    },
    /// "Not run" was told of something that may have run.
    #[error("caller {} is told \"not run\", and a call of {} was written", caller.0, key.id)]
    Ran {
        /// The caller.
        caller: CallerId,
        /// Its request.
        key: RequestId,
    },
    /// A call was made for a request that nobody waits for.
    #[error("stage {stage} of {} is called after its end", key.id)]
    AfterEnd {
        /// The request.
        key: RequestId,
        /// The stage.
        stage: StageName,
    },
    /// A stage that may run once was called again.
    #[error("stage {stage} of {} may run once, and is called again", key.id)]
    SecondRun {
        /// The request.
        key: RequestId,
        /// The stage.
        stage: StageName,
    },
    /// A leaving endpoint was called.
    #[error("{endpoint} is known to be leaving, and is called")]
    Leaving {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// The version in force went back.
    #[error("the version in force goes back from {from} to {to}")]
    Back {
        /// The version before.
        from: Version,
        /// The version after.
        to: Version,
    },
    /// What was stated by hand is not so.
    #[error("stated: {stated}; found: {found}")]
    Unmet {
        /// What was stated.
        stated: String,
        /// What was found.
        found: String,
    },
}

impl Report {
    /// Whether nothing differs and nothing is wrong.
    pub fn is_clean(&self) -> bool {
        self.faults.is_empty()
    }
}
