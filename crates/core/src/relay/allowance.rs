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
const STEPS: u32 = 20;
/// Share of the bound that is used. The rest covers calls that are repeated
/// without our doing: a caller's request that arrives twice, a piece that a
/// peer made again.
const USED_SHARE: f64 = 0.8;

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
struct Step {
    index: u64,
    requests: u32,
    repeats: u32,
}

/// The counts of one service within the last window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    bound: RetryBudgetConfig,
    steps: VecDeque<Step>,
}

impl RetryBudget {
    /// An allowance that has seen nothing.
    pub fn new(bound: RetryBudgetConfig) -> RetryBudget {
        RetryBudget { bound, steps: VecDeque::new() }
    }

    /// Counts a request or a piece that is sent for the first time.
    pub fn deposit(&mut self, now: Duration, count: u32) {
        self.step(now).requests += count;
    }

    /// Pays for repeated calls; false if the bound does not allow them.
    /// `instances` share the slack.
    pub fn try_withdraw(&mut self, now: Duration, count: u32, instances: usize) -> bool {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let slack = self.bound.slack / instances.max(1) as f64;
        let allowed = USED_SHARE * (self.bound.ratio * f64::from(requests) + slack);
        if f64::from(repeats + count) > allowed {
            return false;
        }
        self.step(now).repeats += count;
        true
    }

    /// The current step; those outside the window are dropped.
    fn step(&mut self, now: Duration) -> &mut Step {
        let width = (self.bound.window / STEPS).max(Duration::from_millis(1));
        let index = (now.as_millis() / width.as_millis()) as u64;
        while self.steps.front().is_some_and(|step| step.index + u64::from(STEPS) < index) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.index < index) {
            self.steps.push_back(Step { index, ..Step::default() });
        }
        self.steps.back_mut().expect("a step was just added if there was none")
    }
}
