//! The retry budget, which all instances share.

use peatdeck_core::relay::allowance::{RetryBudget, RetryBudgetConfig};

use super::fixture::ms;

const BUDGET: RetryBudgetConfig =
    RetryBudgetConfig { ratio: 0.2, slack: 40.0, window: std::time::Duration::from_secs(10) };

fn withdraw_all(budget: &mut RetryBudget, at: u64, instances: usize) -> u32 {
    (0..1000).take_while(|_| budget.try_withdraw(ms(at), 1, instances)).count() as u32
}

#[test]
fn instances_share_the_slack() {
    assert_eq!(withdraw_all(&mut RetryBudget::new(BUDGET), 0, 1), 32);
    assert_eq!(withdraw_all(&mut RetryBudget::new(BUDGET), 0, 8), 4);
}

#[test]
fn requests_add_to_the_budget() {
    let mut budget = RetryBudget::new(BUDGET);
    budget.deposit(ms(0), 100);
    assert_eq!(withdraw_all(&mut budget, 10, 8), 20);
}

#[test]
fn retries_count_for_one_window() {
    let mut budget = RetryBudget::new(BUDGET);
    assert_eq!(withdraw_all(&mut budget, 0, 8), 4);
    assert_eq!(withdraw_all(&mut budget, 9_000, 8), 0);
    assert_eq!(withdraw_all(&mut budget, 11_000, 8), 4);
}

/// Counts the requests and the retries of every window independently of the budget.
#[test]
fn no_window_exceeds_the_budget() {
    let mut budget = RetryBudget::new(BUDGET);
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for at in (0..60_000).step_by(50) {
        if at % 300 < 150 {
            budget.deposit(ms(at), 1);
            requests.push(at);
        }
        if budget.try_withdraw(ms(at), 1, 1) {
            repeats.push(at);
        }
    }
    for from in (0..50_000_u64).step_by(100) {
        let within =
            |list: &[u64]| list.iter().filter(|at| (from..from + 10_000).contains(at)).count();
        let before = |list: &[u64]| {
            let start = from.saturating_sub(5_000);
            list.iter().filter(|at| (start..start + 10_000).contains(at)).count()
        };
        let accrued = within(&requests).max(before(&requests));
        assert!(within(&repeats) as f64 <= 0.2 * accrued as f64 + 40.0, "from {from}");
    }
}
