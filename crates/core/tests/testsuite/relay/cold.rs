//! Endpoints that are cold.

use std::{sync::Arc, time::Duration};

use peatdeck_core::relay::{
    config::{Engine, RequestKind},
    directory::{Change, Entry},
    model::{Arrival, Failure, Peer, PlacementRequest, ReplyHead},
    terms::Terms,
};

use crate::relay::fixture::{ConfigBuilder, World, arrival, entry, head, ms, prompt, route, stage};

/// Five calls a second.
const PACE: Duration = Duration::from_millis(200);

fn cold(name: &str, service: &str, left: Option<u64>) -> Entry {
    Entry { cold_left: left.map(ms), ..entry(name, service) }
}

/// An instance alone before engines that are cold for a while.
fn engines(names: &[&str], left: u64) -> World {
    let engine = Engine { slots: 64, memory: 3_000_000, max_gap: None, transfer: None };
    let config = ConfigBuilder::new(1).engine_service("llm", engine).cold_interval("llm", PACE);
    let mut world = World::new(config.route(route("r", RequestKind::Resumable, "llm")).build());
    for name in names {
        world.put(cold(name, "llm", Some(left)));
    }
    world
}

fn ask(world: &mut World, id: usize) {
    let prompt = Some(prompt(1, 1000 + id as u64));
    world.submit(Arrival { prompt, ..arrival(&id.to_string(), "r") });
}

/// The calls of a second in which a request comes each 20 ms.
fn calls_of_a_second(world: &mut World) -> Vec<(Duration, Arc<str>)> {
    let mut called = Vec::new();
    for idx in 0..50 {
        ask(world, idx);
        called.extend(world.calls().into_iter().map(|call| (world.now, call.endpoint)));
        world.advance(ms(20));
        called.extend(world.calls().into_iter().map(|call| (world.now, call.endpoint)));
    }
    called
}

#[test]
fn a_cold_engine_gets_its_pace_and_no_more() {
    let mut world = engines(&["a"], 5000);
    let called = calls_of_a_second(&mut world);
    assert!((5..=6).contains(&called.len()), "{called:?}");
    assert!(called.windows(2).all(|pair| pair[1].0 - pair[0].0 >= PACE), "{called:?}");
}

#[test]
fn what_a_cold_engine_does_not_bear_goes_to_a_warm_one() {
    let mut world = engines(&["a"], 5000);
    world.put(cold("b", "llm", Some(0)));
    let called = calls_of_a_second(&mut world);
    assert!(called.len() >= 50, "{}", called.len());
    let to_cold = called.iter().filter(|(_, name)| &**name == "a").count();
    assert!((5..=6).contains(&to_cold), "it is used as much as it bears: {to_cold}");
}

#[test]
fn an_engine_is_warm_once_its_time_is_over_or_it_says_so() {
    let mut world = engines(&["a"], 300);
    ask(&mut world, 1);
    ask(&mut world, 2);
    assert_eq!(world.calls().len(), 1);
    world.advance(ms(300));
    ask(&mut world, 3);
    assert_eq!(world.calls().len(), 2, "the one that waited, and the new one");
    let mut world = engines(&["a"], 60_000);
    ask(&mut world, 1);
    world.put(cold("a", "llm", Some(0)));
    world.advance(PACE);
    for id in 2..6 {
        ask(&mut world, id);
    }
    assert_eq!(world.calls().len(), 5);
}

#[test]
fn an_engine_may_become_cold_again() {
    let mut world = engines(&["a"], 0);
    world.put(cold("a", "llm", None));
    assert_eq!(calls_of_a_second(&mut world).len(), 50, "it says nothing");
    let entry = cold("a", "llm", Some(3000));
    let changed = world.relay.apply_change(world.now, Change::Put(entry.clone()));
    assert!(changed.is_newly_cold);
    assert!(calls_of_a_second(&mut world).len() <= 6);
    assert!(!world.relay.apply_change(world.now, Change::Put(entry)).is_newly_cold);
}

#[test]
fn a_reply_tells_that_its_endpoint_is_cold() {
    let mut world = engines(&["a"], 0);
    ask(&mut world, 1);
    let call = world.call();
    let terms = Terms { cold_left: Some(ms(2000)), ..Terms::default() };
    let told = ReplyHead { terms, ..head(200) };
    world.relay.on_reply_head(world.now, call.key, &told);
    assert!(calls_of_a_second(&mut world).len() <= 6);
}

/// A placer sends nothing to cold engines that another one has, and instances that
/// choose for themselves, since their placer is mute, send nothing to any.
#[test]
fn only_its_placer_has_a_cold_engine_called() {
    let names: Vec<_> = (0..80).map(|idx| format!("e{idx}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let placed_by = |own: &str, peer: &str| {
        let mut world = engines(&names, 5000);
        assert_eq!(own, "own");
        world.relay.set_peers(world.now, vec![Peer { name: peer.into(), millicores: 250 }], 2);
        let question = |shared| PlacementRequest {
            service: "llm".into(),
            prompt: prompt(shared, 2),
            inputs: Vec::new(),
            excluded: Vec::new(),
        };
        let placed = (0..200).filter_map(|shared| {
            let placement = world.relay.place_prompt(world.now, &question(shared))?;
            Some(placement.engine.name.to_string())
        });
        let mut placed: Vec<_> = placed.collect();
        placed.sort_unstable();
        placed
    };
    let placed = placed_by("own", "peer");
    // Each share has forty engines, each of which is called once.
    let mut distinct = placed.clone();
    distinct.dedup();
    assert_eq!((placed.len(), distinct.len()), (80, 80));

    let mut world = engines(&["a"], 5000);
    let peer = Peer { name: "peer".into(), millicores: 500 };
    world.relay.set_peers(world.now, vec![peer], 2);
    world.relay.on_placer_failure(world.now, &"peer".into());
    ask(&mut world, 1);
    world.advance(ms(100));
    assert!(world.calls().is_empty());
}

/// Endpoints that all instances call for themselves.
#[test]
fn few_instances_call_a_cold_plain_endpoint() {
    let called = |instances: usize| {
        let mut sum = 0;
        for own in 0..instances {
            let config = ConfigBuilder::new(1).service("desk").cold_interval("desk", PACE);
            let config = config.route(route("r", RequestKind::Idempotent, "desk")).build();
            let mut world = World::named(config, &format!("i{own}"));
            world.put(cold("a", "desk", Some(60_000)));
            let others = (0..instances).filter(|idx| *idx != own);
            let peers = others.map(|idx| Peer { name: format!("i{idx}").into(), millicores: 250 });
            world.relay.set_peers(world.now, peers.collect(), instances);
            for idx in 0..50 {
                world.submit(arrival(&idx.to_string(), "r"));
                world.advance(ms(20));
            }
            sum += world.calls().len();
        }
        sum
    };
    // Five a second are borne, and five and a half of these besides.
    for instances in [1, 2, 6, 86] {
        let sum = called(instances);
        assert!((5..=8).contains(&sum), "{instances} instances: {sum}");
    }
}

#[test]
fn a_cold_maker_gets_its_pace() {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = vec![stage("maker", &[], 1000)];
    let config = ConfigBuilder::new(1).service("desk").piece_service("maker", 1 << 20);
    let config = config.cold_interval("maker", ms(500)).route(staged).build();
    let mut world = World::new(config);
    world.put(entry("a", "desk"));
    world.put(cold("m", "maker", Some(5000)));
    let mut started = Vec::new();
    for idx in 0..100 {
        world.submit(Arrival { pieces: vec![1], ..arrival(&idx.to_string(), "r") });
        for batch in world.batches() {
            started.push(world.now);
            world.complete(&batch);
        }
        world.advance(ms(20));
    }
    assert!(started.len() >= 4, "{started:?}");
    assert!(started.windows(2).all(|pair| pair[1] - pair[0] >= ms(500)), "{started:?}");
}

/// It rests for as long after a refusal, which alone would be a shorter pause.
#[test]
fn a_cold_maker_that_refuses_rests_as_long() {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = vec![stage("maker", &[], 1000)];
    let config = ConfigBuilder::new(1).service("desk").piece_service("maker", 1 << 20);
    let mut world = World::new(config.cold_interval("maker", ms(500)).route(staged).build());
    world.put(entry("a", "desk"));
    world.put(cold("m", "maker", Some(5000)));
    world.submit(Arrival { pieces: vec![1], ..arrival("1", "r") });
    let batch = world.batches().remove(0);
    world.relay.on_pieces_failure(world.now, batch.call, Failure::Unsent, true);
    world.collect();
    world.advance(ms(499));
    assert!(world.batches().is_empty());
    world.advance(ms(1));
    assert_eq!(world.batches().len(), 1);
}
