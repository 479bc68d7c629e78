//! Which version gets work by an order, and which orders are carried out.

use peatdeck_core::relay::{
    directory::Change,
    operator::OperatorCommand,
    position::{Position, Timeline},
    rollout::{Order, Phase},
};

use crate::relay::{
    fixture::{ConfigBuilder, World, arrival, entry, ms, route},
    rollout::{order, ordered, read, record, serve, start, versioned, wait, world, writes},
};

use peatdeck_core::relay::config::RequestKind;

#[test]
fn a_new_version_gets_nothing_without_an_order() {
    assert_eq!(serve(&mut world(), 100, 200), 0);
}

/// Refusing a request is allowed, running it on a version that nobody ordered is not.
#[test]
fn another_version_gets_nothing_if_the_one_in_force_is_gone() {
    let mut world = world();
    for name in ["a", "b"] {
        world.relay.apply_change(world.now, Change::Removed(name.into()));
    }
    world.advance(ms(2000));
    world.submit(arrival("1", "r"));
    assert!(world.calls().is_empty());
}

/// Deployments without rollouts run mixed versions.
#[test]
fn versions_and_orders_are_ignored_if_the_feature_is_off() {
    let config = ConfigBuilder::new(1).service("desk");
    let mut world = World::new(config.route(route("r", RequestKind::Once, "desk")).build());
    world.put(versioned("c", "desk", 2));
    let is_new = world.apply_command(OperatorCommand::RollOut(order("v3", ms(5000), 1)));
    assert!(!is_new && !world.relay.has_rollout_orders());
    world.put(versioned("a", "desk", 1));
    let mut called: Vec<_> = (0..20)
        .map(|idx| {
            world.submit(arrival(&idx.to_string(), "r"));
            world.call().endpoint
        })
        .collect();
    called.sort_unstable();
    called.dedup();
    assert_eq!(called, ["a".into(), "c".into()]);
    assert!(wait(&mut world, 1000).is_empty());
}

/// The order may be read before the directory.
#[test]
fn the_endpoint_that_started_first_is_of_the_version_in_force() {
    let mut world = ordered();
    world.put(versioned("z", "desk", 0));
    for idx in 0..10 {
        world.submit(arrival(&idx.to_string(), "r"));
        assert_eq!(&*world.call().endpoint, "z");
    }
}

#[test]
fn nothing_is_written_while_no_order_exists() {
    let mut world = world();
    assert!(!world.relay.has_rollout_orders());
    assert!(wait(&mut world, 1000).is_empty());
}

#[test]
fn a_small_share_goes_to_the_ordered_version() {
    let mut world = ordered();
    wait(&mut world, 600);
    assert_eq!(serve(&mut world, 100, 200), 6);
}

/// Only a share of the stable endpoints is used, so that each canary gets as much load as they do.
#[test]
fn few_endpoints_of_the_new_version_are_used() {
    let mut world = ordered();
    wait(&mut world, 600);
    let mut called = Vec::new();
    for idx in 0..100 {
        world.submit(arrival(&idx.to_string(), "r"));
        called.push(world.call().endpoint);
    }
    called.retain(|name| ["c", "d"].contains(&&**name));
    called.dedup();
    assert_eq!(called.len(), 1, "{called:?}");
}

#[test]
fn cold_endpoints_get_no_canary_calls() {
    let mut world = world();
    for name in ["c", "d"] {
        let cold = versioned(name, "desk", 2);
        let cold = peatdeck_core::relay::directory::Entry { cold_left: Some(ms(60_000)), ..cold };
        world.put(cold);
    }
    start(&mut world, order("v2", ms(12_000), 1));
    wait(&mut world, 600);
    assert_eq!(serve(&mut world, 100, 200), 0);
}

#[test]
fn an_order_for_the_version_in_force_is_completed() {
    let mut world = world();
    start(&mut world, order("v1", ms(12_000), 1));
    let records = wait(&mut world, 1000);
    assert_eq!(records.last().map(|it| it.phase), Some(Phase::Completed));
}

#[test]
fn an_order_that_cannot_be_carried_out_is_rolled_back_without_traffic() {
    for order in
        [order("v2", ms(0), 1), Order { service: "nosuch".into(), ..order("v2", ms(5000), 1) }]
    {
        let mut world = world();
        start(&mut world, order);
        let records = wait(&mut world, 1000);
        assert_eq!(records.last().map(|it| it.phase), Some(Phase::RolledBack));
        assert_eq!(serve(&mut world, 100, 200), 0);
    }
}

/// The old endpoints stop when the record is written, so the baseline must follow it.
#[test]
fn the_completed_version_is_in_force_after_a_restart() {
    let mut world = ordered();
    read(&mut world, record(Phase::Completed));
    assert_eq!(serve(&mut world, 20, 200), 20);
    world.apply_command(OperatorCommand::WithdrawRollout("desk".into()));
    assert_eq!(serve(&mut world, 20, 200), 20);
}

#[test]
fn an_order_that_was_rolled_back_gets_nothing_after_a_restart() {
    let mut world = ordered();
    read(&mut world, record(Phase::RolledBack));
    wait(&mut world, 600);
    assert_eq!(serve(&mut world, 100, 200), 0);
}

/// An instance that has not read the records may start a rollout that has ended.
#[test]
fn no_canary_call_is_sent_before_the_records_are_read() {
    let mut world = world();
    world.apply_command(OperatorCommand::RollOut(order("v2", ms(12_000), 1)));
    assert!(wait(&mut world, 600).is_empty());
    assert_eq!(serve(&mut world, 100, 200), 0);
}

#[test]
fn a_withdrawn_order_is_rolled_back() {
    let mut world = ordered();
    wait(&mut world, 600);
    let withdrawal = OperatorCommand::WithdrawRollout("desk".into());
    assert!(world.apply_command(withdrawal));
    assert_eq!(serve(&mut world, 100, 200), 0);
    let written = writes(&mut world);
    assert_eq!(written.last().map(|it| it.phase), Some(Phase::RolledBack));
    assert!(world.relay.has_rollout_orders(), "the record has to be read back");
    read(&mut world, record(Phase::RolledBack));
    wait(&mut world, 300);
    assert!(!world.relay.has_rollout_orders());
}

#[test]
fn the_same_order_in_another_timeline_is_no_new_one() {
    let mut world = ordered();
    read(&mut world, record(Phase::RolledBack));
    let same = order("v2", ms(12_000), 7);
    let restored = Position { timeline: Timeline(2), offset: 7 };
    let restored = Order { position: restored, ..same.clone() };
    assert!(!world.apply_command(OperatorCommand::RollOut(restored)));
    wait(&mut world, 600);
    assert_eq!(serve(&mut world, 100, 200), 0);
    let again = Order { position: Position { timeline: Timeline(2), offset: 8 }, ..same };
    assert!(world.apply_command(OperatorCommand::RollOut(again)), "a new order");
}

#[test]
fn a_new_order_replaces_the_previous_one() {
    let mut world = ordered();
    for name in ["e", "f"] {
        world.put(versioned(name, "desk", 3));
    }
    wait(&mut world, 600);
    start(&mut world, order("v3", ms(12_000), 2));
    let written = wait(&mut world, 600);
    assert_eq!(serve(&mut world, 100, 200), 0, "version 2 gets nothing any more");
    assert_eq!(written.last().map(|it| &*it.destination), Some("v3"));
}

#[test]
fn orders_for_several_services_are_independent() {
    let mut world = ordered();
    let mut config = ConfigBuilder::new(2).service("desk").service("shop");
    config = config.route(route("r", RequestKind::Idempotent, "desk"));
    world.relay.configure(config.build());
    world.put(entry("s", "shop"));
    start(&mut world, Order { service: "shop".into(), ..order("v2", ms(0), 2) });
    wait(&mut world, 600);
    assert_eq!(serve(&mut world, 100, 200), 6);
}
