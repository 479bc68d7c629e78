//! Rollouts: which version gets work, what counts as evidence, and what is decided.

mod exposure;
mod fleet;
mod good;

use std::{sync::Arc, time::Duration};

use peatdeck_core::relay::{
    Settings,
    allowance::RetryBudgetConfig,
    position::{Position, Timeline},
    rollout::{Limits, Order},
};

use crate::relay::fixture::{ms, settings};

/// The settings of an instance of a deployment with rollouts.
pub fn rollout_settings(name: &str) -> Settings {
    let budget = RetryBudgetConfig { ratio: 0.2, slack: 40.0, window: ms(10_000) };
    let limits = Limits { max_share: 0.1, slack: 50, rollback_time: ms(5000) };
    Settings { rollout: Some(limits), ..settings(budget, name) }
}

/// An order for service `desk` at an offset of the operators' log.
pub fn order(destination: &str, duration: Duration, offset: u64) -> Order {
    Order {
        service: "desk".into(),
        destination: Arc::from(destination),
        duration,
        position: Position { timeline: Timeline(1), offset },
    }
}
