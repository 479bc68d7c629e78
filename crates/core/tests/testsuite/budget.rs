//! The budget of retries and hedges.

#![allow(clippy::unwrap_used)]

use peatdeck_core::budget::{RetryBudget, Settings};

#[test]
fn repetition_stays_under_its_share_of_traffic() {
    let mut budget = RetryBudget::new(Settings { ratio: 0.1, burst: 5.0 });
    let mut spent = 0;
    for _ in 0..1000 {
        budget.deposit();
        spent += u32::from(budget.try_withdraw());
    }
    assert_eq!(spent, 104);
}

#[test]
fn quiet_times_save_up_no_more_than_the_burst() {
    let mut budget = RetryBudget::new(Settings { ratio: 0.5, burst: 3.0 });
    (0..100).for_each(|_| budget.deposit());
    let spent = (0..10).filter(|_| budget.try_withdraw()).count();
    assert_eq!(spent, 3);
}
