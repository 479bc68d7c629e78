//! Calls to endpoints.
//!
//! - `POST /v1/call` with [`CallBody`]. A service answers 200 with one
//!   [`ReplyBody`]. An engine answers 200 with lines of JSON, each an
//!   [`EngineLine`]; the last has `done: true`, and a stream without it was cut.
//!   503 with [`RefusalBody`] means that nothing of the call ran.
//! - `POST /v1/cancel` with [`CancelBody`]: the endpoint stops the call and
//!   frees its place. 200 whether or not it still ran. Closing the connection
//!   of an engine's stream has the same effect.
//! - `GET /v1/load`: [`peatdeck_core::model::Load`].

use std::sync::Arc;

use peatdeck_core::{
    instance::input::RefuseReason,
    model::{Echo, Load},
};
use peatdeck_macros::message;

/// A call.
#[message]
pub struct CallBody {
    /// What every reply must send back.
    pub echo: Echo,
    /// The stage's name.
    pub stage: Arc<str>,
    /// The input.
    pub input: Arc<str>,
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
    /// Tokens to generate at the most; engines only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Pieces that the caller already holds: generation goes on behind them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume: Vec<Arc<str>>,
}

/// A service's whole reply.
#[message]
pub struct ReplyBody {
    /// The call's echo.
    pub echo: Echo,
    /// The output.
    pub output: Arc<str>,
    /// How busy the endpoint is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
}

/// One line of an engine's stream.
#[message]
#[serde(untagged)]
pub enum EngineLine {
    /// A piece of text.
    Chunk {
        /// The call's echo.
        echo: Echo,
        /// Position among the tokens of the whole output, from 0; a resumed
        /// stream starts at the number of pieces it was given.
        index: u32,
        /// The piece.
        text: Arc<str>,
    },
    /// The end of the stream.
    Done {
        /// The call's echo.
        echo: Echo,
        /// Always true.
        done: bool,
        /// Tokens in the whole output, resumed pieces included.
        tokens: u32,
        /// How busy the endpoint is.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        load: Option<Load>,
    },
}

/// The endpoint did not run the call.
#[message]
pub struct RefusalBody {
    /// Always false.
    pub ran: bool,
    /// Why.
    pub reason: RefuseReason,
    /// How busy the endpoint is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
}

/// Which call to stop.
#[message]
pub struct CancelBody {
    /// The call's echo.
    pub echo: Echo,
}
