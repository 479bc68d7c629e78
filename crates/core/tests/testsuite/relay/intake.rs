//! Requests that are refused on arrival because their stages take too long.

use peatdeck_core::relay::{
    config::{RequestKind, Route},
    model::Arrival,
};

use crate::relay::fixture::{ConfigBuilder, World, arrival, entry, ms, route, stage};

/// An urgent and a less urgent route with two dependent stages, and a route with a single stage.
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

fn staged_arrival(id: &str, route: &str, pieces: &[u16]) -> Arrival {
    Arrival { pieces: pieces.to_vec(), deadline: Some(ms(8000)), ..arrival(id, route) }
}

/// Submits a request whose first stage takes `millis`.
fn slow_stage(world: &mut World, millis: u64) {
    world.submit(staged_arrival("slow", "r", &[1, 1]));
    let batch = world.batches().remove(0);
    world.advance(ms(millis));
    world.complete(&batch);
    world.batches();
}

/// Submits a hundred requests and disconnects their callers at once; returns how many were
/// refused.
fn refused_count(world: &mut World, route: &str, pieces: &[u16]) -> usize {
    for idx in 0..100 {
        let key = world.submit(staged_arrival(&format!("{route}-{idx}"), route, pieces));
        world.disconnect(key);
    }
    let refusals = world.refusals();
    assert!(refusals.iter().all(|refusal| refusal.starts_with("503 infeasible")), "{refusals:?}");
    refusals.len()
}

#[test]
fn nothing_is_refused_while_stages_keep_up() {
    let mut world = world();
    slow_stage(&mut world, 220);
    assert_eq!(refused_count(&mut world, "r", &[1, 1]), 0);
}

#[test]
fn slow_stages_refuse_a_part_of_the_requests_and_more_of_the_less_urgent() {
    let mut world = world();
    slow_stage(&mut world, 1500);
    let (urgent, other) =
        (refused_count(&mut world, "urgent", &[1, 1]), refused_count(&mut world, "r", &[1, 1]));
    assert!(urgent > 40 && urgent < 95, "{urgent}");
    assert!(other > urgent && other >= 95, "{urgent} {other}");
}

#[test]
fn requests_with_a_single_stage_are_not_refused_on_arrival() {
    let mut world = world();
    slow_stage(&mut world, 1500);
    assert_eq!(refused_count(&mut world, "single", &[1]), 0);
}

#[test]
fn a_stream_that_is_taken_up_is_not_refused_for_slow_stages() {
    let mut world = world();
    slow_stage(&mut world, 1500);
    for idx in 0..20 {
        let arrival = staged_arrival(&format!("again-{idx}"), "r", &[1, 1]);
        let first_attempt = Some(format!("first-{idx}").into());
        world.submit(Arrival { resume: Some(2), first_attempt, ..arrival });
    }
    assert!(world.refusals().is_empty());
}

#[test]
fn old_stage_times_no_longer_count() {
    let mut world = world();
    slow_stage(&mut world, 1500);
    world.advance(ms(2000));
    assert_eq!(refused_count(&mut world, "r", &[1, 1]), 0);
}
