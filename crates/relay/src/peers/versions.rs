//! A newer configuration than the platform's table tells of.
//!
//! A version never goes back. Where the platform has lost one and nobody has written
//! it again yet, an instance that has just started reads an older one, though its
//! peers serve by the newer. Each says its version with every message, so whoever
//! hears of a newer one that no table will bring asks for it, in slices.

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
    peers::{EXCHANGE_TIMEOUT, learn},
    surroundings::TableName,
    tables::{self, PORTION_BYTES},
};

/// Pause before a version that could not be had, or not be used, is asked for again.
const PAUSE: Duration = Duration::from_secs(2);

/// The configuration in force, and who has a newer one.
#[derive(Debug, Default)]
pub struct Versions {
    /// As it was written.
    in_force: RefCell<Option<Record>>,
    newer: RefCell<Option<Newer>>,
    asked: Cell<Option<Duration>>,
}

#[derive(Debug)]
struct Newer {
    addr: Arc<str>,
    version: u64,
}

/// A slice of a configuration.
pub struct ConfigSlice {
    /// Its version.
    pub version: u64,
    /// The key of its record.
    pub key: Arc<str>,
    /// Bytes of the whole.
    pub size: u64,
    /// The slice.
    pub bytes: Bytes,
}

impl Versions {
    /// This one is in force now.
    pub fn set(&self, record: Record) {
        *self.in_force.borrow_mut() = Some(record);
    }
}

/// Takes in which version a peer has whose tables are so far.
pub fn note_version(driver: &Driver, addr: &Arc<str>, positions: &[Position], version: u64) {
    let is_told_by_table = learn::lacks_config(driver, positions);
    if version > own_version(driver) && !is_told_by_table {
        let newer = Newer { addr: addr.clone(), version };
        *driver.peers.versions.newer.borrow_mut() = Some(newer);
    }
}

/// Asks for the version that was heard of, unless it has come meanwhile.
pub async fn catch_up(driver: &Rc<Driver>) {
    let versions = &driver.peers.versions;
    let newer = versions.newer.borrow_mut().take();
    let Some(Newer { addr, version }) = newer else { return };
    let now = driver.now();
    let was_asked = versions.asked.get().is_some_and(|at| now < at + PAUSE);
    if was_asked || version <= own_version(driver) {
        return;
    }
    versions.asked.set(Some(now));
    match fetch(driver, &addr).await {
        Ok(Some(record)) => {
            driver.metrics.count("relay.versions_heard", 1);
            tables::apply(driver, TableName::Config, &addr, vec![record]);
        }
        Ok(None) => {}
        Err(error) => {
            let addr = &*addr;
            tracing::info!(event = "version_unheard", addr, version, error = %error);
        }
    }
}

/// What a peer is told that has this much of the configuration in force.
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

/// The whole record; `None` if the peer has none, or has got another one meanwhile.
async fn fetch(driver: &Driver, addr: &Arc<str>) -> Result<Option<Record>, Error> {
    let mut value = BytesMut::new();
    let mut first = None;
    loop {
        let slice = ask(driver, addr, value.len()).await?;
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

async fn ask(driver: &Driver, addr: &Arc<str>, at: usize) -> Result<Option<ConfigSlice>, Error> {
    let exchange = async |client: relay::Client| {
        let mut request = client.config_request();
        request.get().set_at(at as u64);
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
