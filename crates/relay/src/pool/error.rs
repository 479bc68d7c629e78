//! Failed calls over a connection of the pool.

use std::sync::Arc;

/// A request that got no complete reply.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No byte of the request was sent.
    #[error("no connection to {addr}: {cause}; check that it runs and can be reached")]
    Unsent {
        /// Address of the peer.
        addr: Arc<str>,
        /// Error of the connection attempt.
        cause: String,
    },
    /// The peer sent nothing within the time limit.
    #[error("no data from {addr} within the time limit; check that it runs and can be reached")]
    Silent {
        /// Address of the peer.
        addr: Arc<str>,
    },
    /// The connection broke after bytes of the request were sent.
    #[error(
        "the connection to {addr} closed before the reply ended: {cause}; the request may have run"
    )]
    Cut {
        /// Address of the peer.
        addr: Arc<str>,
        /// Error of the connection.
        cause: String,
    },
}

impl Error {
    /// Whether it is certain that no byte was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Unsent { .. })
    }
}
