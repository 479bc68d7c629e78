//! One budget for all repetition: retries and hedges.
//!
//! Every first attempt earns a part of a token, every repetition spends a
//! whole one. So repetition stays under a fixed share of the traffic, however
//! many calls fail, and a failing pool isn't hit by a storm of retries.

/// How much repetition is allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Tokens earned by a first attempt.
    pub ratio: f64,
    /// Tokens kept at the most, and held at the start.
    pub burst: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { ratio: 0.1, burst: 10.0 }
    }
}

/// A token bucket that traffic itself fills.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: Settings,
    tokens: f64,
}

/// Rounding slack, so that ten tenths make one token.
const SLACK: f64 = 1e-9;

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: Settings) -> RetryBudget {
        RetryBudget { settings, tokens: settings.burst }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Pays for one repetition; false if the budget doesn't allow it.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens + SLACK < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Tokens left.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
