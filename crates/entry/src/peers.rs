//! The other instances, over Cap'n Proto.
//!
//! One connection a peer is kept for what this instance sends; peers connect
//! for what they send. A connection that fails is dropped and made again for
//! the next message. Nothing is repeated: gossip is soft, and a question that
//! was lost is the machine's to ask again.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use futures::{
    future::{AbortHandle, Abortable},
    io::{BufReader, BufWriter},
};
use peatdeck_core::{instance::input::PeerOutcome, membership::Gossip, model::RequestId};
use peatdeck_wire::{peer as wire, peer_capnp::peer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::driver::Driver;

/// Time for one exchange with a peer, making the connection included.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that the machine has to answer a peer's question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection that was not used for longer is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after a failed accept, as when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What went wrong with a peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be made.
    #[error("no connection to the peer: {0}; check that it runs and its address in the list")]
    Connect(#[from] std::io::Error),
    /// The exchange failed.
    #[error("the exchange with the peer failed: {0}; it is tried again with the next message")]
    Rpc(#[from] capnp::Error),
    /// The peer's message cannot be read.
    #[error(transparent)]
    Message(#[from] wire::Error),
    /// The peer did not answer in time.
    #[error("the peer did not answer in time; it is tried again with the next message")]
    TimedOut,
}

type Network = twoparty::VatNetwork<BufReader<Compat<tokio::net::tcp::OwnedReadHalf>>>;

/// A connection to a peer. Dropping it closes it.
struct Link {
    client: peer::Client,
    used: Instant,
    abort: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

/// Connections to peers, by address.
#[derive(Default)]
pub struct Peers {
    links: RefCell<HashMap<Arc<str>, Link>>,
}

impl Peers {
    /// Sends gossip. The peer's own comes back if it has something to say.
    ///
    /// # Errors
    /// Any [`Error`]; the message may have reached the peer.
    pub async fn gossip(&self, addr: &Arc<str>, message: &Gossip) -> Result<Option<Gossip>, Error> {
        self.exchange(addr, async |client| {
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
        self.exchange(addr, async |client| {
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
        self.links.borrow().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.links.borrow().is_empty()
    }

    /// Runs one exchange on the peer's connection; one that fails costs the
    /// connection.
    async fn exchange<T>(
        &self,
        addr: &Arc<str>,
        exchange: impl AsyncFnOnce(peer::Client) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let bounded = async {
            let client = self.client(addr).await?;
            exchange(client).await
        };
        let result = match tokio::time::timeout(EXCHANGE_TIMEOUT, bounded).await {
            Ok(result) => result,
            Err(_) => Err(Error::TimedOut),
        };
        if result.is_err() {
            self.links.borrow_mut().remove(addr);
        }
        result
    }

    async fn client(&self, addr: &Arc<str>) -> Result<peer::Client, Error> {
        if let Some(client) = self.cached(addr) {
            return Ok(client);
        }
        let link = connect(addr).await?;
        let client = link.client.clone();
        self.links.borrow_mut().insert(addr.clone(), link);
        Ok(client)
    }

    fn cached(&self, addr: &Arc<str>) -> Option<peer::Client> {
        let now = Instant::now();
        let mut links = self.links.borrow_mut();
        links.retain(|_, link| now - link.used < IDLE_TIMEOUT);
        let link = links.get_mut(addr)?;
        link.used = now;
        Some(link.client.clone())
    }
}

async fn connect(addr: &str) -> Result<Link, Error> {
    let stream = TcpStream::connect(addr).await?;
    let mut rpc = RpcSystem::new(network(stream, Side::Client)?, None);
    let client = rpc.bootstrap(Side::Server);
    let (abort, registration) = AbortHandle::new_pair();
    ntex::rt::spawn(Abortable::new(rpc, registration));
    Ok(Link { client, used: Instant::now(), abort })
}

fn network(stream: TcpStream, side: Side) -> std::io::Result<Box<Network>> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    Ok(Box::new(twoparty::VatNetwork::new(
        BufReader::new(read.compat()),
        BufWriter::new(write.compat_write()),
        side,
        capnp::message::ReaderOptions::default(),
    )))
}

/// Serves peers for as long as the process runs.
pub async fn serve(driver: Rc<Driver>, listener: TcpListener) {
    let service: peer::Client = capnp_rpc::new_client(Service { driver });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_one(&service, stream),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

fn serve_one(service: &peer::Client, stream: TcpStream) {
    let Ok(network) = network(stream, Side::Server) else { return };
    let rpc = RpcSystem::new(network, Some(service.client.clone()));
    ntex::rt::spawn(rpc);
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
                self.driver.counts.peers_damaged.add();
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
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, self.driver.ask(key))
            .await
            .unwrap_or(PeerOutcome::Unknown);
        let json =
            serde_json::to_vec(&answer).map_err(|error| capnp::Error::failed(error.to_string()))?;
        results.get().set_answer(&json);
        Ok(())
    }
}
