//! The placer: one instance chooses engines for all.

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::{Engine, RequestKind, Transfer},
        directory::{Change, Entry},
        model::{
            Action, Arrival, EndpointId, ExchangeKey, Failure, HeldParts, Peer, Placement,
            PlacementRequest, Progress, Step,
        },
    },
};

use crate::relay::fixture::{ConfigBuilder, World, arrival, entry, head, ms, prompt, route};

/// An instance whose only peer has a larger CPU share, so that the peer is the placer.
fn with_placer_peer() -> World {
    let transfer = Some(Transfer { token_bytes: 160_000.0, rate: 32e6 });
    let engine = Engine { slots: 64, memory: 300_000, max_gap: None, transfer };
    let config = ConfigBuilder::new(1).engine_service("llm", engine);
    let mut world = World::new(config.route(route("r", RequestKind::Resumable, "llm")).build());
    for name in ["a", "b"] {
        world.put(entry(name, "llm"));
    }
    let peer = Peer { name: "peer".into(), millicores: 500, data_centre: "east".into() };
    world.relay.set_peers(world.now, vec![peer], 2);
    world
}

fn endpoint_id(name: &str, incarnation: u64) -> EndpointId {
    EndpointId { name: name.into(), incarnation: Incarnation(incarnation) }
}

fn prompt_arrival(id: &str) -> Arrival {
    Arrival { prompt: Some(prompt(1, 2)), ..arrival(id, "r") }
}

fn placement_requests(world: &mut World) -> Vec<(ExchangeKey, PlacementRequest)> {
    world.take(|action| match action {
        Action::RequestPlacement { exchange, request: wanted, .. } => {
            Some((*exchange, wanted.clone()))
        }
        _ => None,
    })
}

fn deliver_placement(world: &mut World, key: ExchangeKey, endpoint: &str) {
    let source = Some("b:80".into());
    let engine = endpoint_id(endpoint, 1);
    let placement = Placement { engine, source, tokens: 1000, wait: ms(5), number: 77 };
    world.relay.on_placement(world.now, key, &"peer".into(), Some(placement));
    world.collect();
}

#[test]
fn a_call_goes_to_the_engine_that_the_placer_chose() {
    let mut world = with_placer_peer();
    world.submit(prompt_arrival("1"));
    assert!(world.calls().is_empty(), "it waits for the placement");
    let (key, request) = placement_requests(&mut world).remove(0);
    assert_eq!((&*request.service, request.prompt), ("llm", prompt(1, 2)));
    deliver_placement(&mut world, key, "a");
    let call = world.call();
    assert_eq!((&*call.endpoint, call.source.as_deref()), ("a", Some("b:80")));
    deliver_placement(&mut world, key, "a");
    assert!(world.calls().is_empty(), "a second placement is ignored");
}

#[test]
fn a_leaving_engine_is_not_called_even_if_the_placer_chose_it() {
    let mut world = with_placer_peer();
    world.submit(prompt_arrival("1"));
    let (key, _) = placement_requests(&mut world).remove(0);
    let leaving = Entry { is_leaving: true, ..entry("a", "llm") };
    world.relay.apply_change(world.now, Change::Put(leaving));
    deliver_placement(&mut world, key, "a");
    assert_eq!(&*world.call().endpoint, "b");
}

#[test]
fn after_a_placer_failure_an_instance_chooses_engines_itself_for_a_while() {
    let mut world = with_placer_peer();
    world.submit(prompt_arrival("1"));
    let (key, _) = placement_requests(&mut world).remove(0);
    world.relay.on_placer_failure(world.now, &"peer".into());
    world.relay.on_placement(world.now, key, &"peer".into(), None);
    world.collect();
    assert_eq!(world.calls().len(), 1);
    world.submit(prompt_arrival("2"));
    assert!(placement_requests(&mut world).is_empty());
    assert_eq!(world.calls().len(), 1);
    world.advance(ms(2000));
    world.submit(prompt_arrival("3"));
    assert_eq!(placement_requests(&mut world).len(), 1);
}

#[test]
fn a_request_that_times_out_before_its_placement_is_refused() {
    let mut world = with_placer_peer();
    world.submit(prompt_arrival("1"));
    let (key, _) = placement_requests(&mut world).remove(0);
    world.advance(ms(2000));
    assert_eq!(world.refusals().len(), 1);
    deliver_placement(&mut world, key, "a");
    assert!(world.calls().is_empty());
}

/// Guards against an abort of the instance: an answer that is handled before the timer of a deadline
/// that has just passed led to a negative remaining time.
#[test]
fn a_placement_that_arrives_after_the_deadline_times_the_request_out() {
    let mut world = with_placer_peer();
    world.submit(prompt_arrival("1"));
    let (key, _) = placement_requests(&mut world).remove(0);
    world.now += ms(2001);
    deliver_placement(&mut world, key, "a");
    assert!(world.calls().is_empty());
    assert_eq!(world.refusals().len(), 1);
}

/// Guards against an overflow of the times that are estimated from the number of tokens, which a
/// peer states. Engines that took seconds to prefill made the estimates long enough.
#[test]
fn a_placer_that_states_too_many_tokens_does_not_end_the_instance() {
    let mut world = with_placer_peer();
    for idx in 0..600 {
        world.submit(prompt_arrival(&idx.to_string()));
        let Some((key, _)) = placement_requests(&mut world).pop() else { panic!("no request") };
        let tokens = if idx == 0 { 1000 } else { u64::MAX };
        let engine = endpoint_id("a", 1);
        let placement = Placement { engine, source: None, tokens, wait: ms(5), number: idx };
        world.relay.on_placement(world.now, key, &"peer".into(), Some(placement));
        world.collect();
        let call = world.call();
        if idx == 0 {
            world.now += ms(1900);
            world.relay.on_reply_head(world.now, call.key, &head(200));
            world.relay.on_stream_end(world.now, call.key);
        }
    }
    assert_eq!(world.relay.open_exchanges(), 599);
}

#[test]
fn a_placer_does_not_choose_excluded_engines() {
    let mut world = with_placer_peer();
    world.relay.set_peers(world.now, Vec::new(), 1);
    let request = PlacementRequest {
        service: "llm".into(),
        region: None,
        prompt: prompt(1, 2),
        inputs: Vec::new(),
        excluded: vec![endpoint_id("a", 1)],
    };
    for _ in 0..3 {
        assert_eq!(&*world.relay.place_prompt(world.now, &request).unwrap().engine.name, "b");
    }
    let none =
        PlacementRequest { excluded: vec![endpoint_id("a", 1), endpoint_id("b", 1)], ..request };
    assert_eq!(world.relay.place_prompt(world.now, &none), None);
}

#[test]
fn a_placer_asks_each_engine_once_for_its_parts() {
    let mut world = with_placer_peer();
    world.relay.set_peers(world.now, Vec::new(), 1);
    let listings = |world: &mut World| {
        let requested = world.take(|action| match action {
            Action::ListParts { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        requested.len()
    };
    world.submit(prompt_arrival("1"));
    world.submit(prompt_arrival("2"));
    assert_eq!(listings(&mut world), 2);
    world.put(entry("c", "llm"));
    world.submit(prompt_arrival("3"));
    assert_eq!(listings(&mut world), 1);
}

/// The placer and the requesting instance may receive the restart of an engine at different times.
#[test]
fn placements_refer_to_one_incarnation_of_an_engine() {
    let mut world = with_placer_peer();
    world.put(Entry { incarnation: Incarnation(2), ..entry("a", "llm") });
    world.submit(prompt_arrival("1"));
    let (key, request) = placement_requests(&mut world).remove(0);
    assert!(request.excluded.is_empty());
    deliver_placement(&mut world, key, "a");
    let call = world.call();
    assert_eq!(call.source, None, "a placement on an earlier incarnation is ignored");
    world.relay.set_peers(world.now, Vec::new(), 1);
    let request = PlacementRequest {
        service: "llm".into(),
        region: None,
        prompt: prompt(1, 2),
        inputs: Vec::new(),
        excluded: vec![endpoint_id("a", 1), endpoint_id("b", 1)],
    };
    let placement = world.relay.place_prompt(world.now, &request).unwrap();
    assert_eq!(placement.engine, endpoint_id("a", 2), "only the earlier incarnation is excluded");
}

#[test]
fn parts_held_by_another_incarnation_of_an_engine_are_ignored() {
    let tokens = |incarnation: u64| {
        let mut world = with_placer_peer();
        world.relay.set_peers(world.now, Vec::new(), 1);
        let engine = world.relay.directory().by_name("a").unwrap();
        let held = HeldParts { incarnation: Some(Incarnation(incarnation)), parts: vec![1] };
        world.relay.on_parts_listed(world.now, engine, &held);
        let request = PlacementRequest {
            service: "llm".into(),
            region: None,
            prompt: prompt(1, 2),
            inputs: Vec::new(),
            excluded: vec![endpoint_id("b", 1)],
        };
        world.relay.place_prompt(world.now, &request).unwrap().tokens
    };
    assert_eq!((tokens(2), tokens(1)), (7000, 1000));
}

/// A placer has two engines. Engine `a` streams to ten callers and has `backlog` more prompts to
/// prefill. Returns the engine chosen for the next prompt, a part of which `a` holds.
fn engine_chosen_beside_streams(backlog: u64, gap: Option<Duration>) -> Arc<str> {
    let engine = Engine { slots: 64, memory: 900_000, max_gap: gap, transfer: None };
    let config = ConfigBuilder::new(1).engine_service("llm", engine);
    let mut world = World::new(config.route(route("r", RequestKind::Resumable, "llm")).build());
    for name in ["a", "b"] {
        world.put(entry(name, "llm"));
    }
    let request = |own: u64, excluded: &str| PlacementRequest {
        service: "llm".into(),
        region: None,
        prompt: prompt(1, own),
        inputs: Vec::new(),
        excluded: vec![endpoint_id(excluded, 1)],
    };
    for own in 0..10 {
        let placement = world.relay.place_prompt(world.now, &request(100 + own, "b")).unwrap();
        let step = Step::Answered(None);
        world.relay.on_progress(world.now, Progress { number: placement.number, step });
    }
    world.advance(ms(2000));
    for own in 0..backlog {
        world.relay.place_prompt(world.now, &request(200 + own, "b")).unwrap();
    }
    let next = PlacementRequest { excluded: Vec::new(), ..request(300, "b") };
    world.relay.place_prompt(world.now, &next).unwrap().engine.name
}

/// A prompt takes 30 ms to prefill at `a`, and 210 ms at `b`.
#[test]
fn a_prompt_does_not_stall_the_streams_of_the_engine_that_holds_its_parts() {
    assert_eq!(&*engine_chosen_beside_streams(2, Some(ms(100))), "a");
    assert_eq!(&*engine_chosen_beside_streams(4, Some(ms(100))), "b");
    assert_eq!(&*engine_chosen_beside_streams(4, None), "a");
}

/// A peer that is cut off from all engines reports calls that were not sent.
#[test]
fn a_peer_that_cannot_connect_keeps_no_engine_from_the_prompts_of_others() {
    for has_answered in [false, true] {
        let transfer = Some(Transfer { token_bytes: 160_000.0, rate: 32e6 });
        let engine = Engine { slots: 64, memory: 300_000, max_gap: None, transfer };
        let config = ConfigBuilder::new(1).engine_service("llm", engine);
        let mut world = World::new(config.build());
        world.put(entry("a", "llm"));
        let request = PlacementRequest {
            service: "llm".into(),
            region: None,
            prompt: prompt(1, 2),
            inputs: Vec::new(),
            excluded: Vec::new(),
        };
        let place = |world: &mut World| world.relay.place_prompt(world.now, &request).unwrap();
        let (unsent, other) = (place(&mut world), place(&mut world));
        world.advance(ms(50));
        if has_answered {
            let step = Step::Answered(None);
            world.relay.on_peer_progress(world.now, Progress { number: other.number, step });
        }
        let step = Step::Failed(Failure::Unsent);
        world.relay.on_peer_progress(world.now, Progress { number: unsent.number, step });
        let engine = world.relay.directory().all().next().unwrap();
        assert_eq!(engine.is_paused(world.now), !has_answered);
    }
}
