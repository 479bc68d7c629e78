//! Streams: each event is forwarded once, and interrupted streams resume after the last event.

use peatdeck_core::relay::{
    config::RequestKind,
    model::{Action, Failure},
};

use super::fixture::{World, arrival, head};

fn started_stream(kind: RequestKind) -> (World, peatdeck_core::relay::model::Call) {
    let mut world = World::plain(kind);
    world.submit(arrival("1", "r"));
    let call = world.call();
    assert!(world.relay.on_reply_head(world.now, call.key, &head(200)));
    assert!(world.stream_event(call.key, 1));
    assert!(world.stream_event(call.key, 2));
    (world, call)
}

#[test]
fn the_head_is_forwarded_with_the_first_event() {
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
fn an_error_response_to_a_stream_request_is_no_stream() {
    let mut world = World::plain(RequestKind::Stream);
    world.submit(arrival("1", "r"));
    let call = world.call().key;
    assert!(!world.relay.on_reply_head(world.now, call, &head(500)));
}

#[test]
fn an_interrupted_stream_is_resumed_after_the_last_event() {
    let (mut world, call) = started_stream(RequestKind::Resumable);
    world.fail(call.key, Failure::Cut);
    let second = world.call();
    assert_eq!(second.resume, Some(2));
    assert_ne!(second.endpoint, call.endpoint);
    world.relay.on_reply_head(world.now, second.key, &head(200));
    assert!(!world.stream_event(second.key, 2), "an event that the caller has is not sent again");
    assert!(world.stream_event(second.key, 3));
}

#[test]
fn an_interrupted_stream_that_may_run_once_is_aborted() {
    let (mut world, call) = started_stream(RequestKind::Stream);
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
fn a_stream_that_is_interrupted_before_its_first_event_is_refused() {
    let mut world = World::plain(RequestKind::Stream);
    world.submit(arrival("1", "r"));
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &head(200));
    world.fail(call.key, Failure::Cut);
    assert_eq!(world.refusals(), ["502 failed never"]);
}

#[test]
fn a_caller_can_resume_a_stream_after_the_events_it_has() {
    let mut world = World::plain(RequestKind::Resumable);
    let mut again = arrival("1", "r");
    again.resume = Some(5);
    world.submit(again);
    world.read_empty_store();
    let call = world.call();
    assert_eq!(call.resume, Some(5));
    world.relay.on_reply_head(world.now, call.key, &head(200));
    assert!(!world.stream_event(call.key, 5));
    assert!(world.stream_event(call.key, 6));
}
