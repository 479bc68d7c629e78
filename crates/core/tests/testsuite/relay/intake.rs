//! Requests that are refused as they come, since their stages take too long.

use peatdeck_core::relay::{
    config::{RequestKind, Route},
    model::Arrival,
};

use crate::relay::fixture::{ConfigBuilder, World, arrival, entry, ms, route, stage};

/// Two stages, one after the other, for an urgent and for another route.
fn world() -> World {
    let stages = vec![stage("ledger", &[], 1), stage("mart", &[0], 1)];
    let chain = |name, priority| Route {
        stages: stages.clone(),
        priority,
        ..route(name, RequestKind::Resumable, "desk")
    };
    let single = Route { stages: vec![stage("ledger", &[], 1)], ..chain("single", 1) };
    let config = ConfigBuilder::new(1).service("desk").piece_service("ledger", 1 << 30);
    let config =
        config.piece_service("mart", 1 << 30).route(chain("urgent", 0)).route(chain("r", 2));
    let mut world = World::new(config.route(single).build());
    for (name, service) in [("d1", "desk"), ("l1", "ledger"), ("m1", "mart")] {
        world.put(entry(name, service));
    }
    world
}

fn asking(id: &str, route: &str, pieces: &[u16]) -> Arrival {
    Arrival { pieces: pieces.to_vec(), deadline: Some(ms(8000)), ..arrival(id, route) }
}

/// A request whose first stage takes that long.
fn slow_stage(world: &mut World, millis: u64) {
    world.submit(asking("slow", "r", &[1, 1]));
    let batch = world.batches().remove(0);
    world.advance(ms(millis));
    world.complete(&batch);
    world.batches();
}

/// How many of a hundred requests are refused, without anything being done.
fn refused(world: &mut World, route: &str, pieces: &[u16]) -> usize {
    for idx in 0..100 {
        let key = world.submit(asking(&format!("{route}-{idx}"), route, pieces));
        world.disconnect(key);
    }
    let refusals = world.refusals();
    assert!(refusals.iter().all(|refusal| refusal.starts_with("503 infeasible")), "{refusals:?}");
    refusals.len()
}

#[test]
fn nobody_is_refused_while_stages_keep_up() {
    let mut world = world();
    slow_stage(&mut world, 220);
    assert_eq!(refused(&mut world, "r", &[1, 1]), 0);
}

#[test]
fn part_is_refused_once_stages_take_too_long_the_less_urgent_more() {
    let mut world = world();
    slow_stage(&mut world, 1500);
    let (urgent, other) =
        (refused(&mut world, "urgent", &[1, 1]), refused(&mut world, "r", &[1, 1]));
    assert!(urgent > 40 && urgent < 95, "{urgent}");
    assert!(other > urgent && other >= 95, "{urgent} {other}");
}

#[test]
fn a_single_stage_is_left_to_its_queue() {
    let mut world = world();
    slow_stage(&mut world, 1500);
    assert_eq!(refused(&mut world, "single", &[1]), 0);
}

#[test]
fn what_stages_took_is_forgotten() {
    let mut world = world();
    slow_stage(&mut world, 1500);
    world.advance(ms(2000));
    assert_eq!(refused(&mut world, "r", &[1, 1]), 0);
}
