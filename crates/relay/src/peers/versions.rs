//! Configurations newer than the platform's table has.
//!
//! The version in force never decreases. If the platform has lost the newest version and
//! nobody has written it again yet, an instance that has just started reads an older one,
//! while its peers use the newer one. Each gossip message carries the sender's version, so
//! an instance that receives a newer one, which no table will bring, requests it from
//! that peer, in slices.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use peatdeck_core::relay::{position::Position, table::Record};
use peatdeck_wire::{link::Error, relay as wire, relay_capnp::relay};

use crate::{
    driver::Driver,
    peers::{EXCHANGE_TIMEOUT, learn, remote::Kind},
    surroundings::TableName,
    table_changes,
    tables::PORTION_BYTES,
};

/// Delay before a newer version is requested again, if it could not be fetched or used.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// The configuration in force, and a peer that has a newer one.
#[derive(Debug, Default)]
pub struct Versions {
    /// Record of the configuration in force, as it was written.
    in_force: RefCell<Option<Record>>,
    newer: RefCell<Option<NewerVersion>>,
    requested_at: Cell<Option<Duration>>,
}

#[derive(Debug)]
struct NewerVersion {
    addr: Arc<str>,
    version: u64,
    /// Whether the peer is in another region.
    is_remote: bool,
    /// Since when such a version has been known.
    since: Duration,
}

/// A slice of the record of a configuration.
pub struct ConfigSlice {
    /// Version of the configuration.
    pub version: u64,
    /// Key of its record.
    pub key: Arc<str>,
    /// Size of the whole value, in bytes.
    pub size: u64,
    /// The bytes of this slice.
    pub bytes: Bytes,
}

impl Versions {
    /// Stores the record of the configuration that is now in force.
    pub fn set(&self, record: Record) {
        *self.in_force.borrow_mut() = Some(record);
    }
}

/// Notes the version of a peer whose tables are at these positions, if it is newer. If this
/// instance's configuration table is behind the peer's, the table will bring it instead.
pub fn note_version(driver: &Driver, addr: &Arc<str>, positions: &[Position], version: u64) {
    let is_table_behind = learn::lacks_config(driver, positions);
    if version > own_version(driver) && !is_table_behind {
        let (since, is_remote) = (driver.now(), driver.peers.is_remote_addr(addr));
        note_newer(driver, NewerVersion { addr: addr.clone(), version, is_remote, since });
    }
}

/// Notes a peer with a newer version. One of another region does not replace one of this region,
/// and the waiting time for it counts from when the first one was noted.
fn note_newer(driver: &Driver, mut peer: NewerVersion) {
    let own = own_version(driver);
    let mut newer = driver.peers.versions.newer.borrow_mut();
    if let Some(known) = newer.as_ref().filter(|known| known.version > own) {
        if peer.is_remote && !known.is_remote {
            return;
        }
        peer.since = peer.since.min(known.since);
    }
    *newer = Some(peer);
}

/// Fetches the newer version noted last, unless it has arrived in the meantime.
pub async fn catch_up(driver: &Rc<Driver>) {
    let versions = &driver.peers.versions;
    let now = driver.now();
    let may_ask = |peer: &mut NewerVersion| {
        !peer.is_remote || driver.peers.may_cross(now, now.saturating_sub(peer.since))
    };
    let newer = versions.newer.borrow_mut().take_if(may_ask);
    let Some(NewerVersion { addr, version, .. }) = newer else { return };
    let was_requested = versions.requested_at.get().is_some_and(|at| now < at + RETRY_DELAY);
    if was_requested || version <= own_version(driver) {
        return;
    }
    versions.requested_at.set(Some(now));
    match fetch(driver, &addr).await {
        Ok(Some(record)) => {
            driver.metrics.count("relay.versions_heard", 1);
            table_changes::apply(driver, TableName::Config, &addr, vec![record]);
        }
        Ok(None) => {}
        Err(error) => {
            let addr = &*addr;
            tracing::info!(event = "version_unheard", addr, version, error = %error);
        }
    }
}

/// The slice of the configuration in force that starts at byte `at`; `None` past its end,
/// or if there is no configuration.
pub fn read_slice(driver: &Driver, at: u64) -> Option<ConfigSlice> {
    let record = driver.peers.versions.in_force.borrow();
    let (key, value) = record.as_ref().and_then(|it| Some((it.key.clone(), it.value.as_ref()?)))?;
    let at = usize::try_from(at).ok().filter(|at| *at < value.len())?;
    let bytes = value.slice(at..value.len().min(at + PORTION_BYTES));
    Some(ConfigSlice { version: own_version(driver), key, size: value.len() as u64, bytes })
}

fn own_version(driver: &Driver) -> u64 {
    driver.inspect(|machine| machine.config().map_or(0, |config| config.version))
}

/// Fetches the whole record from a peer; `None` if the peer has none, or its version
/// changed in between.
async fn fetch(driver: &Driver, addr: &Arc<str>) -> Result<Option<Record>, Error> {
    let mut value = BytesMut::new();
    let mut first = None;
    loop {
        let slice = request_slice(driver, addr, value.len()).await?;
        let Some(ConfigSlice { version, key, size, bytes }) = slice else { return Ok(None) };
        if *first.get_or_insert(version) != version || bytes.is_empty() {
            return Ok(None);
        }
        value.extend_from_slice(&bytes);
        if value.len() as u64 >= size {
            return Ok(Some(Record { key, offset: 0, value: Some(value.freeze()) }));
        }
    }
}

async fn request_slice(
    driver: &Driver,
    addr: &Arc<str>,
    at: usize,
) -> Result<Option<ConfigSlice>, Error> {
    let exchange = async |client: relay::Client| {
        let mut request = client.config_request();
        request.get().set_at(at as u64);
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(driver, addr, Kind::Configuration, size);
        let response = request.send().promise.await?;
        let response = response.get()?;
        let slice = ConfigSlice {
            version: response.get_version(),
            key: wire::read_name(response.get_key()?)?,
            size: response.get_size(),
            bytes: Bytes::copy_from_slice(response.get_bytes()?),
        };
        Ok((slice.size > 0).then_some(slice))
    };
    driver.peers.links.exchange(addr, EXCHANGE_TIMEOUT, exchange).await
}
