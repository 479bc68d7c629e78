//! An endpoint that was slow for a moment is found out to be quick again.

use std::collections::HashMap;

use peatdeck_core::relay::{
    config::RequestKind,
    model::{Call, ReplyHead},
    terms::{Rate, Terms},
};

use crate::relay::fixture::{ConfigBuilder, World, arrival, entry, head, ms, route};

/// An instance before two endpoints of a service.
fn two() -> World {
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

/// Asks so many times, one after the other; each call takes as long as its endpoint
/// does. Returns how many each got.
fn ask(
    world: &mut World,
    count: u64,
    took: impl Fn(&str) -> u64,
    head: impl Fn(&str) -> ReplyHead,
) -> HashMap<String, u64> {
    let mut calls = HashMap::new();
    for _ in 0..count {
        world.submit(arrival(&format!("r{}", world.now.as_micros()), "r"));
        let call = world.call();
        world.advance(ms(took(&call.endpoint)));
        answer(world, &call, &head(&call.endpoint));
        world.actions.clear();
        *calls.entry(call.endpoint.to_string()).or_default() += 1;
    }
    calls
}

#[test]
fn an_endpoint_that_was_slow_once_is_called_again() {
    let mut world = two();
    // Each is called while the other one is slower.
    ask(&mut world, 20, |name| if name == "a" { 150 } else { 16 }, |_| head(200));
    let calls = ask(&mut world, 375, |_| 16, |_| head(200));
    assert!(calls.get("a").is_some_and(|count| *count >= 50), "{calls:?}");
}

#[test]
fn an_endpoint_that_names_a_limit_is_called_as_often_as_it_says() {
    let mut world = two();
    let limited = |name: &str| {
        let limit = Rate::per_second(6.0).filter(|_| name == "a");
        ReplyHead { terms: Terms { limit, ..Terms::default() }, ..head(200) }
    };
    ask(&mut world, 20, |_| 16, limited);
    let calls = ask(&mut world, 375, |_| 16, limited);
    assert!(calls.get("a").is_some_and(|count| *count >= 15), "{calls:?}");
}

/// Each try is a caller's call.
#[test]
fn an_endpoint_that_stays_slow_is_tried_less_and_less_often() {
    let mut world = two();
    let calls = ask(&mut world, 6000, |name| if name == "a" { 150 } else { 16 }, |_| head(200));
    assert!(calls.get("a").is_some_and(|count| *count <= 8), "{calls:?}");
}

/// Were each to try it as often as one alone, hundreds would keep it busy.
#[test]
fn many_instances_try_an_endpoint_no_more_often_than_a_few() {
    let mut world = two();
    world.relay.set_peers(world.now, Vec::new(), 80);
    let calls = ask(&mut world, 6000, |name| if name == "a" { 150 } else { 16 }, |_| head(200));
    assert!(calls.get("a").is_some_and(|count| (2..=4).contains(count)), "{calls:?}");
}
