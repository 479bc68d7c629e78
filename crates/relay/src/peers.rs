//! Communication with the other instances, over Cap'n Proto.
//!
//! In every round of gossip an instance sends some peers its liveness counters. Each
//! replies with its own, and with the positions of its copies of the platform's tables.
//! The contents of the tables are requested separately, so an instance that the
//! platform's store refuses still receives them. Pieces are handed over to the peer
//! that batches their service; if that peer stops answering, they are recalled.
//!
//! - [`gossip`]: rounds of gossip.
//! - `regions`: how far peers are, and which instances take records from other regions.
//! - [`remote`]: control traffic to other regions, counted and limited.
//! - [`learn`]: receives the contents of the tables from peers.
//! - [`detour`]: calls to endpoints that only peers reach.
//! - `work`: pieces, placements and results.
//! - `evidence`: counts of rollouts, for the instance that decides on them.
//! - `streams`: versions that began streams.
//! - `verdicts`: contents that crash the endpoints that run them.
//! - [`versions`]: configurations newer than the platform's table has.
//! - `service`: the interface that this instance offers to its peers.

pub mod detour;
mod evidence;
pub mod gossip;
pub mod learn;
mod regions;
pub mod remote;
mod service;
mod streams;
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
    model::{DataCentre, InstanceEntry, InstanceName, Presence},
    relay::{
        model::{HandoverKey, Peer, PieceResult},
        readers,
        region::RegionMap,
        table::Record,
    },
};
use peatdeck_macros::message;
use peatdeck_wire::{link::Links, relay_capnp::relay};
use slotmap::SecondaryMap;

use crate::{
    driver::Driver,
    regions::Unlisted,
    settings::Settings,
    surroundings::TableName,
    tables::{self, Tables},
};

/// Time limit of one short exchange, including opening the connection.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between two rounds of gossip.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// A peer whose counter has not increased for this long is considered dead.
const DEAD_AFTER: Duration = Duration::from_millis(2400);

/// Most peers that a log line names; all names of a large site would take kilobytes.
const MAX_NAMED: usize = 12;

/// An instance's record in the platform's table of instances, which it writes itself.
#[message]
pub struct Announcement {
    /// Address that peers connect to.
    pub peers: Arc<str>,
    /// Data centre of the instance.
    pub place: Arc<str>,
    /// CPU share of the instance, in thousandths of a core.
    #[serde(default)]
    pub strength: u32,
}

/// An instance with a valid announcement.
struct AnnouncedInstance {
    entry: InstanceEntry,
    millicores: u32,
}

/// State about the other instances, and the exchanges in flight with them.
pub struct Peers {
    /// The copies of the platform's tables.
    pub tables: Tables,
    /// Progress of receiving the tables from peers.
    learn_state: learn::LearnState,
    members: RefCell<Members>,
    announced: RefCell<HashMap<InstanceName, AnnouncedInstance>>,
    links: Links<relay::Client>,
    handovers: RefCell<SecondaryMap<HandoverKey, AbortHandle>>,
    tickets: RefCell<HashMap<u64, oneshot::Sender<Vec<PieceResult>>>>,
    next_ticket: Cell<u64>,
    /// Names of the peers that may batch pieces, sorted.
    usable_names: RefCell<Vec<InstanceName>>,
    /// Number of gossip exchanges in flight.
    open_exchanges: Cell<u64>,
    /// The configuration's record in force, and the peer that has a newer one.
    versions: versions::Versions,
    /// Data centres that the region map does not list.
    pub unlisted: Unlisted,
    /// What this instance may still send to other regions for control.
    budget: RefCell<remote::Bucket>,
    regions: RegionMap,
    own_name: InstanceName,
    own_data_centre: DataCentre,
}

impl Peers {
    /// Creates the state of an instance that has no peers yet.
    pub fn new(settings: &Settings) -> Peers {
        let identity = Identity {
            name: settings.name.clone(),
            incarnation: settings.incarnation,
            data_centre: settings.data_centre.clone(),
        };
        let gossip = membership::Settings {
            tick: GOSSIP_INTERVAL,
            dead_after: DEAD_AFTER,
            regions: settings.regions.clone(),
            ..membership::Settings::default()
        };
        Peers {
            tables: Tables::default(),
            learn_state: learn::LearnState::default(),
            members: RefCell::new(Members::new(identity, gossip, rand::random())),
            announced: RefCell::default(),
            links: Links::default(),
            handovers: RefCell::default(),
            tickets: RefCell::default(),
            next_ticket: Cell::new(0),
            usable_names: RefCell::default(),
            open_exchanges: Cell::new(0),
            versions: versions::Versions::default(),
            unlisted: Unlisted::default(),
            budget: RefCell::default(),
            regions: settings.regions.clone(),
            own_name: settings.name.clone(),
            own_data_centre: settings.data_centre.clone(),
        }
    }

    /// Stores the record of the configuration that is in force now.
    pub fn set_config(&self, record: Record) {
        self.versions.set(record);
    }

    /// Applies a record of the table of instances.
    pub fn apply_announcement(&self, driver: &Driver, record: &Record) {
        let mut announced = self.announced.borrow_mut();
        let value = record.value.as_deref();
        match value.map(serde_json::from_slice::<Announcement>) {
            None => drop(announced.remove(&record.key)),
            Some(Err(error)) => {
                let (name, error) = (&*record.key, error.to_string());
                let error = tables::truncate(&error);
                tracing::warn!(event = "instance_unreadable", name, error);
                // An unreadable record has no address, so the previous one is dropped.
                announced.remove(&record.key);
            }
            Some(Ok(announcement)) => {
                self.unlisted.check(&driver.settings.regions, &announcement.place);
                let entry = InstanceEntry {
                    name: record.key.clone(),
                    peer_addr: announcement.peers.clone(),
                    http_addr: announcement.peers,
                    data_centre: announcement.place,
                    presence: Presence::Live,
                };
                let millicores = announcement.strength;
                announced.insert(record.key.clone(), AnnouncedInstance { entry, millicores });
            }
        }
        let entries: Vec<_> = announced.values().map(|instance| instance.entry.clone()).collect();
        self.members.borrow_mut().apply_listing(driver.now(), &entries);
    }

    /// Whether this instance reads a table from the store itself: it is one of the readers,
    /// or has no fresh copy.
    /// Peers of a build without rollouts do not send their table, so its age counts apart.
    pub fn reads_store(&self, now: Duration, name: TableName) -> bool {
        let rollouts_since = self.tables.rollouts_since();
        if name == TableName::Rollouts && rollouts_since.is_none() {
            return false;
        }
        if let Some(region_rank) = self.region_rank(now) {
            return self.reads_store_in_region(now, name, region_rank);
        }
        let is_behind = match name {
            TableName::Rollouts => {
                let compared = self.tables.compared_at(name).max(rollouts_since);
                compared.is_some_and(|at| now.saturating_sub(at) > readers::STALE_AFTER)
            }
            _ => !self.tables.are_loaded() || self.is_stale(now),
        };
        is_behind || self.is_reader(now)
    }

    /// Whether this instance is one of those that read the platform's tables for all others.
    pub fn is_reader(&self, now: Duration) -> bool {
        let own = &self.members.borrow().identity().name.clone();
        self.readers(now).contains(own)
    }

    /// The instances that are considered alive, including this one.
    pub fn alive(&self, now: Duration) -> Vec<InstanceName> {
        let members = self.members.borrow();
        let mut alive: Vec<_> = members.alive(now).into_iter().collect();
        alive.push(members.identity().name.clone());
        alive
    }

    fn is_stale(&self, now: Duration) -> bool {
        let is_old = self.tables.age(now).is_none_or(|age| age > readers::STALE_AFTER);
        is_old && !self.learn_state.is_underway(now)
    }

    /// The readers among the instances that are considered alive.
    fn readers(&self, now: Duration) -> Vec<InstanceName> {
        readers::select_readers(&self.live_instances(now), &self.regions)
    }

    /// The instances that are considered alive and can be reached, including this one.
    fn live_instances(&self, now: Duration) -> Vec<Peer> {
        let members = self.members.borrow();
        let alive = members.alive(now).into_iter();
        let reachable = alive.filter(|name| members.addr(name).is_some());
        let mut instances: Vec<_> = reachable.map(|name| self.peer(name)).collect();
        instances.push(self.peer(members.identity().name.clone()));
        instances.extend(self.unknown_at_start(now));
        instances
    }

    /// An instance with its announced CPU share; 0 if it has no announcement.
    fn peer(&self, name: InstanceName) -> Peer {
        let announced = self.announced.borrow();
        let announced = announced.get(&name);
        let millicores = announced.map_or(0, |instance| instance.millicores);
        let data_centre = match announced {
            Some(instance) => instance.entry.data_centre.clone(),
            None if name == self.own_name => self.own_data_centre.clone(),
            None => Arc::default(),
        };
        Peer { name, millicores, data_centre }
    }

    /// Logs which peers have become able to batch pieces, and which no longer are.
    fn log_changes(&self, peers: &[Peer]) {
        let mut names: Vec<_> = peers.iter().map(|peer| peer.name.clone()).collect();
        names.sort_unstable();
        let before = self.usable_names.replace(names);
        let now = self.usable_names.borrow();
        let joined = names_missing_in(&now, &before);
        let left = names_missing_in(&before, &now);
        if !(joined.is_empty() && left.is_empty()) {
            tracing::info!(event = "peers", count = now.len(), joined, left);
        }
    }
}

/// Passes the peers that may batch pieces to the machine.
pub fn update_peers(driver: &Rc<Driver>) {
    let now = driver.now();
    let members = driver.peers.members.borrow();
    let statuses = members.peer_statuses(now);
    let live = statuses.iter().filter(|peer| peer.is_alive);
    let live = live.map(|peer| (peer.name.clone(), peer.incarnation)).collect();
    let usable = statuses.into_iter().filter(|peer| peer.is_usable(now));
    let peers = usable.filter(|peer| members.addr(&peer.name).is_some());
    let peers: Vec<_> = peers.map(|peer| driver.peers.peer(peer.name)).collect();
    drop(members);
    driver.metrics.gauge("relay.peers", peers.len() as u64);
    driver.peers.log_changes(&peers);
    let announced = driver.peers.announced.borrow().len();
    let are_known = driver.peers.tables.is_loaded(TableName::Instances);
    driver.feed(|machine, now| {
        machine.set_live_peers(now, live);
        machine.set_peers(now, peers, announced);
        if are_known {
            machine.mark_peers_known(now);
        }
    });
}

/// The names that are missing in the other, sorted list, joined for a log line; if there
/// are many, only the first [`MAX_NAMED`].
fn names_missing_in(names: &[InstanceName], other: &[InstanceName]) -> String {
    let is_missing = |name: &&InstanceName| other.binary_search(name).is_err();
    let missing: Vec<&str> = names.iter().filter(is_missing).map(|name| &**name).collect();
    match missing.len() {
        0..=MAX_NAMED => missing.join(" "),
        count => format!("{} and {} more", missing[..MAX_NAMED].join(" "), count - MAX_NAMED),
    }
}
