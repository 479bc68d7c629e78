//! The other instances, over Cap'n Proto.
//!
//! With every round an instance sends some peers its liveness counters; each
//! answers in kind, and says how far its copies of the platform's tables are.
//! What they hold is asked for apart from that ([`learn`]), so an instance that
//! the platform's store turns away still learns what is in force. Pieces are
//! handed to the peer that batches their service; a peer that stops answering
//! gets them taken back. [`service`] is the other side: what peers ask of this
//! instance.

pub mod learn;
mod service;

pub use service::serve;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures::{
    channel::oneshot,
    future::{AbortHandle, Abortable, Either},
};
use peatdeck_core::{
    instance::input::Identity,
    membership::{self, ConfigMark, Envelope, Gossip, Local, Members},
    model::{InstanceEntry, InstanceName, Presence},
    relay::{
        model::{ExchangeKey, Handle, HandoverKey, Peer, Piece, PieceResult, Placement, Question},
        readers,
        table::Record,
    },
};
use peatdeck_macros::message;
use peatdeck_wire::{
    link::{Error, Links},
    peer as peer_wire, relay as wire,
    relay_capnp::relay,
};
use rand::seq::IndexedRandom;
use slotmap::SecondaryMap;

use crate::{driver::Driver, settings::Settings, tables::Tables};

/// Time for one exchange of gossip, making the connection included.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for a peer to say that it still works.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two such questions while pieces are with a peer.
const PING_PAUSE: Duration = Duration::from_millis(300);
/// Longest time that pieces stay with a peer.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for a peer to say where a call should go: some way over the slowest
/// way there and back within a region, and little against any objective.
const PLACE_TIMEOUT: Duration = Duration::from_millis(80);
/// Time between two rounds of gossip.
const TICK: Duration = Duration::from_millis(400);
/// A peer whose counter has not risen for this long is taken for dead.
const DEAD_AFTER: Duration = Duration::from_millis(2400);
/// Pause before this instance's record is written again after a failure.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(600);

/// An instance's own record in the platform's table of instances.
#[message]
pub struct Announcement {
    /// Where its peers reach it.
    pub peers: Arc<str>,
    /// Its data centre.
    pub place: Arc<str>,
    /// Its processor's share, in thousandths of a core.
    #[serde(default)]
    pub strength: u32,
}

/// An instance that announced itself.
struct Listed {
    entry: InstanceEntry,
    strength: u32,
}

/// What is known of the other instances, and what is under way with them.
pub struct Peers {
    /// The copies of the platform's tables.
    pub tables: Tables,
    /// How far learning them from peers is.
    learning: learn::Learning,
    members: RefCell<Members>,
    listed: RefCell<HashMap<InstanceName, Listed>>,
    links: Links<relay::Client>,
    handovers: RefCell<SecondaryMap<HandoverKey, AbortHandle>>,
    tickets: RefCell<HashMap<u64, oneshot::Sender<Vec<PieceResult>>>>,
    next_ticket: Cell<u64>,
    /// Names of the peers that may batch pieces, sorted.
    usable: RefCell<Vec<InstanceName>>,
    /// Exchanges of gossip that have no answer yet.
    open: Cell<u64>,
}

impl Peers {
    /// An instance that knows no peer.
    pub fn new(settings: &Settings) -> Peers {
        let identity = Identity {
            name: settings.name.clone(),
            incarnation: settings.incarnation,
            data_centre: settings.data_centre.clone(),
        };
        let gossip = membership::Settings {
            tick: TICK,
            dead_after: DEAD_AFTER,
            ..membership::Settings::default()
        };
        Peers {
            tables: Tables::default(),
            learning: learn::Learning::default(),
            members: RefCell::new(Members::new(identity, gossip, rand::random())),
            listed: RefCell::default(),
            links: Links::default(),
            handovers: RefCell::default(),
            tickets: RefCell::default(),
            next_ticket: Cell::new(0),
            usable: RefCell::default(),
            open: Cell::new(0),
        }
    }

    /// Takes in an instance's record.
    pub fn apply(&self, now: Duration, record: &Record) {
        let mut listed = self.listed.borrow_mut();
        let value = record.value.as_deref();
        match value.map(serde_json::from_slice::<Announcement>) {
            None => drop(listed.remove(&record.key)),
            Some(Err(error)) => {
                let name = &*record.key;
                tracing::warn!(event = "instance_unreadable", name, error = %error);
            }
            Some(Ok(announced)) => {
                let entry = InstanceEntry {
                    name: record.key.clone(),
                    peer_addr: announced.peers.clone(),
                    http_addr: announced.peers,
                    data_centre: announced.place,
                    presence: Presence::Live,
                };
                let strength = announced.strength;
                listed.insert(record.key.clone(), Listed { entry, strength });
            }
        }
        let entries: Vec<_> = listed.values().map(|listed| listed.entry.clone()).collect();
        self.members.borrow_mut().listed(now, &entries);
    }

    /// Whether this instance reads the platform's tables itself: it is one of
    /// the readers, or nobody has given it a fresh copy.
    pub fn reads_store(&self, now: Duration) -> bool {
        if !self.tables.are_known() || self.is_stale(now) {
            return true;
        }
        let own = &self.members.borrow().identity().name.clone();
        self.readers(now).contains(own)
    }

    fn is_stale(&self, now: Duration) -> bool {
        let is_old = self.tables.age(now).is_none_or(|age| age > readers::STALE);
        is_old && !self.learning.is_underway(now)
    }

    /// The readers among the instances that are taken for alive.
    fn readers(&self, now: Duration) -> Vec<InstanceName> {
        let members = self.members.borrow();
        let alive = members.alive(now).into_iter();
        let reachable = alive.filter(|name| members.addr(name).is_some());
        let mut instances: Vec<_> = reachable.map(|name| self.peer(name)).collect();
        instances.push(self.peer(members.identity().name.clone()));
        readers::readers(&instances)
    }

    /// An instance with what it announced of itself.
    fn peer(&self, name: InstanceName) -> Peer {
        let strength = self.listed.borrow().get(&name).map_or(0, |listed| listed.strength);
        Peer { name, strength }
    }

    /// Logs which peers may batch pieces since now, or not any more.
    fn log_changes(&self, peers: &[Peer]) {
        let mut names: Vec<_> = peers.iter().map(|peer| peer.name.clone()).collect();
        names.sort_unstable();
        let before = self.usable.replace(names);
        let now = self.usable.borrow();
        let joined = missing_in(&now, &before);
        let left = missing_in(&before, &now);
        if !(joined.is_empty() && left.is_empty()) {
            tracing::info!(event = "peers", count = now.len(), joined, left);
        }
    }

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
                    driver.peers.members.borrow_mut().failed(driver.now(), &peer);
                    update(&driver);
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
        question: Question,
    ) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            let asked = driver.now();
            let placement = match place(&driver, &peer, &question).await {
                Ok(placement) => placement,
                Err(error) => {
                    driver.metrics.count("relay.placements_failed", 1);
                    tracing::warn!(event = "place_failed", peer = &*peer, error = %error);
                    driver.feed(|machine, now| machine.placer_failed(now));
                    None
                }
            };
            driver.metrics.time("relay.placement", driver.now().saturating_sub(asked));
            driver.feed(|machine, now| machine.placed(now, key, placement));
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
                driver.feed(|machine, _| machine.free_here(handles));
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

/// Writes this instance's record until the platform has taken it.
pub async fn announce(driver: Rc<Driver>) {
    let settings = &driver.settings;
    let announcement = Announcement {
        peers: Arc::from(settings.peers.to_string()),
        place: settings.data_centre.clone(),
        strength: settings.strength,
    };
    let value = serde_json::to_vec(&announcement).expect("two names are JSON");
    loop {
        let call = (driver.surroundings.store.announce)(
            settings.name.clone(),
            bytes::Bytes::from(value.clone()),
        );
        match tokio::time::timeout(GOSSIP_TIMEOUT, call).await {
            Ok(Ok(())) => {
                tracing::info!(event = "announced", peers = &*announcement.peers);
                return;
            }
            Ok(Err(error)) => tracing::warn!(event = "announce_failed", error = %error),
            Err(_) => tracing::warn!(event = "announce_failed", error = "timed out"),
        }
        tokio::time::sleep(ANNOUNCE_PAUSE).await;
    }
}

/// Sends gossip for as long as the process runs.
pub async fn run(driver: Rc<Driver>) {
    loop {
        tokio::time::sleep(TICK).await;
        let now = driver.now();
        let local = local(&driver);
        let envelopes = driver.peers.members.borrow_mut().tick(now, &local);
        if envelopes.is_empty() {
            ask_a_seed(&driver);
        }
        for envelope in envelopes {
            ntex::rt::spawn(send(driver.clone(), envelope));
        }
        update(&driver);
    }
}

/// An instance that knows no peer asks one that it was told of at its start.
fn ask_a_seed(driver: &Rc<Driver>) {
    let own = driver.settings.peers.to_string();
    let others: Vec<_> = driver.settings.seeds.iter().filter(|seed| ***seed != *own).collect();
    let Some(addr) = others.choose(&mut rand::rng()).map(|addr| Arc::clone(addr)) else { return };
    let envelope = Envelope { to: Arc::from(""), addr, message: greeting(driver) };
    ntex::rt::spawn(send(driver.clone(), envelope));
}

/// A message that tells nothing but who asks.
fn greeting(driver: &Driver) -> Gossip {
    Gossip {
        from: driver.settings.name.clone(),
        wants_reply: true,
        mark: local(driver).mark,
        snapshot: None,
        wants_snapshot: false,
        members: Vec::new(),
        leaving: Vec::new(),
        endpoints: Vec::new(),
    }
}

async fn send(driver: Rc<Driver>, envelope: Envelope) {
    let Envelope { to, addr, message } = envelope;
    let asked_at = driver.now();
    let exchange = async |client: relay::Client| {
        let mut request = client.gossip_request();
        peer_wire::write_gossip(&message, request.get().init_message())?;
        let response = request.send().promise.await?;
        let response = response.get()?;
        let reply = response.get_reply()?;
        let reply = if reply.has_from() { Some(peer_wire::read_gossip(reply)?) } else { None };
        let ends: Vec<u64> = response.get_ends()?.iter().collect();
        let age = Duration::from_millis(u64::from(response.get_age_ms()));
        Ok((reply, ends, age))
    };
    driver.metrics.count("relay.gossip", 1);
    let open = &driver.peers.open;
    open.set(open.get() + 1);
    driver.metrics.gauge("relay.exchanges_open", open.get());
    let result = driver.peers.links.exchange(&addr, GOSSIP_TIMEOUT, exchange).await;
    open.set(open.get() - 1);
    match result {
        Ok((reply, ends, age)) => {
            learn::compare(&driver, &addr, &ends, asked_at.checked_sub(age));
            if let Some(reply) = reply {
                let local = local(&driver);
                driver.peers.members.borrow_mut().heard(driver.now(), &reply, &local);
            }
        }
        Err(error) => {
            driver.metrics.count("relay.gossip_failed", 1);
            let took_ms = driver.now().saturating_sub(asked_at).as_millis() as u64;
            let (peer, open) = (&*to, open.get());
            tracing::info!(event = "gossip_failed", peer, took_ms, open, error = %error);
            driver.peers.members.borrow_mut().failed(driver.now(), &to);
        }
    }
}

/// What this instance tells of itself.
fn local(driver: &Driver) -> Local<'static> {
    let version = driver.look(|machine| machine.config().map_or(0, |config| config.version));
    Local {
        mark: ConfigMark { version, offset: None },
        snapshot: None,
        ready: driver.shared.is_ready.load(Ordering::Relaxed),
        leaving: &[],
        endpoints: &[],
    }
}

/// Tells the machine which peers may batch pieces.
pub fn update(driver: &Rc<Driver>) {
    let now = driver.now();
    let members = driver.peers.members.borrow();
    let versions = members.peer_versions(now);
    let usable = versions.into_iter().filter(|peer| peer.is_usable(now));
    let peers = usable.filter(|peer| members.addr(&peer.name).is_some());
    let peers: Vec<_> = peers.map(|peer| driver.peers.peer(peer.name)).collect();
    drop(members);
    driver.metrics.gauge("relay.peers", peers.len() as u64);
    driver.peers.log_changes(&peers);
    let announced = driver.peers.listed.borrow().len();
    driver.feed(|machine, now| machine.set_peers(now, peers, announced));
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
            match futures::future::select(made, pause).await {
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
    driver.peers.links.exchange(&addr, GOSSIP_TIMEOUT, exchange).await
}

async fn place(
    driver: &Rc<Driver>,
    peer: &str,
    question: &Question,
) -> Result<Option<Placement>, Error> {
    let addr = driver.peers.members.borrow().addr(peer).ok_or(Error::TimedOut)?;
    let exchange = async |client: relay::Client| {
        let mut request = client.place_request();
        wire::write_question(question, request.get().init_question());
        let response = request.send().promise.await?;
        Ok(wire::read_placement(response.get()?.get_placement()?)?)
    };
    // A slow answer is no reason to close the connection: pieces that were
    // handed over on it are still being made.
    let asked = driver.peers.links.exchange(&addr, GOSSIP_TIMEOUT, exchange);
    tokio::time::timeout(PLACE_TIMEOUT, asked).await.unwrap_or(Err(Error::TimedOut))
}

async fn ping(client: &relay::Client) -> Result<(), Error> {
    let answer = client.ping_request().send().promise;
    match tokio::time::timeout(PING_TIMEOUT, answer).await {
        Ok(answer) => Ok(answer.map(|_| ())?),
        Err(_) => Err(Error::TimedOut),
    }
}

/// The names that the other sorted list does not have, for a log line.
fn missing_in(names: &[InstanceName], other: &[InstanceName]) -> String {
    let missing = names.iter().filter(|name| other.binary_search(name).is_err());
    missing.map(|name| &**name).collect::<Vec<_>>().join(" ")
}
