//! The truth about instances and endpoints, and what the list says of it.

use std::{collections::VecDeque, time::Duration};

use peatdeck_core::model::Listing;

/// How far the list is behind and how it wavers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lag {
    /// How long a change takes to show.
    pub lag: Duration,
    /// How often it switches between the newest shown listing and the one
    /// before it; never when zero.
    pub flap: Duration,
}

/// Listings over time. The first one set shows at once.
#[derive(Debug, Default)]
pub struct Listings {
    history: VecDeque<(Duration, Listing)>,
}

/// Listings that are kept.
const MAX_HISTORY: usize = 1_000;

impl Listings {
    /// Sets the truth as of `now`.
    pub fn set(&mut self, now: Duration, listing: Listing) {
        self.history.push_back((now, listing));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// The truth.
    pub fn current(&self) -> Listing {
        self.history.back().map(|(_, listing)| listing.clone()).unwrap_or_default()
    }

    /// What the list says at `now`.
    pub fn visible(&self, now: Duration, lag: Lag) -> Listing {
        let horizon = now.saturating_sub(lag.lag);
        let count = self.history.partition_point(|(time, _)| *time <= horizon);
        // The first listing shows also before its lag has passed.
        let newest = count.saturating_sub(1);
        let idx = if shows_previous(now, lag.flap) { newest.saturating_sub(1) } else { newest };
        self.history.get(idx).map(|(_, listing)| listing.clone()).unwrap_or_default()
    }
}

fn shows_previous(now: Duration, flap: Duration) -> bool {
    if flap.is_zero() {
        return false;
    }
    (now.as_nanos() / flap.as_nanos()) % 2 == 1
}
