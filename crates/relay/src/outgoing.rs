//! Requests to endpoints, sent directly or through a peer.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use http::{Request, response};
use peatdeck_core::relay::{model::BodyEnd, paths::Detour};

use crate::{
    call_error::Error,
    correlation::{Correlation, Echo},
    driver::Driver,
    memory::BodyMemory,
    peers::detour,
    pool::{self, ConnectionUse},
    step::{self, Direct},
};

/// Each piece of a reply counts as this many bytes at least. Without that, a body of 16 MB in chunks
/// of a few bytes keeps the event loop busy for seconds.
const MIN_PIECE_BYTES: usize = 256;
/// A reply up to this size, in bytes, is read also while large ones have exhausted the memory.
const SMALL_REPLY_BYTES: usize = 1 << 20;

/// The body of an endpoint's reply.
pub enum Body {
    /// It comes from the endpoint.
    Direct(Direct),
    /// It comes through a peer.
    Detoured(detour::Body),
}

impl Body {
    /// The next bytes; `None` once the reply is whole.
    pub async fn next_data(&mut self) -> Option<Result<Bytes, String>> {
        match self {
            Body::Direct(body) => body.next_data().await,
            Body::Detoured(body) => body.next_data().await,
        }
    }

    /// Reads all of it.
    ///
    /// # Errors
    /// Why it broke off, or that it has more than `limit` bytes, or that it is large and no memory
    /// is left.
    pub async fn read_whole(
        &mut self,
        limit: usize,
        memory: &Rc<BodyMemory>,
    ) -> Result<Bytes, String> {
        let mut whole = bytes::BytesMut::new();
        let mut reservation = memory.reserve();
        let mut size = 0;
        while let Some(data) = self.next_data().await {
            let data = data?;
            size += data.len().max(MIN_PIECE_BYTES);
            if size > limit {
                return Err(format!("the reply has more than {limit} bytes, or too many pieces"));
            }
            if !reservation.grow(data.len()) && size > SMALL_REPLY_BYTES {
                return Err("no memory is left for a large reply".to_owned());
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }

    /// What is known of it after its end, which a peer that made the call has checked.
    pub async fn check_end(&mut self, driver: &Driver) -> BodyEnd {
        match self {
            Body::Direct(body) => body.check_end(driver).await,
            Body::Detoured(body) => body.end(),
        }
    }

    /// What its connection had carried before; `None` if a peer made the call.
    pub fn connection_use(&self) -> Option<ConnectionUse> {
        match self {
            Body::Direct(body) => Some(body.connection_use()),
            Body::Detoured(_) => None,
        }
    }

    /// Releases the connection after the reply was read whole.
    pub fn release(self, pool: &pool::Pool) {
        if let Body::Direct(body) = self {
            body.release(pool);
        }
    }
}

/// Sends a request to the endpoint at an address and waits for the head of its reply.
///
/// # Errors
/// Any [`Error`].
pub async fn send(
    driver: &Rc<Driver>,
    addr: &Arc<str>,
    via: Option<&Detour>,
    correlation: Correlation<'_>,
    request: Request<Bytes>,
) -> Result<(response::Parts, Body), Error> {
    if let Some(detour) = via {
        let id = correlation.id(request.headers()).map(str::to_owned);
        let (head, body) = detour::send(driver, detour, request).await?;
        return match correlation.compare(id.as_deref(), &head.headers) {
            Echo::Own => Ok((head, Body::Detoured(body))),
            Echo::Missing | Echo::Other => Err(Error::Foreign(detour.peer.clone())),
        };
    }
    let (head, body) = step::send(driver, addr, correlation, request).await?;
    Ok((head, Body::Direct(body)))
}
