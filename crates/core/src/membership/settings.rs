//! How an instance gossips.

use std::time::Duration;

use peatdeck_macros::data;

/// How an instance gossips. Each setting has a default.
#[data]
pub struct Settings {
    /// Time between two rounds.
    pub tick: Duration,
    /// Peers that are sent to in a round.
    pub fanout: usize,
    /// A peer is taken for dead when its counter has not risen for this long;
    /// longer in a group whose counters do not fit into two messages.
    pub dead_after: Duration,
    /// A peer that is neither listed nor heard of is forgotten after this long.
    pub forget_after: Duration,
    /// A peer's in-flight count is not used any more after this long.
    pub count_age: Duration,
    /// Time for a peer to send its configuration before another one is asked: as
    /// long as an exchange with a peer may take.
    pub snapshot_timeout: Duration,
    /// Member states in a message at the most.
    pub max_members: usize,
    /// Leaving marks in a message at the most.
    pub max_leaving: usize,
    /// Endpoint states in a message at the most.
    pub max_endpoints: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            tick: Duration::from_millis(500),
            fanout: 2,
            dead_after: Duration::from_secs(5),
            forget_after: Duration::from_secs(60),
            count_age: Duration::from_secs(5),
            snapshot_timeout: Duration::from_secs(3),
            max_members: 64,
            max_leaving: 32,
            max_endpoints: 32,
        }
    }
}
