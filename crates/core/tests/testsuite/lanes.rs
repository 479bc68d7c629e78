//! How long a new call waits for a pool, as the lanes measure it.

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
const DUE: Duration = Duration::from_secs(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn push(lanes: &mut PoolQueues, now: Duration, number: u64, team: &str) {
    let key = RequestKey::from(KeyData::from_ffi((1 << 32) | number));
    let team = team.into();
    let waiting = WaitingCall { key, team, weight: 1, deadline: DUE, cost: 1.0, priority: 0.0 };
    lanes.push(now, &POOL.into(), waiting);
}

fn wait(lanes: &PoolQueues, now: Duration, team: &str) -> Duration {
    lanes.wait(now, POOL, &NewCall { team, deadline: DUE, cost: 1.0 })
}

#[test]
fn calls_that_get_no_place_say_nothing_of_the_rate() {
    let mut lanes = PoolQueues::new(true);
    (0..40).for_each(|number| push(&mut lanes, ms(0), number, "a"));
    for round in 1..=10 {
        let now = ms(round * 100);
        lanes.pop(now, POOL).unwrap();
        lanes.record_dispatch(now, POOL, "a", 1.0);
        lanes.pop(now, POOL).unwrap();
        lanes.refund(now, POOL, "a", 1.0);
    }
    // Twenty wait, and one in 100 ms gets a place: 2 s and a fifth more for chance.
    let wait = wait(&lanes, ms(1000), "a");
    assert!((ms(2400)..ms(2650)).contains(&wait), "{wait:?}");
}

#[test]
fn a_team_waits_for_what_others_will_send_too() {
    let mut lanes = PoolQueues::new(true);
    (0..40).for_each(|number| push(&mut lanes, ms(0), number, "a"));
    for round in 1..=40 {
        let now = ms(round * 100);
        if round % 2 == 0 {
            push(&mut lanes, now, 100 + round, "b");
        }
        let key = lanes.pop(now, POOL).unwrap();
        let is_late = slotmap::Key::data(&key).as_ffi() & 0xff >= 100;
        lanes.record_dispatch(now, POOL, if is_late { "b" } else { "a" }, 1.0);
    }
    // Nineteen of "a" wait, and 21 got a place in 4 s, since the others went to
    // "b", of which none waits now: 3.6 s and a sixth more for chance.
    let wait = wait(&lanes, ms(4000), "a");
    assert!((ms(4100)..ms(4400)).contains(&wait), "{wait:?}");
}

#[test]
fn a_team_without_waiting_calls_goes_by_the_pool() {
    let mut lanes = PoolQueues::new(true);
    (0..40).for_each(|number| push(&mut lanes, ms(0), number, "a"));
    for round in 1..=10 {
        lanes.pop(ms(round * 100), POOL).unwrap();
        lanes.record_dispatch(ms(round * 100), POOL, "a", 1.0);
    }
    // One of "a" goes first at the most, and as much again for chance.
    assert!(wait(&lanes, ms(1000), "b") <= ms(250));
    assert!(lanes.has_other_teams(POOL, "b") && !lanes.has_other_teams(POOL, "a"));
}
