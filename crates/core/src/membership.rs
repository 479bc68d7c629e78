//! Peers: who they are, whether they live, and what instances tell each other.
//!
//! The platform's list says which peers exist; it lags. Whether they live is
//! told by counters: each instance raises its own with every tick, and the
//! counters travel with the gossip. A peer whose counter has not risen for a
//! while is taken for dead until it rises again.
//!
//! With every tick an instance sends a few random peers what may be news to
//! them, and they answer in kind. An instance whose configuration is behind
//! asks one peer at a time for the newer one: it may be large, and copies from
//! several peers would keep each other from arriving. All else in a message is bounded: news that was sent
//! often enough to have reached everybody is left out, and what does not fit
//! waits for the next one.
//!
//! Nothing here is needed for safety. All of it may be stale, lost or doubled.
//!
//! Submodules: `members` is the state machine, `peer` one peer, `spread` the
//! choice of what goes into a message, `settings` the knobs.

mod members;
mod peer;
mod settings;
mod spread;

use std::sync::Arc;

use peatdeck_macros::message;

use crate::{
    model::{EndpointName, Incarnation, InstanceName, Load},
    record::{Offset, Snapshot, Version},
};

pub use members::{Envelope, LocalState, Members, PeerStatus};
pub use settings::Settings;

/// One message between two instances. Bounded in size; a delta, never the whole state.
#[message]
pub struct Gossip {
    /// The sender.
    pub from: InstanceName,
    /// Whether the receiver should answer with a gossip of its own.
    pub wants_reply: bool,
    /// The newest configuration that the sender has in force.
    pub mark: ConfigMark,
    /// That configuration, where the receiver has asked for it.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether the reply should hold the replier's configuration if that is
    /// newer than the sender's.
    #[serde(default)]
    pub wants_snapshot: bool,
    /// Liveness counters that the receiver may not know.
    pub members: Vec<MemberState>,
    /// Endpoints known to be leaving.
    pub leaving: Vec<LeavingMark>,
    /// The sender's calls in flight and the loads it saw, a few endpoints a message.
    pub endpoints: Vec<EndpointState>,
}

/// How far a configuration has got.
#[message]
#[derive(Copy, Eq, PartialOrd, Ord, Default)]
pub struct ConfigMark {
    /// The version in force.
    pub version: Version,
    /// Offset up to which the configuration stream is folded; `None` before the first record.
    pub offset: Option<Offset>,
}

/// One instance's liveness, as it travels.
#[message]
pub struct MemberState {
    /// The instance.
    pub name: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its counter; it alone raises it.
    pub heartbeat: u64,
    /// The version it has in force.
    pub version: Version,
    /// Whether it takes requests.
    pub ready: bool,
}

/// An endpoint that is leaving, for one life.
#[message]
pub struct LeavingMark {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The life it holds for.
    pub incarnation: Incarnation,
}

/// What one instance knows of one endpoint.
#[message]
pub struct EndpointState {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Calls that the sender has in flight there.
    pub in_flight: u32,
    /// The newest load that the sender saw, its age brought up to now.
    pub load: Option<Load>,
}
