//! Streams that are taken up at an instance which started after they began. All instances may
//! have ended in between, and the versions that it lists are those of its own time.

use std::sync::Arc;

use peatdeck_core::relay::{config::RequestKind, directory::Entry, model::Arrival};

use super::fixture::{ConfigBuilder, World, arrival, entry, ms, route};

/// An instance that has just started, without peers. Its directory lists one version.
fn started() -> World {
    let config = ConfigBuilder::new(1).key("k1", "one").service("desk");
    let config = config.route(route("r", RequestKind::Resumable, "desk"));
    let mut world = World::new(config.build());
    for name in ["c", "d"] {
        world.put(Entry { version: "v2".into(), ..entry(name, "desk") });
    }
    world
}

fn new(id: &str) -> Arrival {
    Arrival { key: Some("k1".into()), ..arrival(id, "r") }
}

/// A request that takes up a stream after its second event. It names the attempt that began it,
/// if the caller knows it.
fn taken_up(first: Option<&str>) -> Arrival {
    Arrival { resume: Some(2), first_attempt: first.map(Arc::from), ..new("2") }
}

#[test]
fn an_instance_that_has_just_started_calls_no_endpoint_for_an_unknown_stream() {
    for first in [Some("1"), None] {
        let mut world = started();
        world.submit(taken_up(first));
        assert_eq!(world.calls(), []);
    }
}

#[test]
fn an_instance_that_started_seconds_ago_calls_no_endpoint_for_an_unknown_stream() {
    let mut world = started();
    world.advance(ms(9000));
    world.submit(taken_up(Some("1")));
    assert_eq!(world.calls(), []);
}

#[test]
fn an_instance_that_has_just_started_begins_streams() {
    let mut world = started();
    world.submit(new("1"));
    assert_eq!(&*world.call().software, "v2");
}
