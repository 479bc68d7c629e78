//! Streams whose records the store's log has dropped.

use std::{sync::Arc, time::Duration};

use peatdeck_core::relay::{
    StoredOrigins,
    config::RequestKind,
    directory::Entry,
    model::{Action, Arrival, Peer},
    registry::Versions,
};

use super::fixture::{ConfigBuilder, World, arrival, entry, head, ms, route};

/// No stream lasts longer.
const MAX_STREAM_TIME: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_secs(1);

fn versioned(name: &str, version: &str) -> Entry {
    Entry { version: version.into(), ..entry(name, "desk") }
}

fn versions(names: &[&str]) -> Versions {
    names.iter().map(|it| Arc::from(*it)).collect()
}

/// An instance that has just started. Only `a` of v1 is in its directory.
fn started(now: Duration) -> World {
    let config = ConfigBuilder::new(1).key("k1", "one").service("desk");
    let config = config.route(route("r", RequestKind::Resumable, "desk"));
    let mut world = World::new(config.build());
    world.now = now;
    world.put(versioned("a", "v1"));
    world
}

/// Takes a stream up of which neither an instance nor the log has a record. Returns whether it
/// goes on anywhere.
fn goes_on(world: &mut World, listed: &Versions) -> bool {
    let arrival = Arrival { key: Some("k1".into()), ..arrival("2", "r") };
    world.submit(Arrival { resume: Some(2), first_attempt: Some("1".into()), ..arrival });
    let stored =
        StoredOrigins { versions: [("desk".into(), listed.clone())].into(), streams: Vec::new() };
    world.relay.on_origins_read(world.now, Some(stored));
    world.collect();
    !world.calls().is_empty()
}

/// The versions that are left if an instance has others removed from the list.
fn pruned(world: &mut World) -> Option<Versions> {
    let prunes = world.take(|action| match action {
        Action::PruneVersions { versions, .. } => Some(versions.clone()),
        _ => None,
    });
    prunes.into_iter().last()
}

#[test]
fn a_stream_whose_record_has_expired_goes_on_nowhere_while_another_version_may_have_begun_it() {
    let mut old = started(Duration::ZERO);
    old.put(versioned("b", "v2"));
    let both = versions(&["v1", "v2"]);
    old.relay.on_versions_listed(old.now, &"desk".into(), both.clone());
    old.advance(ms(100_000));
    // From now on no stream begins at v2.
    old.put(Entry { is_leaving: true, ..versioned("b", "v2") });
    let left_at = old.now;
    let listed = loop {
        old.relay.mark_directory_read(old.now + STEP);
        old.advance(STEP);
        if let Some(listed) = pruned(&mut old) {
            break listed;
        }
        assert!(!goes_on(&mut started(old.now), &both));
        assert!(old.now < left_at + ms(100_000), "v2 stays in the list");
    };
    assert!(old.now >= left_at + MAX_STREAM_TIME);
    assert!(goes_on(&mut started(old.now), &listed));
}

#[test]
fn an_instance_that_remembers_a_stream_does_not_need_its_record() {
    let mut world = started(Duration::ZERO);
    world.put(versioned("b", "v2"));
    let peer = Peer { name: "p".into(), millicores: 1, data_centre: "".into() };
    world.relay.set_peers(world.now, vec![peer], 2);
    world.relay.on_versions_listed(world.now, &"desk".into(), versions(&["v1", "v2"]));
    let new = Arrival { key: Some("k1".into()), ..arrival("1", "r") };
    let exchange = world.submit(new);
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &head(200));
    assert!(world.stream_event(call.key, 1));
    world.disconnect(exchange);
    world.advance(MAX_STREAM_TIME);
    let again = Arrival { key: Some("k1".into()), ..arrival("2", "r") };
    world.submit(Arrival { resume: Some(1), first_attempt: Some("1".into()), ..again });
    assert_eq!(world.call().software, call.software);
}
