//! Streams of events: passed on once each, resumed behind the last.

use peatdeck_core::relay::{
    config::RequestKind,
    model::{Action, Failure},
};

use super::fixture::{World, arrival, head};

fn begun(kind: RequestKind) -> (World, peatdeck_core::relay::model::Call) {
    let mut world = World::plain(kind);
    world.submit(arrival("1", "r"));
    let call = world.call();
    assert!(world.relay.on_reply_head(world.now, call.key, &head(200)));
    assert!(world.stream_event(call.key, 1));
    assert!(world.stream_event(call.key, 2));
    (world, call)
}

#[test]
fn the_head_goes_with_the_first_event() {
    let mut world = World::plain(RequestKind::Stream);
    let exchange = world.submit(arrival("1", "r"));
    let call = world.call().key;
    assert!(world.relay.on_reply_head(world.now, call, &head(200)));
    assert!(world.actions.is_empty());
    world.stream_event(call, 1);
    world.stream_event(call, 2);
    assert_eq!(world.actions, [Action::BeginStream { exchange, call }]);
    world.relay.on_stream_end(world.now, call);
    world.collect();
    assert_eq!(world.actions[1..], [Action::FinishStream(exchange)]);
}

#[test]
fn a_failure_of_a_stream_is_read_whole() {
    let mut world = World::plain(RequestKind::Stream);
    world.submit(arrival("1", "r"));
    let call = world.call().key;
    assert!(!world.relay.on_reply_head(world.now, call, &head(500)));
}

#[test]
fn a_cut_stream_goes_on_behind_the_last_event() {
    let (mut world, call) = begun(RequestKind::Resumable);
    world.fail(call.key, Failure::Cut);
    let second = world.call();
    assert_eq!(second.resume, Some(2));
    assert_ne!(second.endpoint, call.endpoint);
    world.relay.on_reply_head(world.now, second.key, &head(200));
    assert!(!world.stream_event(second.key, 2), "an event that the caller holds is not sent again");
    assert!(world.stream_event(second.key, 3));
}

#[test]
fn a_stream_that_may_not_run_twice_ends_visibly_incomplete() {
    let (mut world, call) = begun(RequestKind::Stream);
    world.fail(call.key, Failure::Cut);
    assert!(world.calls().is_empty());
    let actions = &world.actions[..];
    let is_cut = matches!(
        actions,
        [Action::BeginStream { .. }, Action::Probe { .. }, Action::AbortStream(_)]
    );
    assert!(is_cut, "{actions:?}");
}

#[test]
fn a_stream_that_was_cut_before_its_first_event_is_refused() {
    let mut world = World::plain(RequestKind::Stream);
    world.submit(arrival("1", "r"));
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &head(200));
    world.fail(call.key, Failure::Cut);
    assert_eq!(world.refusals(), ["502 failed never"]);
}

#[test]
fn a_caller_goes_on_with_a_stream_that_it_holds_a_part_of() {
    let mut world = World::plain(RequestKind::Resumable);
    let mut again = arrival("1", "r");
    again.resume = Some(5);
    world.submit(again);
    let call = world.call();
    assert_eq!(call.resume, Some(5));
    world.relay.on_reply_head(world.now, call.key, &head(200));
    assert!(!world.stream_event(call.key, 5));
    assert!(world.stream_event(call.key, 6));
}
