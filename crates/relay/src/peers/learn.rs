//! Receives the contents of the platform's tables from peers.
//!
//! An instance has one request open at a time, to one peer, and the size of each reply
//! is limited ([`catch_up`](peatdeck_core::relay::catch_up)), so at most one such reply
//! is in transit to it, however much it lacks. If every exchange with any peer carried
//! everything that is missing, copies of one large configuration would saturate a narrow
//! link, and each would time out before it is complete, without end.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use futures::future;
use peatdeck_core::{
    model::InstanceName,
    relay::{position::Position, readers, table::Portion},
};
use peatdeck_wire::{link::Error, relay as wire, relay_capnp::relay};
use rand::{Rng, seq::IndexedRandom};
use tokio::sync::Notify;

use crate::{
    driver::Driver,
    peers::{EXCHANGE_TIMEOUT, remote::Kind, versions},
    surroundings::{TABLES, TableName},
    table_changes,
    tables::{self, MIN_LOGGED_BYTES},
};

/// Progress of receiving tables from peers.
#[derive(Debug, Default)]
pub struct LearnState {
    /// A peer whose copies are newer than those of this instance.
    ahead: RefCell<Option<AheadPeer>>,
    wake: Notify,
    /// When the last portion with more to follow arrived from a peer that is up to date.
    progressed: Cell<Option<Duration>>,
}

#[derive(Debug)]
struct AheadPeer {
    addr: Arc<str>,
    positions: Vec<Position>,
    /// Whether it is in another region.
    is_remote: bool,
    /// Since when such peers have had records that this instance lacks.
    since: Duration,
}

/// The peer to request tables from.
struct Source {
    /// Name of a reader; `None` for a peer of which only the address is known.
    name: Option<InstanceName>,
    addr: Arc<str>,
}

/// When a peer's copies were last compared with the store, by the clock of this instance.
#[derive(Debug, Clone, Copy)]
pub struct Compared {
    urgent: Option<Duration>,
    rollouts: Option<Duration>,
}

impl Compared {
    /// From the ages that a peer stated in reply to a message sent at `sent_at`.
    pub fn from_ages(sent_at: Duration, urgent_ms: u32, rollouts_ms: u32) -> Compared {
        let at = |ms: u32| {
            // The largest number stands for copies that were never compared.
            let age = (ms < u32::MAX).then(|| Duration::from_millis(u64::from(ms)))?;
            sent_at.checked_sub(age)
        };
        Compared { urgent: at(urgent_ms), rollouts: at(rollouts_ms) }
    }

    /// When the copy of a table was compared.
    fn of(self, name: TableName) -> Option<Duration> {
        if name == TableName::Rollouts { self.rollouts } else { self.urgent }
    }
}

impl LearnState {
    /// Whether a peer that is up to date is sending what this instance lacks, so that it
    /// need not read the same from the store.
    pub fn is_underway(&self, now: Duration) -> bool {
        self.progressed.get().is_some_and(|at| now.saturating_sub(at) <= readers::STALE_AFTER)
    }
}

/// Receives tables for as long as the process runs: from a reader at the readers' interval,
/// and in between from peers that are ahead.
pub async fn run(driver: Rc<Driver>) {
    let mut next_read = driver.now();
    loop {
        let pause = tokio::time::sleep(next_read.saturating_sub(driver.now()));
        let woken = Box::pin(driver.peers.learn_state.wake.notified());
        future::select(Box::pin(pause), woken).await;
        let ahead = take_ahead(&driver);
        let is_due = driver.now() >= next_read;
        if is_due {
            next_read =
                driver.now() + readers::READ_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.1));
        }
        let lacks_config =
            ahead.as_ref().is_some_and(|ahead| lacks_config(&driver, &ahead.positions));
        if let Some(reader) = reader(&driver).filter(|_| is_due || lacks_config) {
            learn_from(&driver, &reader).await;
        }
        if let Some(ahead) = ahead.filter(|ahead| lacks(&driver, &ahead.positions)) {
            learn_from(&driver, &Source { name: None, addr: ahead.addr }).await;
        }
        versions::catch_up(&driver).await;
    }
}

/// Compares a peer's positions with those of this instance. `compared` is when the peer's
/// copies were last compared with the store; it applies also to copies here that are at
/// least as new, of the same timeline. Requests the tables if the peer is ahead.
pub fn compare_positions(
    driver: &Rc<Driver>,
    addr: &Arc<str>,
    positions: &[Position],
    compared: Compared,
) {
    let (tables, now) = (&driver.peers.tables, driver.now());
    let had_read = tables.has_read_rollouts();
    for (name, theirs) in tables.followed().iter().zip(positions) {
        let own = tables.position(*name);
        let is_level = own.timeline == theirs.timeline && own >= *theirs;
        if let Some(at) = compared.of(*name).filter(|_| is_level) {
            tables::mark_compared(driver, *name, at);
        }
    }
    if !had_read && tables.has_read_rollouts() {
        // The copy was read for an earlier order, and the peer confirms that it is the newest.
        table_changes::apply(driver, TableName::Rollouts, addr, Vec::new());
    }
    if lacks(driver, positions) {
        let positions = positions.to_vec();
        let is_remote = driver.peers.is_remote_addr(addr);
        note_ahead(driver, AheadPeer { addr: addr.clone(), positions, is_remote, since: now });
    }
}

/// Remembers a peer that is ahead. One of another region does not replace one of this region, and
/// the waiting time for it counts from when the first one was noticed.
fn note_ahead(driver: &Driver, mut peer: AheadPeer) {
    let learn_state = &driver.peers.learn_state;
    let mut ahead = learn_state.ahead.borrow_mut();
    if let Some(known) = ahead.as_ref().filter(|known| lacks(driver, &known.positions)) {
        if peer.is_remote && !known.is_remote {
            return;
        }
        peer.since = peer.since.min(known.since);
    }
    *ahead = Some(peer);
    learn_state.wake.notify_one();
}

/// The peer that is ahead, if records may be requested from it now.
fn take_ahead(driver: &Driver) -> Option<AheadPeer> {
    let now = driver.now();
    let may_ask = |peer: &mut AheadPeer| {
        !peer.is_remote || driver.peers.may_cross(now, now.saturating_sub(peer.since))
    };
    driver.peers.learn_state.ahead.borrow_mut().take_if(may_ask)
}

/// Whether a peer at these positions has records that this instance lacks.
fn lacks(driver: &Driver, positions: &[Position]) -> bool {
    let tables = &driver.peers.tables;
    let mut pairs = tables.followed().iter().zip(positions);
    pairs.any(|(name, theirs)| {
        let is_missing = *name == TableName::Rollouts && !tables.is_loaded(*name);
        is_missing || tables.position(*name) < *theirs
    })
}

/// Whether a peer at these positions has a newer configuration table. That may be large, so
/// it is requested from a reader first, since readers have the largest CPU shares.
pub fn lacks_config(driver: &Driver, positions: &[Position]) -> bool {
    let own = driver.peers.tables.position(TableName::Config);
    positions.get(TableName::Config as usize).is_some_and(|theirs| own < *theirs)
}

/// A random reader to request tables from; `None` if this instance is a reader with fresh
/// copies, or no other reader is known.
fn reader(driver: &Driver) -> Option<Source> {
    let name = driver.peers.sources(driver.now()).choose(&mut rand::rng())?.clone();
    let addr = driver.peers.members.borrow().addr(&name)?;
    Some(Source { name: Some(name), addr })
}

/// Requests portions from a peer until it has no more to send.
async fn learn_from(driver: &Rc<Driver>, source_peer: &Source) {
    let started = driver.now();
    let source = source_peer.name.as_deref().unwrap_or(&source_peer.addr);
    let mut bytes = 0;
    let result = loop {
        match step(driver, source_peer, source).await {
            Ok(Step { bytes: received, has_more }) => {
                bytes += received;
                if !has_more || received == 0 {
                    break Ok(());
                }
            }
            Err(error) => break Err(error),
        }
    };
    let took_ms = driver.now().saturating_sub(started).as_millis() as u64;
    if bytes >= MIN_LOGGED_BYTES {
        tracing::info!(event = "tables_heard", peer = source, bytes, took_ms);
    }
    if let Err(error) = result {
        driver.metrics.count("relay.learn_failed", 1);
        tracing::info!(event = "learn_failed", peer = source, bytes, took_ms, error = %error);
        if let Some(name) = &source_peer.name {
            driver.peers.members.borrow_mut().send_failed(driver.now(), name);
        }
    }
}

/// Size of one reply, and whether the peer has more.
struct Step {
    bytes: u64,
    has_more: bool,
}

async fn step(driver: &Rc<Driver>, source_peer: &Source, source: &str) -> Result<Step, Error> {
    let sent_at = driver.now();
    let (portions, compared) = request_portions(driver, &source_peer.addr, sent_at).await?;
    let bytes = portions.iter().map(Portion::bytes).sum::<usize>() as u64;
    driver.metrics.count("relay.heard_bytes", bytes);
    let (tables, mut has_more) = (&driver.peers.tables, false);
    for (name, portion) in TABLES.into_iter().zip(portions) {
        let before = (tables.is_loaded(name), tables.position(name));
        let learned = tables.apply_portion(name, portion);
        tables::record_timeline(driver, name, source, before);
        if let Some(at) = compared.of(name).filter(|_| learned.is_caught_up) {
            tables::mark_compared(driver, name, at);
        }
        has_more |= learned.has_more;
        table_changes::apply(driver, name, source, learned.changed);
    }
    let is_fresh =
        compared.urgent.is_some_and(|at| sent_at.saturating_sub(at) <= readers::STALE_AFTER);
    if has_more && is_fresh {
        driver.peers.learn_state.progressed.set(Some(driver.now()));
    }
    Ok(Step { bytes, has_more })
}

/// Sends one request. Returns the portions and when the peer's copies were compared.
async fn request_portions(
    driver: &Driver,
    addr: &Arc<str>,
    sent_at: Duration,
) -> Result<(Vec<Portion>, Compared), Error> {
    let requests = driver.peers.tables.next_requests();
    let exchange = async |client: relay::Client| {
        let mut request = client.learn_request();
        let mut list = request.get().init_asks(requests.len() as u32);
        for (idx, ask) in (0..).zip(&requests) {
            wire::write_portion_request(ask, list.reborrow().get(idx));
        }
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(driver, addr, Kind::Tables, size);
        let response = request.send().promise.await?;
        let response = response.get()?;
        let portions = response.get_portions()?.iter().map(wire::read_portion);
        let (urgent_ms, rollouts_ms) = (response.get_age_ms(), response.get_rollouts_age_ms());
        let compared = Compared::from_ages(sent_at, urgent_ms, rollouts_ms);
        Ok((portions.collect::<Result<_, _>>()?, compared))
    };
    driver.peers.links.exchange(addr, EXCHANGE_TIMEOUT, exchange).await
}
