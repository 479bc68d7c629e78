//! Hedges of slow calls.

use peatdeck_core::instance::action::Call;

use crate::single::{World, ms};

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
