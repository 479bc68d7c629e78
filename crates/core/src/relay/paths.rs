//! Which endpoints this instance can open connections to.
//!
//! A connection that is refused or times out does not show whether the endpoint has ended or
//! only the network between it and this instance is interrupted.

use std::{collections::HashMap, time::Duration};

use crate::relay::model::EndpointKey;

/// The endpoints to which the last new connection failed.
#[derive(Debug, Default)]
pub struct Paths {
    unreachable: HashMap<EndpointKey, Duration>,
}

impl Paths {
    /// Records that a connection was opened. Returns whether the endpoint was unreachable.
    pub fn record_connected(&mut self, endpoint: EndpointKey) -> bool {
        self.unreachable.remove(&endpoint).is_some()
    }

    /// Records that no connection could be opened. Returns whether the endpoint was reachable.
    pub fn record_failure(&mut self, now: Duration, endpoint: EndpointKey) -> bool {
        self.unreachable.insert(endpoint, now).is_none()
    }

    /// Number of endpoints that are unreachable.
    pub fn unreachable_count(&self) -> usize {
        self.unreachable.len()
    }

    /// Forgets the endpoints that are not to be kept.
    pub fn retain(&mut self, is_kept: impl Fn(EndpointKey) -> bool) {
        self.unreachable.retain(|endpoint, _| is_kept(*endpoint));
    }
}
