//! Load reports that lag.

use std::{collections::VecDeque, time::Duration};

use peatdeck_core::model::Load;

/// The load of an endpoint over the recent past.
#[derive(Debug)]
pub struct LaggedLoad {
    lag: Duration,
    history: VecDeque<(Duration, Load)>,
}

impl LaggedLoad {
    /// Creates reports that lag by `lag`, starting with `load`.
    pub fn new(lag: Duration, load: Load) -> LaggedLoad {
        LaggedLoad { lag, history: VecDeque::from([(Duration::ZERO, load)]) }
    }

    /// Sets the lag. Loads older than the previous lag have been dropped, so a
    /// longer lag takes effect gradually.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Records the load as of `now`.
    pub fn record(&mut self, now: Duration, load: Load) {
        self.history.push_back((now, load));
        self.drop_expired(now);
    }

    /// The load to report at `now`.
    pub fn report(&mut self, now: Duration) -> Load {
        self.drop_expired(now);
        let age_ms = u32::try_from(self.lag.as_millis()).unwrap_or(u32::MAX);
        let (_, load) = self.history.front().expect("one entry is always kept");
        Load { age_ms, ..*load }
    }

    fn drop_expired(&mut self, now: Duration) {
        let horizon = now.saturating_sub(self.lag);
        while self.history.get(1).is_some_and(|(time, _)| *time <= horizon) {
            self.history.pop_front();
        }
    }
}
