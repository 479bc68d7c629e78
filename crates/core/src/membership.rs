//! Membership and gossip: which peers exist, which are alive, and what instances send each other.
//!
//! The platform's list states which peers exist, but it lags. Heartbeat counters show which of them
//! are alive: each instance increments its own counter with every tick, and gossip spreads the
//! counters. A peer whose counter has not increased for a while is considered dead until it
//! increases again.
//!
//! With every tick an instance sends a few random peers what may be new to them, and they reply
//! likewise. An instance whose configuration is outdated requests the newer one from one peer at a
//! time: it may be large, and copies from several peers at once would delay each other past their
//! timeout. Everything else in a message is bounded: an item that was sent often enough to have
//! reached every instance is left out, and what does not fit waits for the next message.
//!
//! Nothing here is needed for safety. All of it may be outdated, lost or duplicated.
//!
//! Submodules: `members` is the state machine, `peer` one peer, `spread` selects what goes into a
//! message, `status` is what other modules get of a peer, `settings` has the settings.

mod members;
mod peer;
mod settings;
mod spread;
mod status;

use std::sync::Arc;

use peatdeck_macros::message;

use crate::{
    model::{EndpointName, Incarnation, InstanceName, Load},
    record::{Offset, Snapshot, Version},
};

pub use members::{Envelope, LocalState, Members};
pub use settings::Settings;
pub use status::PeerStatus;

/// One message between two instances. It is bounded in size and carries changes, never the whole
/// state.
#[message]
pub struct Gossip {
    /// The sender.
    pub from: InstanceName,
    /// Whether the receiver should reply with a message of its own.
    pub wants_reply: bool,
    /// The newest configuration that the sender has in force.
    pub mark: ConfigMark,
    /// That configuration, if the receiver has requested it.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether the reply should contain the receiver's configuration if that is newer than the
    /// sender's.
    #[serde(default)]
    pub wants_snapshot: bool,
    /// Heartbeat counters that may be new to the receiver.
    pub members: Vec<MemberState>,
    /// Endpoints known to be leaving.
    pub leaving: Vec<LeavingMark>,
    /// The sender's calls in flight and the loads it has seen, of a few endpoints in each message.
    pub endpoints: Vec<EndpointState>,
}

/// How new a configuration is.
#[message]
#[derive(Copy, Eq, PartialOrd, Ord, Default)]
pub struct ConfigMark {
    /// The version in force.
    pub version: Version,
    /// Offset up to which the configuration stream was read; `None` before the first record.
    pub offset: Option<Offset>,
}

/// The liveness of one instance, as sent in gossip.
#[message]
pub struct MemberState {
    /// The instance.
    pub name: InstanceName,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
    /// The counter, which only the instance itself increments.
    pub heartbeat: u64,
    /// The version that the instance has in force.
    pub version: Version,
    /// Whether the instance accepts requests.
    pub ready: bool,
}

/// States that an endpoint is leaving, for one incarnation of it.
#[message]
pub struct LeavingMark {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The incarnation that is leaving.
    pub incarnation: Incarnation,
}

/// The state of one endpoint, as seen by the sender.
#[message]
pub struct EndpointState {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Calls that the sender has in flight to the endpoint.
    pub in_flight: u32,
    /// The newest load that the sender has seen, with its age at the time of sending.
    pub load: Option<Load>,
}
