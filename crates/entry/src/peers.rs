//! The other instances, over Cap'n Proto.
//!
//! This instance keeps one connection to each peer for the requests that it
//! sends; peers open their own connections for theirs. A connection that fails
//! is closed, and the next message opens a new one. Nothing is retried here:
//! the next gossip round makes up for a lost gossip message, and it is up to the
//! state machine to repeat a lost outcome query.

use std::{rc::Rc, sync::Arc, time::Duration};

use peatdeck_core::{instance::input::PeerOutcome, membership::Gossip, model::RequestId};
use peatdeck_wire::{
    link::{self, Error},
    peer as wire,
    peer_capnp::peer,
};
use tokio::net::TcpListener;

use crate::driver::Driver;

/// Timeout of one exchange with a peer, including the time to connect.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which the state machine must answer a peer's outcome query.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed accept, such as when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Connections to peers, by address.
#[derive(Default)]
pub struct Peers {
    links: link::Links<peer::Client>,
}

impl Peers {
    /// Sends a gossip message and returns the peer's reply, if it has one.
    ///
    /// # Errors
    /// Any [`Error`]; the message may have reached the peer.
    pub async fn gossip(&self, addr: &Arc<str>, message: &Gossip) -> Result<Option<Gossip>, Error> {
        self.links
            .exchange(addr, EXCHANGE_TIMEOUT, async |client| {
                let mut request = client.gossip_request();
                wire::write_gossip(message, request.get().init_message())?;
                let response = request.send().promise.await?;
                let reply = response.get()?.get_reply()?;
                if !reply.has_from() {
                    return Ok(None);
                }
                Ok(Some(wire::read_gossip(reply)?))
            })
            .await
    }

    /// Queries the peer for the outcome of a request.
    ///
    /// # Errors
    /// Any [`Error`]; the query has no effect at the peer.
    pub async fn outcome(&self, addr: &Arc<str>, key: &RequestId) -> Result<PeerOutcome, Error> {
        self.links
            .exchange(addr, EXCHANGE_TIMEOUT, async |client| {
                let mut request = client.outcome_request();
                request.get().set_team(&*key.team);
                request.get().set_id(&*key.id);
                let response = request.send().promise.await?;
                let answer = response.get()?.get_answer()?;
                Ok(serde_json::from_slice(answer).map_err(wire::Error::Json)?)
            })
            .await
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}

/// Serves peers for as long as the process runs.
pub async fn serve(driver: Rc<Driver>, listener: TcpListener) {
    let service: peer::Client = capnp_rpc::new_client(Service { driver });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                ntex::rt::spawn(link::serve(service.clone(), stream));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Implements the RPC interface for peers.
struct Service {
    driver: Rc<Driver>,
}

impl peer::Server for Service {
    async fn gossip(
        self: Rc<Self>,
        params: peer::GossipParams,
        mut results: peer::GossipResults,
    ) -> Result<(), capnp::Error> {
        let message = match wire::read_gossip(params.get()?.get_message()?) {
            Ok(message) => message,
            Err(error) => {
                self.driver.counts.malformed_peer_messages.increment();
                return Err(capnp::Error::failed(error.to_string()));
            }
        };
        let Some(reply) = self.driver.feed_gossip(message) else { return Ok(()) };
        wire::write_gossip(&reply, results.get().init_reply())
            .map_err(|error| capnp::Error::failed(error.to_string()))
    }

    async fn outcome(
        self: Rc<Self>,
        params: peer::OutcomeParams,
        mut results: peer::OutcomeResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let key = RequestId {
            team: Arc::from(params.get_team()?.to_str()?),
            id: Arc::from(params.get_id()?.to_str()?),
        };
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, self.driver.query_outcome(key))
            .await
            .unwrap_or(PeerOutcome::Unknown);
        let json =
            serde_json::to_vec(&answer).map_err(|error| capnp::Error::failed(error.to_string()))?;
        results.get().set_answer(&json);
        Ok(())
    }
}
