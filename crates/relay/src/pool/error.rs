//! Failed calls over a connection of the pool.

use std::sync::Arc;

use crate::{correlation::Echo, pool::ConnectionUse};

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
    /// A reply came that is not the one to this request.
    #[error(
        "the reply belongs to another request: status {status}, id {}, after {} calls on a \
         connection opened {} ms before; the request may have run",
        echo.name(), connection_use.calls, connection_use.age.as_millis()
    )]
    Foreign {
        /// Address of the peer.
        addr: Arc<str>,
        /// HTTP status of the reply.
        status: u16,
        /// What it says of its request.
        echo: Echo,
        /// What its connection had carried.
        connection_use: ConnectionUse,
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
    /// Whether the reply to another request came.
    pub fn is_foreign(&self) -> bool {
        matches!(self, Error::Foreign { .. })
    }

    /// Whether it is certain that no byte was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Unsent { .. })
    }
}
