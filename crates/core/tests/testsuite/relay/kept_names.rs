//! Endpoints that restart under their name with another version.

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::RequestKind,
        directory::Entry,
        model::{Action, Arrival, Call, Failure, ProbeResult},
    },
};

use super::fixture::{ConfigBuilder, World, arrival, entry, head, ms, route};

fn versioned(name: &str, version: &str) -> Entry {
    Entry { version: version.into(), ..entry(name, "desk") }
}

/// An instance with endpoint `a`, the only one of v1, and `b` of v2.
fn world(kind: RequestKind) -> World {
    let mut route = route("r", kind, "desk");
    route.max_attempts = 4;
    let config = ConfigBuilder::new(1).key("k1", "one").service("desk");
    let mut world = World::new(config.route(route).build());
    world.put(versioned("a", "v1"));
    world.put(versioned("b", "v2"));
    read_directory(&mut world);
    world
}

fn new(id: &str) -> Arrival {
    Arrival { key: Some("k1".into()), ..arrival(id, "r") }
}

/// A request that takes up the stream that attempt `first` began, after its first event.
fn taken_up(id: &str, first: &str) -> Arrival {
    Arrival { resume: Some(1), first_attempt: Some(first.into()), ..new(id) }
}

/// Begins streams until one is at `a`, and passes on its first event. Returns its first attempt.
fn begin_at_a(world: &mut World) -> (Call, String) {
    for idx in 0..40 {
        let id = idx.to_string();
        let exchange = world.submit(new(&id));
        let call = world.call();
        if &*call.endpoint == "a" {
            world.relay.on_reply_head(world.now, call.key, &head(200));
            assert!(world.stream_event(call.key, 1));
            return (call, id);
        }
        world.disconnect(exchange);
    }
    panic!("no stream went to a");
}

/// The copy of the directory is the same as the store's now.
fn read_directory(world: &mut World) {
    world.relay.mark_directory_read(world.now);
    world.collect();
}

/// The process at `a` accepts a connection again.
fn find_a(world: &mut World) {
    let probed = world.take(|action| match action {
        Action::Probe { endpoint, .. } => Some(*endpoint),
        _ => None,
    });
    assert_eq!(probed.len(), 1);
    world.relay.on_probe(world.now, probed[0], ProbeResult::There);
    world.collect();
}

/// A stream at `a` breaks off. Its pause is over, and a process accepts connections there. Returns
/// the stream's first attempt.
fn lose_stream_at_a(world: &mut World) -> String {
    let (call, first) = begin_at_a(world);
    world.fail(call.key, Failure::Cut);
    world.advance(ms(100));
    find_a(world);
    world.advance(ms(500));
    world.calls();
    first
}

/// Whether any of twenty new requests goes to `a`.
fn is_a_used(world: &mut World) -> bool {
    let mut used = Vec::new();
    for idx in 0..20 {
        let exchange = world.submit(new(&format!("{:?}-{idx}", world.now)));
        used.push(world.call().endpoint);
        world.disconnect(exchange);
    }
    used.iter().any(|name| &**name == "a")
}

#[test]
fn a_stream_does_not_go_on_at_a_process_whose_entry_has_not_been_read() {
    let mut world = world(RequestKind::Resumable);
    let first = lose_stream_at_a(&mut world);
    world.submit(taken_up("late-1", &first));
    assert_eq!(world.calls(), []);
    world.put(Entry { incarnation: Incarnation(2), ..versioned("a", "v2") });
    read_directory(&mut world);
    world.refusals();
    world.submit(taken_up("late-2", &first));
    assert_eq!(world.calls(), []);
    assert_eq!(world.refusals(), ["503 version_gone never"]);
}

#[test]
fn a_stream_goes_on_at_the_same_process_once_the_directory_was_read_again() {
    let mut world = world(RequestKind::Resumable);
    let first = lose_stream_at_a(&mut world);
    world.submit(taken_up("late-1", &first));
    assert_eq!(world.calls(), []);
    read_directory(&mut world);
    world.submit(taken_up("late-2", &first));
    assert_eq!(&*world.call().endpoint, "a");
}

#[test]
fn no_stream_begins_at_a_process_whose_entry_has_not_been_read() {
    let mut world = world(RequestKind::Resumable);
    world.relay.on_idle_closed(world.now, "a:80");
    world.collect();
    assert!(!is_a_used(&mut world));
    find_a(&mut world);
    assert!(!is_a_used(&mut world));
    world.advance(ms(200));
    read_directory(&mut world);
    assert!(!is_a_used(&mut world), "the new entry may have been written since");
    world.advance(ms(200));
    read_directory(&mut world);
    assert!(is_a_used(&mut world));
}

#[test]
fn no_stream_begins_at_an_endpoint_that_refused_a_connection() {
    let mut world = world(RequestKind::Resumable);
    world.relay.on_connection(world.now, "a:80", false);
    world.relay.on_connection(world.now, "a:80", true);
    world.collect();
    world.advance(ms(200));
    assert!(!is_a_used(&mut world));
    world.advance(ms(100));
    read_directory(&mut world);
    assert!(is_a_used(&mut world));
}

#[test]
fn an_endpoint_whose_name_is_new_with_each_start_is_used_at_once() {
    let mut world = world(RequestKind::Resumable);
    world.put(Entry { incarnation: Incarnation(0), ..versioned("c", "v1") });
    world.relay.on_idle_closed(world.now, "c:80");
    world.collect();
    assert!(world.actions.iter().all(|action| !matches!(action, Action::Probe { .. })));
    let mut used = Vec::new();
    for idx in 0..20 {
        let exchange = world.submit(new(&format!("c{idx}")));
        used.push(world.call().endpoint);
        world.disconnect(exchange);
    }
    assert!(used.contains(&"c".into()));
}

#[test]
fn requests_that_are_no_streams_go_to_a_doubted_endpoint() {
    let mut world = world(RequestKind::Idempotent);
    world.relay.on_idle_closed(world.now, "a:80");
    world.collect();
    assert!(is_a_used(&mut world));
}
