//! Settings of gossip.

use std::time::Duration;

use peatdeck_macros::data;

use crate::relay::region::RegionMap;

/// Settings of gossip. Each has a default.
#[data]
pub struct Settings {
    /// Time between two rounds.
    pub tick: Duration,
    /// The number of peers that get a message in a round.
    pub fanout: usize,
    /// A peer is considered dead when its counter has not increased for this long; longer in a
    /// group whose counters do not fit into two messages.
    pub dead_after: Duration,
    /// A peer that is no longer listed and of which nothing was received is removed after this
    /// long.
    pub remove_after: Duration,
    /// The longest time for which a peer's in-flight count is used.
    pub max_count_age: Duration,
    /// How long a peer has to send its configuration before another one is asked: as long as an
    /// exchange with a peer may take.
    pub snapshot_timeout: Duration,
    /// The most member states in a message.
    pub max_members: usize,
    /// The most leaving marks in a message.
    pub max_leaving: usize,
    /// The most endpoint states in a message.
    pub max_endpoints: usize,
    /// The regions of the deployment. With several, most messages stay within the region.
    pub regions: RegionMap,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            tick: Duration::from_millis(500),
            fanout: 2,
            dead_after: Duration::from_secs(5),
            remove_after: Duration::from_secs(60),
            max_count_age: Duration::from_secs(5),
            snapshot_timeout: Duration::from_secs(3),
            max_members: 64,
            max_leaving: 32,
            max_endpoints: 32,
            regions: RegionMap::default(),
        }
    }
}
