//! Streams that are taken up while the services of their stages are overloaded.

use peatdeck_core::relay::{
    config::{RequestKind, Route},
    model::Arrival,
};

use super::fixture::{Batch, ConfigBuilder, World, arrival, entry, head, ms, route, stage};

/// A route of one stage with one endpoint, which runs four pieces in a call of 280 ms.
fn world() -> World {
    let route = Route {
        stages: vec![stage("ledger", &[], 1)],
        ..route("r", RequestKind::Resumable, "desk")
    };
    let config = ConfigBuilder::new(1).service("desk").piece_service("ledger", 1 << 30);
    let mut world = World::new(config.route(route).build());
    world.put(entry("l1", "ledger"));
    world.put(entry("d1", "desk"));
    world
}

fn new(id: &str) -> Arrival {
    Arrival { pieces: vec![4], deadline: Some(ms(8000)), ..arrival(id, "r") }
}

/// Begins a stream, and has its caller leave after two events.
fn begin(world: &mut World, id: &str) {
    let exchange = world.submit(new(id));
    let batch = world.batches().remove(0);
    world.complete(&batch);
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &head(200));
    assert!(world.stream_event(call.key, 1) && world.stream_event(call.key, 2));
    world.disconnect(exchange);
}

fn taken_up(id: &str, first: &str) -> Arrival {
    Arrival { resume: Some(2), first_attempt: Some(first.into()), ..new(id) }
}

/// A stream was begun, and the only endpoint of its stage is busy.
fn busy() -> (World, Batch) {
    let mut world = world();
    begin(&mut world, "1");
    world.submit(new("busy"));
    let running = world.batches().remove(0);
    (world, running)
}

#[test]
fn a_stream_that_is_taken_up_goes_before_requests_that_came_earlier() {
    let (mut world, running) = busy();
    world.submit(new("new"));
    world.advance(ms(10));
    world.submit(taken_up("2", "1"));
    world.complete(&running);
    assert_eq!(world.batches()[0].names()[0], "2/0/0");
}

#[test]
fn a_stream_that_is_taken_up_goes_before_timely_requests_when_it_is_late() {
    let (mut world, running) = busy();
    world.submit(taken_up("2", "1"));
    world.advance(ms(900));
    world.submit(new("new"));
    world.advance(ms(100));
    world.complete(&running);
    assert_eq!(world.batches()[0].names()[0], "2/0/0");
}

#[test]
fn a_stream_that_cannot_be_taken_up_in_time_is_refused_at_once() {
    let (mut world, _running) = busy();
    for id in ["2", "3", "4", "5"] {
        world.submit(taken_up(id, "1"));
    }
    assert!(world.refusals().is_empty());
    world.submit(Arrival { deadline: Some(ms(900)), ..taken_up("6", "1") });
    let refusals = world.refusals();
    assert!(refusals.len() == 1 && refusals[0].starts_with("503 infeasible"), "{refusals:?}");
}
