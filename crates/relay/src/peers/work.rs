//! Work that peers do for this instance: running pieces, placing prompts, freeing results.

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
    peers::{self, EXCHANGE_TIMEOUT, Peers, remote::Kind},
};

/// Time limit for a peer to answer a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of pings while a peer runs pieces of this instance.
pub(super) const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Time limit for a peer to run the pieces handed over to it.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit of a placement request: somewhat above the longest round trip within a
/// region, and short compared with any latency objective.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(80);
/// Additional time for a reply from another region: two round trips of 60 ms, since the connection
/// may have to be opened, and the variation of a busy link.
const REMOTE_ALLOWANCE: Duration = Duration::from_millis(150);

impl Peers {
    /// Hands pieces over to a peer, and passes its results to the machine.
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
            let outcome = run_pieces(&driver, &peer, &pieces).await;
            driver.peers.handovers.borrow_mut().remove(key);
            let results = match outcome {
                Ok(results) if results.len() == pieces.len() => Some(results),
                Ok(_) => None,
                Err(error) => {
                    driver.metrics.count("relay.handovers_failed", 1);
                    tracing::warn!(event = "handover_failed", handover = ?key, peer = &*peer, error = %error);
                    driver.peers.members.borrow_mut().send_failed(driver.now(), &peer);
                    peers::update_peers(&driver);
                    None
                }
            };
            driver.on_handover_return(key, results);
        };
        ntex::rt::spawn(Abortable::new(task, registration));
    }

    /// Requests from a peer, the placer, which endpoint an exchange's call should go to.
    pub fn request_placement(
        &self,
        driver: &Rc<Driver>,
        key: ExchangeKey,
        peer: InstanceName,
        request: PlacementRequest,
    ) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            let started = driver.now();
            let placement = match place(&driver, &peer, &request).await {
                Ok(placement) => placement,
                Err(error) => {
                    driver.metrics.count("relay.placements_failed", 1);
                    tracing::warn!(event = "place_failed", peer = &*peer, error = %error);
                    driver.feed(|machine, now| machine.on_placer_failure(now, &peer));
                    None
                }
            };
            driver.metrics.time("relay.placement", driver.now().saturating_sub(started));
            driver.feed(|machine, now| machine.on_placement(now, key, &peer, placement));
        });
    }

    /// Reports to a placer the progress of the calls that it placed. A failed report is not
    /// retried, since the placer expires calls without reports.
    pub fn report_progress(
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

    /// Notifies a peer that pieces are queued for a service. A failed notification is not
    /// retried, since the next one follows shortly.
    pub fn announce_queue(&self, driver: &Rc<Driver>, peer: InstanceName, service: ServiceName) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            if let Err(error) = tell_queue(&driver, &peer, &service).await {
                driver.metrics.count("relay.queues_untold", 1);
                tracing::debug!(event = "queue_untold", peer = &*peer, error = %error);
            }
        });
    }

    /// Recalls pieces from a peer by cancelling the call.
    pub fn recall(&self, key: HandoverKey) {
        if let Some(task) = self.handovers.borrow_mut().remove(key) {
            task.abort();
        }
    }

    /// Has a peer free results, or mark them as evictable. If that fails, this instance frees
    /// them itself; evictable ones are kept until they are freed for good.
    pub fn free_via_peer(
        &self,
        driver: &Rc<Driver>,
        peer: InstanceName,
        handles: Vec<Handle>,
        is_evictable: bool,
    ) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            if free(&driver, &peer, &handles, is_evictable).await.is_err() && !is_evictable {
                driver.feed(|machine, _| machine.free_at_endpoints(handles));
            }
        });
    }

    /// Returns the results of pieces to the peer that handed them over.
    pub fn return_results(&self, ticket: u64, results: Vec<PieceResult>) {
        if let Some(waiting) = self.tickets.borrow_mut().remove(&ticket) {
            // The peer may have cancelled its call.
            waiting.send(results).ok();
        }
    }
}

/// Has a peer run pieces, and pings it until it returns the results.
async fn run_pieces(
    driver: &Rc<Driver>,
    peer: &str,
    pieces: &[Piece],
) -> Result<Vec<PieceResult>, Error> {
    let addr = driver.peers.members.borrow().addr(peer).ok_or(Error::TimedOut)?;
    let exchange = async |client: relay::Client| {
        let mut request = client.make_request();
        let list = request.get().init_pieces(pieces.len() as u32);
        wire::write_pieces(driver.now(), pieces, list);
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(driver, &addr, Kind::Pieces, size);
        let mut reply = request.send().promise;
        loop {
            let pause = Box::pin(tokio::time::sleep(PING_INTERVAL));
            match future::select(reply, pause).await {
                Either::Left((response, _)) => {
                    return Ok(wire::read_results(response?.get()?.get_results()?)?);
                }
                Either::Right((_, unfinished)) => reply = unfinished,
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
    is_evictable: bool,
) -> Result<(), Error> {
    let addr = driver.peers.members.borrow().addr(peer).ok_or(Error::TimedOut)?;
    let exchange = async |client: relay::Client| {
        let mut request = client.free_request();
        request.get().set_is_spare(is_evictable);
        let mut list = request.get().init_handles(handles.len() as u32);
        for (idx, handle) in (0..).zip(handles) {
            list.set(idx, &**handle);
        }
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(driver, &addr, Kind::Others, size);
        request.send().promise.await?;
        Ok(())
    };
    driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange).await
}

async fn place(
    driver: &Rc<Driver>,
    peer: &str,
    placement_request: &PlacementRequest,
) -> Result<Option<Placement>, Error> {
    let addr = driver.peers.members.borrow().addr(peer).ok_or(Error::TimedOut)?;
    let exchange = async |client: relay::Client| {
        let mut request = client.place_request();
        wire::write_placement_request(placement_request, request.get().init_question());
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(driver, &addr, Kind::Placements, size);
        let response = request.send().promise.await?;
        Ok(wire::read_placement(response.get()?.get_placement()?)?)
    };
    // A slow reply must not close the connection, since pieces handed over on it may still
    // be running.
    let placement = driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange);
    let limit = match driver.peers.is_remote(peer) {
        true => PLACEMENT_TIMEOUT + REMOTE_ALLOWANCE,
        false => PLACEMENT_TIMEOUT,
    };
    tokio::time::timeout(limit, placement).await.unwrap_or(Err(Error::TimedOut))
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
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(driver, &addr, Kind::Placements, size);
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
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(driver, &addr, Kind::Others, size);
        request.send().promise.await?;
        Ok(())
    };
    driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange).await
}

pub(super) async fn ping(client: &relay::Client) -> Result<(), Error> {
    let answer = client.ping_request().send().promise;
    match tokio::time::timeout(PING_TIMEOUT, answer).await {
        Ok(answer) => Ok(answer.map(|_| ())?),
        Err(_) => Err(Error::TimedOut),
    }
}
