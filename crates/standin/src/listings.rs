//! The current listing of instances and endpoints, and the delayed one that
//! clients receive.

use std::{collections::VecDeque, time::Duration};

use peatdeck_core::model::Listing;

/// Delay and flapping of the list.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lag {
    /// Delay until a change appears.
    pub lag: Duration,
    /// Interval at which the list alternates between the newest visible listing
    /// and the one before it; zero turns this off.
    pub flap: Duration,
}

/// Listings over time. The first one set is visible at once.
#[derive(Debug, Default)]
pub struct Listings {
    history: VecDeque<(Duration, Listing)>,
}

/// Number of listings that are kept.
const MAX_HISTORY: usize = 1_000;

impl Listings {
    /// Sets the current listing as of `now`.
    pub fn set(&mut self, now: Duration, listing: Listing) {
        self.history.push_back((now, listing));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// The listing set last, without lag.
    pub fn current(&self) -> Listing {
        self.history.back().map(|(_, listing)| listing.clone()).unwrap_or_default()
    }

    /// The listing that clients receive at `now`.
    pub fn visible(&self, now: Duration, lag: Lag) -> Listing {
        let horizon = now.saturating_sub(lag.lag);
        let count = self.history.partition_point(|(time, _)| *time <= horizon);
        // The first listing is visible even before its lag has passed.
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
