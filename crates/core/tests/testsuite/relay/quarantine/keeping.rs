//! Who counts crashes, who is told, how long content is held back, and who ends it.

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::RequestKind,
        fingerprint::Fingerprint,
        model::{Action, EndpointId, Refusal},
        quarantine::{Crash, WINDOW},
    },
};

use super::{answer_consult, consulted, crash, held, held_world, is_refused, peer, poison, world};
use crate::relay::fixture::{ConfigBuilder, World, ms, route};

fn accused(world: &mut World) -> Vec<Arc<str>> {
    let mut peers = world.take(|action| match action {
        Action::ReportCrashes { peer, .. } => Some(peer.clone()),
        _ => None,
    });
    peers.sort();
    peers
}

/// Crashes that different instances see have to meet somewhere.
#[test]
fn all_instances_tell_the_same_peers_of_a_contents_crashes() {
    let names = ["own", "a", "b", "c", "d"];
    let mut world = world(RequestKind::Once);
    let others = names[1..].iter().map(|name| peer(name)).collect();
    world.relay.set_peers(world.now, others, names.len());
    crash(&mut world, "1");
    let told = accused(&mut world);
    assert!((1..=2).contains(&told.len()), "{told:?}");
    crash(&mut world, "2");
    assert_eq!(accused(&mut world), told);
}

#[test]
fn a_keeper_counts_what_peers_saw() {
    let mut world = world(RequestKind::Once);
    for (idx, name) in ["x", "y", "z"].into_iter().enumerate() {
        assert!(consulted(&mut world).is_empty(), "after {idx}");
        let life = EndpointId { name: Arc::from(name), incarnation: Incarnation(1) };
        let crash = Crash { content: held(), endpoint: life, age: ms(5), is_late: false };
        world.relay.on_crash(world.now, &crash);
        world.relay.on_crash(world.now, &crash);
        world.collect();
    }
    answer_consult(&mut world, false);
    assert!(is_refused(&mut world));
}

fn told(world: &mut World) -> usize {
    world
        .take(|action| match action {
            Action::AnnounceQuarantine { content, .. } => Some(*content),
            _ => None,
        })
        .len()
}

/// Whoever reports a crash of what is held back has not heard of it.
#[test]
fn peers_are_told_again_where_it_is_still_sent_to_endpoints() {
    let mut world = held_world(RequestKind::Once);
    assert_eq!(told(&mut world), 1);
    let life = EndpointId { name: Arc::from("x"), incarnation: Incarnation(1) };
    let crash = Crash { content: held(), endpoint: life, age: ms(5), is_late: false };
    world.relay.on_crash(world.now, &crash);
    world.collect();
    assert_eq!(told(&mut world), 1);
}

/// The store may be away: then its table tells nothing to whoever starts.
#[test]
fn peers_that_join_are_told_of_what_the_table_lacks() {
    let mut world = held_world(RequestKind::Once);
    told(&mut world);
    world.relay.set_peers(world.now, vec![peer("x")], 2);
    world.collect();
    assert_eq!(told(&mut world), 1);
    world.relay.set_peers(world.now, vec![peer("x")], 2);
    world.relay.on_quarantine_record(world.now, held(), 3);
    world.relay.set_peers(world.now, vec![peer("x"), peer("y")], 3);
    world.collect();
    assert_eq!(told(&mut world), 0);
}

#[test]
fn nothing_is_blamed_on_content_that_was_not_told() {
    let mut world = world(RequestKind::Once);
    for name in ["x", "y", "z"] {
        let life = EndpointId { name: Arc::from(name), incarnation: Incarnation(1) };
        let content = Fingerprint::UNKNOWN;
        let crash = Crash { content, endpoint: life, age: ms(5), is_late: false };
        world.relay.on_crash(world.now, &crash);
    }
    world.collect();
    assert!(consulted(&mut world).is_empty());
}

/// An instance that has just started must not try again what others hold back.
#[test]
fn nothing_is_sent_before_it_is_known_what_is_held_back() {
    let settings = peatdeck_core::relay::Settings {
        name: Arc::from("own"),
        data_centre: Arc::from("east"),
        retry_budget: peatdeck_core::relay::allowance::RetryBudgetConfig {
            ratio: 0.2,
            slack: 10.0,
            window: ms(9000),
        },
        min_instances: 1,
        millicores: 250,
    };
    let config = ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Once, "desk"));
    let mut world = World::new(config.build());
    world.relay = peatdeck_core::relay::Relay::new(settings, 1);
    world.relay.configure(ConfigBuilder::new(1).build());
    assert_eq!(world.try_submit(poison("1")), Err(Refusal::NotReady));
    world.relay.mark_quarantine_read();
    assert_eq!(world.try_submit(poison("1")), Err(Refusal::NoRoute));
}

#[test]
fn what_the_table_holds_back_is_held_back_until_its_record_is_gone() {
    let mut world = world(RequestKind::Once);
    world.relay.on_quarantine_record(world.now, held(), 3);
    assert!(is_refused(&mut world));
    world.relay.on_quarantine_removal(held());
    assert!(!is_refused(&mut world));
}

fn unrecorded(world: &mut World) -> Vec<Fingerprint> {
    world.take(|action| match action {
        Action::DeleteQuarantine(content) => Some(*content),
        _ => None,
    })
}

/// Instances agree on what is held back by what the table has, so an old record is
/// removed, and not only forgotten by each at a time of its own.
#[test]
fn content_that_nobody_sends_any_more_has_its_record_removed() {
    let mut world = world(RequestKind::Once);
    world.relay.on_quarantine_record(world.now, held(), 3);
    world.advance(WINDOW - ms(1));
    assert!(unrecorded(&mut world).is_empty());
    for _ in 0..20 {
        world.advance(ms(5000));
    }
    assert_eq!(unrecorded(&mut world)[0], held());
    assert!(is_refused(&mut world), "its record is still there");
    world.relay.on_quarantine_removal(held());
    assert!(!is_refused(&mut world));
}

#[test]
fn content_without_a_record_is_forgotten_after_a_while() {
    let mut world = world(RequestKind::Once);
    world.relay.quarantine_content(world.now, held(), 3);
    world.advance(WINDOW + ms(70_000));
    world.advance(ms(5000));
    assert!(!is_refused(&mut world));
}

/// Whoever goes on sending it keeps it held back, here and elsewhere.
#[test]
fn its_record_is_written_anew_while_it_is_still_sent() {
    let mut world = world(RequestKind::Once);
    world.relay.on_quarantine_record(world.now, held(), 3);
    let mut written = 0;
    for id in 0..30 {
        world.advance(Duration::from_secs(60));
        world.submit(poison(&id.to_string()));
        assert!(world.calls().is_empty());
        written += world
            .take(|action| match action {
                Action::WriteQuarantine { crashes, .. } => Some(*crashes),
                _ => None,
            })
            .len();
    }
    assert_eq!(written, 6, "once each five minutes");
    assert!(unrecorded(&mut world).is_empty());
}

#[test]
fn an_operator_releases_a_content() {
    let mut world = held_world(RequestKind::Once);
    let shown: Vec<_> =
        world.relay.quarantined().map(|(content, hold)| (content, hold.crashes)).collect();
    assert_eq!(shown, [(held(), 3)]);
    assert!(world.relay.release_content(held()));
    world.collect();
    assert_eq!(unrecorded(&mut world), [held()]);
    assert!(!is_refused(&mut world));
    assert!(!world.relay.release_content(held()));
}

/// Any number of contents may be in crashes, and any number of endpoints may end.
#[test]
fn what_is_remembered_of_crashes_is_bounded() {
    let mut world = world(RequestKind::Once);
    world.advance(ms(60_000));
    let crash = |content: u128, name: &str, age| Crash {
        content: Fingerprint(content),
        endpoint: EndpointId { name: Arc::from(name), incarnation: Incarnation(1) },
        age: ms(age),
        is_late: false,
    };
    for content in 1..=6000 {
        world.relay.on_crash(world.now, &crash(content, "x", 6000 - content as u64));
    }
    // The newest are remembered, the oldest are not.
    for name in ["y", "z"] {
        world.relay.on_crash(world.now, &crash(6000, name, 0));
        world.relay.on_crash(world.now, &crash(1, name, 0));
    }
    world.collect();
    assert_eq!(consulted(&mut world), [Fingerprint(6000)]);
}

#[test]
fn many_contents_can_be_held_back_at_once_but_not_any_number() {
    let mut world = world(RequestKind::Once);
    for content in 1..=3000 {
        for name in ["x", "y", "z"] {
            let life = EndpointId { name: Arc::from(name), incarnation: Incarnation(1) };
            let crash =
                Crash { content: Fingerprint(content), endpoint: life, age: ms(0), is_late: false };
            world.relay.on_crash(world.now, &crash);
        }
        world.collect();
        answer_consult(&mut world, false);
    }
    assert_eq!(world.relay.quarantined().count(), 1024);
}
