//! One instance chooses engines for all.

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::{Engine, RequestKind, Transfer},
        directory::{Change, Entry},
        model::{
            Action, Arrival, EndpointId, ExchangeKey, HeldParts, Peer, Placement, PlacementRequest,
            Progress, Step,
        },
    },
};

use crate::relay::fixture::{ConfigBuilder, World, arrival, entry, ms, prompt, route};

/// An instance whose only peer is stronger, so that the peer is the placer.
fn beside_a_placer() -> World {
    let transfer = Some(Transfer { token_bytes: 160_000.0, rate: 32e6 });
    let engine = Engine { slots: 64, memory: 300_000, max_gap: None, transfer };
    let config = ConfigBuilder::new(1).engine_service("llm", engine);
    let mut world = World::new(config.route(route("r", RequestKind::Resumable, "llm")).build());
    for name in ["a", "b"] {
        world.put(entry(name, "llm"));
    }
    let peer = Peer { name: "peer".into(), millicores: 500 };
    world.relay.set_peers(world.now, vec![peer], 2);
    world
}

fn life(name: &str, incarnation: u64) -> EndpointId {
    EndpointId { name: name.into(), incarnation: Incarnation(incarnation) }
}

fn asking(id: &str) -> Arrival {
    Arrival { prompt: Some(prompt(1, 2)), ..arrival(id, "r") }
}

fn questions(world: &mut World) -> Vec<(ExchangeKey, PlacementRequest)> {
    world.take(|action| match action {
        Action::RequestPlacement { exchange, request: question, .. } => {
            Some((*exchange, question.clone()))
        }
        _ => None,
    })
}

fn answer(world: &mut World, key: ExchangeKey, endpoint: &str) {
    let source = Some("b:80".into());
    let engine = life(endpoint, 1);
    let placement = Placement { engine, source, tokens: 1000, wait: ms(5), number: 77 };
    world.relay.on_placement(world.now, key, &"peer".into(), Some(placement));
    world.collect();
}

#[test]
fn a_call_goes_where_the_placer_says() {
    let mut world = beside_a_placer();
    world.submit(asking("1"));
    assert!(world.calls().is_empty(), "it waits for the answer");
    let (key, question) = questions(&mut world).remove(0);
    assert_eq!((&*question.service, question.prompt), ("llm", prompt(1, 2)));
    answer(&mut world, key, "a");
    let call = world.call();
    assert_eq!((&*call.endpoint, call.source.as_deref()), ("a", Some("b:80")));
    answer(&mut world, key, "a");
    assert!(world.calls().is_empty(), "a second answer is passed over");
}

#[test]
fn an_engine_that_leaves_is_not_called_whatever_the_placer_says() {
    let mut world = beside_a_placer();
    world.submit(asking("1"));
    let (key, _) = questions(&mut world).remove(0);
    let leaving = Entry { is_leaving: true, ..entry("a", "llm") };
    world.relay.apply_change(world.now, Change::Put(leaving));
    answer(&mut world, key, "a");
    assert_eq!(&*world.call().endpoint, "b");
}

#[test]
fn without_an_answer_an_instance_chooses_alone_for_a_while() {
    let mut world = beside_a_placer();
    world.submit(asking("1"));
    let (key, _) = questions(&mut world).remove(0);
    world.relay.on_placer_failure(world.now, &"peer".into());
    world.relay.on_placement(world.now, key, &"peer".into(), None);
    world.collect();
    assert_eq!(world.calls().len(), 1);
    world.submit(asking("2"));
    assert!(questions(&mut world).is_empty());
    assert_eq!(world.calls().len(), 1);
    world.advance(ms(2000));
    world.submit(asking("3"));
    assert_eq!(questions(&mut world).len(), 1);
}

#[test]
fn a_request_whose_time_is_over_before_the_answer_is_refused() {
    let mut world = beside_a_placer();
    world.submit(asking("1"));
    let (key, _) = questions(&mut world).remove(0);
    world.advance(ms(2000));
    assert_eq!(world.refusals().len(), 1);
    answer(&mut world, key, "a");
    assert!(world.calls().is_empty());
}

#[test]
fn a_placer_does_not_choose_what_the_asker_avoids() {
    let mut world = beside_a_placer();
    world.relay.set_peers(world.now, Vec::new(), 1);
    let question = PlacementRequest {
        service: "llm".into(),
        prompt: prompt(1, 2),
        inputs: Vec::new(),
        excluded: vec![life("a", 1)],
    };
    for _ in 0..3 {
        assert_eq!(&*world.relay.place_prompt(world.now, &question).unwrap().engine.name, "b");
    }
    let none = PlacementRequest { excluded: vec![life("a", 1), life("b", 1)], ..question };
    assert_eq!(world.relay.place_prompt(world.now, &none), None);
}

#[test]
fn a_placer_asks_each_engine_once_what_it_holds() {
    let mut world = beside_a_placer();
    world.relay.set_peers(world.now, Vec::new(), 1);
    let listed = |world: &mut World| {
        let asked = world.take(|action| match action {
            Action::ListParts { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        asked.len()
    };
    world.submit(asking("1"));
    world.submit(asking("2"));
    assert_eq!(listed(&mut world), 2);
    world.put(entry("c", "llm"));
    world.submit(asking("3"));
    assert_eq!(listed(&mut world), 1);
}

/// Engines and their peers hear of a new start at different times.
#[test]
fn a_placer_and_its_asker_mean_the_same_life_of_an_engine() {
    let mut world = beside_a_placer();
    world.put(Entry { incarnation: Incarnation(2), ..entry("a", "llm") });
    world.submit(asking("1"));
    let (key, question) = questions(&mut world).remove(0);
    assert!(question.excluded.is_empty());
    answer(&mut world, key, "a");
    let call = world.call();
    assert_eq!(call.source, None, "the placer's word of an earlier life does not count");
    world.relay.set_peers(world.now, Vec::new(), 1);
    let question = PlacementRequest {
        service: "llm".into(),
        prompt: prompt(1, 2),
        inputs: Vec::new(),
        excluded: vec![life("a", 1), life("b", 1)],
    };
    let placement = world.relay.place_prompt(world.now, &question).unwrap();
    assert_eq!(placement.engine, life("a", 2), "what failed is over");
}

#[test]
fn parts_that_another_life_of_an_engine_holds_are_passed_over() {
    let tokens = |told: u64| {
        let mut world = beside_a_placer();
        world.relay.set_peers(world.now, Vec::new(), 1);
        let engine = world.relay.directory().by_name("a").unwrap();
        let listed = HeldParts { incarnation: Some(Incarnation(told)), parts: vec![1] };
        world.relay.on_parts_listed(world.now, engine, &listed);
        let question = PlacementRequest {
            service: "llm".into(),
            prompt: prompt(1, 2),
            inputs: Vec::new(),
            excluded: vec![life("b", 1)],
        };
        world.relay.place_prompt(world.now, &question).unwrap().tokens
    };
    assert_eq!((tokens(2), tokens(1)), (7000, 1000));
}

/// A placer of two engines, of which `a` streams to ten callers and has so much
/// to read besides, and where the next prompt goes that `a` has read before.
fn placed_beside_streams(backlog: u64, pause: Option<Duration>) -> Arc<str> {
    let engine = Engine { slots: 64, memory: 900_000, max_gap: pause, transfer: None };
    let config = ConfigBuilder::new(1).engine_service("llm", engine);
    let mut world = World::new(config.route(route("r", RequestKind::Resumable, "llm")).build());
    for name in ["a", "b"] {
        world.put(entry(name, "llm"));
    }
    let question = |own: u64, avoided: &str| PlacementRequest {
        service: "llm".into(),
        prompt: prompt(1, own),
        inputs: Vec::new(),
        excluded: vec![life(avoided, 1)],
    };
    for own in 0..10 {
        let placement = world.relay.place_prompt(world.now, &question(100 + own, "b")).unwrap();
        let step = Step::Answered(None);
        world.relay.on_progress(world.now, Progress { number: placement.number, step });
    }
    world.advance(ms(2000));
    for own in 0..backlog {
        world.relay.place_prompt(world.now, &question(200 + own, "b")).unwrap();
    }
    let next = PlacementRequest { excluded: Vec::new(), ..question(300, "b") };
    world.relay.place_prompt(world.now, &next).unwrap().engine.name
}

/// Each prompt takes 30 ms to read at `a`, and 210 ms at `b`.
#[test]
fn a_prompt_does_not_halt_the_streams_that_run_where_its_parts_are() {
    assert_eq!(&*placed_beside_streams(2, Some(ms(100))), "a");
    assert_eq!(&*placed_beside_streams(4, Some(ms(100))), "b");
    assert_eq!(&*placed_beside_streams(4, None), "a");
}
