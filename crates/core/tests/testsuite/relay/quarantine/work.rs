//! What becomes of work that is under way when a content is held back.

use peatdeck_core::relay::{
    config::{RequestKind, Route},
    fingerprint::Fingerprint,
    model::{Action, Arrival, Failure, Peer, PieceFailure, ProbeResult},
};

use super::{content, held, peer, poison, probes, world};
use crate::relay::fixture::{ConfigBuilder, World, arrival, entry, head, route, stage};

/// What is under way when word comes is stopped, before it gets further.
#[test]
fn calls_that_wait_for_their_answers_are_given_up() {
    let mut world = world(RequestKind::Idempotent);
    world.submit(poison("1"));
    let call = world.call();
    world.relay.quarantine_content(world.now, held(), 3);
    world.collect();
    let cancelled = world.take(|action| match action {
        Action::Cancel(key) => Some(*key),
        _ => None,
    });
    assert_eq!(cancelled, [call.key]);
    assert!(world.refusals()[0].starts_with("502 failed "), "it may have run");
    assert!(world.calls().is_empty());
}

#[test]
fn a_stream_that_has_begun_goes_on_but_is_not_begun_again() {
    let mut world = world(RequestKind::Resumable);
    world.submit(poison("1"));
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &head(200));
    world.stream_event(call.key, 1);
    world.relay.quarantine_content(world.now, held(), 3);
    assert!(world.stream_event(call.key, 2));
    world.fail(call.key, Failure::Cut);
    assert!(world.calls().is_empty());
    assert!(world.actions.iter().any(|action| matches!(action, Action::AbortStream(_))));
}

#[test]
fn one_that_waits_for_an_endpoint_hears_that_nothing_ran() {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Once, "desk"));
    let mut world = World::new(config.build());
    world.submit(poison("1"));
    world.relay.quarantine_content(world.now, held(), 3);
    world.collect();
    assert!(world.refusals()[0].starts_with("503 quarantined "));
}

#[test]
fn a_prompt_that_a_placer_is_asked_about_is_not_sent() {
    let mut world = world(RequestKind::Stream);
    let stronger = Peer { millicores: 500, ..peer("x") };
    world.relay.set_peers(world.now, vec![stronger.clone()], 2);
    let prompt = Some(crate::relay::fixture::prompt(1, 2));
    let key = world.submit(Arrival { prompt, ..poison("1") });
    assert!(world.actions.iter().any(|action| matches!(action, Action::RequestPlacement { .. })));
    world.relay.quarantine_content(world.now, held(), 3);
    world.relay.on_placement(world.now, key, &stronger.name, None);
    world.collect();
    assert!(world.calls().is_empty());
    assert!(world.refusals()[0].starts_with("503 quarantined "));
}

fn staged() -> World {
    let stages = vec![stage("ledger", &[], 10)];
    let config = ConfigBuilder::new(1)
        .service("desk")
        .piece_service("ledger", 1 << 30)
        .route(Route { stages, max_attempts: 4, ..route("r", RequestKind::Idempotent, "desk") });
    let mut world = World::new(config.build());
    world.put(entry("d1", "desk"));
    for idx in 0..8 {
        world.put(entry(&format!("l{idx}"), "ledger"));
    }
    world
}

/// A call for pieces carries those of several requests. One that ends its endpoint
/// must not take the others with it again.
#[test]
fn pieces_whose_call_was_cut_are_made_again_request_by_request() {
    let mut world = staged();
    let stalled: Vec<_> = (0..8)
        .map(|idx| {
            world.submit(Arrival { pieces: vec![4], ..arrival(&format!("full-{idx}"), "r") });
            world.batches().remove(0)
        })
        .collect();
    let asking = |id: &str, content| Arrival { pieces: vec![1], content, ..arrival(id, "r") };
    world.submit(asking("sound", Fingerprint(1)));
    world.submit(asking("culprit", content()));
    assert!(world.batches().is_empty(), "all endpoints are busy");
    world.complete(&stalled[0]);
    let together = world.batches().remove(0);
    assert_eq!(together.names(), ["culprit/0/0", "sound/0/0"]);
    world.relay.on_pieces_failure(world.now, together.call, Failure::Cut, false);
    world.collect();
    let probed = probes(&mut world);
    world.relay.on_probe(world.now, probed[0], ProbeResult::Gone);
    for batch in &stalled[1..] {
        world.complete(batch);
    }
    let apart = world.batches();
    let names: Vec<_> = apart.iter().map(crate::relay::fixture::Batch::names).collect();
    assert_eq!(names, [["culprit/0/0"], ["sound/0/0"]]);
    let crashed = world.take(|action| match action {
        Action::EndpointCrashed { crashes, .. } => Some(crashes.len()),
        _ => None,
    });
    assert_eq!(crashed, [2], "both are suspects after the first");
}

#[test]
fn pieces_of_content_that_is_held_back_are_not_made() {
    let mut world = staged();
    let piece = {
        let mut other = staged();
        other.submit(Arrival { pieces: vec![1], ..poison("theirs") });
        other.batches().remove(0).pieces.remove(0)
    };
    world.relay.quarantine_content(world.now, held(), 3);
    world.relay.on_handover(world.now, 7, vec![piece]);
    world.collect();
    assert!(world.batches().is_empty());
    let returned = world.take(|action| match action {
        Action::ReturnResults { ticket, results } => Some((*ticket, results.clone())),
        _ => None,
    });
    assert_eq!(returned, [(7, vec![Err(PieceFailure::Failed)])]);
}

#[test]
fn pieces_that_wait_are_given_up_once_their_content_is_held_back() {
    let mut world = staged();
    for idx in 0..8 {
        world.submit(Arrival { pieces: vec![4], ..arrival(&format!("full-{idx}"), "r") });
    }
    let piece = world.batches().remove(0).pieces.remove(0);
    let theirs = peatdeck_core::relay::model::Piece { content: held(), ..piece };
    world.relay.on_handover(world.now, 7, vec![theirs]);
    world.collect();
    world.relay.quarantine_content(world.now, held(), 3);
    world.collect();
    let returned = world.take(|action| match action {
        Action::ReturnResults { ticket, .. } => Some(*ticket),
        _ => None,
    });
    assert_eq!(returned, [7]);
}

/// A resumable stream that was cut has its pieces made again, and its caller holds the
/// head of its answer meanwhile.
#[test]
fn a_stream_that_waits_for_its_pieces_again_is_broken_off() {
    let stages = vec![stage("ledger", &[], 10)];
    let route = Route { stages, ..route("r", RequestKind::Resumable, "desk") };
    let config =
        ConfigBuilder::new(1).service("desk").piece_service("ledger", 1 << 30).route(route);
    let mut world = World::new(config.build());
    for name in ["d1", "d2"] {
        world.put(entry(name, "desk"));
    }
    world.put(entry("l1", "ledger"));
    world.submit(Arrival { pieces: vec![1], ..poison("1") });
    let batch = world.batches().remove(0);
    world.complete(&batch);
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &head(200));
    world.stream_event(call.key, 1);
    world.submit(Arrival { pieces: vec![4], ..arrival("busy", "r") });
    let busy = world.batches().remove(0);
    world.fail(call.key, Failure::Cut);
    assert!(world.batches().is_empty(), "its pieces wait behind another request's");
    world.relay.quarantine_content(world.now, held(), 3);
    world.collect();
    assert!(world.actions.iter().any(|action| matches!(action, Action::AbortStream(_))));
    world.complete(&busy);
    assert!(world.batches().is_empty());
}

/// The call that carries them crashes its endpoint, too.
#[test]
fn pieces_under_way_are_not_made_again() {
    let mut world = staged();
    for idx in 0..8 {
        world.submit(Arrival { pieces: vec![4], ..arrival(&format!("full-{idx}"), "r") });
    }
    let busy = world.batches();
    let piece = busy[0].pieces[0].clone();
    let theirs = peatdeck_core::relay::model::Piece { content: held(), ..piece };
    world.relay.on_handover(world.now, 7, vec![theirs]);
    world.complete(&busy[0]);
    let batch = world.batches().remove(0);
    world.relay.quarantine_content(world.now, held(), 3);
    world.relay.on_pieces_failure(world.now, batch.call, Failure::Cut, false);
    world.collect();
    assert!(world.batches().iter().all(|batch| batch.pieces[0].content != held()));
    let returned = world.take(|action| match action {
        Action::ReturnResults { ticket, .. } => Some(*ticket),
        _ => None,
    });
    assert_eq!(returned, [7]);
}
