//! How long a new call is expected to wait in the queue of a pool.

use std::time::Duration;

use peatdeck_core::{
    instance::{
        held::RequestKey,
        lanes::{NewCall, PoolQueues},
    },
    queue::WaitingCall,
};
use slotmap::KeyData;

const POOL: &str = "models";
const DEADLINE: Duration = Duration::from_secs(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn push(queues: &mut PoolQueues, now: Duration, number: u64, team: &str) {
    let key = RequestKey::from(KeyData::from_ffi((1 << 32) | number));
    let team = team.into();
    let waiting =
        WaitingCall { key, team, weight: 1, deadline: DEADLINE, cost: 1.0, priority: 0.0 };
    queues.push(now, &POOL.into(), waiting);
}

fn wait(queues: &PoolQueues, now: Duration, team: &str) -> Duration {
    queues.wait(now, POOL, &NewCall { team, deadline: DEADLINE, cost: 1.0 })
}

#[test]
fn refunded_calls_do_not_count_towards_the_drain_rate() {
    let mut queues = PoolQueues::new(true);
    (0..40).for_each(|number| push(&mut queues, ms(0), number, "a"));
    for round in 1..=10 {
        let now = ms(round * 100);
        queues.pop(now, POOL).unwrap();
        queues.record_dispatch(now, POOL, "a", 1.0);
        queues.pop(now, POOL).unwrap();
        queues.refund(now, POOL, "a", 1.0);
    }
    // Twenty calls wait and one is dispatched per 100 ms: 2 s, and a fifth more for variance.
    let wait = wait(&queues, ms(1000), "a");
    assert!((ms(2400)..ms(2650)).contains(&wait), "{wait:?}");
}

#[test]
fn the_wait_of_a_team_includes_calls_that_other_teams_will_send() {
    let mut queues = PoolQueues::new(true);
    (0..40).for_each(|number| push(&mut queues, ms(0), number, "a"));
    for round in 1..=40 {
        let now = ms(round * 100);
        if round % 2 == 0 {
            push(&mut queues, now, 100 + round, "b");
        }
        let key = queues.pop(now, POOL).unwrap();
        let is_late = slotmap::Key::data(&key).as_ffi() & 0xff >= 100;
        queues.record_dispatch(now, POOL, if is_late { "b" } else { "a" }, 1.0);
    }
    // Nineteen calls of "a" wait, and 21 were dispatched in 4 s, since the other dispatches went to
    // "b", which has no waiting calls now: 3.6 s, and a sixth more for variance.
    let wait = wait(&queues, ms(4000), "a");
    assert!((ms(4100)..ms(4400)).contains(&wait), "{wait:?}");
}

#[test]
fn the_wait_of_a_team_without_waiting_calls_follows_the_rate_of_the_pool() {
    let mut queues = PoolQueues::new(true);
    (0..40).for_each(|number| push(&mut queues, ms(0), number, "a"));
    for round in 1..=10 {
        queues.pop(ms(round * 100), POOL).unwrap();
        queues.record_dispatch(ms(round * 100), POOL, "a", 1.0);
    }
    // At most one call of "a" is dispatched before it, and as much again for variance.
    assert!(wait(&queues, ms(1000), "b") <= ms(250));
    assert!(queues.has_other_teams(POOL, "b") && !queues.has_other_teams(POOL, "a"));
}
