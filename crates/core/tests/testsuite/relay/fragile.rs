//! Endpoints that fall over if they have to refuse many calls, and say so in their replies.

use std::sync::Arc;

use peatdeck_core::relay::{
    config::RequestKind,
    model::{Peer, ReplyHead},
    terms::Terms,
};

use super::fixture::{ConfigBuilder, World, arrival, entry, head, ms, not_run, route};

const INSTANCES: usize = 4;
const MAX_REFUSALS: u32 = 2;

fn fragile(head: ReplyHead) -> ReplyHead {
    let terms = Terms { max_refusals: Some(MAX_REFUSALS), ..Terms::default() };
    ReplyHead { terms, ..head }
}

/// One of four instances before an endpoint with four slots that has stated to be fragile.
fn world() -> World {
    let config =
        ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Idempotent, "desk"));
    let mut world = World::new(config.build());
    world.put(entry("d", "desk"));
    let peer = |idx| Peer {
        name: Arc::from(format!("p{idx}")),
        millicores: 250,
        data_centre: Arc::from("east"),
    };
    world.relay.set_peers(world.now, (1..INSTANCES).map(peer).collect(), INSTANCES);
    world.submit(arrival("first", "r"));
    let call = world.call();
    reply(&mut world, call.key, &fragile(head(200)));
    world
}

fn reply(world: &mut World, call: peatdeck_core::relay::model::CallKey, head: &ReplyHead) {
    world.relay.on_reply_head(world.now, call, head);
    world.reply(call, head);
}

#[test]
fn a_fragile_endpoint_gets_no_more_calls_than_the_share_of_its_slots() {
    let mut world = world();
    for id in ["1", "2", "3"] {
        world.submit(arrival(id, "r"));
    }
    assert_eq!(world.calls().len(), 1);
}

/// All instances together cause at most as many refusals as it survives.
#[test]
fn a_fragile_endpoint_that_refused_a_call_is_avoided_by_the_number_of_instances() {
    let mut world = world();
    world.submit(arrival("1", "r"));
    let call = world.call();
    reply(&mut world, call.key, &fragile(not_run(503)));
    let mut calls = 0;
    for id in 0..19 {
        world.advance(ms(100));
        world.submit(arrival(&format!("r{id}"), "r"));
        calls += world.calls().len();
    }
    assert_eq!(calls, 0, "within {} s", INSTANCES as u32 / MAX_REFUSALS);
    world.advance(ms(200));
    world.submit(arrival("last", "r"));
    assert_eq!(world.calls().len(), 1);
}

#[test]
fn an_endpoint_that_is_fragile_no_more_gets_calls_as_before() {
    let mut world = world();
    world.submit(arrival("1", "r"));
    let call = world.call();
    reply(&mut world, call.key, &head(200));
    for id in ["2", "3", "4"] {
        world.submit(arrival(id, "r"));
    }
    assert_eq!(world.calls().len(), 3);
}
