//! Which endpoints a piece of work may go to.

use peatdeck_macros::id;

use crate::relay::{
    model::{Piece, ServiceName},
    region::RegionName,
};

/// A version of a service's software that work may be sent to on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Track {
    /// The endpoints that serve the service's requests.
    #[default]
    Stable,
    /// The endpoints of a version that is being rolled out and gets a small share of the requests.
    Canary,
}

/// The endpoints that a piece of work may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Pool<'a> {
    /// The service.
    pub service: &'a str,
    /// The only region whose endpoints may run the work; `None` for any region.
    pub region: Option<&'a str>,
    /// The version that runs the work.
    pub track: Track,
    /// The only software version whose endpoints may run the work; `None` for any version that
    /// the track admits.
    pub version: Option<&'a str>,
}

impl<'a> Pool<'a> {
    /// The stable endpoints of a service in all regions.
    pub fn of(service: &'a str) -> Pool<'a> {
        Pool { service, region: None, track: Track::Stable, version: None }
    }
}

/// The key of the queues and measurements of a service in one region.
#[id]
pub struct PoolKey {
    /// The service.
    pub service: ServiceName,
    /// The only region whose endpoints may run the work; `None` for any region.
    pub region: Option<RegionName>,
}

impl PoolKey {
    /// The endpoints that may run a piece.
    pub fn of(piece: &Piece) -> PoolKey {
        PoolKey { service: piece.service.clone(), region: piece.region.clone() }
    }

    /// The stable endpoints of the service in the region.
    pub fn pool(&self) -> Pool<'_> {
        Pool { region: self.region.as_deref(), ..Pool::of(&self.service) }
    }
}
