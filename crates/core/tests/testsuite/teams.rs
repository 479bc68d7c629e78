//! Shares of teams.

use crate::single::{World, team};

/// Guards against an overflow of the sum of weights, which may be any number.
#[test]
fn teams_with_the_largest_weight_are_served() {
    let names = ["team", "second", "third"];
    let mut world = World::with_teams(names.map(|name| team(name, u32::MAX)).to_vec());
    let calls = names.map(|name| world.submit_as(name));
    assert!(calls.iter().all(Option::is_some));
    assert!(world.submit().is_some());
}
