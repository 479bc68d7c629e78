//! Who collects crashes, who is notified, how long content stays quarantined, and who releases it.

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

use super::{
    answer_queries, crash, is_refused, peer, poison, quarantined_world, queries, team_content,
    world,
};
use crate::relay::fixture::{ConfigBuilder, World, ms, route};

fn report_receivers(world: &mut World) -> Vec<Arc<str>> {
    let mut peers = world.take(|action| match action {
        Action::ReportCrashes { peer, .. } => Some(peer.clone()),
        _ => None,
    });
    peers.sort();
    peers
}

/// Crashes that different instances detect have to be counted together.
#[test]
fn crashes_of_a_content_are_reported_to_the_same_peers() {
    let names = ["own", "a", "b", "c", "d"];
    let mut world = world(RequestKind::Once);
    let others = names[1..].iter().map(|name| peer(name)).collect();
    world.relay.set_peers(world.now, others, names.len());
    crash(&mut world, "1");
    let receivers = report_receivers(&mut world);
    assert!((1..=2).contains(&receivers.len()), "{receivers:?}");
    crash(&mut world, "2");
    assert_eq!(report_receivers(&mut world), receivers);
}

#[test]
fn a_collector_counts_crashes_that_peers_report() {
    let mut world = world(RequestKind::Once);
    for (idx, name) in ["x", "y", "z"].into_iter().enumerate() {
        assert!(queries(&mut world).is_empty(), "after {idx}");
        let id = EndpointId { name: Arc::from(name), incarnation: Incarnation(1) };
        let crash = Crash {
            content: team_content(),
            endpoint: id,
            age: ms(5),
            is_late: false,
            is_part: false,
        };
        world.relay.on_crash(world.now, &crash);
        world.relay.on_crash(world.now, &crash);
        world.collect();
    }
    answer_queries(&mut world, false);
    assert!(is_refused(&mut world));
}

fn announcements(world: &mut World) -> usize {
    world
        .take(|action| match action {
            Action::AnnounceQuarantine { content, .. } => Some(*content),
            _ => None,
        })
        .len()
}

/// An instance that reports a crash of quarantined content has not received the announcement.
#[test]
fn a_quarantine_is_announced_again_if_the_content_still_crashes_endpoints() {
    let mut world = quarantined_world(RequestKind::Once);
    assert_eq!(announcements(&mut world), 1);
    let id = EndpointId { name: Arc::from("x"), incarnation: Incarnation(1) };
    let crash =
        Crash { content: team_content(), endpoint: id, age: ms(5), is_late: false, is_part: false };
    world.relay.on_crash(world.now, &crash);
    world.collect();
    assert_eq!(announcements(&mut world), 1);
}

/// While the store is unreachable, instances that start cannot read the table.
#[test]
fn quarantines_without_a_record_are_announced_to_new_peers() {
    let mut world = quarantined_world(RequestKind::Once);
    announcements(&mut world);
    world.relay.set_peers(world.now, vec![peer("x")], 2);
    world.collect();
    assert_eq!(announcements(&mut world), 1);
    world.relay.set_peers(world.now, vec![peer("x")], 2);
    world.relay.on_quarantine_record(world.now, team_content(), 3);
    world.relay.set_peers(world.now, vec![peer("x"), peer("y")], 3);
    world.collect();
    assert_eq!(announcements(&mut world), 0);
}

#[test]
fn unknown_content_is_not_suspected() {
    let mut world = world(RequestKind::Once);
    for name in ["x", "y", "z"] {
        let id = EndpointId { name: Arc::from(name), incarnation: Incarnation(1) };
        let content = Fingerprint::UNKNOWN;
        let crash = Crash { content, endpoint: id, age: ms(5), is_late: false, is_part: false };
        world.relay.on_crash(world.now, &crash);
    }
    world.collect();
    assert!(queries(&mut world).is_empty());
}

/// An instance that has just started must not send content that others have quarantined.
#[test]
fn nothing_is_sent_before_the_quarantine_table_has_been_read() {
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
        regions: Default::default(),
        rollout: None,
        entry_interval: ms(1200),
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
fn content_with_a_record_is_quarantined_until_the_record_is_deleted() {
    let mut world = world(RequestKind::Once);
    world.relay.on_quarantine_record(world.now, team_content(), 3);
    assert!(is_refused(&mut world));
    world.relay.on_quarantine_removal(team_content());
    assert!(!is_refused(&mut world));
}

fn deleted_records(world: &mut World) -> Vec<Fingerprint> {
    world.take(|action| match action {
        Action::DeleteQuarantine(content) => Some(*content),
        _ => None,
    })
}

/// The table makes instances agree on what is quarantined. An old record is therefore deleted,
/// rather than expired by each instance at a different time.
#[test]
fn the_record_of_content_that_is_no_longer_sent_is_deleted() {
    let mut world = world(RequestKind::Once);
    world.relay.on_quarantine_record(world.now, team_content(), 3);
    world.advance(WINDOW - ms(1));
    assert!(deleted_records(&mut world).is_empty());
    for _ in 0..20 {
        world.advance(ms(5000));
    }
    assert_eq!(deleted_records(&mut world)[0], team_content());
    assert!(is_refused(&mut world), "its record still exists");
    world.relay.on_quarantine_removal(team_content());
    assert!(!is_refused(&mut world));
}

#[test]
fn content_without_a_record_is_released_after_a_while() {
    let mut world = world(RequestKind::Once);
    world.relay.quarantine_content(world.now, team_content(), 3);
    world.advance(WINDOW + ms(70_000));
    world.advance(ms(5000));
    assert!(!is_refused(&mut world));
}

/// Further requests with the content prolong its quarantine at all instances.
#[test]
fn a_record_is_renewed_while_its_content_is_still_sent() {
    let mut world = world(RequestKind::Once);
    world.relay.on_quarantine_record(world.now, team_content(), 3);
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
    assert!(deleted_records(&mut world).is_empty());
}

#[test]
fn an_operator_releases_a_content() {
    let mut world = quarantined_world(RequestKind::Once);
    let shown: Vec<_> =
        world.relay.quarantined().map(|(content, entry)| (content, entry.crashes)).collect();
    assert_eq!(shown, [(team_content(), 3)]);
    assert!(world.relay.release_content(team_content()));
    world.collect();
    assert_eq!(deleted_records(&mut world), [team_content()]);
    assert!(!is_refused(&mut world));
    assert!(!world.relay.release_content(team_content()));
}

/// Any number of contents may be involved in crashes, and any number of endpoints may crash.
#[test]
fn the_number_of_tracked_crashes_is_bounded() {
    let mut world = world(RequestKind::Once);
    world.advance(ms(60_000));
    let crash = |content: u128, name: &str, age| Crash {
        content: Fingerprint(content),
        endpoint: EndpointId { name: Arc::from(name), incarnation: Incarnation(1) },
        age: ms(age),
        is_late: false,
        is_part: false,
    };
    for content in 1..=20_000 {
        world.relay.on_crash(world.now, &crash(content, "x", 20_000 - content as u64));
    }
    // The newest crashes are kept, the oldest are dropped.
    for name in ["y", "z"] {
        world.relay.on_crash(world.now, &crash(20_000, name, 0));
        world.relay.on_crash(world.now, &crash(1, name, 0));
    }
    world.collect();
    assert_eq!(queries(&mut world), [Fingerprint(20_000)]);
}

#[test]
fn the_number_of_quarantined_contents_is_bounded() {
    let mut world = world(RequestKind::Once);
    for content in 1..=3000 {
        for name in ["x", "y", "z"] {
            let id = EndpointId { name: Arc::from(name), incarnation: Incarnation(1) };
            let crash = Crash {
                content: Fingerprint(content),
                endpoint: id,
                age: ms(0),
                is_late: false,
                is_part: false,
            };
            world.relay.on_crash(world.now, &crash);
        }
        world.collect();
        answer_queries(&mut world, false);
    }
    assert_eq!(world.relay.quarantined().count(), 1024);
}
