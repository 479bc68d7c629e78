//! Control traffic to other regions: counted by kind; gossip and tables are also limited.
//!
//! The link between two regions carries callers' traffic as well, so all instances of a region
//! together use at most a tenth of it for control, on average over 10 s.

use std::{cell::RefCell, net::IpAddr, time::Duration};

use capnp::MessageSize;
use peatdeck_core::model::InstanceName;

use crate::{driver::Driver, peers::Peers};

/// The part of the link's capacity that control traffic may use.
const CONTROL_SHARE: f64 = 0.1;
/// The share of an instance that accumulates while it sends nothing, in seconds of that share.
const BURST_SECS: f64 = 5.0;
/// The part of the share at which the budget refills. With the burst, no 10 s have more than the
/// whole share: 5 s of it at once, and 10 s of half of it.
const REFILL: f64 = 0.5;
/// The part of the burst that tables leave to gossip, without which peers would be taken for dead.
const GOSSIP_RESERVE: f64 = 0.25;
/// The longest time that a reply with tables is delayed; the peer waits for 1.5 s.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Approximate size of what is sent in addition to a message: the RPC's own messages for the call
/// and its end, and the packets' headers.
const FRAME_BYTES: u64 = 160;
/// Size of a word of a message, in bytes.
const WORD_BYTES: u64 = 8;

/// A kind of control traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Liveness of instances.
    Gossip,
    /// Tables other than the configuration, and requests for them.
    Tables,
    /// The configuration.
    Configuration,
    /// Pieces handed over, and their results.
    Pieces,
    /// Placement requests, their replies, and progress of placed calls.
    Placements,
    /// Everything else.
    Others,
}

impl Kind {
    fn counter(self) -> &'static str {
        match self {
            Kind::Gossip => "relay.remote_bytes.gossip",
            Kind::Tables => "relay.remote_bytes.tables",
            Kind::Configuration => "relay.remote_bytes.configuration",
            Kind::Pieces => "relay.remote_bytes.pieces",
            Kind::Placements => "relay.remote_bytes.placements",
            Kind::Others => "relay.remote_bytes.others",
        }
    }
}

/// A token bucket of bytes. It may go into debt by one message.
#[derive(Debug, Default)]
pub struct Bucket {
    tokens: Option<f64>,
    refilled: Duration,
}

impl Bucket {
    /// The bytes that may be sent now, with a share of `share` bytes per second.
    pub fn available(&mut self, now: Duration, share: f64) -> f64 {
        let burst = share * BURST_SECS;
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        let tokens = self.tokens.unwrap_or(burst) + elapsed * share * REFILL;
        *self.tokens.insert(tokens.min(burst))
    }

    /// Removes sent bytes.
    pub fn spend(&mut self, now: Duration, share: f64, bytes: u64) {
        let left = self.available(now, share) - bytes as f64;
        self.tokens = Some(left);
    }

    /// How long to wait until tables may be sent.
    pub fn table_delay(&mut self, now: Duration, share: f64) -> Duration {
        let missing = share * BURST_SECS * GOSSIP_RESERVE - self.available(now, share);
        let delay = missing.max(0.0) / (share * REFILL);
        Duration::try_from_secs_f64(delay).unwrap_or(MAX_DELAY).min(MAX_DELAY)
    }
}

impl Peers {
    /// The bytes per second that this instance may send to other regions for control.
    fn share(&self, driver: &Driver) -> f64 {
        let link = f64::from(driver.settings.link_mbps) * 1e6 / 8.0;
        let alive = self.members.borrow().alive(driver.now());
        let near = alive.iter().filter(|name| !self.is_remote(name)).count();
        (link * CONTROL_SHARE / (near + 1) as f64).max(1.0)
    }

    /// Whether the budget allows another gossip message to another region.
    pub(super) fn may_gossip_remotely(&self, driver: &Driver) -> bool {
        let share = self.share(driver);
        self.budget.borrow_mut().available(driver.now(), share) > 0.0
    }

    /// How long to wait before tables are sent to another region.
    pub(super) fn table_delay(&self, driver: &Driver) -> Duration {
        let share = self.share(driver);
        self.budget.borrow_mut().table_delay(driver.now(), share)
    }

    /// Counts a request to the peer with this address, if it is in another region.
    pub(super) fn count_request(
        &self,
        driver: &Driver,
        addr: &str,
        kind: Kind,
        size: impl FnOnce() -> capnp::Result<MessageSize>,
    ) {
        if self.regions.has_several() && self.is_remote_addr(addr) {
            self.count_sent(driver, kind, message_bytes(size()));
        }
    }

    /// Counts bytes sent to another region. Those of gossip and tables count against the budget.
    pub(super) fn count_sent(&self, driver: &Driver, kind: Kind, bytes: u64) {
        driver.metrics.count(kind.counter(), bytes);
        if matches!(kind, Kind::Gossip | Kind::Tables) {
            let share = self.share(driver);
            self.budget.borrow_mut().spend(driver.now(), share, bytes);
        }
    }

    /// Whether all instances with this IP address are in other regions, and there is one.
    fn is_remote_ip(&self, ip: IpAddr) -> bool {
        let ip = ip.to_string();
        let announced = self.announced.borrow();
        let entries = announced.values().map(|instance| &instance.entry);
        let host = |addr: &str| addr.rsplit_once(':').is_some_and(|(host, _)| host == ip);
        let mut places = entries.filter(|it| host(&it.peer_addr)).map(|it| &it.data_centre);
        let Some(first) = places.next() else { return false };
        self.is_remote_place(first) && places.all(|place| self.is_remote_place(place))
    }
}

/// The size of a message and what is sent with it.
pub(super) fn message_bytes(size: capnp::Result<MessageSize>) -> u64 {
    FRAME_BYTES + size.map_or(0, |size| size.word_count * WORD_BYTES)
}

/// The peer at the other end of an incoming connection.
pub(super) struct Caller {
    ip: IpAddr,
    name: RefCell<Option<InstanceName>>,
}

impl Caller {
    /// A peer of which only the address is known.
    pub(super) fn new(ip: IpAddr) -> Caller {
        Caller { ip, name: RefCell::default() }
    }

    /// Stores the name that the peer states.
    pub(super) fn set_name(&self, name: &InstanceName) {
        if self.name.borrow().as_ref() != Some(name) {
            *self.name.borrow_mut() = Some(name.clone());
        }
    }

    /// Whether the peer is in another region. Until it has stated its name, this is decided by
    /// its IP address.
    pub(super) fn is_remote(&self, peers: &Peers) -> bool {
        if !peers.regions.has_several() {
            return false;
        }
        match &*self.name.borrow() {
            Some(name) => peers.is_remote(name),
            None => peers.is_remote_ip(self.ip),
        }
    }

    /// Counts a reply, if the peer is in another region.
    pub(super) fn count_reply(
        &self,
        driver: &Driver,
        kind: Kind,
        size: impl FnOnce() -> capnp::Result<MessageSize>,
    ) {
        if self.is_remote(&driver.peers) {
            driver.peers.count_sent(driver, kind, message_bytes(size()));
        }
    }
}
