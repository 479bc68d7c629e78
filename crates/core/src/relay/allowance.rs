//! How much repetition one service may get, over all instances.
//!
//! In any window a service may get `ratio` times its requests, plus a slack,
//! of calls beyond the first one of each request. The ratio is kept by each
//! instance for its own requests, and the slack is shared out evenly, so the
//! sum keeps the bound without a message. A part of both stays unused: the
//! windows of two instances do not begin together.

use std::{collections::VecDeque, time::Duration};

use peatdeck_macros::data;

/// Steps that a window is counted in.
const BUCKETS: u32 = 20;
/// Share of the bound that is used. The rest covers calls that are repeated
/// without our doing: a caller's request that arrives twice, a piece that a
/// peer made again.
const USED_FRACTION: f64 = 0.8;

/// The bound on repetition.
#[data]
#[derive(Copy)]
pub struct RetryBudgetConfig {
    /// Repeated calls for each request.
    pub ratio: f64,
    /// Repeated calls on top, for the whole system.
    pub slack: f64,
    /// The span that is looked at.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// The counts of one service within the last window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// An allowance that has seen nothing.
    pub fn new(config: RetryBudgetConfig) -> RetryBudget {
        RetryBudget { config, buckets: VecDeque::new() }
    }

    /// Counts a request or a piece that is sent for the first time.
    pub fn deposit(&mut self, now: Duration, count: u32) {
        self.bucket(now).requests += count;
    }

    /// Pays for repeated calls; false if the bound does not allow them.
    /// `instances` share the slack.
    pub fn try_withdraw(&mut self, now: Duration, count: u32, instances: usize) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = self.config.slack / instances.max(1) as f64;
        let allowed = USED_FRACTION * (self.config.ratio * f64::from(requests) + slack);
        if f64::from(retries + count) > allowed {
            return false;
        }
        self.bucket(now).retries += count;
        true
    }

    /// The current step; those outside the window are dropped.
    fn bucket(&mut self, now: Duration) -> &mut Bucket {
        let width = (self.config.window / BUCKETS).max(Duration::from_millis(1));
        let index = (now.as_millis() / width.as_millis()) as u64;
        while self.buckets.front().is_some_and(|bucket| bucket.index + u64::from(BUCKETS) < index) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push_back(Bucket { index, ..Bucket::default() });
        }
        self.buckets.back_mut().expect("a bucket was just added if there was none")
    }
}
