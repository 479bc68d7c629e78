//! Streams go on only at the version that began them.

use std::sync::Arc;

use peatdeck_core::relay::{
    config::RequestKind,
    directory::Entry,
    model::{Action, Arrival, Call, ExchangeKey, Failure, Peer},
    operator::OperatorCommand,
    streams::{Origin, StreamId, StreamRecord},
};

use super::fixture::{ConfigBuilder, World, arrival, entry, head, ms, route};

fn versioned(name: &str, version: &str) -> Entry {
    Entry { version: version.into(), ..entry(name, "desk") }
}

/// An instance with endpoints `a` and `b` of v1, `c` and `d` of v2, and some peers.
fn world(peers: usize) -> World {
    let mut route = route("r", RequestKind::Resumable, "desk");
    route.max_attempts = 4;
    let config = ConfigBuilder::new(1).key("k1", "one").key("k2", "two").service("desk");
    let mut world = World::new(config.route(route).build());
    for (name, version) in [("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")] {
        world.put(versioned(name, version));
    }
    let peer = |idx| Peer { name: format!("p{idx}").into(), millicores: 1, data_centre: "".into() };
    world.relay.set_peers(world.now, (0..peers).map(peer).collect(), peers + 1);
    world
}

fn new(id: &str) -> Arrival {
    Arrival { key: Some("k1".into()), ..arrival(id, "r") }
}

/// A request that takes up the stream that attempt `first` began, after its second event.
fn taken_up(id: &str, first: &str) -> Arrival {
    Arrival { resume: Some(2), first_attempt: Some(first.into()), ..new(id) }
}

/// Submits a request and passes on two events of its call.
fn begin(world: &mut World, arrival: Arrival) -> (ExchangeKey, Call) {
    let last = arrival.resume.unwrap_or(0);
    let exchange = world.submit(arrival);
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &head(200));
    assert!(world.stream_event(call.key, last + 1));
    assert!(world.stream_event(call.key, last + 2));
    (exchange, call)
}

fn questions(world: &mut World) -> Vec<(ExchangeKey, StreamId, usize)> {
    world.take(|action| match action {
        Action::AskOrigin { exchange, stream, peers, .. } => {
            Some((*exchange, *stream, peers.len()))
        }
        _ => None,
    })
}

/// The peers that records are sent to, and the records.
fn records(world: &mut World) -> Vec<(Arc<str>, Vec<StreamRecord>)> {
    world.take(|action| match action {
        Action::RecordStreams { peer, records } => Some((peer.clone(), records.clone())),
        _ => None,
    })
}

fn answer(world: &mut World, origin: Origin) {
    let (exchange, ..) = questions(world).remove(0);
    world.relay.on_origin(world.now, exchange, origin);
    world.collect();
}

#[test]
fn an_interrupted_answer_goes_on_at_the_version_that_began_it() {
    for idx in 0..20 {
        let mut world = world(0);
        let (_, call) = begin(&mut world, new(&idx.to_string()));
        world.fail(call.key, Failure::Cut);
        let second = world.call();
        assert_eq!(second.software, call.software);
        assert_ne!(second.endpoint, call.endpoint);
    }
}

/// All endpoints of a version leave.
fn remove_version(world: &mut World, version: &str) {
    for (name, its) in [("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")] {
        if its == version {
            world.put(Entry { is_leaving: true, ..versioned(name, its) });
        }
    }
}

#[test]
fn a_request_whose_reply_has_brought_no_event_may_go_to_any_version() {
    let mut world = world(0);
    world.submit(new("1"));
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &head(200));
    remove_version(&mut world, &call.software);
    world.fail(call.key, Failure::Cut);
    assert_ne!(world.call().software, call.software);
}

#[test]
fn an_answer_whose_version_has_no_endpoint_left_is_aborted_at_once() {
    let mut world = world(0);
    let (exchange, call) = begin(&mut world, new("1"));
    remove_version(&mut world, &call.software);
    world.fail(call.key, Failure::Cut);
    assert!(world.calls().is_empty());
    assert!(world.actions.contains(&Action::AbortStream(exchange)));
}

#[test]
fn a_stream_that_comes_back_to_its_instance_goes_on_at_its_version() {
    for idx in 0..20 {
        let mut world = world(3);
        let first = idx.to_string();
        let (exchange, call) = begin(&mut world, new(&first));
        world.disconnect(exchange);
        // A chain: each attempt names the one that brought the first event.
        for attempt in ["second", "third"] {
            let (exchange, next) = begin(&mut world, taken_up(attempt, &first));
            assert_eq!(next.software, call.software);
            world.disconnect(exchange);
        }
        assert_eq!(questions(&mut world), []);
    }
}

#[test]
fn the_version_of_a_stream_that_began_elsewhere_is_asked_for_at_peers() {
    for version in ["v1", "v2"] {
        let mut world = world(3);
        world.submit(taken_up("2", "1"));
        assert!(world.calls().is_empty());
        answer(&mut world, Origin::Version(version.into()));
        assert_eq!(&*world.call().software, version);
    }
}

#[test]
fn a_stream_of_an_unknown_version_is_refused_at_once_while_several_serve() {
    for origin in [Origin::Ambiguous, Origin::Unrecorded] {
        let mut world = world(3);
        world.submit(taken_up("2", "1"));
        answer(&mut world, origin);
        assert_eq!(world.refusals(), ["503 unknown_version never"]);
    }
    let mut alone = world(0);
    alone.submit(taken_up("2", "1"));
    assert_eq!(alone.refusals(), ["503 unknown_version never"]);
    // Its caller names no attempt.
    alone.submit(Arrival { resume: Some(2), ..new("3") });
    assert_eq!(alone.refusals(), ["503 unknown_version never"]);
}

#[test]
fn a_stream_goes_on_where_no_instance_has_seen_a_second_version() {
    let mut world = world(3);
    remove_version(&mut world, "v2");
    world.submit(taken_up("2", "1"));
    answer(&mut world, Origin::Unrecorded);
    assert_eq!(world.refusals(), ["503 unknown_version never"], "v2 has just left");
    world.advance(ms(70_000));
    world.submit(taken_up("3", "1"));
    assert_eq!(questions(&mut world), [], "nobody can have seen another version");
    assert_eq!(&*world.call().software, "v1");
}

#[test]
fn an_instance_that_lists_one_version_believes_a_peer_that_lists_two() {
    let mut world = world(3);
    remove_version(&mut world, "v2");
    world.advance(ms(70_000));
    let mut young = World::new(world.relay.config().unwrap().clone());
    young.put(versioned("a", "v1"));
    let peer = Peer { name: "p".into(), millicores: 1, data_centre: "".into() };
    young.relay.set_peers(young.now, vec![peer], 2);
    young.submit(taken_up("2", "1"));
    answer(&mut young, Origin::Ambiguous);
    assert_eq!(young.refusals(), ["503 unknown_version never"]);
    young.submit(taken_up("3", "1"));
    answer(&mut young, Origin::Unrecorded);
    assert_eq!(&*young.call().software, "v1");
}

#[test]
fn three_peers_remember_a_stream_while_several_versions_serve() {
    let mut world = world(7);
    let (_, call) = begin(&mut world, new("1"));
    world.advance(ms(20));
    let sent = records(&mut world);
    let stream = StreamId::new(Some("one"), "1");
    assert_eq!(sent.len(), 3);
    for (_, records) in sent {
        assert_eq!(records, [StreamRecord { stream, version: call.software.clone() }]);
    }
    let (_, _, asked) = {
        world.submit(taken_up("3", "2"));
        questions(&mut world).remove(0)
    };
    assert_eq!(asked, 7);
}

#[test]
fn streams_that_began_at_the_only_version_are_recorded_once_a_second_one_comes() {
    let mut world = world(3);
    remove_version(&mut world, "v2");
    world.advance(ms(70_000));
    begin(&mut world, new("1"));
    world.advance(ms(20));
    assert_eq!(records(&mut world).len(), 0);
    world.put(versioned("e", "v3"));
    world.advance(ms(20));
    assert_eq!(records(&mut world).len(), 3);
}

#[test]
fn a_peers_record_of_a_stream_is_used_and_passed_on() {
    let mut world = world(3);
    let stream = StreamId::new(Some("one"), "1");
    assert_eq!(world.relay.stream_origin(stream, "desk"), Origin::Ambiguous);
    world.relay.on_stream_records(world.now, &[StreamRecord { stream, version: "v2".into() }]);
    assert_eq!(world.relay.stream_origin(stream, "desk"), Origin::Version("v2".into()));
    world.submit(taken_up("2", "1"));
    assert_eq!(&*world.call().software, "v2");
    world.advance(ms(70_000));
    assert_eq!(world.relay.stream_origin(stream, "desk"), Origin::Ambiguous, "it is forgotten");
}

#[test]
fn streams_of_two_versions_under_one_id_are_refused_and_those_of_another_team_are_not() {
    let mut world = world(0);
    let stream = StreamId::new(Some("one"), "1");
    for version in ["v1", "v2"] {
        world
            .relay
            .on_stream_records(world.now, &[StreamRecord { stream, version: version.into() }]);
    }
    world.submit(taken_up("2", "1"));
    assert_eq!(world.refusals(), ["503 unknown_version never"]);
    let other = Arrival { key: Some("k2".into()), ..new("1") };
    let (exchange, call) = begin(&mut world, other);
    world.disconnect(exchange);
    world.submit(Arrival { key: Some("k2".into()), ..taken_up("3", "1") });
    assert_eq!(world.call().software, call.software);
}

#[test]
fn a_stream_whose_version_is_evacuated_or_gone_is_refused_at_once() {
    let mut world = world(0);
    let stream = StreamId::new(Some("one"), "1");
    world.relay.on_stream_records(world.now, &[StreamRecord { stream, version: "v0".into() }]);
    world.submit(taken_up("2", "1"));
    assert_eq!(world.refusals(), ["503 version_gone never"]);
    world.put(Entry { data_centre: "west".into(), ..versioned("w", "v0") });
    world.submit(taken_up("3", "1"));
    assert_eq!(&*world.call().endpoint, "w");
    world.apply_command(OperatorCommand::Evacuate("west".into()));
    world.submit(taken_up("4", "1"));
    assert_eq!(world.refusals(), ["503 version_gone never"]);
}
