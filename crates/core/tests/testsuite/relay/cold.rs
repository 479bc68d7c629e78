//! Cold endpoints get calls at a limited rate.

use std::{sync::Arc, time::Duration};

use peatdeck_core::relay::{
    config::{Engine, RequestKind},
    directory::{Change, Entry},
    model::{Arrival, Failure, Peer, PlacementRequest, ReplyHead},
    terms::Terms,
};

use crate::relay::fixture::{ConfigBuilder, World, arrival, entry, head, ms, prompt, route, stage};

/// Five calls a second.
const COLD_INTERVAL: Duration = Duration::from_millis(200);

fn cold_entry(name: &str, service: &str, left: Option<u64>) -> Entry {
    Entry { cold_left: left.map(ms), ..entry(name, service) }
}

/// A single instance and engines that stay cold for `left` milliseconds.
fn engines(names: &[&str], left: u64) -> World {
    let engine = Engine { slots: 64, memory: 3_000_000, max_gap: None, transfer: None };
    let config =
        ConfigBuilder::new(1).engine_service("llm", engine).cold_interval("llm", COLD_INTERVAL);
    let mut world = World::new(config.route(route("r", RequestKind::Resumable, "llm")).build());
    for name in names {
        world.put(cold_entry(name, "llm", Some(left)));
    }
    world
}

fn submit_prompt(world: &mut World, id: usize) {
    let prompt = Some(prompt(1, 1000 + id as u64));
    world.submit(Arrival { prompt, ..arrival(&id.to_string(), "r") });
}

/// Submits a request each 20 ms for a second and returns the calls with their times.
fn calls_in_one_second(world: &mut World) -> Vec<(Duration, Arc<str>)> {
    let mut sent = Vec::new();
    for idx in 0..50 {
        submit_prompt(world, idx);
        sent.extend(world.calls().into_iter().map(|call| (world.now, call.endpoint)));
        world.advance(ms(20));
        sent.extend(world.calls().into_iter().map(|call| (world.now, call.endpoint)));
    }
    sent
}

#[test]
fn a_cold_engine_gets_one_call_per_interval() {
    let mut world = engines(&["a"], 5000);
    let sent = calls_in_one_second(&mut world);
    assert!((5..=6).contains(&sent.len()), "{sent:?}");
    assert!(sent.windows(2).all(|pair| pair[1].0 - pair[0].0 >= COLD_INTERVAL), "{sent:?}");
}

#[test]
fn calls_beyond_the_limit_of_a_cold_engine_go_to_a_warm_one() {
    let mut world = engines(&["a"], 5000);
    world.put(cold_entry("b", "llm", Some(0)));
    let sent = calls_in_one_second(&mut world);
    assert!(sent.len() >= 50, "{}", sent.len());
    let to_cold = sent.iter().filter(|(_, name)| &**name == "a").count();
    assert!((5..=6).contains(&to_cold), "it is used up to its limit: {to_cold}");
}

#[test]
fn an_engine_is_warm_after_its_time_or_its_own_report() {
    let mut world = engines(&["a"], 300);
    submit_prompt(&mut world, 1);
    submit_prompt(&mut world, 2);
    assert_eq!(world.calls().len(), 1);
    world.advance(ms(300));
    submit_prompt(&mut world, 3);
    assert_eq!(world.calls().len(), 2, "the queued one and the new one");
    let mut world = engines(&["a"], 60_000);
    submit_prompt(&mut world, 1);
    world.put(cold_entry("a", "llm", Some(0)));
    world.advance(COLD_INTERVAL);
    for id in 2..6 {
        submit_prompt(&mut world, id);
    }
    assert_eq!(world.calls().len(), 5);
}

#[test]
fn an_engine_may_become_cold_again() {
    let mut world = engines(&["a"], 0);
    world.put(cold_entry("a", "llm", None));
    assert_eq!(calls_in_one_second(&mut world).len(), 50, "it does not report that it is cold");
    let entry = cold_entry("a", "llm", Some(3000));
    let changed = world.relay.apply_change(world.now, Change::Put(entry.clone()));
    assert!(changed.is_newly_cold);
    assert!(calls_in_one_second(&mut world).len() <= 6);
    assert!(!world.relay.apply_change(world.now, Change::Put(entry)).is_newly_cold);
}

#[test]
fn a_reply_reports_that_its_endpoint_is_cold() {
    let mut world = engines(&["a"], 0);
    submit_prompt(&mut world, 1);
    let call = world.call();
    let terms = Terms { cold_left: Some(ms(2000)), ..Terms::default() };
    let reply = ReplyHead { terms, ..head(200) };
    world.relay.on_reply_head(world.now, call.key, &reply);
    assert!(calls_in_one_second(&mut world).len() <= 6);
}

/// A placer sends nothing to cold engines of another placer, and instances that choose engines
/// themselves because their placer is unresponsive send nothing to any cold engine.
#[test]
fn only_the_placer_of_a_cold_engine_sends_calls_to_it() {
    let names: Vec<_> = (0..80).map(|idx| format!("e{idx}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let placed_by = |own: &str, peer: &str| {
        let mut world = engines(&names, 5000);
        assert_eq!(own, "own");
        world.relay.set_peers(
            world.now,
            vec![Peer { name: peer.into(), millicores: 250, data_centre: "east".into() }],
            2,
        );
        let request = |shared| PlacementRequest {
            service: "llm".into(),
            prompt: prompt(shared, 2),
            inputs: Vec::new(),
            excluded: Vec::new(),
            region: None,
        };
        let placed = (0..200).filter_map(|shared| {
            let placement = world.relay.place_prompt(world.now, &request(shared))?;
            Some(placement.engine.name.to_string())
        });
        let mut placed: Vec<_> = placed.collect();
        placed.sort_unstable();
        placed
    };
    let placed = placed_by("own", "peer");
    // The engines form two shares of forty, and each engine is called once.
    let mut distinct = placed.clone();
    distinct.dedup();
    assert_eq!((placed.len(), distinct.len()), (80, 80));

    let mut world = engines(&["a"], 5000);
    let peer = Peer { name: "peer".into(), millicores: 500, data_centre: "east".into() };
    world.relay.set_peers(world.now, vec![peer], 2);
    world.relay.on_placer_failure(world.now, &"peer".into());
    submit_prompt(&mut world, 1);
    world.advance(ms(100));
    assert!(world.calls().is_empty());
}

/// All instances choose such endpoints independently, so few of them may call one while it is cold.
#[test]
fn few_instances_call_a_cold_endpoint_without_a_placer() {
    let sent = |instances: usize| {
        let mut sum = 0;
        for own in 0..instances {
            let config = ConfigBuilder::new(1).service("desk").cold_interval("desk", COLD_INTERVAL);
            let config = config.route(route("r", RequestKind::Idempotent, "desk")).build();
            let mut world = World::named(config, &format!("i{own}"));
            world.put(cold_entry("a", "desk", Some(60_000)));
            let others = (0..instances).filter(|idx| *idx != own);
            let peers = others.map(|idx| Peer {
                name: format!("i{idx}").into(),
                millicores: 250,
                data_centre: "east".into(),
            });
            world.relay.set_peers(world.now, peers.collect(), instances);
            for idx in 0..50 {
                world.submit(arrival(&idx.to_string(), "r"));
                world.advance(ms(20));
            }
            sum += world.calls().len();
        }
        sum
    };
    // Five calls a second are allowed, and half as many besides.
    for instances in [1, 2, 6, 86] {
        let sum = sent(instances);
        assert!((5..=8).contains(&sum), "{instances} instances: {sum}");
    }
}

#[test]
fn a_cold_piece_endpoint_gets_one_call_per_interval() {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = vec![stage("maker", &[], 1000)];
    let config = ConfigBuilder::new(1).service("desk").piece_service("maker", 1 << 20);
    let config = config.cold_interval("maker", ms(500)).route(staged).build();
    let mut world = World::new(config);
    world.put(entry("a", "desk"));
    world.put(cold_entry("m", "maker", Some(5000)));
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

/// A refusal alone would pause it for a shorter time.
#[test]
fn a_cold_piece_endpoint_that_refuses_is_paused_for_the_interval() {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = vec![stage("maker", &[], 1000)];
    let config = ConfigBuilder::new(1).service("desk").piece_service("maker", 1 << 20);
    let mut world = World::new(config.cold_interval("maker", ms(500)).route(staged).build());
    world.put(entry("a", "desk"));
    world.put(cold_entry("m", "maker", Some(5000)));
    world.submit(Arrival { pieces: vec![1], ..arrival("1", "r") });
    let batch = world.batches().remove(0);
    world.relay.on_pieces_failure(world.now, batch.call, Failure::Unsent, true);
    world.collect();
    world.advance(ms(499));
    assert!(world.batches().is_empty());
    world.advance(ms(1));
    assert_eq!(world.batches().len(), 1);
}
