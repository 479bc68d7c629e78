//! Entries of the directory that other processes than the endpoints wrote.

use peatdeck_core::{
    model::Incarnation,
    relay::{
        Relay,
        config::{Config, RequestKind},
        directory::{Change, Entry},
        operator::OperatorCommand,
        pool::Pool,
    },
};

use super::fixture::{ConfigBuilder, World, entry, route, settings};

/// A configuration of version `version` with a route to each service.
fn config(version: u64, services: &[&str]) -> Config {
    let builder = services.iter().fold(ConfigBuilder::new(version), |builder, name| {
        builder.service(name).route(route(name, RequestKind::Idempotent, name))
    });
    Config::clone(&builder.build())
}

/// An instance that has just started and has read no table.
fn started() -> World {
    World { relay: Relay::new(settings("self"), 1), now: Default::default(), actions: Vec::new() }
}

fn configure(world: &mut World, config: Config) {
    assert!(world.apply_command(OperatorCommand::Configure(config)));
}

fn usable(world: &World, service: &str) -> Vec<String> {
    let directory = world.relay.directory();
    let keys = directory.usable(world.now, Pool::of(service));
    keys.iter().map(|key| directory.get(*key).unwrap().entry.addr.to_string()).collect()
}

fn foreign(name: &str, incarnation: u64) -> Entry {
    let incarnation = Incarnation(incarnation);
    Entry { incarnation, addr: "elsewhere:80".into(), ..entry(name, "unheard-of") }
}

/// Guards against endpoints that are not used for a minute since an instance that has started read
/// another writer's entry before theirs.
#[test]
fn an_endpoint_is_used_with_its_own_entry_after_a_foreign_one_at_first_sight() {
    for incarnation in [0, 1, 7] {
        let mut world = started();
        configure(&mut world, config(1, &["desk"]));
        world.put(foreign("a", incarnation));
        assert_eq!(world.relay.directory().all().count(), 0, "it names no endpoint");
        world.put(entry("a", "desk"));
        assert_eq!(usable(&world, "desk"), ["a:80"], "{incarnation}");
        world.put(foreign("a", incarnation));
        assert!(usable(&world, "desk").is_empty(), "{incarnation}");
        world.put(entry("a", "desk"));
        assert_eq!(usable(&world, "desk"), ["a:80"], "{incarnation}");
    }
}

/// Guards against the same where the directory is read before the configuration.
#[test]
fn a_foreign_entry_read_before_the_configuration_hides_no_endpoint() {
    for incarnation in [0, 1, 7] {
        let mut world = started();
        world.put(foreign("a", incarnation));
        world.put(entry("b", "desk"));
        configure(&mut world, config(1, &["desk"]));
        assert_eq!(usable(&world, "desk"), ["b:80"]);
        world.put(entry("a", "desk"));
        assert_eq!(usable(&world, "desk"), ["b:80", "a:80"], "{incarnation}");
    }
}

/// Guards against endpoints that are lost because they joined before the configuration that names
/// their service.
#[test]
fn an_endpoint_of_a_service_that_is_configured_later_is_used_from_then_on() {
    let mut world = started();
    configure(&mut world, config(1, &["desk"]));
    for name in ["a", "b", "c"] {
        world.put(entry(name, "mart"));
    }
    world.relay.apply_change(world.now, Change::Removed("b".into()));
    world.relay.apply_change(world.now, Change::Unreadable("c".into()));
    configure(&mut world, config(2, &["desk", "mart"]));
    assert_eq!(usable(&world, "mart"), ["a:80"]);
}

/// Guards against an endpoint that is called elsewhere for ever, since another writer's entry under
/// its name has a number that its own ones never reach.
#[test]
fn an_endpoints_own_entry_wins_over_a_foreign_one_with_a_large_number() {
    for number in [1000, u64::MAX - 1, u64::MAX] {
        let mut world = started();
        configure(&mut world, config(1, &["desk"]));
        world.put(entry("a", "desk"));
        let addr = "elsewhere:80".into();
        world.put(Entry { number, addr, ..entry("a", "desk") });
        world.put(Entry { number: 2, ..entry("a", "desk") });
        assert_eq!(usable(&world, "desk"), ["a:80"], "{number}");
    }
}

/// Guards against the same, for as many entries as may have been written meanwhile at most.
#[test]
fn an_endpoints_own_entries_soon_win_over_a_foreign_one_with_a_small_number() {
    for number in [2, 3, 60] {
        let mut world = started();
        configure(&mut world, config(1, &["desk"]));
        world.put(entry("a", "desk"));
        let addr = "elsewhere:80".into();
        world.put(Entry { number, addr, ..entry("a", "desk") });
        (2..=number).for_each(|number| world.put(Entry { number, ..entry("a", "desk") }));
        assert_eq!(usable(&world, "desk"), ["a:80"], "{number}");
    }
}
