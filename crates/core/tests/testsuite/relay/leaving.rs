//! Endpoints that say in their replies that they leave.
//!
//! What users saw: an engine that had said in its answers that it leaves got further
//! requests, some 4 and 8 s later, and might have ended under them. Order of events: an
//! endpoint is told to go and says so in all its answers; the platform's store is dark,
//! so that the directory does not say it for 13 s; an instance whose calls are answered
//! meanwhile sends it more. Cause: leaving was learned from the directory alone, and
//! from a refusal meant for another endpoint; a reply's own word had no reader.
//!
//! Evidence: eleven calls reached it from five instances after their answers had said
//! so, and none after the directory had; and these tests, in which only replies say it.

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

/// Asks until an endpoint is called, and answers that call like that.
fn answer_of(world: &mut World, name: &str, told: &ReplyHead) {
    for idx in 0..100 {
        world.submit(arrival(&format!("ask-{idx}"), "r"));
        let call = world.call();
        let is_meant = *call.endpoint == *name;
        let told = if is_meant { told.clone() } else { head(200) };
        answer(world, &call, &told);
        world.calls();
        if is_meant {
            return;
        }
    }
    panic!("{name} was not called");
}

/// The endpoints that get a call for each of some requests.
fn called(world: &mut World) -> Vec<String> {
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
fn whatever_it_answers_it_gets_nothing_more() {
    let refusals = [head(200), head(404), head(500), not_run(503), not_run(429)];
    for refusal in refusals {
        let mut world = World::plain(RequestKind::Idempotent);
        answer_of(&mut world, "a", &leaving(refusal.clone()));
        assert_eq!(called(&mut world), ["b"], "{refusal:?}");
    }
}

#[test]
fn the_head_of_a_stream_says_so() {
    let mut world = World::plain(RequestKind::Stream);
    world.submit(arrival("1", "r"));
    let call = world.call();
    assert!(world.relay.on_reply_head(world.now, call.key, &leaving(head(200))));
    let other = if &*call.endpoint == "a" { "b" } else { "a" };
    assert!(world.stream_event(call.key, 1), "what it streams goes on");
    assert_eq!(called(&mut world), [other]);
}

/// Its entry may be older than its word, and the store dark.
#[test]
fn an_old_entry_does_not_bring_it_back() {
    let mut world = World::plain(RequestKind::Idempotent);
    answer_of(&mut world, "a", &leaving(head(200)));
    world.put(entry("a", "desk"));
    assert_eq!(called(&mut world), ["b"]);
    world.relay.apply_change(world.now, Change::Removed("a".into()));
    world.put(entry("a", "desk"));
    assert_eq!(called(&mut world), ["b"]);
    world.put(Entry { incarnation: Incarnation(2), ..entry("a", "desk") });
    world.calls();
    world.relay.apply_change(world.now, Change::Removed("b".into()));
    assert_eq!(called(&mut world), ["a"], "it has started again");
}

/// Nothing is sent even where no other is left; callers hear so.
#[test]
fn where_all_leave_callers_are_refused() {
    let mut world = World::plain(RequestKind::Idempotent);
    answer_of(&mut world, "a", &leaving(head(200)));
    answer_of(&mut world, "b", &leaving(head(200)));
    assert!(called(&mut world).is_empty());
    let refusals = world.refusals();
    assert!(!refusals.is_empty() && refusals.iter().all(|it| it.starts_with("503 ")));
}

/// A cut stream is resumed elsewhere, and repeats go elsewhere.
#[test]
fn a_stream_is_not_resumed_there() {
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
    let told = world.call();
    world.relay.on_reply_head(world.now, told.key, &leaving(head(200)));
    for call in open.into_iter().filter(|call| call.endpoint != told.endpoint) {
        world.fail(call.key, Failure::Cut);
    }
    let resumed = world.calls();
    assert!(!resumed.is_empty());
    assert!(resumed.iter().all(|call| call.endpoint != told.endpoint));
}

#[test]
fn calls_for_pieces_tell_it_and_end() {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = vec![stage("maker", &[], 1000)];
    let config = ConfigBuilder::new(1).service("desk").piece_service("maker", 1 << 20);
    for is_made in [true, false] {
        let mut world = World::new(config.clone().route(staged.clone()).build());
        world.put(entry("d", "desk"));
        world.put(entry("m1", "maker"));
        world.put(entry("m2", "maker"));
        world.submit(Arrival { pieces: vec![1], ..arrival("1", "r") });
        let batch = world.batches().remove(0);
        let told = if is_made { head(200) } else { not_run(503) };
        world.relay.on_reply_terms(world.now, batch.call, &leaving(told));
        match is_made {
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

/// A placer that has not heard of it places a prompt there: the instance that has
/// sends it elsewhere.
#[test]
fn a_peers_placement_there_is_not_used() {
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
    let peer = Peer { name: "peer".into(), millicores: 900 };
    world.relay.set_peers(world.now, vec![peer], 2);
    let key = ask(&mut world, "2");
    let asked: Vec<PlacementRequest> = world.take(|action| match action {
        Action::RequestPlacement { request: question, .. } => Some(question.clone()),
        _ => None,
    });
    assert_eq!(asked.len(), 1);
    let engine = EndpointId { name: call.endpoint.clone(), incarnation: Incarnation(1) };
    let placement = Placement { engine, source: None, tokens: 10, wait: ms(0), number: 1 };
    world.relay.on_placement(world.now, key, &"peer".into(), Some(placement));
    world.collect();
    assert_ne!(world.call().endpoint, call.endpoint);
}

/// Peers hear of it, also those that start later.
#[test]
fn peers_are_told() {
    let mut world = World::plain(RequestKind::Idempotent);
    answer_of(&mut world, "a", &leaving(head(200)));
    let notices = world.relay.peer_notices(world.now);
    let mut peer = World::plain(RequestKind::Idempotent);
    peer.relay.on_peer_notices(peer.now, &"own".into(), &notices);
    peer.collect();
    assert_eq!(called(&mut peer), ["b"]);
}
