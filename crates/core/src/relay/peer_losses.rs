//! When this instance has last noticed that a peer ended.
//!
//! A peer that ends takes with it what only its memory has, such as the versions of streams that
//! it has just begun.

use std::{collections::HashMap, time::Duration};

use crate::model::{Incarnation, InstanceName};

/// Incarnations of peers.
pub type Incarnations = HashMap<InstanceName, Incarnation>;

/// The peers that are alive, and when the last of them ended.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerLosses {
    live: Incarnations,
    last_at: Option<Duration>,
}

impl PeerLosses {
    /// These peers are alive now. One that is missing, or has another incarnation, has ended.
    pub(crate) fn observe(&mut self, now: Duration, live: Incarnations) {
        if self.live.iter().any(|(name, incarnation)| live.get(name) != Some(incarnation)) {
            self.last_at = Some(now);
        }
        self.live = live;
    }

    /// Whether a peer has ended since this time.
    pub(crate) fn any_since(&self, since: Duration) -> bool {
        self.last_at.is_some_and(|at| at >= since)
    }
}
