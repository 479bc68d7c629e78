//! Stages: when their pieces run, with which inputs, and when results are freed.

use std::sync::Arc;

use peatdeck_core::relay::{
    config::{RequestKind, Route},
    directory::Entry,
    model::{Action, Arrival, CallKey, Failure, Piece, PieceFailure},
};

use super::fixture::{
    Batch, ConfigBuilder, World, arrival, entry, head, ms, not_run, prompt, route, stage,
};

const LARGE: u64 = 1_500_000;
const SMALL: u64 = 8_000;

fn staged(stages: Vec<peatdeck_core::relay::config::Stage>) -> World {
    let config = ConfigBuilder::new(1)
        .service("engine")
        .piece_service("ledger", 18_000_000)
        .piece_service("mart", 2_800_000)
        .route(Route { stages, ..route("r", RequestKind::Resumable, "engine") });
    let mut world = World::new(config.build());
    for name in ["e1", "e2"] {
        world.put(entry(name, "engine"));
    }
    world.put(entry("l1", "ledger"));
    world.put(entry("m1", "mart"));
    world
}

fn staged_arrival(id: &str, pieces: &[u16]) -> Arrival {
    Arrival { pieces: pieces.to_vec(), prompt: Some(prompt(1, 2)), ..arrival(id, "r") }
}

fn entry_in(name: &str, service: &str, data_centre: &str) -> Entry {
    Entry { data_centre: Arc::from(data_centre), ..entry(name, service) }
}

#[test]
fn the_call_gets_the_results_of_the_last_stages() {
    let mut world = staged(vec![stage("ledger", &[], SMALL), stage("mart", &[0], SMALL)]);
    world.submit(staged_arrival("1", &[1, 2]));
    let batches = world.batches();
    assert_eq!(batches[0].names(), ["1/0/0"]);
    assert_eq!(batches[0].pieces[0].key.as_deref(), Some("key"));
    world.complete(&batches[0]);

    let batches = world.batches();
    assert_eq!(batches[0].names(), ["1/1/0", "1/1/1"]);
    let inputs: Vec<_> = batches[0].pieces.iter().map(|piece| piece.inputs.join(" ")).collect();
    assert_eq!(inputs, ["l1:80/1-0-0", "l1:80/1-0-0"]);
    assert_eq!(batches[0].pieces[0].key, None);
    world.complete(&batches[0]);

    assert_eq!(world.call().inputs.join(" "), "m1:80/1-1-0 m1:80/1-1-1");
}

#[test]
fn results_are_freed_as_soon_as_nothing_needs_them() {
    let mut world = staged(vec![stage("ledger", &[], SMALL), stage("mart", &[0], SMALL)]);
    world.submit(staged_arrival("1", &[1, 1]));
    let first = world.batches().remove(0);
    world.complete(&first);
    assert!(world.freed().is_empty());
    let second = world.batches().remove(0);
    world.complete(&second);
    assert_eq!(world.freed(), [Arc::from("l1:80/1-0-0")]);
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &head(200));
    assert!(world.freed().is_empty());
    world.stream_event(call.key, 1);
    assert_eq!(world.freed(), [Arc::from("m1:80/1-1-0")]);
}

/// Submits a request, completes its large result and returns its call to the engine.
fn call_with_result(world: &mut World, id: &str) -> CallKey {
    world.submit(arrival_without_prompt(id));
    let batch = world.batches().remove(0);
    world.complete(&batch);
    world.call().key
}

fn arrival_without_prompt(id: &str) -> Arrival {
    Arrival { prompt: None, ..staged_arrival(id, &[1]) }
}

/// One piece endpoint with memory for one large result.
fn with_memory_for_one() -> World {
    let config =
        ConfigBuilder::new(1).service("engine").piece_service("ledger", LARGE).route(Route {
            stages: vec![stage("ledger", &[], LARGE)],
            ..route("r", RequestKind::Resumable, "engine")
        });
    let mut world = World::new(config.build());
    world.put(entry("e1", "engine"));
    world.put(entry("l1", "ledger"));
    world
}

#[test]
fn a_result_that_was_probably_read_is_evicted_for_the_next_one() {
    let mut world = with_memory_for_one();
    call_with_result(&mut world, "1");
    world.submit(arrival_without_prompt("2"));
    world.advance(ms(59));
    assert!(world.batches().is_empty(), "the engine may still read the first one");
    world.advance(ms(1));
    world.advance(ms(0));
    assert_eq!(world.freed(), [Arc::from("l1:80/1-0-0")]);
    assert_eq!(world.batches()[0].names(), ["2/0/0"]);
}

#[test]
fn a_result_is_held_until_the_first_event_if_memory_suffices() {
    let mut world = with_memory_for_one();
    let call = call_with_result(&mut world, "1");
    world.advance(ms(500));
    assert!(world.freed().is_empty());
    world.relay.on_reply_head(world.now, call, &head(200));
    world.stream_event(call, 1);
    assert_eq!(world.freed(), [Arc::from("l1:80/1-0-0")]);
}

#[test]
fn results_are_held_longer_after_an_engine_missed_one() {
    let mut world = with_memory_for_one();
    let call = call_with_result(&mut world, "1");
    world.submit(arrival_without_prompt("2"));
    world.advance(ms(60));
    world.advance(ms(0));
    assert_eq!(world.freed().len(), 1);
    world.reply(call, &not_run(409));
    world.freed();
    let batch = world.batches().remove(0);
    world.complete(&batch);
    world.call();
    world.advance(ms(119));
    assert!(world.freed().is_empty(), "twice as long as before");
    world.advance(ms(1));
    world.advance(ms(0));
    assert_eq!(world.freed().len(), 1);
}

#[test]
fn a_stage_without_pieces_is_skipped() {
    let mut world = staged(vec![stage("ledger", &[], LARGE), stage("mart", &[], SMALL)]);
    world.submit(staged_arrival("1", &[0, 1]));
    let batches = world.batches();
    assert_eq!(batches.len(), 1);
    world.complete(&batches[0]);
    assert_eq!(world.call().inputs.join(" "), "m1:80/1-1-0");
}

#[test]
fn large_results_are_produced_late() {
    let stages = vec![
        stage("ledger", &[], LARGE),
        stage("ledger", &[], SMALL),
        stage("mart", &[1], SMALL),
        stage("mart", &[2], SMALL),
    ];
    let mut world = staged(stages);
    world.submit(staged_arrival("1", &[2, 1, 1, 1]));
    let first = world.batches().remove(0);
    assert_eq!(first.names(), ["1/1/0"], "the large results wait for the dependent stages");
    world.complete(&first);
    let mut names: Vec<_> = world.batches().iter().flat_map(Batch::names).collect();
    names.sort();
    assert_eq!(names, ["1/0/0", "1/0/1", "1/2/0"]);
}

#[test]
fn a_stage_runs_in_the_data_centre_of_its_inputs() {
    let stages = vec![stage("ledger", &[], 60_000), stage("mart", &[0], SMALL)];
    let config = ConfigBuilder::new(1)
        .service("engine")
        .piece_service("ledger", 18_000_000)
        .piece_service("mart", 2_800_000)
        .route(Route { stages, ..route("r", RequestKind::Resumable, "engine") });
    let mut world = World::new(config.build());
    world.put(entry_in("e1", "engine", "east"));
    world.put(entry_in("l1", "ledger", "west"));
    world.put(entry_in("m1", "mart", "east"));
    world.put(entry_in("m2", "mart", "west"));
    let request = Arrival { deadline: Some(ms(8000)), ..staged_arrival("1", &[2, 4]) };
    world.submit(request);
    let first = world.batches().remove(0);
    world.complete(&first);
    assert_eq!(&*world.batches()[0].endpoint, "m2");
}

#[test]
fn lost_results_are_produced_again() {
    let mut world = staged(vec![stage("ledger", &[], SMALL)]);
    world.submit(staged_arrival("1", &[1]));
    let first = world.batches().remove(0);
    world.complete(&first);
    let call = world.call();
    world.reply(call.key, &not_run(409));
    let again = world.batches().remove(0);
    assert_eq!(again.names(), ["1/0/0"]);
    assert!(again.pieces[0].is_repeat);
    world.complete(&again);
    assert_eq!(world.call().attempt, 1);
}

#[test]
fn lost_inputs_of_several_pieces_are_produced_again_once() {
    let mut world = staged(vec![stage("ledger", &[], SMALL), stage("mart", &[0], SMALL)]);
    world.submit(staged_arrival("1", &[1, 3]));
    let first = world.batches().remove(0);
    world.complete(&first);
    let second = world.batches().remove(0);
    world.complete_with(second.call, second.all_failed(PieceFailure::InputGone));
    assert!(world.refusals().is_empty());
    let again = world.batches();
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].names(), ["1/0/0"]);
}

#[test]
fn a_failed_piece_runs_elsewhere() {
    let mut world = staged(vec![stage("ledger", &[], SMALL)]);
    world.put(entry("l2", "ledger"));
    world.submit(staged_arrival("1", &[1]));
    let first = world.batches().remove(0);
    let failure = Failure::Cut;
    world.relay.on_pieces_failure(world.now, first.call, failure, false);
    world.collect();
    let second = world.batches().remove(0);
    assert_ne!(first.endpoint, second.endpoint);
    assert!(second.pieces[0].is_repeat);
}

#[test]
fn a_piece_without_result_memory_waits_and_does_not_fail() {
    let mut world = staged(vec![stage("ledger", &[], LARGE)]);
    world.submit(Arrival { deadline: Some(ms(8000)), ..staged_arrival("1", &[1]) });
    for _ in 0..5 {
        let batch = world.batches().remove(0);
        world.complete_with(batch.call, batch.all_failed(PieceFailure::NoRoom));
        assert!(world.batches().is_empty(), "the endpoint has no memory for its result");
        world.advance(ms(200));
        world.advance(ms(200));
    }
    assert!(world.refusals().is_empty());
    assert!(!world.batches()[0].pieces[0].is_repeat);
}

#[test]
fn pieces_that_cannot_finish_in_time_are_not_sent() {
    let mut world = staged(vec![stage("ledger", &[], SMALL)]);
    world.submit(staged_arrival("busy", &[4]));
    world.batches();
    let urgent = Arrival { deadline: Some(ms(300)), ..staged_arrival("1", &[1]) };
    world.submit(urgent);
    world.advance(ms(100));
    assert!(world.batches().is_empty());
    assert_eq!(world.refusals().len(), 1);
}

#[test]
fn results_and_pieces_are_dropped_when_their_caller_disconnects() {
    let mut world = staged(vec![stage("ledger", &[], SMALL), stage("mart", &[0], SMALL)]);
    let exchange = world.submit(staged_arrival("1", &[1, 1]));
    let first = world.batches().remove(0);
    world.complete(&first);
    let second = world.batches().remove(0);
    world.disconnect(exchange);
    assert_eq!(world.freed(), [Arc::from("l1:80/1-0-0")]);
    world.complete(&second);
    assert_eq!(world.freed(), [Arc::from("m1:80/1-1-0")], "late results are freed too");
}

#[test]
fn a_request_whose_pieces_ran_is_not_refused_as_not_run() {
    let mut world = staged(vec![stage("ledger", &[], SMALL), stage("mart", &[0], SMALL)]);
    world.submit(staged_arrival("1", &[1, 1]));
    let first = world.batches().remove(0);
    world.complete(&first);
    world.batches();
    world.advance(ms(2000));
    assert_eq!(world.refusals(), ["504 timed_out never"]);
}

#[test]
fn prompts_that_share_a_part_go_to_one_engine() {
    let mut world = staged(Vec::new());
    for idx in 3..9 {
        world.put(entry(&format!("e{idx}"), "engine"));
    }
    let mut engines = Vec::new();
    for id in 0..6_u64 {
        let mut request = staged_arrival(&id.to_string(), &[]);
        request.prompt = Some(prompt(77, 1000 + id));
        world.submit(request);
        let call = world.call();
        engines.push(call.endpoint.clone());
        world.relay.on_reply_head(world.now, call.key, &head(200));
        world.stream_event(call.key, 1);
        world.relay.on_stream_end(world.now, call.key);
        world.collect();
        world.advance(ms(300));
    }
    engines.dedup();
    assert_eq!(engines.len(), 1);
}

#[test]
fn a_busy_engine_shares_its_prompts_with_another_one() {
    let mut world = staged(Vec::new());
    let mut engines = std::collections::BTreeSet::new();
    for id in 0..40_u64 {
        let mut request = staged_arrival(&id.to_string(), &[]);
        request.prompt = Some(prompt(77, 1000 + id));
        world.submit(request);
        engines.insert(world.call().endpoint);
    }
    assert_eq!(engines.len(), 2);
}

#[test]
fn every_piece_and_result_is_accounted_for() {
    let mut world = staged(vec![stage("ledger", &[], SMALL), stage("mart", &[0], SMALL)]);
    for id in 0..10 {
        world.submit(staged_arrival(&id.to_string(), &[2, 3]));
    }
    let (mut produced, mut freed) = (Vec::new(), Vec::new());
    for _ in 0..200 {
        for batch in world.batches() {
            let name = |piece: &Piece| {
                format!("{}/{}-{}-{}", batch.addr, piece.request, piece.stage, piece.number)
            };
            produced.extend(batch.pieces.iter().map(name));
            world.complete(&batch);
        }
        for call in world.calls() {
            world.relay.on_reply_head(world.now, call.key, &head(200));
            world.stream_event(call.key, 1);
            world.relay.on_stream_end(world.now, call.key);
            world.collect();
        }
        freed.extend(world.freed());
        world.advance(ms(50));
    }
    produced.sort();
    freed.sort();
    let freed: Vec<_> = freed.iter().map(ToString::to_string).collect();
    assert_eq!(produced.len(), 50);
    assert_eq!(freed, produced);
    let finished = |action: &&Action| matches!(action, Action::FinishStream(_));
    assert_eq!(world.actions.iter().filter(finished).count(), 10);
}

#[test]
fn a_late_request_whose_pieces_may_have_run_is_not_refused_as_not_run() {
    let mut world = with_one_piece_endpoint();
    world.submit(Arrival { pieces: vec![1], deadline: Some(ms(2000)), ..arrival("1", "r") });
    let batch = world.batches().remove(0);
    world.relay.on_pieces_failure(world.now, batch.call, Failure::Cut, false);
    world.collect();
    world.advance(ms(1900));
    let refusals = world.refusals();
    assert!(refusals[0].starts_with("502 failed"), "{refusals:?}");
}

#[test]
fn late_pieces_of_a_peer_are_returned_as_failed_if_they_may_have_run() {
    let mut world = with_one_piece_endpoint();
    world.submit(Arrival { pieces: vec![1], deadline: Some(ms(2000)), ..arrival("theirs", "r") });
    let peer_piece = world.batches().remove(0).pieces.remove(0);
    let mut world = with_one_piece_endpoint();
    world.relay.on_handover(world.now, 9, vec![peer_piece]);
    world.collect();
    let batch = world.batches().remove(0);
    world.relay.on_pieces_failure(world.now, batch.call, Failure::Cut, false);
    world.collect();
    world.advance(ms(1900));
    let returned = world.take(|action| match action {
        Action::ReturnResults { results, .. } => Some(results.clone()),
        _ => None,
    });
    assert_eq!(returned, [vec![Err(PieceFailure::Failed)]]);
}

fn with_one_piece_endpoint() -> World {
    let stages = vec![stage("ledger", &[], 10)];
    let config = ConfigBuilder::new(1).service("desk").piece_service("ledger", 1 << 30);
    let config = config.route(Route { stages, ..route("r", RequestKind::Idempotent, "desk") });
    let mut world = World::new(config.build());
    world.put(entry("l1", "ledger"));
    world
}
