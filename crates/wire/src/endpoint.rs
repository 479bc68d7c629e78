//! Calls to endpoints.
//!
//! - `POST /v1/call` with [`CallBody`]. A service answers 200 with one
//!   [`ReplyBody`]. An engine answers 200 with lines of JSON, each an
//!   [`EngineLine`]; the last has `done: true`, and a stream without it is
//!   incomplete.
//!   503 with a [`RefusalBody`] that returns the call's echo means that nothing of the call ran.
//! - `POST /v1/cancel` with [`CancelBody`]: the endpoint stops the call and
//!   frees its slot. It answers 200 whether or not the call still ran. Closing
//!   the connection of an engine's stream has the same effect.
//! - `GET /v1/load`: [`peatdeck_core::model::Load`].

use std::sync::Arc;

use peatdeck_core::{
    instance::input::RefuseReason,
    model::{Echo, Load},
};
use peatdeck_macros::message;

/// Body of a call.
#[message]
pub struct CallBody {
    /// Identifies the call; every reply must return it.
    pub echo: Echo,
    /// The stage's name.
    pub stage: Arc<str>,
    /// Input of the stage.
    pub input: Arc<str>,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of tokens to generate; engines only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Chunks that the caller already has; generation continues after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume: Vec<Arc<str>>,
}

/// Complete reply of a service.
#[message]
pub struct ReplyBody {
    /// The call's echo.
    pub echo: Echo,
    /// Output of the stage.
    pub output: Arc<str>,
    /// How busy the endpoint is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
}

/// One line of an engine's stream.
#[message]
#[serde(untagged)]
pub enum EngineLine {
    /// A chunk of the output.
    Chunk {
        /// The call's echo.
        echo: Echo,
        /// Index of the token in the whole output, from 0; a resumed stream starts
        /// at the number of chunks in `resume`.
        index: u32,
        /// The text of the token.
        text: Arc<str>,
    },
    /// The end of the stream.
    Done {
        /// The call's echo.
        echo: Echo,
        /// Always true.
        done: bool,
        /// Number of tokens in the whole output, including those in `resume`.
        tokens: u32,
        /// How busy the endpoint is.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
}

/// Body of a refusal: the endpoint did not run the call.
#[message]
pub struct RefusalBody {
    /// The call's echo. Without it, the refusal may be of an earlier call on the connection.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<Echo>,
    /// Always false.
    pub ran: bool,
    /// Why the endpoint refused the call.
    pub reason: RefuseReason,
    /// How busy the endpoint is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
}

/// Body of a cancellation.
#[message]
pub struct CancelBody {
    /// Echo of the call to stop.
    pub echo: Echo,
}
