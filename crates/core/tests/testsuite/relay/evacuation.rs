//! Data centres whose endpoints get nothing more.

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

fn entry_in(place: &str, name: &str, service: &str) -> Entry {
    Entry { data_centre: Arc::from(place), ..entry(name, service) }
}

fn evacuate(place: &str) -> OperatorCommand {
    OperatorCommand::Evacuate(Arc::from(place))
}

fn restore(place: &str) -> OperatorCommand {
    OperatorCommand::Restore(Arc::from(place))
}

/// One plain route before an endpoint in the east and one in the west.
fn two_places(kind: RequestKind) -> World {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", kind, "desk"));
    let mut world = World::new(config.build());
    world.put(entry_in("east", "a", "desk"));
    world.put(entry_in("west", "b", "desk"));
    world
}

/// The endpoints that so many requests are sent to, all of which are answered.
fn called(world: &mut World, count: usize) -> Vec<String> {
    for idx in 0..count {
        world.submit(arrival(&format!("{:?}-{idx}", world.now), "r"));
    }
    let calls = world.calls();
    world.advance(ms(10));
    for call in &calls {
        world.reply(call.key, &head(200));
    }
    let mut called: Vec<_> = calls.iter().map(|call| call.endpoint.to_string()).collect();
    called.sort_unstable();
    called.dedup();
    called
}

#[test]
fn nothing_goes_to_a_data_centre_until_the_order_is_taken_back() {
    let mut world = two_places(RequestKind::Idempotent);
    assert_eq!(called(&mut world, 40), ["a", "b"]);
    assert!(world.apply_command(evacuate("east")));
    assert!(!world.apply_command(evacuate("east")), "the same order again says nothing new");
    assert_eq!(called(&mut world, 40), ["b"]);
    assert!(world.apply_command(restore("east")));
    assert!(!world.apply_command(restore("east")));
    assert_eq!(called(&mut world, 40), ["a", "b"]);
}

#[test]
fn an_endpoint_that_joins_there_later_gets_nothing_either() {
    let mut world = two_places(RequestKind::Idempotent);
    world.apply_command(evacuate("east"));
    world.put(entry_in("east", "c", "desk"));
    world.put(Entry { incarnation: Incarnation(2), ..entry_in("east", "a", "desk") });
    assert_eq!(called(&mut world, 40), ["b"]);
}

#[test]
fn an_order_for_a_place_without_endpoints_holds_for_those_that_come() {
    let mut world = two_places(RequestKind::Idempotent);
    assert!(world.apply_command(evacuate("north")));
    world.put(entry_in("north", "c", "desk"));
    assert_eq!(called(&mut world, 40), ["a", "b"]);
    world.apply_command(restore("north"));
    assert_eq!(called(&mut world, 60), ["a", "b", "c"]);
}

/// Of orders that come together, as after a cut, nothing holds for a moment that a
/// later one has taken back.
#[test]
fn orders_that_come_together_are_in_force_together() {
    let mut world = two_places(RequestKind::Idempotent);
    world.apply_command(evacuate("east"));
    world.apply_command(evacuate("west"));
    world.try_submit(arrival("1", "r")).unwrap();
    world.relay.apply_operator_changes(
        world.now,
        vec![restore("east"), restore("west"), evacuate("east")],
    );
    world.collect();
    assert_eq!(called(&mut world, 40), ["b"]);
}

#[test]
fn what_is_repeated_goes_elsewhere() {
    let mut world = two_places(RequestKind::Idempotent);
    world.apply_command(evacuate("west"));
    world.submit(arrival("1", "r"));
    let first = world.call();
    world.apply_command(restore("west"));
    world.apply_command(evacuate("east"));
    world.reply(first.key, &not_run(503));
    assert_eq!(&*world.call().endpoint, "b");
}

#[test]
fn what_runs_there_ends_there() {
    let mut world = two_places(RequestKind::Idempotent);
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
fn a_cut_stream_is_not_resumed_there() {
    let mut world = two_places(RequestKind::Resumable);
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

/// Nobody knows when operators take an order back: callers hear so at once, and to
/// come back after a while.
#[test]
fn callers_hear_at_once_where_all_of_a_service_is_evacuated() {
    let mut world = two_places(RequestKind::Once);
    world.apply_command(evacuate("east"));
    world.apply_command(evacuate("west"));
    world.try_submit(arrival("1", "r")).unwrap();
    assert_eq!(world.refusals(), ["503 evacuated 600ms"]);
    assert!(world.calls().is_empty());
    world.apply_command(restore("west"));
    assert_eq!(called(&mut world, 4), ["b"]);
}

#[test]
fn a_service_without_endpoints_is_not_taken_for_evacuated() {
    let config = ConfigBuilder::new(1).service("desk");
    let mut world = World::new(config.route(route("r", RequestKind::Idempotent, "desk")).build());
    world.apply_command(evacuate("east"));
    world.try_submit(arrival("1", "r")).unwrap();
    assert!(world.refusals().is_empty(), "an endpoint may still join");
}

/// A route with one stage; a maker in the east and one in the west.
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
fn pieces_that_wait_and_those_that_failed_are_made_elsewhere() {
    let mut world = staged();
    // Both makers are busy with two calls' worth each.
    for idx in 0..4 {
        world.submit(with_pieces(&format!("{idx}"), 4));
    }
    let batches = world.batches();
    let at = |name: &str| batches.iter().find(|batch| &*batch.endpoint == name).unwrap();
    let (east, west) = (at("m1").clone(), at("m2").clone());
    world.apply_command(evacuate("east"));
    world.complete_with(east.call, east.all_failed(PieceFailure::Failed));
    assert!(world.batches().is_empty(), "the maker in the east is idle");
    world.complete(&west);
    let batch = world.batches().remove(0);
    assert_eq!(&*batch.endpoint, "m2");
    world.apply_command(restore("east"));
    assert_eq!(&*world.batches().remove(0).endpoint, "m1");
}

#[test]
fn callers_whose_pieces_nobody_can_make_hear_at_once() {
    let mut world = staged();
    for idx in 0..3 {
        world.submit(with_pieces(&format!("{idx}"), 4));
    }
    assert_eq!(world.batches().len(), 2);
    world.apply_command(evacuate("east"));
    world.apply_command(evacuate("west"));
    // The two whose pieces are being made need the service of the call as well.
    let refusals = world.refusals();
    assert_eq!(refusals.len(), 3, "{refusals:?}");
    assert!(refusals.iter().all(|refusal| refusal.starts_with("50")), "{refusals:?}");
    world.try_submit(with_pieces("4", 1)).unwrap();
    assert_eq!(world.refusals(), ["503 evacuated 600ms"]);
}

/// A result that belongs in a data centre without usable endpoints is made anywhere.
#[test]
fn a_large_result_does_not_wait_for_a_place_that_is_evacuated() {
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
fn an_engine_that_a_peer_chose_there_is_not_called() {
    let mut world = engines();
    let peer = Peer { name: "peer".into(), millicores: 500 };
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
fn a_placer_chooses_no_engine_there_and_none_to_fetch_from() {
    let mut world = engines();
    let question = PlacementRequest {
        service: "llm".into(),
        prompt: prompt(1, 2),
        inputs: Vec::new(),
        excluded: Vec::new(),
    };
    world.apply_command(evacuate("west"));
    assert_eq!(&*world.relay.place_prompt(world.now, &question).unwrap().engine.name, "a");
    world.apply_command(restore("west"));
    world.apply_command(evacuate("east"));
    let placement = world.relay.place_prompt(world.now, &question).unwrap();
    assert_eq!((&*placement.engine.name, placement.source), ("b", None));
    assert!(world.relay.take_actions().iter().all(|action| match action {
        Action::ListParts { addr, .. } => &**addr != "a:80",
        _ => true,
    }));
}

#[test]
fn an_endpoint_that_lapsed_there_is_no_last_resort() {
    let mut world = two_places(RequestKind::Idempotent);
    for name in ["a", "b"] {
        world.relay.apply_change(world.now, Change::Removed(name.into()));
    }
    world.apply_command(evacuate("east"));
    assert_eq!(called(&mut world, 10), ["b"]);
}

/// The store was away: those elsewhere have only lapsed, and are used for a moment.
#[test]
fn what_is_left_elsewhere_is_used_before_callers_are_refused() {
    let mut world = two_places(RequestKind::Idempotent);
    world.relay.apply_change(world.now, Change::Removed("b".into()));
    world.apply_command(evacuate("east"));
    assert_eq!(called(&mut world, 10), ["b"]);
    world.advance(ms(2000));
    world.try_submit(arrival("late", "r")).unwrap();
    assert_eq!(world.refusals(), ["503 evacuated 600ms"]);
}

#[test]
fn a_refusal_says_not_run_only_where_nothing_ran() {
    assert_eq!(Refusal::Evacuated.after(false).status(), 503);
    assert_eq!(Refusal::Evacuated.after(true).status(), 502);
}
