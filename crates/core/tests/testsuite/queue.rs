//! Order of calls within a team, and shares of teams.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use expect_test::expect;
use peatdeck_core::queue::{Queue, WaitingCall};

pub fn waiting(key: u32, team: &str, deadline: u64) -> WaitingCall<u32> {
    WaitingCall {
        key,
        team: Arc::from(team),
        weight: 1,
        deadline: Duration::from_millis(deadline),
        cost: 1.0,
        priority: 0.0,
    }
}

fn drain(queue: &mut Queue<u32>) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop(Duration::ZERO)).collect()
}

#[test]
fn the_earliest_deadline_goes_first() {
    let mut queue = Queue::new();
    queue.push(waiting(1, "a", 300));
    queue.push(waiting(2, "a", 100));
    queue.push(waiting(3, "a", 200));
    assert_eq!(drain(&mut queue), [2, 3, 1]);
}

#[test]
fn a_policys_priority_goes_before_the_deadline() {
    let mut queue = Queue::new();
    queue.push(waiting(1, "a", 100));
    queue.push(WaitingCall { priority: 1.5, ..waiting(2, "a", 200) });
    queue.push(WaitingCall { priority: -1.0, ..waiting(3, "a", 50) });
    assert_eq!(drain(&mut queue), [2, 1, 3]);
}

#[test]
fn calls_with_equal_deadlines_keep_their_order() {
    let mut queue = Queue::new();
    (0..4).for_each(|key| queue.push(waiting(key, "a", 100)));
    assert_eq!(drain(&mut queue), [0, 1, 2, 3]);
}

#[test]
fn teams_are_served_by_weight() {
    let mut queue = Queue::new();
    for key in 0..20 {
        queue.push(WaitingCall { weight: 3, ..waiting(key, "large", 100) });
        queue.push(waiting(100 + key, "small", 100));
    }
    let first: Vec<u32> = drain(&mut queue).into_iter().take(12).collect();
    assert_eq!(first.iter().filter(|key| **key >= 100).count(), 3);
}

#[test]
fn teams_are_served_by_cost_and_not_by_number_of_calls() {
    let mut queue = Queue::new();
    for key in 0..20 {
        queue.push(WaitingCall { cost: 4.0, ..waiting(key, "costly", 100) });
        queue.push(waiting(100 + key, "cheap", 100));
    }
    let first: Vec<u32> = drain(&mut queue).into_iter().take(10).collect();
    assert_eq!(first.iter().filter(|key| **key >= 100).count(), 8);
}

#[test]
fn an_unused_share_goes_to_other_teams_and_is_not_saved_up() {
    let mut queue = Queue::new();
    (0..30).for_each(|key| queue.push(waiting(key, "busy", 100)));
    queue.push(waiting(100, "idle", 100));
    for _ in 0..20 {
        queue.pop(Duration::ZERO);
    }
    (101..121).for_each(|key| queue.push(waiting(key, "idle", 100)));
    let next: Vec<u32> = drain(&mut queue).into_iter().take(10).collect();
    assert_eq!(next.iter().filter(|key| **key >= 100).count(), 5);
}

#[test]
fn a_small_team_that_queues_again_is_served_first_once() {
    let mut queue = Queue::new();
    (0..60).for_each(|key| queue.push(WaitingCall { weight: 4, ..waiting(key, "large", 100) }));
    queue.push(waiting(100, "small", 100));
    (0..20).for_each(|_| assert!(queue.pop(Duration::ZERO).is_some()));
    (101..104).for_each(|key| queue.push(waiting(key, "small", 100)));
    let next: Vec<u32> = drain(&mut queue).into_iter().take(11).collect();
    let small: Vec<usize> = (0..11).filter(|idx| next[*idx] >= 100).collect();
    // One call is served at once, then one in five; ties are served in the order of the turns.
    assert_eq!(small, [0, 4, 9]);
}

#[test]
fn credit_that_remains_after_an_urgent_call_is_kept() {
    let mut queue = Queue::new();
    queue.push(WaitingCall { cost: 10.0, ..waiting(1, "a", 200) });
    (100..120).for_each(|key| queue.push(waiting(key, "b", 100)));
    (0..5).for_each(|_| assert!(queue.pop(Duration::ZERO).is_some()));
    queue.push(waiting(2, "a", 100));
    let order = drain(&mut queue);
    assert_eq!(order[0], 2);
    // Five units of credit were saved and one was spent, so it takes six more rounds, not ten.
    assert_eq!(order.iter().position(|key| *key == 1), Some(6));
}

#[test]
fn an_expired_call_is_popped_first_and_costs_nothing() {
    let mut queue = Queue::new();
    queue.push(WaitingCall { cost: 100.0, ..waiting(1, "a", 10) });
    queue.push(waiting(2, "a", 500));
    queue.push(waiting(3, "b", 500));
    queue.push(waiting(4, "b", 600));
    let now = Duration::from_millis(10);
    let order: Vec<u32> = std::iter::from_fn(|| queue.pop(now)).collect();
    assert_eq!(order, [1, 2, 3, 4]);
}

#[test]
fn a_refunded_call_does_not_use_up_the_turn_of_its_team() {
    let mut queue = Queue::new();
    for key in 0..20 {
        queue.push(waiting(key, "a", 100));
        queue.push(waiting(100 + key, "b", 100));
    }
    let mut served = Vec::new();
    while served.len() < 10 {
        match queue.pop(Duration::ZERO) {
            // Every other call of "a" is not sent.
            Some(key) if key < 100 && key % 2 == 0 => queue.refund("a", 1.0),
            Some(key) => served.push(key),
            None => break,
        }
    }
    assert_eq!(served.iter().filter(|key| **key < 100).count(), 5);
}

#[test]
fn a_refund_to_a_team_without_waiting_calls_gives_no_credit() {
    let mut queue = Queue::new();
    queue.push(waiting(1, "a", 100));
    queue.pop(Duration::ZERO);
    queue.refund("a", 50.0);
    for key in 0..10 {
        queue.push(waiting(key, "a", 100));
        queue.push(waiting(100 + key, "b", 100));
    }
    let first: Vec<u32> = drain(&mut queue).into_iter().take(6).collect();
    assert_eq!(first.iter().filter(|key| **key < 100).count(), 3);
}

#[test]
fn a_removed_call_is_not_popped() {
    let mut queue = Queue::new();
    queue.push(waiting(1, "a", 100));
    queue.push(waiting(2, "b", 100));
    assert!(queue.remove(1));
    assert!(!queue.remove(1));
    assert_eq!((queue.len(), drain(&mut queue)), (1, vec![2]));
}

#[test]
fn cost_ahead_counts_earlier_calls_of_the_team_and_the_share_of_others() {
    let mut queue = Queue::new();
    for key in 0..10 {
        queue.push(waiting(key, "a", 100 * u64::from(key)));
        queue.push(waiting(100 + key, "b", 100));
    }
    let ahead = |queue: &Queue<u32>, team, ms| queue.cost_ahead(team, Duration::from_millis(ms));
    let figures = [
        ahead(&queue, "a", 250),
        ahead(&queue, "a", 10_000),
        ahead(&queue, "new", 100),
        queue.cost(),
    ];
    expect!["[7.0, 20.0, 2.0, 20.0]"].assert_eq(&format!("{figures:?}"));
}
