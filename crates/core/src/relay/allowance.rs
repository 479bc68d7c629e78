//! Retry budget of one service, shared by all instances.
//!
//! In any window a service may receive `ratio` times its requests, plus a slack, of repeated calls:
//! every call of a request after its first. Each instance applies the ratio to its own requests and
//! gets an equal part of the slack, so the total stays within the budget without messages between
//! instances. Part of the budget stays unused, since the windows of instances do not start at the
//! same time.

use std::{collections::VecDeque, time::Duration};

use peatdeck_macros::data;

/// Number of buckets that a window is divided into.
const BUCKETS: u32 = 20;
/// Share of the budget that is used. The rest covers repeated calls that the relay does not make: a
/// caller's request that arrives twice, a piece that a peer ran again.
const USED_FRACTION: f64 = 0.8;

/// Configured size of a retry budget.
#[data]
#[derive(Copy)]
pub struct RetryBudgetConfig {
    /// Repeated calls per request.
    pub ratio: f64,
    /// Repeated calls on top, for all instances together.
    pub slack: f64,
    /// The time over which requests and repeated calls are counted.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Requests and repeated calls of one service within the last window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// A budget without any requests yet.
    pub fn new(config: RetryBudgetConfig) -> RetryBudget {
        RetryBudget { config, buckets: VecDeque::new() }
    }

    /// Counts requests or pieces that are sent for the first time.
    pub fn deposit(&mut self, now: Duration, count: u32) {
        self.bucket(now).requests += count;
    }

    /// Counts repeated calls if the budget allows all of them; else returns false. `instances` is
    /// the number of instances that share the slack.
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

    /// Returns the current bucket and drops those outside the window.
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
