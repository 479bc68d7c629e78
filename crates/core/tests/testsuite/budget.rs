//! The budget for retries and hedges.

#![allow(clippy::unwrap_used)]

use peatdeck_core::budget::{RetryBudget, Settings};

#[test]
fn retries_stay_within_the_ratio_to_requests() {
    let mut budget = RetryBudget::new(Settings { ratio: 0.1, burst: 5.0 });
    let mut spent = 0;
    for _ in 0..1000 {
        budget.deposit();
        spent += u32::from(budget.try_withdraw());
    }
    assert_eq!(spent, 104);
}

#[test]
fn unused_budget_is_capped_at_the_burst() {
    let mut budget = RetryBudget::new(Settings { ratio: 0.5, burst: 3.0 });
    (0..100).for_each(|_| budget.deposit());
    let spent = (0..10).filter(|_| budget.try_withdraw()).count();
    assert_eq!(spent, 3);
}
