//! What an instance knows of a peer, for other modules.

use std::time::Duration;

use peatdeck_macros::data;

use crate::{
    model::{Incarnation, InstanceName},
    record::Version,
};

/// How long it takes until an instance that has just started has received, through gossip, the
/// counters of all peers that are alive: six rounds of 400 ms.
const DISCOVERY_TIME: Duration = Duration::from_millis(2500);

/// What is known of a peer.
#[data]
pub struct PeerStatus {
    /// The peer.
    pub name: InstanceName,
    /// Its incarnation, as it last reported.
    pub incarnation: Incarnation,
    /// The newest version that the peer has reported as in force.
    pub version: Version,
    /// Whether the peer accepts requests.
    pub is_ready: bool,
    /// Whether the peer is considered alive.
    pub is_alive: bool,
    /// Whether no counter of the peer was received yet and no message to it has failed.
    pub is_unknown: bool,
    /// Whether the newest list names the peer.
    pub is_listed: bool,
}

impl PeerStatus {
    /// Whether work may be handed over to the peer by an instance that has run for `run_time`. An
    /// instance that has just started also relies on peers of which it has received nothing yet: a
    /// peer that is dead is detected by the first hand-over, but if each instance did the work
    /// itself meanwhile, they would interfere with each other.
    pub fn is_usable(&self, run_time: Duration) -> bool {
        let is_serving = self.is_alive && self.is_ready;
        is_serving || (run_time < DISCOVERY_TIME && (self.is_alive || self.is_unknown))
    }
}
