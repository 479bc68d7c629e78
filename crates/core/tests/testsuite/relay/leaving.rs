//! Endpoints that state in their replies that they are leaving.
//!
//! Guards against calls to an endpoint that may stop before it answers them. An engine stated in
//! its replies that it was leaving while the platform's store was unreachable, so the directory
//! did not list it as leaving for 13 s. Instances took this from the directory only and ignored
//! the replies: five of them sent it eleven more calls, some 4 and 8 s later. In these tests only
//! replies state it.

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::{Engine, RequestKind},
        directory::{Change, Entry},
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

fn leaving(head: ReplyHead) -> ReplyHead {
    ReplyHead { terms: Terms { is_leaving: true, ..Terms::default() }, ..head }
}

fn answer(world: &mut World, call: &Call, head: &ReplyHead) {
    world.relay.on_reply_head(world.now, call.key, head);
    world.reply(call.key, head);
}

/// Submits requests until an endpoint is called, and answers that call with `reply`.
fn reply_from(world: &mut World, name: &str, reply: &ReplyHead) {
    for idx in 0..100 {
        world.submit(arrival(&format!("ask-{idx}"), "r"));
        let call = world.call();
        let is_target = *call.endpoint == *name;
        let reply = if is_target { reply.clone() } else { head(200) };
        answer(world, &call, &reply);
        world.calls();
        if is_target {
            return;
        }
    }
    panic!("{name} was not called");
}

/// The endpoints that are called for some further requests.
fn called_endpoints(world: &mut World) -> Vec<String> {
    let mut names = Vec::new();
    for idx in 0..40 {
        world.submit(arrival(&format!("later-{idx}"), "r"));
        for call in world.calls() {
            names.push(call.endpoint.to_string());
            answer(world, &call, &head(200));
        }
        world.advance(ms(100));
    }
    names.sort_unstable();
    names.dedup();
    names
}

#[test]
fn an_endpoint_that_states_leaving_in_any_reply_gets_no_more_calls() {
    let refusals = [head(200), head(404), head(500), not_run(503), not_run(429)];
    for refusal in refusals {
        let mut world = World::plain(RequestKind::Idempotent);
        reply_from(&mut world, "a", &leaving(refusal.clone()));
        assert_eq!(called_endpoints(&mut world), ["b"], "{refusal:?}");
    }
}

#[test]
fn the_head_of_a_stream_can_state_leaving() {
    let mut world = World::plain(RequestKind::Stream);
    world.submit(arrival("1", "r"));
    let call = world.call();
    assert!(world.relay.on_reply_head(world.now, call.key, &leaving(head(200))));
    let other = if &*call.endpoint == "a" { "b" } else { "a" };
    assert!(world.stream_event(call.key, 1), "its running stream continues");
    assert_eq!(called_endpoints(&mut world), [other]);
}

/// Its entry may be older than its reply while the store is unreachable.
#[test]
fn an_old_entry_does_not_make_it_usable() {
    let mut world = World::plain(RequestKind::Idempotent);
    reply_from(&mut world, "a", &leaving(head(200)));
    world.put(entry("a", "desk"));
    assert_eq!(called_endpoints(&mut world), ["b"]);
    world.relay.apply_change(world.now, Change::Removed("a".into()));
    world.put(entry("a", "desk"));
    assert_eq!(called_endpoints(&mut world), ["b"]);
    world.put(Entry { incarnation: Incarnation(2), ..entry("a", "desk") });
    world.calls();
    world.relay.apply_change(world.now, Change::Removed("b".into()));
    assert_eq!(called_endpoints(&mut world), ["a"], "it has restarted");
}

/// Nothing is sent to them even if there is no other endpoint.
#[test]
fn requests_are_refused_if_all_endpoints_are_leaving() {
    let mut world = World::plain(RequestKind::Idempotent);
    reply_from(&mut world, "a", &leaving(head(200)));
    reply_from(&mut world, "b", &leaving(head(200)));
    assert!(called_endpoints(&mut world).is_empty());
    let refusals = world.refusals();
    assert!(!refusals.is_empty() && refusals.iter().all(|refusal| refusal.starts_with("503 ")));
}

/// An interrupted stream is resumed elsewhere.
#[test]
fn a_stream_is_not_resumed_at_a_leaving_endpoint() {
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
    let reply = world.call();
    world.relay.on_reply_head(world.now, reply.key, &leaving(head(200)));
    for call in open.into_iter().filter(|call| call.endpoint != reply.endpoint) {
        world.fail(call.key, Failure::Cut);
    }
    let resumed = world.calls();
    assert!(!resumed.is_empty());
    assert!(resumed.iter().all(|call| call.endpoint != reply.endpoint));
}

#[test]
fn replies_to_calls_for_pieces_can_state_leaving() {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = vec![stage("maker", &[], 1000)];
    let config = ConfigBuilder::new(1).service("desk").piece_service("maker", 1 << 20);
    for is_complete in [true, false] {
        let mut world = World::new(config.clone().route(staged.clone()).build());
        world.put(entry("d", "desk"));
        world.put(entry("m1", "maker"));
        world.put(entry("m2", "maker"));
        world.submit(Arrival { pieces: vec![1], ..arrival("1", "r") });
        let batch = world.batches().remove(0);
        let reply = if is_complete { head(200) } else { not_run(503) };
        world.relay.on_reply_terms(world.now, batch.call, &leaving(reply));
        match is_complete {
            true => world.complete(&batch),
            false => {
                let failure = Failure::Cut;
                world.relay.on_pieces_failure(world.now, batch.call, failure, true);
                world.collect();
            }
        }
        for idx in 0..20 {
            world.submit(Arrival { pieces: vec![2], ..arrival(&format!("l{idx}"), "r") });
            world.advance(ms(300));
            for later in world.batches() {
                assert_ne!(later.endpoint, batch.endpoint);
                world.complete(&later);
            }
        }
    }
}

/// A placer that has not received the notice places a prompt there. The instance that has sends
/// the prompt elsewhere.
#[test]
fn a_placement_at_a_leaving_endpoint_is_not_used() {
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
    world.relay.on_reply_head(world.now, call.key, &leaving(head(200)));
    let peer = Peer { name: "peer".into(), millicores: 900, data_centre: "east".into() };
    world.relay.set_peers(world.now, vec![peer], 2);
    let key = ask(&mut world, "2");
    let requested: Vec<PlacementRequest> = world.take(|action| match action {
        Action::RequestPlacement { request: wanted, .. } => Some(wanted.clone()),
        _ => None,
    });
    assert_eq!(requested.len(), 1);
    let engine = EndpointId { name: call.endpoint.clone(), incarnation: Incarnation(1) };
    let placement = Placement { engine, source: None, tokens: 10, wait: ms(0), number: 1 };
    world.relay.on_placement(world.now, key, &"peer".into(), Some(placement));
    world.collect();
    assert_ne!(world.call().endpoint, call.endpoint);
}

/// Peers receive it too, even those that start later.
#[test]
fn peers_receive_that_an_endpoint_is_leaving() {
    let mut world = World::plain(RequestKind::Idempotent);
    reply_from(&mut world, "a", &leaving(head(200)));
    let notices = world.relay.peer_notices(world.now);
    let mut peer = World::plain(RequestKind::Idempotent);
    peer.relay.on_peer_notices(peer.now, &"own".into(), &notices);
    peer.collect();
    assert_eq!(called_endpoints(&mut peer), ["b"]);
}
