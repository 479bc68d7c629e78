//! The other instances, over Cap'n Proto.
//!
//! One connection a peer is kept for what this instance sends; peers connect
//! for what they send. A connection that fails is dropped and made again for
//! the next message. Nothing is repeated: gossip is soft, and a question that
//! was lost is the machine's to ask again.

use std::{rc::Rc, sync::Arc, time::Duration};

use peatdeck_core::{instance::input::PeerOutcome, membership::Gossip, model::RequestId};
use peatdeck_wire::{
    link::{self, Error},
    peer as wire,
    peer_capnp::peer,
};
use tokio::net::TcpListener;

use crate::driver::Driver;

/// Time for one exchange with a peer, making the connection included.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that the machine has to answer a peer's question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept, as when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Connections to peers, by address.
#[derive(Default)]
pub struct Peers {
    links: link::Links<peer::Client>,
}

impl Peers {
    /// Sends gossip. The peer's own comes back if it has something to say.
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

    /// Asks what became of a request.
    ///
    /// # Errors
    /// Any [`Error`]; a question has no effect.
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

    /// How many connections are open.
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

/// What peers can call.
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
