//! One retry budget for all retries and hedges of an instance.
//!
//! Every first attempt deposits a fraction of a token and every retry or hedge withdraws one.
//! Retries and hedges thus stay below a fixed share of the traffic however many calls fail, so that
//! a failing pool doesn't get a retry storm.

/// Settings of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Tokens deposited by a first attempt.
    pub ratio: f64,
    /// The most tokens that the budget holds; it starts with as many.
    pub burst: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { ratio: 0.1, burst: 10.0 }
    }
}

/// A token bucket that first attempts fill and retries and hedges drain.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: Settings,
    tokens: f64,
}

/// Tolerance for rounding, so that ten deposits of 0.1 make one token.
const EPSILON: f64 = 1e-9;

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: Settings) -> RetryBudget {
        RetryBudget { settings, tokens: settings.burst }
    }

    /// Deposits the tokens of a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Withdraws a token for a retry or a hedge; false if there is none.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens + EPSILON < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Tokens in the budget.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
