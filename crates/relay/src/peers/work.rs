//! Work that peers do for this instance: pieces, placements, results given up.

use std::{rc::Rc, time::Duration};

use futures::future::{self, AbortHandle, Abortable, Either};
use peatdeck_core::{
    model::InstanceName,
    relay::{
        model::{
            ExchangeKey, Handle, HandoverKey, Piece, PieceResult, Placement, PlacementRequest,
            Progress, ServiceName,
        },
        terms::Notice,
    },
};
use peatdeck_wire::{link::Error, relay as wire, relay_capnp::relay};

use crate::{
    driver::Driver,
    peers::{self, EXCHANGE_TIMEOUT, Peers},
};

/// Time for a peer to say that it still works.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two such questions while pieces are with a peer.
const PING_PAUSE: Duration = Duration::from_millis(300);
/// Longest time that pieces stay with a peer.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for a peer to say where a call should go: some way over the slowest
/// way there and back within a region, and little against any objective.
const PLACE_TIMEOUT: Duration = Duration::from_millis(80);

impl Peers {
    /// Hands pieces to a peer.
    pub fn hand_over(
        &self,
        driver: &Rc<Driver>,
        key: HandoverKey,
        peer: InstanceName,
        pieces: Vec<Piece>,
    ) {
        let (abort, registration) = AbortHandle::new_pair();
        self.handovers.borrow_mut().insert(key, abort);
        let driver = driver.clone();
        let task = async move {
            let made = make(&driver, &peer, &pieces).await;
            driver.peers.handovers.borrow_mut().remove(key);
            let results = match made {
                Ok(results) if results.len() == pieces.len() => Some(results),
                Ok(_) => None,
                Err(error) => {
                    driver.metrics.count("relay.handovers_failed", 1);
                    tracing::warn!(event = "handover_failed", handover = ?key, peer = &*peer, error = %error);
                    driver.peers.members.borrow_mut().send_failed(driver.now(), &peer);
                    peers::update(&driver);
                    None
                }
            };
            driver.handed_back(key, results);
        };
        ntex::rt::spawn(Abortable::new(task, registration));
    }

    /// Asks a peer where an exchange's call should go.
    pub fn ask_place(
        &self,
        driver: &Rc<Driver>,
        key: ExchangeKey,
        peer: InstanceName,
        question: PlacementRequest,
    ) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            let asked = driver.now();
            let placement = match place(&driver, &peer, &question).await {
                Ok(placement) => placement,
                Err(error) => {
                    driver.metrics.count("relay.placements_failed", 1);
                    tracing::warn!(event = "place_failed", peer = &*peer, error = %error);
                    driver.feed(|machine, now| machine.on_placer_failure(now, &peer));
                    None
                }
            };
            driver.metrics.time("relay.placement", driver.now().saturating_sub(asked));
            driver.feed(|machine, now| machine.on_placement(now, key, &peer, placement));
        });
    }

    /// Tells a placer how the calls go on that it placed. What does not arrive is
    /// not told again: the placer forgets calls of which it hears nothing.
    pub fn report(
        &self,
        driver: &Rc<Driver>,
        peer: InstanceName,
        progress: Vec<Progress>,
        notices: Vec<Notice>,
    ) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            if let Err(error) = report(&driver, &peer, &progress, &notices).await {
                driver.metrics.count("relay.reports_failed", 1);
                tracing::debug!(event = "report_failed", peer = &*peer, error = %error);
            }
        });
    }

    /// Tells a peer that pieces wait at a service. What does not arrive is told
    /// anew in a moment.
    pub fn tell_queue(&self, driver: &Rc<Driver>, peer: InstanceName, service: ServiceName) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            if let Err(error) = tell_queue(&driver, &peer, &service).await {
                driver.metrics.count("relay.queues_untold", 1);
                tracing::debug!(event = "queue_untold", peer = &*peer, error = %error);
            }
        });
    }

    /// Takes pieces back from a peer.
    pub fn recall(&self, key: HandoverKey) {
        if let Some(task) = self.handovers.borrow_mut().remove(key) {
            task.abort();
        }
    }

    /// Has a peer give results up; does it itself if that fails. Those that are
    /// only spare are held until they are given up for good then.
    pub fn free_through(
        &self,
        driver: &Rc<Driver>,
        peer: InstanceName,
        handles: Vec<Handle>,
        is_spare: bool,
    ) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            if free(&driver, &peer, &handles, is_spare).await.is_err() && !is_spare {
                driver.feed(|machine, _| machine.free_at_endpoints(handles));
            }
        });
    }

    /// Gives a peer its results.
    pub fn give_back(&self, ticket: u64, results: Vec<PieceResult>) {
        if let Some(waiting) = self.tickets.borrow_mut().remove(&ticket) {
            // A peer that has gone does not need them.
            waiting.send(results).ok();
        }
    }
}

/// Has a peer make pieces, and watches that it still works.
async fn make(
    driver: &Rc<Driver>,
    peer: &str,
    pieces: &[Piece],
) -> Result<Vec<PieceResult>, Error> {
    let addr = driver.peers.members.borrow().addr(peer).ok_or(Error::TimedOut)?;
    let exchange = async |client: relay::Client| {
        let mut request = client.make_request();
        let list = request.get().init_pieces(pieces.len() as u32);
        wire::write_pieces(driver.now(), pieces, list);
        let mut made = request.send().promise;
        loop {
            let pause = Box::pin(tokio::time::sleep(PING_PAUSE));
            match future::select(made, pause).await {
                Either::Left((response, _)) => {
                    return Ok(wire::read_results(response?.get()?.get_results()?)?);
                }
                Either::Right((_, unfinished)) => made = unfinished,
            }
            ping(&client).await?;
        }
    };
    driver.peers.links.exchange(&addr, HANDOVER_TIMEOUT, exchange).await
}

async fn free(
    driver: &Rc<Driver>,
    peer: &str,
    handles: &[Handle],
    is_spare: bool,
) -> Result<(), Error> {
    let addr = driver.peers.members.borrow().addr(peer).ok_or(Error::TimedOut)?;
    let exchange = async |client: relay::Client| {
        let mut request = client.free_request();
        request.get().set_is_spare(is_spare);
        let mut list = request.get().init_handles(handles.len() as u32);
        for (idx, handle) in (0..).zip(handles) {
            list.set(idx, &**handle);
        }
        request.send().promise.await?;
        Ok(())
    };
    driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange).await
}

async fn place(
    driver: &Rc<Driver>,
    peer: &str,
    question: &PlacementRequest,
) -> Result<Option<Placement>, Error> {
    let addr = driver.peers.members.borrow().addr(peer).ok_or(Error::TimedOut)?;
    let exchange = async |client: relay::Client| {
        let mut request = client.place_request();
        wire::write_placement_request(question, request.get().init_question());
        let response = request.send().promise.await?;
        Ok(wire::read_placement(response.get()?.get_placement()?)?)
    };
    // A slow answer is no reason to close the connection: pieces that were
    // handed over on it are still being made.
    let asked = driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange);
    tokio::time::timeout(PLACE_TIMEOUT, asked).await.unwrap_or(Err(Error::TimedOut))
}

async fn report(
    driver: &Rc<Driver>,
    peer: &str,
    progress: &[Progress],
    notices: &[Notice],
) -> Result<(), Error> {
    let addr = driver.peers.members.borrow().addr(peer).ok_or(Error::TimedOut)?;
    let exchange = async |client: relay::Client| {
        let mut request = client.report_request();
        wire::write_progress(progress, request.get().init_progress(progress.len() as u32));
        request.get().set_from(&*driver.settings.name);
        wire::write_notices(notices, request.get().init_notices(notices.len() as u32));
        request.send().promise.await?;
        Ok(())
    };
    driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange).await
}

async fn tell_queue(driver: &Rc<Driver>, peer: &str, service: &str) -> Result<(), Error> {
    let addr = driver.peers.members.borrow().addr(peer).ok_or(Error::TimedOut)?;
    let exchange = async |client: relay::Client| {
        let mut request = client.queue_request();
        request.get().set_service(service);
        request.send().promise.await?;
        Ok(())
    };
    driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange).await
}

async fn ping(client: &relay::Client) -> Result<(), Error> {
    let answer = client.ping_request().send().promise;
    match tokio::time::timeout(PING_TIMEOUT, answer).await {
        Ok(answer) => Ok(answer.map(|_| ())?),
        Err(_) => Err(Error::TimedOut),
    }
}
