//! Rollouts: a service's traffic moves to a new version of its endpoints, or back.
//!
//! An operator orders a rollout. A small share of the requests then goes to the new version (the
//! canary). If its replies are as good and as fast as those of the version in force, all requests
//! move there, else it gets none any more. One instance decides for each service, from counts that
//! all instances send it; a record in the platform's store makes the decision last.
//!
//! [`gate`] states which versions get work, [`exposure`] how many requests the canary gets.
//! [`counting`] counts the replies of one instance, [`tally`] tests the counts of several with
//! [`sprt`]. [`progress`] is the state of a rollout at an instance, [`controller`] decides on its
//! next phase.

pub mod controller;
pub mod counting;
pub mod exposure;
pub mod gate;
pub mod progress;
pub mod sprt;
pub mod tally;

use std::{sync::Arc, time::Duration};

use peatdeck_macros::{data, id};
use xxhash_rust::xxh3;

use crate::{
    model::InstanceName,
    relay::{
        ids::{EndpointId, ServiceName},
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

impl Order {
    /// Whether a record at a position of the operators' log with the same destination and duration
    /// is this order. In another timeline it is: the store was restored from an older copy, and the
    /// record was written again.
    pub fn is_at(&self, position: Position) -> bool {
        self.position == position || self.position.timeline != position.timeline
    }

    /// Identifies what it orders.
    pub fn content(&self) -> u64 {
        let seed = self.duration.as_micros() as u64;
        xxh3::xxh3_64_with_seed(self.destination.as_bytes(), seed)
    }

    /// Whether a message is about this order.
    pub fn is_meant(&self, position: Position, content: u64) -> bool {
        self.content() == content && self.is_at(position)
    }

    /// Whether another order is this one.
    pub fn is_same(&self, other: &Order) -> bool {
        let content = |it: &Order| (it.service.clone(), it.destination.clone(), it.duration);
        content(self) == content(other) && self.is_at(other.position)
    }

    /// Whether a record is that of this order.
    pub fn is_of(&self, record: &RolloutRecord) -> bool {
        let is_equal = self.destination == record.destination && self.duration == record.duration;
        is_equal && self.is_at(record.order)
    }
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

impl Phase {
    /// Whether the order has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::RolledBack)
    }
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

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: Counts) {
        self.good = self.good.saturating_add(other.good);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }

    /// The counts beyond earlier ones.
    pub fn since(self, earlier: Counts) -> Counts {
        Counts {
            good: self.good.saturating_sub(earlier.good),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    /// Whether none of the counts is below the other's.
    pub fn has_all_of(self, other: Counts) -> bool {
        self.good >= other.good && self.failed >= other.failed && self.slow >= other.slow
    }

    /// Failures and slow replies.
    pub fn bad(self) -> u32 {
        self.failed.saturating_add(self.slow)
    }

    /// All replies.
    pub fn all(self) -> u32 {
        self.good.saturating_add(self.bad())
    }
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
    /// [`Order::content`] of it, since positions of different timelines cannot be compared.
    pub content: u64,
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
    /// [`Order::content`] of it, since positions of different timelines cannot be compared.
    pub content: u64,
    /// The phase in force.
    pub phase: Phase,
    /// Whether the new version gets nothing more.
    pub is_halted: bool,
    /// How long the deciding instance has known the order.
    pub age: Duration,
}
