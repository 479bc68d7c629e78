//! Learns from peers what the platform's tables hold.
//!
//! One question is open at a time, to one peer, and each answer is bounded
//! ([`catch_up`](peatdeck_core::relay::catch_up)): whatever is lacking, no more
//! than one answer is on its way to an instance. Were each exchange with any
//! peer to bring all that is lacking, copies of one large configuration would
//! fill a narrow link, none whole before its time limit, for ever.

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
    peers::{EXCHANGE_TIMEOUT, versions},
    surroundings::{TABLES, TableName},
    tables::{self, NOTABLE},
};

/// How far learning from peers is.
#[derive(Debug, Default)]
pub struct Learning {
    /// A peer that said it is ahead.
    ahead: RefCell<Option<Ahead>>,
    wake: Notify,
    /// When something came that is not yet all, from a peer that is up to date.
    progressed: Cell<Option<Duration>>,
}

#[derive(Debug)]
struct Ahead {
    addr: Arc<str>,
    positions: Vec<Position>,
}

/// Whom to ask.
struct Teller {
    /// Its name, if it is known.
    name: Option<InstanceName>,
    addr: Arc<str>,
}

impl Learning {
    /// Whether a peer that is up to date is just telling what this instance
    /// lacks. It need not ask the store for the same then.
    pub fn is_underway(&self, now: Duration) -> bool {
        self.progressed.get().is_some_and(|at| now.saturating_sub(at) <= readers::STALE_AFTER)
    }
}

/// Learns for as long as the process runs: from a reader at its pace, and
/// meanwhile from peers that say they are ahead.
pub async fn run(driver: Rc<Driver>) {
    let mut due = driver.now();
    loop {
        let pause = tokio::time::sleep(due.saturating_sub(driver.now()));
        let woken = Box::pin(driver.peers.learning.wake.notified());
        future::select(Box::pin(pause), woken).await;
        let ahead = driver.peers.learning.ahead.borrow_mut().take();
        let is_due = driver.now() >= due;
        if is_due {
            due = driver.now() + readers::READ_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.1));
        }
        let lacks_config =
            ahead.as_ref().is_some_and(|ahead| lacks_config(&driver, &ahead.positions));
        if let Some(reader) = reader(&driver).filter(|_| is_due || lacks_config) {
            learn_from(&driver, &reader).await;
        }
        if let Some(ahead) = ahead.filter(|ahead| lacks(&driver, &ahead.positions)) {
            learn_from(&driver, &Teller { name: None, addr: ahead.addr }).await;
        }
        versions::catch_up(&driver).await;
    }
}

/// Takes in how far a peer is, whose copies were compared with the store at
/// that time. A peer in an earlier timeline says nothing of this one.
pub fn compare(
    driver: &Driver,
    addr: &Arc<str>,
    positions: &[Position],
    compared: Option<Duration>,
) {
    let (tables, learning) = (&driver.peers.tables, &driver.peers.learning);
    for (name, theirs) in TABLES.into_iter().zip(positions) {
        let own = tables.position(name);
        let is_level = own.timeline == theirs.timeline && own >= *theirs;
        if let Some(at) = compared.filter(|_| is_level) {
            tables.compare(name, at);
        }
    }
    if lacks(driver, positions) {
        let positions = positions.to_vec();
        *learning.ahead.borrow_mut() = Some(Ahead { addr: addr.clone(), positions });
        learning.wake.notify_one();
    }
}

/// Whether a peer whose copies are so far has anything that this instance lacks.
fn lacks(driver: &Driver, positions: &[Position]) -> bool {
    driver.peers.tables.positions().iter().zip(positions).any(|(own, theirs)| own < theirs)
}

/// Whether it has a newer configuration. That may be large, so readers, which
/// are the strongest instances, are asked for it first.
pub fn lacks_config(driver: &Driver, positions: &[Position]) -> bool {
    let own = driver.peers.tables.position(TableName::Config);
    positions.get(TableName::Config as usize).is_some_and(|theirs| own < *theirs)
}

/// A reader to ask, unless this instance is one and reads the store.
fn reader(driver: &Driver) -> Option<Teller> {
    let now = driver.now();
    let own = &driver.settings.name;
    let readers = driver.peers.readers(now);
    if readers.contains(own) && !driver.peers.is_stale(now) {
        return None;
    }
    let others: Vec<_> = readers.into_iter().filter(|name| name != own).collect();
    let name = others.choose(&mut rand::rng())?.clone();
    let addr = driver.peers.members.borrow().addr(&name)?;
    Some(Teller { name: Some(name), addr })
}

/// Asks a peer until it has told all that it has.
async fn learn_from(driver: &Rc<Driver>, teller: &Teller) {
    let begun = driver.now();
    let source = teller.name.as_deref().unwrap_or(&teller.addr);
    let mut bytes = 0;
    let result = loop {
        match step(driver, teller, source).await {
            Ok(Step { bytes: came, has_more }) => {
                bytes += came;
                if !has_more || came == 0 {
                    break Ok(());
                }
            }
            Err(error) => break Err(error),
        }
    };
    let took_ms = driver.now().saturating_sub(begun).as_millis() as u64;
    if bytes >= NOTABLE {
        tracing::info!(event = "tables_heard", peer = source, bytes, took_ms);
    }
    if let Err(error) = result {
        driver.metrics.count("relay.learn_failed", 1);
        tracing::info!(event = "learn_failed", peer = source, bytes, took_ms, error = %error);
        if let Some(name) = &teller.name {
            driver.peers.members.borrow_mut().send_failed(driver.now(), name);
        }
    }
}

/// What one answer brought.
struct Step {
    bytes: u64,
    has_more: bool,
}

async fn step(driver: &Rc<Driver>, teller: &Teller, source: &str) -> Result<Step, Error> {
    let asked_at = driver.now();
    let (portions, age) = ask(driver, &teller.addr).await?;
    let bytes = portions.iter().map(Portion::bytes).sum::<usize>() as u64;
    driver.metrics.count("relay.heard_bytes", bytes);
    let (tables, mut has_more) = (&driver.peers.tables, false);
    for (name, portion) in TABLES.into_iter().zip(portions) {
        let before = (tables.is_known(name), tables.position(name));
        let learned = tables.learn(name, portion);
        tables::note_timeline(driver, name, source, before);
        if let Some(at) = asked_at.checked_sub(age).filter(|_| learned.is_caught_up) {
            tables.compare(name, at);
        }
        has_more |= learned.has_more;
        tables::apply(driver, name, source, learned.changed);
    }
    if has_more && age <= readers::STALE_AFTER {
        driver.peers.learning.progressed.set(Some(driver.now()));
    }
    Ok(Step { bytes, has_more })
}

/// One question, and its answer with the age of what is told.
async fn ask(driver: &Driver, addr: &Arc<str>) -> Result<(Vec<Portion>, Duration), Error> {
    let asks = driver.peers.tables.asks();
    let exchange = async |client: relay::Client| {
        let mut request = client.learn_request();
        let mut list = request.get().init_asks(asks.len() as u32);
        for (idx, ask) in (0..).zip(&asks) {
            wire::write_portion_request(ask, list.reborrow().get(idx));
        }
        let response = request.send().promise.await?;
        let response = response.get()?;
        let portions = response.get_portions()?.iter().map(wire::read_portion);
        let age = Duration::from_millis(u64::from(response.get_age_ms()));
        Ok((portions.collect::<Result<_, _>>()?, age))
    };
    driver.peers.links.exchange(addr, EXCHANGE_TIMEOUT, exchange).await
}
