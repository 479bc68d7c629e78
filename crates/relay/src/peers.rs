//! The other instances, over Cap'n Proto.
//!
//! With every round an instance sends some peers its liveness counters; each
//! answers in kind, and says how far its copies of the platform's tables are.
//! What they hold is asked for apart from that, so an instance that the
//! platform's store turns away still learns what is in force. Pieces are handed
//! to the peer that batches their service; a peer that stops answering gets them
//! taken back.
//!
//! - [`gossip`]: the rounds.
//! - [`learn`]: what the tables hold.
//! - `work`: pieces, placements and results.
//! - `verdicts`: contents that crash what runs them.
//! - [`versions`]: a newer configuration than the tables tell of.
//! - `service`: the other side, what peers ask of this instance.

pub mod gossip;
pub mod learn;
mod service;
mod verdicts;
pub mod versions;
mod work;

pub use service::serve;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use futures::{channel::oneshot, future::AbortHandle};
use peatdeck_core::{
    instance::input::Identity,
    membership::{self, Members},
    model::{InstanceEntry, InstanceName, Presence},
    relay::{
        model::{HandoverKey, Peer, PieceResult},
        readers,
        table::Record,
    },
};
use peatdeck_macros::message;
use peatdeck_wire::{link::Links, relay_capnp::relay};
use slotmap::SecondaryMap;

use crate::{
    driver::Driver,
    settings::Settings,
    surroundings::TableName,
    tables::{self, Tables},
};

/// Time for one short exchange, making the connection included.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two rounds of gossip.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// A peer whose counter has not risen for this long is taken for dead.
const DEAD_AFTER: Duration = Duration::from_millis(2400);

/// Peers that a log line names: those of a large site fill kilobytes.
const MOST_NAMED: usize = 12;

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
    /// The configuration in force, as it was written, and who has a newer one.
    versions: versions::Versions,
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
            tick: GOSSIP_INTERVAL,
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
            versions: versions::Versions::default(),
        }
    }

    /// The configuration that is in force now, as it was written.
    pub fn set_config(&self, record: Record) {
        self.versions.set(record);
    }

    /// Takes in an instance's record.
    pub fn apply_announcement(&self, now: Duration, record: &Record) {
        let mut listed = self.listed.borrow_mut();
        let value = record.value.as_deref();
        match value.map(serde_json::from_slice::<Announcement>) {
            None => drop(listed.remove(&record.key)),
            Some(Err(error)) => {
                let (name, error) = (&*record.key, error.to_string());
                let error = tables::truncate(&error);
                tracing::warn!(event = "instance_unreadable", name, error);
                // Nobody can be reached by it, whatever stood there before.
                listed.remove(&record.key);
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
        self.members.borrow_mut().apply_listing(now, &entries);
    }

    /// Whether this instance reads the platform's tables itself: it is one of
    /// the readers, or nobody has given it a fresh copy.
    pub fn reads_store(&self, now: Duration) -> bool {
        if !self.tables.are_loaded() || self.is_stale(now) {
            return true;
        }
        self.is_reader(now)
    }

    /// Whether this instance is one of those that read the platform's tables for all.
    pub fn is_reader(&self, now: Duration) -> bool {
        let own = &self.members.borrow().identity().name.clone();
        self.readers(now).contains(own)
    }

    /// The instances that are taken for alive, this one among them.
    pub fn alive(&self, now: Duration) -> Vec<InstanceName> {
        let members = self.members.borrow();
        let mut alive: Vec<_> = members.alive(now).into_iter().collect();
        alive.push(members.identity().name.clone());
        alive
    }

    fn is_stale(&self, now: Duration) -> bool {
        let is_old = self.tables.age(now).is_none_or(|age| age > readers::STALE_AFTER);
        is_old && !self.learning.is_underway(now)
    }

    /// The readers among the instances that are taken for alive.
    fn readers(&self, now: Duration) -> Vec<InstanceName> {
        let members = self.members.borrow();
        let alive = members.alive(now).into_iter();
        let reachable = alive.filter(|name| members.addr(name).is_some());
        let mut instances: Vec<_> = reachable.map(|name| self.peer(name)).collect();
        instances.push(self.peer(members.identity().name.clone()));
        readers::select_readers(&instances)
    }

    /// An instance with what it announced of itself.
    fn peer(&self, name: InstanceName) -> Peer {
        let strength = self.listed.borrow().get(&name).map_or(0, |listed| listed.strength);
        Peer { name, millicores: strength }
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
}

/// Tells the machine which peers may batch pieces.
pub fn update_peers(driver: &Rc<Driver>) {
    let now = driver.now();
    let members = driver.peers.members.borrow();
    let versions = members.peer_statuses(now);
    let usable = versions.into_iter().filter(|peer| peer.is_usable(now));
    let peers = usable.filter(|peer| members.addr(&peer.name).is_some());
    let peers: Vec<_> = peers.map(|peer| driver.peers.peer(peer.name)).collect();
    drop(members);
    driver.metrics.gauge("relay.peers", peers.len() as u64);
    driver.peers.log_changes(&peers);
    let announced = driver.peers.listed.borrow().len();
    let are_known = driver.peers.tables.is_loaded(TableName::Instances);
    driver.feed(|machine, now| {
        machine.set_peers(now, peers, announced);
        if are_known {
            machine.mark_peers_known(now);
        }
    });
}

/// The names that the other sorted list does not have, for a log line; of many
/// only the first.
fn missing_in(names: &[InstanceName], other: &[InstanceName]) -> String {
    let is_missing = |name: &&InstanceName| other.binary_search(name).is_err();
    let missing: Vec<&str> = names.iter().filter(is_missing).map(|name| &**name).collect();
    match missing.len() {
        0..=MOST_NAMED => missing.join(" "),
        count => format!("{} and {} more", missing[..MOST_NAMED].join(" "), count - MOST_NAMED),
    }
}
