//! The store lists each version before it gets work beside another one.

use std::{sync::Arc, time::Duration};

use peatdeck_core::relay::{
    config::RequestKind,
    directory::Entry,
    model::{Action, Peer},
    registry::Versions,
};

use super::fixture::{ConfigBuilder, World, arrival, entry, ms, route};

fn versioned(name: &str, version: &str) -> Entry {
    Entry { version: version.into(), ..entry(name, "desk") }
}

fn world(kind: RequestKind) -> World {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", kind, "desk"));
    let mut world = World::new(config.build());
    world.put(versioned("a", "v1"));
    world
}

/// An instance that has seen endpoint `a` of v1 for long; the store lists v1.
fn settled() -> World {
    let mut world = world(RequestKind::Resumable);
    list(&mut world, &["v1"]);
    world.advance(ms(70_000));
    world.actions.clear();
    world
}

fn versions(names: &[&str]) -> Versions {
    names.iter().map(|it| Arc::from(*it)).collect()
}

fn list(world: &mut World, names: &[&str]) {
    world.relay.on_versions_listed(world.now, &"desk".into(), versions(names));
    world.collect();
}

/// What the store is asked to list, and after which delay.
fn requests(world: &mut World) -> Vec<(Versions, Duration)> {
    world.take(|action| match action {
        Action::ListVersions { versions, delay, .. } => Some((versions.clone(), *delay)),
        _ => None,
    })
}

fn prunes(world: &mut World) -> Vec<Versions> {
    world.take(|action| match action {
        Action::PruneVersions { versions, .. } => Some(versions.clone()),
        _ => None,
    })
}

/// The endpoints that twenty new requests go to.
fn used(world: &mut World) -> Vec<Arc<str>> {
    let mut used = Vec::new();
    for idx in 0..20 {
        let exchange = world.submit(arrival(&format!("{:?}-{idx}", world.now), "r"));
        used.push(world.call().endpoint);
        world.disconnect(exchange);
    }
    used.sort_unstable();
    used.dedup();
    used
}

/// Time passes while the copy of the directory is kept up to date.
fn advance_in_touch(world: &mut World, by: Duration) {
    world.relay.mark_directory_read(world.now + by);
    world.advance(by);
}

#[test]
fn a_new_version_gets_no_work_before_it_is_listed() {
    let mut world = settled();
    world.put(versioned("b", "v2"));
    assert_eq!(requests(&mut world), [(versions(&["v1", "v2"]), Duration::ZERO)]);
    assert_eq!(used(&mut world), ["a".into()]);
    list(&mut world, &["v1", "v2"]);
    assert_eq!(used(&mut world), ["a".into(), "b".into()]);
}

#[test]
fn a_version_that_is_not_listed_is_used_where_no_other_serves() {
    let mut world = settled();
    world.put(versioned("b", "v2"));
    world.put(Entry { is_leaving: true, ..versioned("a", "v1") });
    assert_eq!(used(&mut world), ["b".into()]);
}

#[test]
fn a_store_that_is_away_holds_a_version_back_for_a_few_seconds_only() {
    let mut world = settled();
    world.put(versioned("b", "v2"));
    assert_eq!(requests(&mut world).len(), 1);
    world.advance(ms(2000));
    assert_eq!(requests(&mut world).len(), 1, "it is asked again");
    assert_eq!(used(&mut world), ["a".into()]);
    world.advance(ms(1000));
    assert_eq!(used(&mut world), ["a".into(), "b".into()]);
}

#[test]
fn a_third_version_waits_to_be_listed_though_the_second_one_has_waited_long_enough() {
    let mut world = settled();
    world.put(versioned("b", "v2"));
    world.advance(ms(3000));
    assert_eq!(used(&mut world), ["a".into(), "b".into()]);
    world.put(versioned("c", "v3"));
    assert_eq!(used(&mut world), ["a".into(), "b".into()]);
    world.advance(ms(2999));
    assert_eq!(used(&mut world), ["a".into(), "b".into()]);
    world.advance(ms(1));
    assert_eq!(used(&mut world), ["a".into(), "b".into(), "c".into()]);
}

#[test]
fn a_third_version_does_not_make_the_second_one_wait_longer() {
    let mut world = settled();
    world.put(versioned("b", "v2"));
    world.advance(ms(2900));
    world.put(versioned("c", "v3"));
    assert_eq!(used(&mut world), ["a".into()]);
    world.advance(ms(100));
    assert_eq!(used(&mut world), ["a".into(), "b".into()]);
}

#[test]
fn a_version_that_has_left_the_list_waits_again_when_it_comes_back() {
    let mut world = settled();
    world.put(versioned("b", "v2"));
    world.advance(ms(3000));
    list(&mut world, &["v1", "v2"]);
    list(&mut world, &["v1"]);
    assert_eq!(used(&mut world), ["a".into()]);
}

#[test]
fn an_instance_that_has_just_started_uses_all_versions_at_once() {
    let mut world = world(RequestKind::Resumable);
    world.put(versioned("b", "v2"));
    assert_eq!(used(&mut world), ["a".into(), "b".into()]);
}

#[test]
fn an_instance_that_has_just_started_gives_others_time_to_read_the_list() {
    let mut world = world(RequestKind::Resumable);
    world.put(versioned("b", "v2"));
    assert_eq!(requests(&mut world), []);
    list(&mut world, &["v1"]);
    assert_eq!(requests(&mut world), [(versions(&["v1", "v2"]), ms(1000))]);
    assert_eq!(used(&mut world), ["a".into()]);
}

#[test]
fn a_listed_version_that_comes_back_is_written_anew() {
    let mut world = settled();
    list(&mut world, &["v1", "v2"]);
    world.put(versioned("b", "v2"));
    assert_eq!(requests(&mut world), [(versions(&["v1", "v2"]), Duration::ZERO)]);
}

#[test]
fn versions_are_not_listed_where_no_stream_can_be_resumed() {
    for kind in [RequestKind::Idempotent, RequestKind::Once, RequestKind::Stream] {
        let mut world = world(kind);
        world.put(versioned("b", "v2"));
        assert_eq!(requests(&mut world), []);
        assert_eq!(used(&mut world), ["a".into(), "b".into()]);
    }
}

#[test]
fn instances_that_rank_later_wait_for_the_first_one() {
    let mut delays = Vec::new();
    for idx in 0..4 {
        let config = ConfigBuilder::new(1).service("desk");
        let config = config.route(route("r", RequestKind::Resumable, "desk")).build();
        let mut world = World::named(config, &format!("p{idx}"));
        let others = (0..4).filter(|other| *other != idx);
        let peer =
            |idx| Peer { name: format!("p{idx}").into(), millicores: 1, data_centre: "".into() };
        world.relay.set_peers(world.now, others.map(peer).collect(), 4);
        world.put(versioned("a", "v1"));
        world.read_empty_store();
        delays.push(requests(&mut world).remove(0).1);
    }
    delays.sort_unstable();
    assert_eq!(delays, [ms(0), ms(50), ms(100), ms(150)]);
}

#[test]
fn a_version_leaves_the_list_once_it_has_not_served_for_longer_than_a_stream_lasts() {
    let mut world = settled();
    world.put(versioned("b", "v2"));
    list(&mut world, &["v1", "v2"]);
    world.put(Entry { is_leaving: true, ..versioned("b", "v2") });
    for _ in 0..11 {
        advance_in_touch(&mut world, ms(5000));
        assert_eq!(prunes(&mut world), Vec::<Versions>::new());
    }
    for _ in 0..3 {
        advance_in_touch(&mut world, ms(5000));
    }
    assert_eq!(prunes(&mut world).pop(), Some(versions(&["v1"])));
}

#[test]
fn an_instance_that_was_suspended_does_not_take_a_version_off_the_list() {
    let mut world = settled();
    list(&mut world, &["v1", "v2"]);
    world.now += ms(70_000);
    world.relay.mark_directory_read(world.now);
    world.relay.hold_for_tables(world.now);
    world.advance(ms(0));
    assert_eq!(prunes(&mut world), Vec::<Versions>::new());
}

#[test]
fn versions_and_streams_are_written_again_to_a_store_that_was_restored() {
    let mut world = settled();
    world.put(versioned("b", "v2"));
    list(&mut world, &["v1", "v2"]);
    requests(&mut world);
    world.relay.on_store_restored(world.now);
    list(&mut world, &["v1"]);
    assert_eq!(requests(&mut world).len(), 1);
}
