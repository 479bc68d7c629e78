//! The store loses its list of versions, or versions of it, while instances run.

use std::sync::Arc;

use peatdeck_core::relay::{
    StoredOrigins,
    config::RequestKind,
    directory::Entry,
    model::{Action, Arrival},
    registry::Versions,
};

use super::fixture::{ConfigBuilder, World, arrival, entry, ms, route};

fn versioned(name: &str, version: &str) -> Entry {
    Entry { version: version.into(), ..entry(name, "desk") }
}

fn versions(names: &[&str]) -> Versions {
    names.iter().map(|it| Arc::from(*it)).collect()
}

/// An instance that has just started, without peers. Only `a` of v1 serves.
fn started() -> World {
    let config = ConfigBuilder::new(1).key("k1", "one").service("desk");
    let config = config.route(route("r", RequestKind::Resumable, "desk"));
    let mut world = World::new(config.build());
    world.put(versioned("a", "v1"));
    world
}

fn new(id: &str) -> Arrival {
    Arrival { key: Some("k1".into()), ..arrival(id, "r") }
}

fn taken_up(id: &str, first: &str) -> Arrival {
    Arrival { resume: Some(2), first_attempt: Some(first.into()), ..new(id) }
}

/// The store is read: it lists these versions, and its log of streams is empty.
fn read_store(world: &mut World, listed: &[&str]) {
    let list = match listed {
        [] => Default::default(),
        _ => [("desk".into(), versions(listed))].into(),
    };
    let stored = StoredOrigins { versions: list, streams: Vec::new() };
    world.relay.on_origins_read(world.now, Some(stored));
    world.collect();
}

/// What the store is asked to list.
fn requests(world: &mut World) -> Vec<Versions> {
    world.take(|action| match action {
        Action::ListVersions { versions, .. } => Some(versions.clone()),
        _ => None,
    })
}

#[test]
fn a_stream_of_an_unknown_version_goes_on_nowhere_after_the_list_was_lost() {
    let mut world = started();
    for (idx, listed) in [&["v1", "v2"][..], &[], &[]].into_iter().enumerate() {
        world.submit(taken_up(&format!("t{idx}"), &format!("s{idx}")));
        read_store(&mut world, listed);
        assert_eq!(world.calls(), [], "the list has {listed:?}");
        assert_eq!(world.refusals(), ["503 unknown_version never"]);
    }
}

#[test]
fn a_list_that_was_lost_is_written_again_with_the_versions_that_it_had() {
    let mut world = started();
    read_store(&mut world, &["v1", "v2"]);
    requests(&mut world);
    read_store(&mut world, &[]);
    assert_eq!(requests(&mut world), [versions(&["v1", "v2"])]);
}

#[test]
fn a_stream_of_an_unknown_version_goes_on_nowhere_after_the_store_came_back_from_an_older_copy() {
    let mut world = started();
    read_store(&mut world, &["v1", "v2"]);
    requests(&mut world);
    world.relay.on_store_restored(world.now);
    world.collect();
    world.submit(taken_up("2", "1"));
    read_store(&mut world, &["v1"]);
    assert_eq!(world.calls(), []);
    assert_eq!(world.refusals(), ["503 unknown_version never"]);
    assert_eq!(requests(&mut world), [versions(&["v1", "v2"])]);
}

#[test]
fn a_restored_list_that_has_all_versions_is_taken_as_it_is() {
    let mut world = started();
    read_store(&mut world, &["v1", "v2"]);
    world.relay.on_store_restored(world.now);
    read_store(&mut world, &["v1", "v2", "v3"]);
    read_store(&mut world, &["v1"]);
    world.submit(taken_up("2", "1"));
    read_store(&mut world, &["v1"]);
    assert_eq!(&*world.calls().remove(0).endpoint, "a");
}

/// Guards against a guess at the listed version after another one had to be used unlisted.
#[test]
fn a_stream_of_a_version_that_was_used_unlisted_goes_on_at_no_other_after_a_common_kill() {
    let mut before = started();
    read_store(&mut before, &["v1"]);
    before.put(versioned("c", "v2"));
    before.advance(ms(3100));
    let mut used = Vec::new();
    for idx in 0..20 {
        let exchange = before.submit(new(&format!("n{idx}")));
        used.push(before.call().software);
        before.disconnect(exchange);
    }
    assert!(used.contains(&"v2".into()), "v2 is used unlisted");
    let mut after = started();
    after.put(versioned("c", "v2"));
    after.submit(taken_up("2", "1"));
    read_store(&mut after, &["v1"]);
    assert_eq!(after.calls(), []);
}
