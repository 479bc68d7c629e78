//! Endpoints that refuse calls and ask for a hold: to be sent nothing for a while.
//!
//! Guards against calls to such endpoints. Five of eighteen engines asked for holds of three
//! seconds but got 3 to 8 calls from one instance in that time, and over a tenth of the requests
//! of three routes were refused for ten seconds. Instances ignored the hold, and a refusal made
//! the engine look like the best choice: its few milliseconds counted as a response time, and the
//! engine was idle again at once. In the first four seconds the five got 9, 16, 45 and 50 of the
//! 50 calls per second of the service, and refused all of them. Nothing else goes wrong in these
//! tests.

use std::time::Duration;

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::{Engine, RequestKind},
        directory::Entry,
        model::{
            Action, Arrival, Call, EndpointId, Failure, Peer, Placement, PlacementRequest,
            ReplyHead,
        },
        terms::Terms,
    },
};

use crate::relay::fixture::{
    ConfigBuilder, World, arrival, entry, head, ms, not_run, prompt, route, stage,
};

fn asking_hold(hold: u64, head: ReplyHead) -> ReplyHead {
    ReplyHead { terms: Terms { hold: Some(ms(hold)), ..Terms::default() }, ..head }
}

fn answer(world: &mut World, call: &Call, head: &ReplyHead) {
    world.relay.on_reply_head(world.now, call.key, head);
    world.reply(call.key, head);
}

/// Milliseconds that the slower of two endpoints takes; more than the expected latency of an
/// endpoint that has not answered yet.
const SLOW: u64 = 30;

/// An instance and two endpoints. The first one has replied with `reply`; the second one is slower.
fn world_after(reply: &ReplyHead) -> World {
    let mut world = World::plain(RequestKind::Idempotent);
    for idx in 0..100 {
        world.submit(arrival(&format!("ask-{idx}"), "r"));
        for call in world.calls() {
            let is_first = &*call.endpoint == "a";
            world.advance(ms(if is_first { 1 } else { SLOW }));
            let reply = if is_first { reply.clone() } else { head(200) };
            answer(&mut world, &call, &reply);
            if is_first {
                world.calls().iter().for_each(|call| answer(&mut world, call, &head(200)));
                return world;
            }
        }
    }
    panic!("it was not called");
}

/// The times, relative to now, of the calls to the first endpoint in the next `span` milliseconds.
fn calls_after(world: &mut World, span: u64) -> Vec<Duration> {
    let (start, mut at) = (world.now, Vec::new());
    while world.now < start + ms(span) {
        world.submit(arrival(&format!("{}", world.now.as_micros()), "r"));
        for call in world.calls() {
            let is_first = &*call.endpoint == "a";
            at.extend(is_first.then(|| world.now - start));
            world.advance(ms(if is_first { 1 } else { SLOW }));
            answer(world, &call, &head(200));
        }
        world.advance(ms(20));
    }
    at
}

#[test]
fn an_endpoint_on_hold_gets_no_calls() {
    for refusal in [not_run(503), not_run(429), head(503)] {
        let mut world = world_after(&asking_hold(3000, refusal.clone()));
        let at = calls_after(&mut world, 6000);
        assert!(!at.is_empty(), "it is used again after {refusal:?}");
        assert!(at[0] >= ms(3000 - SLOW), "{:?} after {refusal:?}", at[0]);
    }
}

#[test]
fn a_short_hold_ends_early() {
    let at = calls_after(&mut world_after(&asking_hold(250, not_run(503))), 1000);
    assert!(at[0] >= ms(250 - SLOW) && at[0] <= ms(400), "{:?}", at[0]);
}

/// The hold that ends last counts.
#[test]
fn a_later_reply_can_extend_a_hold_but_not_shorten_it() {
    for (first, second) in [(3000, 500), (500, 3000)] {
        let mut world = World::plain(RequestKind::Idempotent);
        let mut open = Vec::new();
        for idx in 0..40 {
            world.submit(arrival(&idx.to_string(), "r"));
            open.extend(world.calls());
        }
        let mut holds = [first, second].into_iter();
        for call in open {
            let refusal = (&*call.endpoint == "a").then(|| holds.next()).flatten();
            match refusal {
                Some(hold) => answer(&mut world, &call, &asking_hold(hold, not_run(503))),
                None => answer(&mut world, &call, &head(200)),
            }
        }
        assert!(holds.next().is_none());
        world.calls().iter().for_each(|call| answer(&mut world, call, &head(200)));
        assert!(calls_after(&mut world, 2900).is_empty(), "{first} and {second}");
    }
}

#[test]
fn a_hold_ends_with_the_incarnation() {
    let mut world = world_after(&asking_hold(3_600_000, not_run(503)));
    assert!(calls_after(&mut world, 5000).is_empty());
    world.put(Entry { incarnation: Incarnation(2), ..entry("a", "desk") });
    world.put(Entry { is_leaving: true, ..entry("b", "desk") });
    assert!(!calls_after(&mut world, 1000).is_empty());
}

/// A hold applies only to the instance that received it.
#[test]
fn a_hold_does_not_apply_to_peers() {
    let mut world = world_after(&asking_hold(3000, not_run(503)));
    let notices = world.relay.peer_notices(world.now);
    let mut peer = World::plain(RequestKind::Idempotent);
    peer.relay.on_peer_notices(peer.now, &"own".into(), &notices);
    assert!(!calls_after(&mut peer, 1000).is_empty());
}

/// Callers may retry at an instance that did not receive the holds.
#[test]
fn requests_are_refused_at_once_if_all_endpoints_are_on_hold() {
    let mut world = world_after(&asking_hold(3000, not_run(503)));
    for idx in 0..4 {
        world.submit(arrival(&format!("b-{idx}"), "r"));
        for call in world.calls() {
            assert_eq!(&*call.endpoint, "b");
            answer(&mut world, &call, &asking_hold(3000, not_run(503)));
        }
    }
    world.refusals();
    world.submit(arrival("refused", "r"));
    assert!(world.calls().is_empty());
    assert_eq!(world.refusals(), ["503 unserved 400ms"]);
}

/// The hold ends before the time that a request waits for an endpoint.
#[test]
fn requests_wait_for_a_hold_that_ends_soon() {
    let config =
        ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Idempotent, "desk"));
    let mut world = World::new(config.build());
    world.put(entry("a", "desk"));
    world.submit(arrival("1", "r"));
    let call = world.call();
    answer(&mut world, &call, &asking_hold(150, not_run(503)));
    world.refusals();
    world.submit(arrival("2", "r"));
    assert!(world.calls().is_empty());
    for _ in 0..20 {
        world.advance(ms(10));
    }
    assert_eq!(world.calls().len(), 1);
}

/// An interrupted stream is resumed at another endpoint.
#[test]
fn streams_are_not_resumed_at_an_endpoint_on_hold() {
    let mut world = World::plain(RequestKind::Resumable);
    world.put(entry("c", "desk"));
    let mut open = Vec::new();
    for idx in 0..20 {
        world.submit(arrival(&idx.to_string(), "r"));
        let call = world.call();
        world.advance(ms(20));
        world.relay.on_reply_head(world.now, call.key, &head(200));
        world.stream_event(call.key, 1);
        open.push(call);
    }
    world.submit(arrival("told", "r"));
    let refused = world.call();
    answer(&mut world, &refused, &asking_hold(3000, not_run(503)));
    world.calls();
    for call in open.into_iter().filter(|call| call.endpoint != refused.endpoint) {
        world.fail(call.key, Failure::Cut);
    }
    let resumed = world.calls();
    assert!(!resumed.is_empty());
    assert!(resumed.iter().all(|call| call.endpoint != refused.endpoint));
}

#[test]
fn calls_for_pieces_respect_a_hold() {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = vec![stage("maker", &[], 1000)];
    let config = ConfigBuilder::new(1).service("desk").piece_service("maker", 1 << 20);
    let mut world = World::new(config.route(staged).build());
    world.put(entry("d", "desk"));
    world.put(entry("m1", "maker"));
    world.put(entry("m2", "maker"));
    world.submit(Arrival { pieces: vec![1], ..arrival("1", "r") });
    let batch = world.batches().remove(0);
    world.relay.on_reply_terms(world.now, batch.call, &asking_hold(3000, not_run(503)));
    world.relay.on_pieces_failure(world.now, batch.call, Failure::Cut, true);
    world.collect();
    let asked_at = world.now;
    for idx in 0..20 {
        world.submit(Arrival { pieces: vec![2], ..arrival(&format!("l{idx}"), "r") });
        world.advance(ms(140));
        for later in world.batches() {
            assert!(later.endpoint != batch.endpoint || world.now >= asked_at + ms(3000));
            world.complete(&later);
        }
    }
}

/// A placement request excludes engines that are on hold for the requesting instance. If the placer
/// chooses one nevertheless, it is not called.
#[test]
fn a_placement_at_an_engine_on_hold_is_not_used() {
    let engine = Engine { slots: 64, memory: 3_000_000, max_gap: None, transfer: None };
    let config = ConfigBuilder::new(1).engine_service("llm", engine);
    let mut world = World::new(config.route(route("r", RequestKind::Resumable, "llm")).build());
    world.put(entry("a", "llm"));
    world.put(entry("b", "llm"));
    let ask = |world: &mut World, id: &str| {
        world.submit(Arrival { prompt: Some(prompt(1, 2)), ..arrival(id, "r") })
    };
    ask(&mut world, "1");
    let call = world.call();
    answer(&mut world, &call, &asking_hold(3000, not_run(503)));
    world.calls();
    let peer = Peer { name: "peer".into(), millicores: 900, data_centre: "east".into() };
    world.relay.set_peers(world.now, vec![peer], 2);
    let key = ask(&mut world, "2");
    let requested: Vec<PlacementRequest> = world.take(|action| match action {
        Action::RequestPlacement { request: wanted, .. } => Some(wanted.clone()),
        _ => None,
    });
    let engine = EndpointId { name: call.endpoint.clone(), incarnation: Incarnation(1) };
    assert_eq!(requested[0].excluded, vec![engine.clone()]);
    let placement = Placement { engine, source: None, tokens: 10, wait: ms(0), number: 1 };
    world.relay.on_placement(world.now, key, &"peer".into(), Some(placement));
    world.collect();
    assert_ne!(world.call().endpoint, call.endpoint);
}

/// An endpoint that refuses calls without asking for a hold must not seem faster for it and get
/// more calls than the other one.
#[test]
fn a_refusal_does_not_count_as_a_fast_answer() {
    for time in [15, 60] {
        check_refusing_endpoint(time);
    }
}

/// Endpoint `a` refuses all calls; the other one answers after `time` milliseconds.
fn check_refusing_endpoint(time: u64) {
    let mut world = World::plain(RequestKind::Idempotent);
    let (mut refused, mut served) = (0, 0);
    for idx in 0..200 {
        world.submit(arrival(&idx.to_string(), "r"));
        for _ in 0..2 {
            for call in world.calls() {
                if &*call.endpoint == "a" {
                    refused += 1;
                    world.advance(ms(1));
                    answer(&mut world, &call, &not_run(503));
                } else {
                    served += 1;
                    world.advance(ms(time));
                    answer(&mut world, &call, &head(200));
                }
            }
        }
        world.advance(ms(20));
    }
    assert!(refused <= served / 2, "{refused} calls to the refusing endpoint, {served} served");
}
