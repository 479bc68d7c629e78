//! Endpoints that state a limit: which reports count, and which instances call them.

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

fn with_limit(limit: f64, head: ReplyHead) -> ReplyHead {
    let limit = Rate::per_second(limit);
    ReplyHead { terms: Terms { limit, ..Terms::default() }, ..head }
}

/// A single instance and one endpoint.
fn single_instance() -> World {
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

/// Submits a request each 20 ms for `span` milliseconds, answers each call at once with `head`, and
/// returns the number of calls.
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

/// The newest reply counts, whatever its status.
#[test]
fn every_reply_sets_or_clears_the_limit() {
    let refusals = [head(200), head(404), head(500), not_run(503), not_run(429), not_run(400)];
    for refusal in refusals {
        let mut world = single_instance();
        world.submit(arrival("1", "r"));
        let call = world.call();
        answer(&mut world, &call, &with_limit(2.0, refusal.clone()));
        world.actions.clear();
        let calls = calls_in(&mut world, 2000, &with_limit(2.0, head(200)));
        assert!((3..=4).contains(&calls), "{calls} after {refusal:?}");
    }
}

#[test]
fn a_limit_can_change_and_end() {
    let mut world = single_instance();
    assert_eq!(calls_in(&mut world, 1000, &head(200)), 50);
    calls_in(&mut world, 200, &with_limit(10.0, head(200)));
    let calls = calls_in(&mut world, 2000, &with_limit(10.0, head(200)));
    assert!((18..=21).contains(&calls), "{calls} of twenty");
    calls_in(&mut world, 200, &with_limit(0.5, head(200)));
    let calls = calls_in(&mut world, 8000, &with_limit(0.5, head(200)));
    assert!((3..=5).contains(&calls), "{calls} of four");
    calls_in(&mut world, 2000, &head(200));
    assert_eq!(calls_in(&mut world, 1000, &head(200)), 50);
}

/// Only the reply to a call can show that a limit of zero has ended.
#[test]
fn an_endpoint_with_a_limit_of_zero_gets_occasional_calls() {
    for limit in [0.0, 1e-9] {
        let mut world = single_instance();
        calls_in(&mut world, 20, &with_limit(limit, head(200)));
        let calls = calls_in(&mut world, 120_000, &with_limit(limit, head(200)));
        assert!((3..=5).contains(&calls), "{calls} in two minutes");
    }
    let mut world = single_instance();
    assert_eq!(calls_in(&mut world, 1000, &with_limit(f64::INFINITY, head(200))), 50);
}

/// After the endpoint restarts, a notice on its previous incarnation still circulates.
#[test]
fn a_limit_belongs_to_one_incarnation() {
    let mut world = single_instance();
    calls_in(&mut world, 100, &with_limit(0.0, head(200)));
    assert_eq!(calls_in(&mut world, 1000, &with_limit(0.0, head(200))), 0);
    world.put(Entry { incarnation: Incarnation(2), ..entry("a", "desk") });
    world.calls();
    let id = EndpointId { name: "a".into(), incarnation: Incarnation(1) };
    let limit = Rate::per_second(0.0);
    let notice = Notice { endpoint: id, limit, is_leaving: false, age: ms(0) };
    world.relay.on_peer_notices(world.now, &"peer".into(), &[notice]);
    assert_eq!(calls_in(&mut world, 1000, &head(200)), 50);
}

/// Another endpoint has the address now, and its terms do not apply to this one.
#[test]
fn a_misdirected_call_sets_no_limit() {
    let mut world = single_instance();
    world.put(entry("b", "desk"));
    world.submit(arrival("1", "r"));
    let call = world.call();
    answer(&mut world, &call, &with_limit(0.0, not_run(421)));
    let reports = world.take(|action| matches!(action, Action::EndpointLimit { .. }).then_some(()));
    assert!(reports.is_empty());
}

/// The connection breaks after the head; the limit in the head still counts.
#[test]
fn the_head_of_an_interrupted_reply_counts() {
    let mut world = single_instance();
    world.submit(arrival("1", "r"));
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &with_limit(0.0, head(200)));
    world.fail(call.key, peatdeck_core::relay::model::Failure::Cut);
    world.calls();
    assert_eq!(calls_in(&mut world, 1000, &with_limit(0.0, head(200))), 0);
}

/// The newest of the peers' notices counts, whatever order they arrive in.
#[test]
fn an_older_notice_changes_nothing() {
    let mut world = single_instance();
    world.advance(ms(10_000));
    let id = EndpointId { name: "a".into(), incarnation: Incarnation(1) };
    let notice =
        |limit, age| Notice { endpoint: id.clone(), limit, is_leaving: false, age: ms(age) };
    let notices = [notice(Rate::per_second(0.0), 1000), notice(None, 3000)];
    world.relay.on_peer_notices(world.now, &"peer".into(), &notices);
    assert_eq!(calls_in(&mut world, 1000, &head(200)), 0);
    world.relay.on_peer_notices(world.now, &"peer".into(), &[notice(None, 500)]);
    // The requests that were waiting are sent as well.
    assert!(calls_in(&mut world, 1000, &head(200)) >= 50);
}

#[test]
fn a_piece_endpoint_is_called_at_its_limit() {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = vec![stage("maker", &[], 1000)];
    let config = ConfigBuilder::new(1).service("desk").piece_service("maker", 1 << 20);
    let mut world = World::new(config.route(staged).build());
    world.put(entry("a", "desk"));
    world.put(entry("m", "maker"));
    let mut started = Vec::new();
    let reply = with_limit(2.0, head(200));
    for idx in 0..200 {
        world.submit(Arrival { pieces: vec![1], ..arrival(&idx.to_string(), "r") });
        for batch in world.batches() {
            started.push(world.now);
            world.relay.on_reply_terms(world.now, batch.call, &reply);
            world.complete(&batch);
        }
        world.advance(ms(20));
    }
    assert!((7..=10).contains(&started.len()), "{started:?}");
}

/// Several instances and two endpoints without a placer, one of which states a limit.
struct Group {
    worlds: Vec<World>,
    limit: f64,
    informed_at: Vec<Option<Duration>>,
    from_informed: Vec<Duration>,
    all_calls: Vec<Duration>,
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
            let peers = others.map(|idx| Peer {
                name: format!("i{idx}").into(),
                millicores: 250,
                data_centre: "east".into(),
            });
            world.relay.set_peers(world.now, peers.collect(), instances);
            world
        };
        Group {
            worlds: (0..instances).map(world).collect(),
            limit,
            informed_at: vec![None; instances],
            from_informed: Vec::new(),
            all_calls: Vec::new(),
            answered: 0,
        }
    }

    /// Runs for ten seconds; each instance gets a request every `pause` milliseconds.
    fn run(&mut self, pause: u64) {
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
                    self.all_calls.push(now);
                    let is_informed = self.informed_at[idx].is_some_and(|at| now >= at + ms(500));
                    self.from_informed.extend(is_informed.then_some(now));
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
        let reply = if is_limited { with_limit(self.limit, head(200)) } else { head(200) };
        if is_limited {
            self.informed_at[idx].get_or_insert(world.now);
        }
        answer(world, call, &reply);
        self.answered += 1;
    }

    /// Each instance sends its notices to one other.
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

    /// The most calls in any four seconds from instances that have received the limit.
    fn peak(&self) -> usize {
        let within = |start: &Duration| {
            self.from_informed
                .iter()
                .filter(|at| **at >= *start && **at < *start + ms(4000))
                .count()
        };
        self.from_informed.iter().map(within).max().unwrap_or_default()
    }
}

/// All instances choose such endpoints independently.
#[test]
fn instances_share_the_limit_of_a_plain_endpoint() {
    for (instances, pause) in [(1, 20), (2, 20), (8, 40), (86, 400), (295, 1000)] {
        for limit in [0.0, 0.5, 1.0, 4.0, 20.0] {
            let mut group = Group::new(instances, limit);
            group.run(pause);
            let (peak, allowed) = (group.peak(), (1.5 * limit * 4.0 + 5.0) as usize);
            assert!(peak <= allowed, "{instances} instances, {limit}: {peak} of {allowed}");
            let submitted = instances * (10_000 / pause as usize);
            assert!(
                group.answered * 100 > submitted * 95,
                "{instances}: {} of {submitted}",
                group.answered
            );
        }
    }
}

/// Its peers call the endpoint instead.
#[test]
fn an_instance_that_stops_calls_no_limited_endpoint() {
    let mut group = Group::new(2, 1.0);
    group.run(40);
    let before = group.all_calls.len();
    for world in &mut group.worlds {
        world.relay.stop_batching();
    }
    group.run(40);
    assert_eq!(group.all_calls.len(), before);
}

/// Asking an engine which parts it holds counts as a call too.
#[test]
fn an_engine_with_a_limit_is_not_asked_for_its_parts() {
    let transfer = Some(Transfer { token_bytes: 160_000.0, rate: 32e6 });
    let engine = Engine { slots: 64, memory: 3_000_000, max_gap: None, transfer };
    let config = ConfigBuilder::new(1).engine_service("llm", engine);
    let mut world = World::new(config.route(route("r", RequestKind::Resumable, "llm")).build());
    for name in ["a", "b"] {
        world.put(entry(name, "llm"));
    }
    let id = EndpointId { name: "a".into(), incarnation: Incarnation(1) };
    let limit = Rate::per_second(1.0);
    let notice = Notice { endpoint: id, limit, is_leaving: false, age: ms(0) };
    world.relay.on_peer_notices(world.now, &"peer".into(), &[notice]);
    world.submit(Arrival { prompt: Some(prompt(1, 2)), ..arrival("1", "r") });
    let listings = world.take(|action| match action {
        Action::ListParts { addr, .. } => Some(addr.to_string()),
        _ => None,
    });
    assert_eq!(listings, ["b:80"]);
}
