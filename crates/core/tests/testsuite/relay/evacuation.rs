//! Evacuated data centres: their endpoints get no new work.

use std::sync::Arc;

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::{Engine, RequestKind, Transfer},
        directory::{Change, Entry},
        model::{
            Action, Arrival, EndpointId, Failure, Peer, PieceFailure, Placement, PlacementRequest,
            Refusal,
        },
        operator::OperatorCommand,
    },
};

use crate::relay::fixture::{
    ConfigBuilder, World, arrival, entry, head, ms, not_run, prompt, route, stage,
};

fn entry_in(data_centre: &str, name: &str, service: &str) -> Entry {
    Entry { data_centre: Arc::from(data_centre), ..entry(name, service) }
}

fn evacuate(data_centre: &str) -> OperatorCommand {
    OperatorCommand::Evacuate(Arc::from(data_centre))
}

fn restore(data_centre: &str) -> OperatorCommand {
    OperatorCommand::Restore(Arc::from(data_centre))
}

/// One route without stages, an endpoint in the east and one in the west.
fn two_data_centres(kind: RequestKind) -> World {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", kind, "desk"));
    let mut world = World::new(config.build());
    world.put(entry_in("east", "a", "desk"));
    world.put(entry_in("west", "b", "desk"));
    world
}

/// Submits `count` requests, answers their calls and returns the endpoints that were called.
fn called_endpoints(world: &mut World, count: usize) -> Vec<String> {
    for idx in 0..count {
        world.submit(arrival(&format!("{:?}-{idx}", world.now), "r"));
    }
    let calls = world.calls();
    world.advance(ms(10));
    for call in &calls {
        world.reply(call.key, &head(200));
    }
    let mut names: Vec<_> = calls.iter().map(|call| call.endpoint.to_string()).collect();
    names.sort_unstable();
    names.dedup();
    names
}

#[test]
fn an_evacuated_data_centre_gets_nothing_until_it_is_restored() {
    let mut world = two_data_centres(RequestKind::Idempotent);
    assert_eq!(called_endpoints(&mut world, 40), ["a", "b"]);
    assert!(world.apply_command(evacuate("east")));
    assert!(!world.apply_command(evacuate("east")), "repeating a command changes nothing");
    assert_eq!(called_endpoints(&mut world, 40), ["b"]);
    assert!(world.apply_command(restore("east")));
    assert!(!world.apply_command(restore("east")));
    assert_eq!(called_endpoints(&mut world, 40), ["a", "b"]);
}

#[test]
fn an_endpoint_that_joins_an_evacuated_data_centre_gets_nothing() {
    let mut world = two_data_centres(RequestKind::Idempotent);
    world.apply_command(evacuate("east"));
    world.put(entry_in("east", "c", "desk"));
    world.put(Entry { incarnation: Incarnation(2), ..entry_in("east", "a", "desk") });
    assert_eq!(called_endpoints(&mut world, 40), ["b"]);
}

#[test]
fn an_evacuation_applies_to_endpoints_that_join_later() {
    let mut world = two_data_centres(RequestKind::Idempotent);
    assert!(world.apply_command(evacuate("north")));
    world.put(entry_in("north", "c", "desk"));
    assert_eq!(called_endpoints(&mut world, 40), ["a", "b"]);
    world.apply_command(restore("north"));
    assert_eq!(called_endpoints(&mut world, 60), ["a", "b", "c"]);
}

/// Several commands may arrive at once, as after a network partition. One that a later one reverts
/// must not take effect even briefly.
#[test]
fn commands_of_one_batch_take_effect_together() {
    let mut world = two_data_centres(RequestKind::Idempotent);
    world.apply_command(evacuate("east"));
    world.apply_command(evacuate("west"));
    world.try_submit(arrival("1", "r")).unwrap();
    world.relay.apply_operator_changes(
        world.now,
        vec![restore("east"), restore("west"), evacuate("east")],
    );
    world.collect();
    assert_eq!(called_endpoints(&mut world, 40), ["b"]);
}

#[test]
fn repeated_calls_go_elsewhere() {
    let mut world = two_data_centres(RequestKind::Idempotent);
    world.apply_command(evacuate("west"));
    world.submit(arrival("1", "r"));
    let first = world.call();
    world.apply_command(restore("west"));
    world.apply_command(evacuate("east"));
    world.reply(first.key, &not_run(503));
    assert_eq!(&*world.call().endpoint, "b");
}

#[test]
fn running_calls_are_not_cancelled() {
    let mut world = two_data_centres(RequestKind::Idempotent);
    world.apply_command(evacuate("west"));
    world.submit(arrival("1", "r"));
    let call = world.call();
    world.apply_command(evacuate("east"));
    assert_eq!(world.take(|action| matches!(action, Action::Cancel(_)).then_some(())).len(), 0);
    world.reply(call.key, &head(200));
    let answers = world.take(|action| matches!(action, Action::Answer { .. }).then_some(()));
    assert_eq!(answers.len(), 1);
}

#[test]
fn an_interrupted_stream_is_not_resumed_there() {
    let mut world = two_data_centres(RequestKind::Resumable);
    world.apply_command(evacuate("west"));
    world.submit(arrival("1", "r"));
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &head(200));
    world.stream_event(call.key, 1);
    world.apply_command(restore("west"));
    world.put(entry_in("east", "c", "desk"));
    world.apply_command(evacuate("east"));
    world.fail(call.key, Failure::Cut);
    let resumed = world.call();
    assert_eq!((&*resumed.endpoint, resumed.resume), ("b", Some(1)));
}

/// It is unknown when operators restore a data centre, so requests are refused at once, with a
/// retry time.
#[test]
fn requests_are_refused_at_once_if_all_of_a_service_is_evacuated() {
    let mut world = two_data_centres(RequestKind::Once);
    world.apply_command(evacuate("east"));
    world.apply_command(evacuate("west"));
    world.try_submit(arrival("1", "r")).unwrap();
    assert_eq!(world.refusals(), ["503 evacuated 600ms"]);
    assert!(world.calls().is_empty());
    world.apply_command(restore("west"));
    assert_eq!(called_endpoints(&mut world, 4), ["b"]);
}

#[test]
fn a_service_without_endpoints_does_not_count_as_evacuated() {
    let config = ConfigBuilder::new(1).service("desk");
    let mut world = World::new(config.route(route("r", RequestKind::Idempotent, "desk")).build());
    world.apply_command(evacuate("east"));
    world.try_submit(arrival("1", "r")).unwrap();
    assert!(world.refusals().is_empty(), "an endpoint may still join");
}

/// A route with one stage, a piece endpoint in the east and one in the west.
fn staged() -> World {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = vec![stage("maker", &[], 1000)];
    let config =
        ConfigBuilder::new(1).service("desk").piece_service("maker", 1 << 20).route(staged);
    let mut world = World::new(config.build());
    world.put(entry_in("west", "a", "desk"));
    world.put(entry_in("east", "m1", "maker"));
    world.put(entry_in("west", "m2", "maker"));
    world
}

fn with_pieces(id: &str, count: u16) -> Arrival {
    Arrival { pieces: vec![count], ..arrival(id, "r") }
}

#[test]
fn queued_and_failed_pieces_run_elsewhere() {
    let mut world = staged();
    // Both piece endpoints are busy, with two calls' worth of pieces each.
    for idx in 0..4 {
        world.submit(with_pieces(&format!("{idx}"), 4));
    }
    let batches = world.batches();
    let at = |name: &str| batches.iter().find(|batch| &*batch.endpoint == name).unwrap();
    let (east, west) = (at("m1").clone(), at("m2").clone());
    world.apply_command(evacuate("east"));
    world.complete_with(east.call, east.all_failed(PieceFailure::Failed));
    assert!(world.batches().is_empty(), "the piece endpoint in the east stays idle");
    world.complete(&west);
    let batch = world.batches().remove(0);
    assert_eq!(&*batch.endpoint, "m2");
    world.apply_command(restore("east"));
    assert_eq!(&*world.batches().remove(0).endpoint, "m1");
}

#[test]
fn requests_whose_pieces_cannot_run_are_refused_at_once() {
    let mut world = staged();
    for idx in 0..3 {
        world.submit(with_pieces(&format!("{idx}"), 4));
    }
    assert_eq!(world.batches().len(), 2);
    world.apply_command(evacuate("east"));
    world.apply_command(evacuate("west"));
    // The two requests whose pieces are running need the final service too, which is evacuated.
    let refusals = world.refusals();
    assert_eq!(refusals.len(), 3, "{refusals:?}");
    assert!(refusals.iter().all(|refusal| refusal.starts_with("50")), "{refusals:?}");
    world.try_submit(with_pieces("4", 1)).unwrap();
    assert_eq!(world.refusals(), ["503 evacuated 600ms"]);
}

/// Guards against a refusal that states that nothing ran while an endpoint runs pieces: callers
/// then send a request again that must run once.
#[test]
fn a_request_whose_pieces_are_running_is_not_refused_as_not_run() {
    let mut world = staged();
    world.submit(with_pieces("1", 1));
    assert_eq!(world.batches().len(), 1);
    world.apply_command(evacuate("west"));
    assert_eq!(world.refusals(), ["502 failed 600ms"]);
}

/// Guards against the same while the pieces of an interrupted call wait to be run again.
#[test]
fn a_request_whose_pieces_were_interrupted_is_not_refused_as_not_run() {
    let mut world = staged();
    let leaving = Entry { is_leaving: true, ..entry_in("west", "m2", "maker") };
    world.put(leaving);
    world.submit(with_pieces("1", 1));
    let batch = world.batches().remove(0);
    world.relay.on_pieces_failure(world.now, batch.call, Failure::Cut, false);
    world.collect();
    assert!(world.batches().is_empty(), "the endpoint is paused");
    world.apply_command(evacuate("west"));
    assert_eq!(world.refusals(), ["502 failed 600ms"]);
}

/// If the destination of a result has no usable endpoints, its piece runs anywhere.
#[test]
fn a_large_result_does_not_wait_for_an_evacuated_destination() {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = vec![stage("maker", &[], 1_500_000)];
    let config =
        ConfigBuilder::new(1).service("desk").piece_service("maker", 1 << 30).route(staged);
    let mut world = World::new(config.build());
    world.put(entry_in("east", "a", "desk"));
    world.put(entry_in("east", "m1", "maker"));
    world.submit(with_pieces("1", 2));
    let batch = world.batches().remove(0);
    world.put(entry_in("west", "m2", "maker"));
    world.put(entry_in("west", "b", "desk"));
    world.apply_command(evacuate("east"));
    world.complete_with(batch.call, batch.all_failed(PieceFailure::Failed));
    assert_eq!(&*world.batches().remove(0).endpoint, "m2");
}

fn engines() -> World {
    let transfer = Some(Transfer { token_bytes: 160_000.0, rate: 32e6 });
    let engine = Engine { slots: 64, memory: 300_000, max_gap: None, transfer };
    let config = ConfigBuilder::new(1).engine_service("llm", engine);
    let mut world = World::new(config.route(route("r", RequestKind::Resumable, "llm")).build());
    world.put(entry_in("east", "a", "llm"));
    world.put(entry_in("west", "b", "llm"));
    world
}

#[test]
fn an_evacuated_engine_that_a_placer_chose_is_not_called() {
    let mut world = engines();
    let peer = Peer { name: "peer".into(), millicores: 500, data_centre: "east".into() };
    world.relay.set_peers(world.now, vec![peer], 2);
    let key = world.submit(Arrival { prompt: Some(prompt(1, 2)), ..arrival("1", "r") });
    world.apply_command(evacuate("east"));
    let engine = EndpointId { name: "a".into(), incarnation: Incarnation(1) };
    let placement = Placement { engine, source: None, tokens: 10, wait: ms(0), number: 7 };
    world.relay.on_placement(world.now, key, &"peer".into(), Some(placement));
    world.collect();
    assert_eq!(&*world.call().endpoint, "b");
}

#[test]
fn a_placer_chooses_no_evacuated_engine_and_no_evacuated_source() {
    let mut world = engines();
    let request = PlacementRequest {
        service: "llm".into(),
        region: None,
        prompt: prompt(1, 2),
        inputs: Vec::new(),
        excluded: Vec::new(),
    };
    world.apply_command(evacuate("west"));
    assert_eq!(&*world.relay.place_prompt(world.now, &request).unwrap().engine.name, "a");
    world.apply_command(restore("west"));
    world.apply_command(evacuate("east"));
    let placement = world.relay.place_prompt(world.now, &request).unwrap();
    assert_eq!((&*placement.engine.name, placement.source), ("b", None));
    assert!(world.relay.take_actions().iter().all(|action| match action {
        Action::ListParts { addr, .. } => &**addr != "a:80",
        _ => true,
    }));
}

#[test]
fn an_expired_entry_of_an_evacuated_endpoint_is_no_last_resort() {
    let mut world = two_data_centres(RequestKind::Idempotent);
    world.return_store();
    for name in ["a", "b"] {
        world.relay.apply_change(world.now, Change::Removed(name.into()));
    }
    world.apply_command(evacuate("east"));
    assert_eq!(called_endpoints(&mut world, 10), ["b"]);
}

/// After an outage of the store the entries elsewhere have only expired and are briefly usable.
#[test]
fn expired_entries_elsewhere_are_used_before_requests_are_refused() {
    let mut world = two_data_centres(RequestKind::Idempotent);
    world.return_store();
    world.relay.apply_change(world.now, Change::Removed("b".into()));
    world.apply_command(evacuate("east"));
    assert_eq!(called_endpoints(&mut world, 10), ["b"]);
    world.advance(ms(2000));
    world.try_submit(arrival("late", "r")).unwrap();
    assert_eq!(world.refusals(), ["503 evacuated 600ms"]);
}

#[test]
fn a_refusal_states_not_run_only_if_nothing_ran() {
    assert_eq!(Refusal::Evacuated.after(false).status(), 503);
    assert_eq!(Refusal::Evacuated.after(true).status(), 502);
}
