//! Trial calls detect that an endpoint that was slow is fast again.

use std::collections::HashMap;

use peatdeck_core::relay::{
    config::RequestKind,
    model::{Call, ReplyHead},
    terms::{Rate, Terms},
};

use crate::relay::fixture::{ConfigBuilder, World, arrival, entry, head, ms, route};

/// An instance and two endpoints of one service.
fn two_endpoints() -> World {
    let config =
        ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Idempotent, "desk"));
    let mut world = World::new(config.build());
    ["a", "b"].into_iter().for_each(|name| world.put(entry(name, "desk")));
    world
}

fn answer(world: &mut World, call: &Call, head: &ReplyHead) {
    world.relay.on_reply_head(world.now, call.key, head);
    world.reply(call.key, head);
}

/// Submits `count` requests one after the other; each call takes the latency of its endpoint.
/// Returns the number of calls per endpoint.
fn submit_in_turn(
    world: &mut World,
    count: u64,
    latency: impl Fn(&str) -> u64,
    head: impl Fn(&str) -> ReplyHead,
) -> HashMap<String, u64> {
    let mut calls = HashMap::new();
    for _ in 0..count {
        world.submit(arrival(&format!("r{}", world.now.as_micros()), "r"));
        let call = world.call();
        world.advance(ms(latency(&call.endpoint)));
        answer(world, &call, &head(&call.endpoint));
        world.actions.clear();
        *calls.entry(call.endpoint.to_string()).or_default() += 1;
    }
    calls
}

#[test]
fn an_endpoint_that_was_slow_once_gets_calls_again() {
    let mut world = two_endpoints();
    // Endpoint `a` is slow during these requests.
    submit_in_turn(&mut world, 20, |name| if name == "a" { 150 } else { 16 }, |_| head(200));
    let calls = submit_in_turn(&mut world, 375, |_| 16, |_| head(200));
    assert!(calls.get("a").is_some_and(|count| *count >= 50), "{calls:?}");
}

#[test]
fn an_endpoint_that_states_a_limit_is_called_at_its_limit() {
    let mut world = two_endpoints();
    let limited = |name: &str| {
        let limit = Rate::per_second(6.0).filter(|_| name == "a");
        ReplyHead { terms: Terms { limit, ..Terms::default() }, ..head(200) }
    };
    submit_in_turn(&mut world, 20, |_| 16, limited);
    let calls = submit_in_turn(&mut world, 375, |_| 16, limited);
    assert!(calls.get("a").is_some_and(|count| *count >= 15), "{calls:?}");
}

/// Each trial is the request of a caller, who waits longer for it.
#[test]
fn an_endpoint_that_stays_slow_gets_trials_less_and_less_often() {
    let mut world = two_endpoints();
    let calls =
        submit_in_turn(&mut world, 6000, |name| if name == "a" { 150 } else { 16 }, |_| head(200));
    assert!(calls.get("a").is_some_and(|count| *count <= 8), "{calls:?}");
}

/// If each of hundreds of instances made trials as often as a single one does, the trials would
/// keep the endpoint busy.
#[test]
fn many_instances_together_make_no_more_trials_than_a_few() {
    let mut world = two_endpoints();
    world.relay.set_peers(world.now, Vec::new(), 80);
    let calls =
        submit_in_turn(&mut world, 6000, |name| if name == "a" { 150 } else { 16 }, |_| head(200));
    assert!(calls.get("a").is_some_and(|count| (2..=4).contains(count)), "{calls:?}");
}
