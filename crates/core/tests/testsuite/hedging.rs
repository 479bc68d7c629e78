//! Hedges of slow calls.

use peatdeck_core::{document::PoolKind, instance::action::Call};

use crate::single::{World, ms, team};

/// Guards against a slow call that is never hedged because all slots of its pool were taken at
/// the moment when its hedge was due.
#[test]
fn a_hedge_that_finds_its_pool_full_is_sent_once_a_slot_is_free() {
    let mut world = World::new();
    let slow = world.submit().expect("an idle pool takes the call");
    let mut others = Vec::new();
    while let Some(call) = world.submit() {
        others.push(call);
    }
    let hedges = world.advance(ms(600));
    assert!(hedges.is_empty(), "the pool is full: {hedges:?}");
    for call in &others {
        world.reply(call);
    }
    let calls = world.advance(ms(100));
    let is_hedge = |call: &Call| call.echo.request == slow.echo.request && call.echo.attempt == 2;
    assert!(calls.iter().any(is_hedge), "no hedge among {calls:?}");
}

/// Guards against a call that hangs until its deadline because its stage has no samples yet.
#[test]
fn a_call_of_a_stage_without_samples_is_hedged_in_time() {
    let endpoints = [("a", ""), ("b", "")];
    let mut world = World::with_endpoints(vec![team("team", 1)], PoolKind::Service, &endpoints);
    let slow = world.submit().expect("an idle pool takes the call");
    let hedge = world.advance(ms(600)).pop().expect("a hedge");
    assert_eq!(hedge.echo.request, slow.echo.request);
    assert_ne!(hedge.endpoint, slow.endpoint);
    assert!(world.advance(ms(300)).is_empty());
}
