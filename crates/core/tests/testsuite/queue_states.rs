//! The queue under any order of pushes, pops and removals: no call is lost or popped twice, and no
//! team with waiting calls gets less than its share.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use peatdeck_core::queue::{Queue, WaitingCall};
use proptest::{prelude::*, test_runner::RngSeed};

const TEAMS: [&str; 4] = ["a", "b", "c", "d"];

#[derive(Debug, Clone)]
enum Step {
    Push { team: usize, deadline: u64, cost: f64, priority: i8 },
    Pop { at: u64 },
    Remove { key: u32 },
}

fn step() -> impl Strategy<Value = Step> {
    let push = (0..TEAMS.len(), 0_u64..1000, 0.0..50.0, -1_i8..2);
    prop_oneof![
        3 => push.prop_map(|(team, deadline, cost, priority)| {
            Step::Push { team, deadline, cost, priority }
        }),
        2 => (0_u64..1000).prop_map(|at| Step::Pop { at }),
        1 => (0_u32..60).prop_map(|key| Step::Remove { key }),
    ]
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_260_302),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn waiting(key: u32, team: usize, weight: u32, cost: f64) -> WaitingCall<u32> {
    let deadline = Duration::from_secs(1000);
    WaitingCall { key, team: Arc::from(TEAMS[team]), weight, deadline, cost, priority: 0.0 }
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn no_call_is_lost_or_popped_twice(steps in prop::collection::vec(step(), 1..120)) {
        let mut queue = Queue::new();
        let mut queued = BTreeSet::new();
        for (key, step) in (0_u32..).zip(steps) {
            match step {
                Step::Push { team, deadline, cost, priority } => {
                    let deadline = Duration::from_millis(deadline);
                    let priority = f64::from(priority);
                    queue.push(WaitingCall { deadline, priority, ..waiting(key, team, 1, cost) });
                    queued.insert(key);
                }
                Step::Pop { at } => match queue.pop(Duration::from_millis(at)) {
                    Some(key) => prop_assert!(queued.remove(&key)),
                    None => prop_assert!(queued.is_empty()),
                },
                Step::Remove { key } => prop_assert_eq!(queue.remove(key), queued.remove(&key)),
            }
            prop_assert_eq!(queue.len(), queued.len());
        }
        while let Some(key) = queue.pop(Duration::ZERO) {
            prop_assert!(queued.remove(&key));
        }
        prop_assert!(queued.is_empty());
    }

    /// While all teams have waiting calls, the costs served to two teams, each divided by the weight
    /// of the team, differ by at most the sum of the largest cost of a call divided by each weight.
    #[test]
    fn teams_get_their_shares_under_contention(
        weights in prop::collection::vec(1_u32..8, TEAMS.len()),
        costs in prop::collection::vec((0.5..20.0, 0.5..20.0, 0.5..20.0, 0.5..20.0), 60),
    ) {
        let mut queue = Queue::new();
        let mut by_key = BTreeMap::new();
        let mut largest = 0.0_f64;
        for (round, (a, b, c, d)) in costs.iter().enumerate() {
            for (team, cost) in [a, b, c, d].into_iter().enumerate() {
                let key = u32::try_from(round * TEAMS.len() + team).unwrap();
                queue.push(waiting(key, team, weights[team], *cost));
                by_key.insert(key, (team, *cost));
                largest = largest.max(*cost);
            }
        }
        let mut served = [0.0; TEAMS.len()];
        let mut remaining = [costs.len(); TEAMS.len()];
        while remaining.iter().all(|remaining| *remaining > 0) {
            let key = queue.pop(Duration::ZERO).unwrap();
            let (team, cost) = by_key[&key];
            served[team] += cost;
            remaining[team] -= 1;
            for (a, b) in (0..TEAMS.len()).flat_map(|a| (0..TEAMS.len()).map(move |b| (a, b))) {
                let (wa, wb) = (f64::from(weights[a]), f64::from(weights[b]));
                let difference = served[a] / wa - served[b] / wb;
                prop_assert!(
                    difference <= largest / wa + largest / wb + 1e-6,
                    "{difference} between {a} and {b}"
                );
            }
        }
    }
}
