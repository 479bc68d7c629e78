//! Prompts, streams and pieces of a service that is being rolled out.

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::{Engine, RequestKind, Transfer},
        model::{Action, Arrival, EndpointId, Peer, PieceFailure, Placement, PlacementRequest},
        rollout::{Order, Phase, RolloutRecord},
    },
};

use crate::relay::{
    fixture::{ConfigBuilder, World, arrival, head, ms, prompt, route, stage},
    rollout::{order, record, rollout_settings, start, versioned, wait},
};

/// Engines `a` and `b` of version 1, `c` and `d` of version 2 with an order.
fn engines() -> World {
    let transfer = Some(Transfer { token_bytes: 160_000.0, rate: 32e6 });
    let engine = Engine { slots: 640, memory: 30_000_000, max_gap: None, transfer };
    let config = ConfigBuilder::new(1).engine_service("llm", engine);
    let config = config.route(route("r", RequestKind::Resumable, "llm")).build();
    let mut world = World::seeded(config, rollout_settings("own"), 7);
    for (name, version) in [("a", 1), ("b", 1), ("c", 2), ("d", 2)] {
        world.put(versioned(name, "llm", version));
    }
    start(&mut world, Order { service: "llm".into(), ..order("v2", ms(12_000), 1) });
    wait(&mut world, 600);
    world
}

fn is_new(endpoint: &str) -> bool {
    ["c", "d"].contains(&endpoint)
}

/// Memory of prompts differs between versions.
#[test]
fn prompt_parts_are_fetched_from_engines_of_the_same_version_only() {
    let mut world = engines();
    let mut canaries = 0;
    for idx in 0..100 {
        world.submit(Arrival {
            prompt: Some(prompt(1, 100 + idx)),
            ..arrival(&idx.to_string(), "r")
        });
        let call = world.call();
        canaries += usize::from(is_new(&call.endpoint));
        let source = call.source.map(|addr| is_new(addr.trim_end_matches(":80")));
        assert!(source.is_none_or(|source| source == is_new(&call.endpoint)));
    }
    assert_eq!(canaries, 6);
}

/// The placer serves the version in force.
#[test]
fn an_instance_chooses_the_canary_engine_itself() {
    let mut world = engines();
    let peer = Peer { name: "peer".into(), millicores: 500, data_centre: "east".into() };
    world.relay.set_peers(world.now, vec![peer], 2);
    let mut asked = 0;
    for idx in 0..40 {
        world.submit(Arrival {
            prompt: Some(prompt(1, 100 + idx)),
            ..arrival(&idx.to_string(), "r")
        });
        asked += world
            .take(|action| matches!(action, Action::RequestPlacement { .. }).then_some(()))
            .len();
    }
    let calls = world.calls();
    assert!(calls.iter().all(|call| is_new(&call.endpoint)));
    assert_eq!(asked + calls.len(), 40);
}

/// Passes on the first event of a new stream, whose caller then leaves. Returns whether it is at
/// the new version.
fn begin_stream(world: &mut World, id: &str) -> bool {
    let exchange = world.submit(arrival(id, "r"));
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &head(200));
    world.stream_event(call.key, 1);
    world.disconnect(exchange);
    is_new(&call.endpoint)
}

fn take_up(world: &mut World, id: &str, first: &str) {
    world.submit(Arrival {
        resume: Some(1),
        first_attempt: Some(first.into()),
        ..arrival(id, "r")
    });
}

/// A stream continues with the memory of the version that began it.
#[test]
fn a_stream_that_is_taken_up_goes_to_the_version_that_began_it() {
    let mut world = engines();
    let mut canaries = 0;
    for idx in 0..100 {
        let is_canary = begin_stream(&mut world, &idx.to_string());
        canaries += usize::from(is_canary);
        take_up(&mut world, &format!("again-{idx}"), &idx.to_string());
        assert_eq!(is_new(&world.call().endpoint), is_canary);
    }
    assert!(canaries > 0);
    world.submit(Arrival { resume: Some(3), ..arrival("unnamed", "r") });
    world.read_empty_store();
    assert_eq!(world.refusals(), ["503 unknown_version never"]);
}

/// A version that gets nothing more gets no stream that it began either.
#[test]
fn a_stream_of_a_version_that_was_rolled_back_is_refused() {
    let mut world = engines();
    let ids = (0..100).map(|idx| idx.to_string());
    let (canary, stable): (Vec<_>, Vec<_>) = ids.partition(|id| begin_stream(&mut world, id));
    read_llm(&mut world, Phase::RolledBack);
    take_up(&mut world, "again-1", &canary[0]);
    assert_eq!(world.refusals(), ["503 version_gone never"]);
    take_up(&mut world, "again-2", &stable[0]);
    assert!(!is_new(&world.call().endpoint));
}

/// While the old version's last streams run, those that break off go on there.
#[test]
fn a_stream_of_the_old_version_goes_on_until_the_rollout_is_completed() {
    let mut world = engines();
    let ids = (0..20).map(|idx| idx.to_string());
    let (_, stable): (Vec<_>, Vec<_>) = ids.partition(|id| begin_stream(&mut world, id));
    read_llm(&mut world, Phase::Shifting);
    wait(&mut world, 5000);
    assert!(begin_stream(&mut world, "new"));
    take_up(&mut world, "again-1", &stable[0]);
    assert!(!is_new(&world.call().endpoint));
    read_llm(&mut world, Phase::Completed);
    take_up(&mut world, "again-2", &stable[0]);
    assert_eq!(world.refusals(), ["503 version_gone never"]);
    take_up(&mut world, "again-3", "new");
    assert!(is_new(&world.call().endpoint));
}

/// The record of the order for service `llm`.
fn read_llm(world: &mut World, phase: Phase) {
    let record = RolloutRecord { service: "llm".into(), ..record(phase) };
    world.relay.on_rollout_record(world.now, "llm", Some(record));
    world.collect();
}

/// Endpoints `a` and `b` of version 1 run pieces, and `c` and `d` of version 2 with an order.
fn workers() -> World {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = vec![stage("maker", &[], 1000)];
    let config = ConfigBuilder::new(1).service("desk").piece_service("maker", 1 << 20);
    let mut world = World::seeded(config.route(staged).build(), rollout_settings("own"), 7);
    world.put(versioned("x", "desk", 1));
    for (name, version) in [("a", 1), ("b", 1), ("c", 2), ("d", 2)] {
        world.put(versioned(name, "maker", version));
    }
    start(&mut world, Order { service: "maker".into(), ..order("v2", ms(60_000), 1) });
    wait(&mut world, 600);
    world
}

/// Runs requests of four pieces; version 2 fails. Returns the numbers of pieces sent to each
/// version, without repeated ones to version 1.
fn run_pieces(world: &mut World, requests: usize) -> (usize, usize) {
    let (mut old, mut new) = (0, 0);
    for idx in 0..requests {
        world.submit(Arrival { pieces: vec![4], ..arrival(&idx.to_string(), "r") });
        loop {
            let batches = world.batches();
            if batches.is_empty() {
                break;
            }
            for batch in batches {
                if is_new(&batch.endpoint) {
                    assert!(batch.pieces.iter().all(|piece| !piece.is_repeat));
                    new += batch.pieces.len();
                    world.complete_with(batch.call, batch.all_failed(PieceFailure::Failed));
                } else {
                    old += batch.pieces.iter().filter(|piece| !piece.is_repeat).count();
                    world.complete(&batch);
                }
            }
        }
        world.calls();
        world.advance(ms(20));
    }
    (old, new)
}

#[test]
fn a_share_of_the_pieces_goes_to_the_new_version_in_whole_calls() {
    let mut world = workers();
    let (old, new) = run_pieces(&mut world, 60);
    assert!(new >= 4, "{old} {new}");
    assert!(new as f64 <= 0.1 * (old + new) as f64, "{old} {new}");
}

/// Faults on one route would be hidden by the good replies of the others.
#[test]
fn replies_to_pieces_are_counted_by_route_and_stage() {
    let mut world = workers();
    run_pieces(&mut world, 30);
    let peer = Peer { name: "peer".into(), millicores: 10, data_centre: "east".into() };
    let decides = |world: &mut World| {
        world.advance(ms(250));
        world.take(|action| match action {
            Action::ReportEvidence { evidence, .. } => Some(evidence.clone()),
            _ => None,
        })
    };
    let evidence = (0..50).find_map(|idx| {
        let peer = Peer { name: format!("peer{idx}").into(), ..peer.clone() };
        world.relay.set_peers(world.now, vec![peer], 2);
        decides(&mut world).pop()
    });
    let routes: Vec<_> = evidence.unwrap().routes.into_iter().map(|it| it.route).collect();
    assert_eq!(routes, ["r stage 0".into()]);
}

#[test]
fn a_version_whose_pieces_fail_is_halted() {
    let mut world = workers();
    run_pieces(&mut world, 400);
    let halted = world.take(|action| matches!(action, Action::RolloutHalted { .. }).then_some(()));
    assert_eq!(halted.len(), 1);
    assert_eq!(run_pieces(&mut world, 60).1, 0);
}

/// A placer that has not read of the rollout yet may name an engine of another version as source.
#[test]
fn a_placer_cannot_name_a_source_of_another_version() {
    for (source, expected) in [("b:80", Some("b:80")), ("c:80", None)] {
        let mut world = engines();
        let peer = Peer { name: "peer".into(), millicores: 500, data_centre: "east".into() };
        world.relay.set_peers(world.now, vec![peer], 2);
        let prompt = Some(prompt(1, 2));
        let key = world.submit(Arrival { prompt, ..arrival("1", "r") });
        let engine = EndpointId { name: "a".into(), incarnation: Incarnation(1) };
        let source = Some(source.into());
        let placement = Placement { engine, source, tokens: 1000, wait: ms(5), number: 77 };
        world.relay.on_placement(world.now, key, &"peer".into(), Some(placement));
        world.collect();
        let call = world.call();
        assert_eq!((&*call.endpoint, call.source.as_deref()), ("a", expected));
    }
}

/// A placer must not place requests of others on a version that is on trial.
#[test]
fn a_placer_serves_the_version_in_force() {
    let mut world = engines();
    for idx in 0..50 {
        let request = PlacementRequest {
            region: None,
            service: "llm".into(),
            prompt: prompt(idx, 100 + idx),
            inputs: Vec::new(),
            excluded: Vec::new(),
        };
        let placement = world.relay.place_prompt(world.now, &request).unwrap();
        assert!(!is_new(&placement.engine.name));
    }
}

/// Calls that start on old endpoints after the ramp are lost when these stop.
#[test]
fn all_prompts_move_within_a_second() {
    let mut world = engines();
    read_shifting(&mut world, "llm");
    let mut send = |millis: u64, count: u64| {
        world.advance(ms(millis));
        let calls = (0..count).map(|idx| {
            let id = format!("{millis} {idx}");
            let prompt = Some(prompt(1, 100 + idx));
            world.submit(Arrival { prompt, ..arrival(&id, "r") });
            is_new(&world.call().endpoint)
        });
        calls.filter(|is_new| *is_new).count()
    };
    let begun = send(500, 100);
    assert!((40..65).contains(&begun), "{begun}");
    assert_eq!(send(501, 100), 100);
}

#[test]
fn all_pieces_move_within_a_second() {
    let mut world = workers();
    read_shifting(&mut world, "maker");
    world.advance(ms(1001));
    world.submit(Arrival { pieces: vec![4], ..arrival("1", "r") });
    let batches = world.batches();
    assert!(!batches.is_empty() && batches.iter().all(|batch| is_new(&batch.endpoint)));
}

fn read_shifting(world: &mut World, service: &str) {
    let duration = if service == "maker" { ms(60_000) } else { ms(12_000) };
    let record = RolloutRecord { service: service.into(), duration, ..record(Phase::Shifting) };
    world.relay.on_rollout_record(world.now, service, Some(record));
    world.collect();
}
