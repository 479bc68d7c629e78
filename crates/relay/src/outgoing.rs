//! Requests to endpoints, sent directly or through a peer.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use http::{Request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use peatdeck_core::{
    model::InstanceName,
    relay::{model::Failure, paths::Detour},
};

use crate::{
    driver::Driver,
    peers::detour,
    pool::{self, Lease, Pool},
};

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
    /// The call through the peer broke off; the request may have run.
    #[error("the call through a peer broke off: {0}; the request may have run")]
    Cut(String),
}

impl Error {
    /// How the call failed.
    pub fn failure(&self) -> Failure {
        let is_unsent = match self {
            Error::Direct(error) => error.is_unsent(),
            Error::NoDetour(..) | Error::Unsent(_) => true,
            Error::Cut(_) => false,
        };
        if is_unsent { Failure::Unsent } else { Failure::Cut }
    }

    /// Whether the failure concerns the peer and not the endpoint.
    pub fn is_detour_refused(&self) -> bool {
        matches!(self, Error::NoDetour(..))
    }
}

/// The body of an endpoint's reply.
pub enum Body {
    /// It comes from the endpoint.
    Direct(Incoming, Lease),
    /// It comes through a peer.
    Detoured(detour::Body),
}

impl Body {
    /// The next bytes; `None` once the reply is whole.
    pub async fn next_data(&mut self) -> Option<Result<Bytes, String>> {
        match self {
            Body::Direct(body, _) => loop {
                match body.frame().await?.map(|frame| frame.into_data()) {
                    Ok(Ok(data)) => return Some(Ok(data)),
                    // Trailers.
                    Ok(Err(_)) => {}
                    Err(error) => return Some(Err(error.to_string())),
                }
            },
            Body::Detoured(body) => body.next_data().await,
        }
    }

    /// Reads all of it.
    ///
    /// # Errors
    /// Why it broke off, or that it has more than `limit` bytes.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Bytes, String> {
        let mut whole = bytes::BytesMut::new();
        while let Some(data) = self.next_data().await {
            let data = data?;
            if whole.len() + data.len() > limit {
                return Err(format!("the reply has more than {limit} bytes"));
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }

    /// Returns the connection to the pool after the reply was read whole.
    pub fn release(self, pool: &Pool) {
        if let Body::Direct(_, lease) = self {
            pool.put_back(lease);
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
    request: Request<Bytes>,
) -> Result<(response::Parts, Body), Error> {
    if let Some(detour) = via {
        let (head, body) = detour::send(driver, detour, request).await?;
        return Ok((head, Body::Detoured(body)));
    }
    let (response, lease) = driver.pool.send(addr, request.map(Full::new)).await?;
    let (head, body) = response.into_parts();
    Ok((head, Body::Direct(body, lease)))
}
