//! Why a call to an endpoint, made directly or by a peer, brought no whole reply.

use peatdeck_core::{model::InstanceName, relay::model::Failure};

use crate::pool;

/// A request that got no complete reply.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The direct call failed.
    #[error(transparent)]
    Direct(#[from] pool::Error),
    /// The peer did not make the call; nothing was sent.
    #[error("{0} does not make the call: {1}; another peer is tried")]
    NoDetour(InstanceName, String),
    /// The peer could not connect to the endpoint; nothing was sent.
    #[error("a peer could not connect to the endpoint either: {0}")]
    Unsent(String),
    /// The peer passed on the reply to another request.
    #[error("{0} passed on a reply that belongs to another request; the request may have run")]
    Foreign(InstanceName),
    /// The call through the peer broke off; the request may have run.
    #[error("the call through a peer broke off: {0}; the request may have run")]
    Cut(String),
}

impl Error {
    /// How the call failed.
    pub fn failure(&self) -> Failure {
        match self {
            Error::Direct(error) if error.is_unsent() => Failure::Unsent,
            Error::Direct(error) if error.is_foreign() => Failure::Foreign,
            Error::NoDetour(..) | Error::Unsent(_) => Failure::Unsent,
            Error::Foreign(_) => Failure::Foreign,
            Error::Direct(_) | Error::Cut(_) => Failure::Cut,
        }
    }

    /// Whether the failure concerns the peer and not the endpoint.
    pub fn is_detour_refused(&self) -> bool {
        matches!(self, Error::NoDetour(..))
    }
}
