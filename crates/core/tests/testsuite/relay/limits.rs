//! Endpoints that name a limit: which words count, and who calls them meanwhile.

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::{Engine, RequestKind, Transfer},
        directory::Entry,
        model::{Action, Arrival, Call, EndpointId, Peer, ReplyHead},
        terms::{Notice, Rate, Terms},
    },
};

use crate::relay::fixture::{
    ConfigBuilder, World, arrival, entry, head, ms, not_run, prompt, route, stage,
};

fn naming(limit: f64, head: ReplyHead) -> ReplyHead {
    let limit = Rate::per_second(limit);
    ReplyHead { terms: Terms { limit, ..Terms::default() }, ..head }
}

/// An instance alone before one plain endpoint.
fn alone() -> World {
    let config =
        ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Idempotent, "desk"));
    let mut world = World::new(config.build());
    world.put(entry("a", "desk"));
    world
}

fn answer(world: &mut World, call: &Call, head: &ReplyHead) {
    world.relay.on_reply_head(world.now, call.key, head);
    world.reply(call.key, head);
}

/// Asks once each 20 ms for a while; each call is answered like that at once.
fn calls_in(world: &mut World, span: u64, head: &ReplyHead) -> usize {
    let mut count = 0;
    for idx in 0..span / 20 {
        world.submit(arrival(&format!("{}-{idx}", world.now.as_millis()), "r"));
        for call in world.calls() {
            count += 1;
            answer(world, &call, head);
        }
        world.advance(ms(20));
    }
    count
}

/// Whatever the status, the word counts, and the newest one.
#[test]
fn every_reply_names_or_ends_a_limit() {
    let refusals = [head(200), head(404), head(500), not_run(503), not_run(429), not_run(400)];
    for refusal in refusals {
        let mut world = alone();
        world.submit(arrival("1", "r"));
        let call = world.call();
        answer(&mut world, &call, &naming(2.0, refusal.clone()));
        world.actions.clear();
        let calls = calls_in(&mut world, 2000, &naming(2.0, head(200)));
        assert!((3..=4).contains(&calls), "{calls} after {refusal:?}");
    }
}

#[test]
fn a_limit_changes_and_ends() {
    let mut world = alone();
    assert_eq!(calls_in(&mut world, 1000, &head(200)), 50);
    calls_in(&mut world, 200, &naming(10.0, head(200)));
    let calls = calls_in(&mut world, 2000, &naming(10.0, head(200)));
    assert!((18..=21).contains(&calls), "{calls} of twenty");
    calls_in(&mut world, 200, &naming(0.5, head(200)));
    let calls = calls_in(&mut world, 8000, &naming(0.5, head(200)));
    assert!((3..=5).contains(&calls), "{calls} of four");
    calls_in(&mut world, 2000, &head(200));
    assert_eq!(calls_in(&mut world, 1000, &head(200)), 50);
}

/// Only a call shows that a limit of none is over.
#[test]
fn an_endpoint_that_takes_nothing_is_asked_now_and_then() {
    for limit in [0.0, 1e-9] {
        let mut world = alone();
        calls_in(&mut world, 20, &naming(limit, head(200)));
        let calls = calls_in(&mut world, 120_000, &naming(limit, head(200)));
        assert!((3..=5).contains(&calls), "{calls} in two minutes");
    }
    let mut world = alone();
    assert_eq!(calls_in(&mut world, 1000, &naming(f64::INFINITY, head(200))), 50);
}

/// It restarts under its name, and an old notice still goes around.
#[test]
fn a_limit_is_one_life_s() {
    let mut world = alone();
    calls_in(&mut world, 100, &naming(0.0, head(200)));
    assert_eq!(calls_in(&mut world, 1000, &naming(0.0, head(200))), 0);
    world.put(Entry { incarnation: Incarnation(2), ..entry("a", "desk") });
    world.calls();
    let life = EndpointId { name: "a".into(), incarnation: Incarnation(1) };
    let limit = Rate::per_second(0.0);
    let notice = Notice { endpoint: life, limit, is_leaving: false, age: ms(0) };
    world.relay.on_peer_notices(world.now, &"peer".into(), &[notice]);
    assert_eq!(calls_in(&mut world, 1000, &head(200)), 50);
}

/// Another endpoint has its address now: what that one says is not of this one.
#[test]
fn a_misdirected_call_teaches_no_limit() {
    let mut world = alone();
    world.put(entry("b", "desk"));
    world.submit(arrival("1", "r"));
    let call = world.call();
    answer(&mut world, &call, &naming(0.0, not_run(421)));
    let told = world.take(|action| matches!(action, Action::EndpointLimit { .. }).then_some(()));
    assert!(told.is_empty());
}

/// The caller goes while its call is answered: the head still counts.
#[test]
fn the_head_of_a_reply_that_breaks_off_counts() {
    let mut world = alone();
    world.submit(arrival("1", "r"));
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &naming(0.0, head(200)));
    world.fail(call.key, peatdeck_core::relay::model::Failure::Cut);
    world.calls();
    assert_eq!(calls_in(&mut world, 1000, &naming(0.0, head(200))), 0);
}

/// Peers' words: the newest counts, whatever order they come in.
#[test]
fn an_older_notice_changes_nothing() {
    let mut world = alone();
    world.advance(ms(10_000));
    let life = EndpointId { name: "a".into(), incarnation: Incarnation(1) };
    let notice =
        |limit, age| Notice { endpoint: life.clone(), limit, is_leaving: false, age: ms(age) };
    let told = [notice(Rate::per_second(0.0), 1000), notice(None, 3000)];
    world.relay.on_peer_notices(world.now, &"peer".into(), &told);
    assert_eq!(calls_in(&mut world, 1000, &head(200)), 0);
    world.relay.on_peer_notices(world.now, &"peer".into(), &[notice(None, 500)]);
    // Those that were waiting come besides.
    assert!(calls_in(&mut world, 1000, &head(200)) >= 50);
}

#[test]
fn an_endpoint_that_makes_pieces_gets_its_limit() {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = vec![stage("maker", &[], 1000)];
    let config = ConfigBuilder::new(1).service("desk").piece_service("maker", 1 << 20);
    let mut world = World::new(config.route(staged).build());
    world.put(entry("a", "desk"));
    world.put(entry("m", "maker"));
    let mut started = Vec::new();
    let told = naming(2.0, head(200));
    for idx in 0..200 {
        world.submit(Arrival { pieces: vec![1], ..arrival(&idx.to_string(), "r") });
        for batch in world.batches() {
            started.push(world.now);
            world.relay.on_reply_terms(world.now, batch.call, &told);
            world.complete(&batch);
        }
        world.advance(ms(20));
    }
    assert!((7..=10).contains(&started.len()), "{started:?}");
}

/// Instances before two plain endpoints, the quicker of which names a limit.
struct Group {
    worlds: Vec<World>,
    limit: f64,
    told: Vec<Option<Duration>>,
    from_told: Vec<Duration>,
    all: Vec<Duration>,
    answered: usize,
}

impl Group {
    fn new(instances: usize, limit: f64) -> Group {
        let world = |own: usize| {
            let config = ConfigBuilder::new(1).service("desk");
            let config = config.route(route("r", RequestKind::Idempotent, "desk")).build();
            let mut world = World::named(config, &format!("i{own}"));
            world.put(entry("limited", "desk"));
            world.put(entry("free", "desk"));
            let others = (0..instances).filter(|idx| *idx != own);
            let peers = others.map(|idx| Peer { name: format!("i{idx}").into(), millicores: 250 });
            world.relay.set_peers(world.now, peers.collect(), instances);
            world
        };
        Group {
            worlds: (0..instances).map(world).collect(),
            limit,
            told: vec![None; instances],
            from_told: Vec::new(),
            all: Vec::new(),
            answered: 0,
        }
    }

    /// Plays for ten seconds; each instance is asked every `pause`.
    fn play(&mut self, pause: u64) {
        let mut open: Vec<Vec<Call>> = vec![Vec::new(); self.worlds.len()];
        for step in 0..500_u64 {
            let now = ms(step * 20);
            for (idx, open) in open.iter_mut().enumerate() {
                for call in std::mem::take(open) {
                    self.answer(idx, &call);
                }
                let world = &mut self.worlds[idx];
                world.advance(ms(20));
                if (step + idx as u64).is_multiple_of(pause / 20) {
                    world.submit(arrival(&step.to_string(), "r"));
                }
                open.extend(world.calls());
                for call in open.iter().filter(|call| &*call.endpoint == "limited") {
                    assert!(call.attempt <= 2);
                    self.all.push(now);
                    let is_told = self.told[idx].is_some_and(|at| now >= at + ms(500));
                    self.from_told.extend(is_told.then_some(now));
                }
            }
            if step.is_multiple_of(20) {
                self.gossip(step);
            }
        }
    }

    fn answer(&mut self, idx: usize, call: &Call) {
        let world = &mut self.worlds[idx];
        let is_limited = &*call.endpoint == "limited";
        let told = if is_limited { naming(self.limit, head(200)) } else { head(200) };
        if is_limited {
            self.told[idx].get_or_insert(world.now);
        }
        answer(world, call, &told);
        self.answered += 1;
    }

    /// Each tells one other.
    fn gossip(&mut self, step: u64) {
        let count = self.worlds.len();
        for idx in 0..count {
            let now = self.worlds[idx].now;
            let notices = self.worlds[idx].relay.peer_notices(now);
            let other = (idx + 1 + (step / 20 * 31 + idx as u64 * 7) as usize) % count;
            let from = Arc::from(format!("i{idx}"));
            self.worlds[other].relay.on_peer_notices(now, &from, &notices);
        }
    }

    /// The most calls of told instances in four seconds.
    fn most(&self) -> usize {
        let within = |start: &Duration| {
            self.from_told.iter().filter(|at| **at >= *start && **at < *start + ms(4000)).count()
        };
        self.from_told.iter().map(within).max().unwrap_or_default()
    }
}

/// Endpoints that all instances call for themselves.
#[test]
fn instances_share_the_limit_of_a_plain_endpoint() {
    for (instances, pause) in [(1, 20), (2, 20), (8, 40), (86, 400), (295, 1000)] {
        for limit in [0.0, 0.5, 1.0, 4.0, 20.0] {
            let mut group = Group::new(instances, limit);
            group.play(pause);
            let (most, allowed) = (group.most(), (1.5 * limit * 4.0 + 5.0) as usize);
            assert!(most <= allowed, "{instances} instances, {limit}: {most} of {allowed}");
            let asked = instances * (10_000 / pause as usize);
            assert!(
                group.answered * 100 > asked * 95,
                "{instances}: {} of {asked}",
                group.answered
            );
        }
    }
}

/// An instance that stops leaves the endpoint to its peers.
#[test]
fn an_instance_that_stops_calls_no_limited_endpoint() {
    let mut group = Group::new(2, 1.0);
    group.play(40);
    let before = group.all.len();
    for world in &mut group.worlds {
        world.relay.stop_batching();
    }
    group.play(40);
    assert_eq!(group.all.len(), before);
}

/// A question which parts an engine holds is a call as well.
#[test]
fn an_engine_in_need_is_not_asked_for_its_parts() {
    let transfer = Some(Transfer { token_bytes: 160_000.0, rate: 32e6 });
    let engine = Engine { slots: 64, memory: 3_000_000, max_gap: None, transfer };
    let config = ConfigBuilder::new(1).engine_service("llm", engine);
    let mut world = World::new(config.route(route("r", RequestKind::Resumable, "llm")).build());
    for name in ["a", "b"] {
        world.put(entry(name, "llm"));
    }
    let life = EndpointId { name: "a".into(), incarnation: Incarnation(1) };
    let limit = Rate::per_second(1.0);
    let notice = Notice { endpoint: life, limit, is_leaving: false, age: ms(0) };
    world.relay.on_peer_notices(world.now, &"peer".into(), &[notice]);
    world.submit(Arrival { prompt: Some(prompt(1, 2)), ..arrival("1", "r") });
    let asked = world.take(|action| match action {
        Action::ListParts { addr, .. } => Some(addr.to_string()),
        _ => None,
    });
    assert_eq!(asked, ["b:80"]);
}
