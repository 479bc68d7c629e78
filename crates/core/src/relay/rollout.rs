//! Rollouts: a service's traffic moves to a new version of its endpoints, or back.
//!
//! An operator orders a rollout. A small share of the requests then goes to the new version (the
//! canary). If its replies are as good and as fast as those of the version in force, all requests
//! move there, else it gets none any more. One instance decides for each service, from counts that
//! all instances send it; a record in the platform's store makes the decision last.

use std::{sync::Arc, time::Duration};

use peatdeck_macros::{data, id};

use crate::{
    model::InstanceName,
    relay::{
        model::{EndpointId, ServiceName},
        position::Position,
    },
};

/// The version of an endpoint's software, as its directory entry states it.
pub type Version = Arc<str>;

/// The limits within which a version that may be bad receives requests.
#[data]
#[derive(Copy)]
pub struct Limits {
    /// The largest share of a service's requests from the order to its deadline.
    pub max_share: f64,
    /// Requests beyond that share.
    pub slack: u32,
    /// The longest time after the fiftieth bad reply until it receives no more requests.
    pub rollback_time: Duration,
}

/// An operator's order to move a service's requests to a version.
#[data]
pub struct Order {
    /// The service.
    pub service: ServiceName,
    /// The version to move to.
    pub destination: Version,
    /// How long the rollout may take.
    pub duration: Duration,
    /// The position of the order's record in the operators' log.
    pub position: Position,
}

/// How far a rollout has got.
#[id]
#[derive(Copy)]
pub enum Phase {
    /// A small share of the requests goes to the new version.
    Canary,
    /// All new requests go to the new version; calls still run on the old one.
    Shifting,
    /// The new version is in force.
    Completed,
    /// The old version stays in force.
    RolledBack,
}

/// The state of a service's last rollout, as its record in the platform's store holds it.
#[data]
pub struct RolloutRecord {
    /// The service.
    pub service: ServiceName,
    /// How far the rollout has got.
    pub phase: Phase,
    /// The version that was ordered.
    pub destination: Version,
    /// The version in force besides it; after completion the destination.
    pub baseline: Option<Version>,
    /// How long the rollout may take.
    pub duration: Duration,
    /// The position of the order that the rollout carries out.
    pub order: Position,
    /// The instance that wrote the record.
    pub by: InstanceName,
    /// How long the order had been known when the record was written or, if it was just read, by
    /// now.
    pub age: Duration,
    /// Why the phase was entered, for people.
    pub reason: Arc<str>,
}

/// Counts of replies.
#[data]
#[derive(Copy, Default)]
pub struct Counts {
    /// Replies in time that are no failures.
    pub good: u32,
    /// Failures.
    pub failed: u32,
    /// Replies that were much slower than usual.
    pub slow: u32,
}

/// Counts of the replies to requests of one route.
#[data]
pub struct RouteCounts {
    /// The route, or the route and stage for pieces.
    pub route: Arc<str>,
    /// Replies of the version in force.
    pub stable: Counts,
    /// Replies of the new version.
    pub canary: Counts,
}

/// What one instance has counted since the order, for the instance that decides. Each report
/// replaces the one before.
#[data]
pub struct Evidence {
    /// The service.
    pub service: ServiceName,
    /// The position of the order.
    pub order: Position,
    /// How long the instance has known the order.
    pub age: Duration,
    /// The phase that the instance applies.
    pub phase: Phase,
    /// Whether the instance sends the new version nothing more.
    pub is_halted: bool,
    /// The instance's calls that run on endpoints of another version than the destination.
    pub old_calls: u32,
    /// Counts by route.
    pub routes: Vec<RouteCounts>,
    /// Counts of the new version's replies by endpoint.
    pub endpoints: Vec<(EndpointId, Counts)>,
}

/// The deciding instance's reply to [`Evidence`].
#[data]
pub struct Verdict {
    /// The service.
    pub service: ServiceName,
    /// The position of the order.
    pub order: Position,
    /// The phase in force.
    pub phase: Phase,
    /// Whether the new version gets nothing more.
    pub is_halted: bool,
    /// How long the deciding instance has known the order.
    pub age: Duration,
}
