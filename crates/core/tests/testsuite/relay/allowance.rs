//! The bound on repetition over all instances.

use peatdeck_core::relay::allowance::{RetryBudget, RetryBudgetConfig};

use super::fixture::ms;

const BOUND: RetryBudgetConfig =
    RetryBudgetConfig { ratio: 0.2, slack: 40.0, window: std::time::Duration::from_secs(10) };

fn spend_all(allowance: &mut RetryBudget, at: u64, instances: usize) -> u32 {
    (0..1000).take_while(|_| allowance.try_withdraw(ms(at), 1, instances)).count() as u32
}

#[test]
fn instances_share_the_slack() {
    assert_eq!(spend_all(&mut RetryBudget::new(BOUND), 0, 1), 32);
    assert_eq!(spend_all(&mut RetryBudget::new(BOUND), 0, 8), 4);
}

#[test]
fn requests_earn_repeats() {
    let mut allowance = RetryBudget::new(BOUND);
    allowance.deposit(ms(0), 100);
    assert_eq!(spend_all(&mut allowance, 10, 8), 20);
}

#[test]
fn what_was_spent_counts_for_a_window() {
    let mut allowance = RetryBudget::new(BOUND);
    assert_eq!(spend_all(&mut allowance, 0, 8), 4);
    assert_eq!(spend_all(&mut allowance, 9_000, 8), 0);
    assert_eq!(spend_all(&mut allowance, 11_000, 8), 4);
}

/// The oracle counts every span of the window's length by itself.
#[test]
fn no_window_holds_more_than_the_bound() {
    let mut allowance = RetryBudget::new(BOUND);
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for at in (0..60_000).step_by(50) {
        if at % 300 < 150 {
            allowance.deposit(ms(at), 1);
            requests.push(at);
        }
        if allowance.try_withdraw(ms(at), 1, 1) {
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
        let earned = within(&requests).max(before(&requests));
        assert!(within(&repeats) as f64 <= 0.2 * earned as f64 + 40.0, "from {from}");
    }
}
