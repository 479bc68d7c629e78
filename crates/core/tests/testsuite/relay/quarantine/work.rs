//! What happens to work in progress when its content is quarantined.

use peatdeck_core::relay::{
    config::{RequestKind, Route},
    fingerprint::Fingerprint,
    model::{Action, Arrival, Failure, Peer, PieceFailure, ProbeResult},
};

use super::{content, peer, poison, probes, team_content, world};
use crate::relay::fixture::{ConfigBuilder, World, arrival, entry, head, route, stage};

/// Work in progress is stopped as soon as an instance receives the announcement.
#[test]
fn calls_without_an_answer_are_cancelled() {
    let mut world = world(RequestKind::Idempotent);
    world.submit(poison("1"));
    let call = world.call();
    world.relay.quarantine_content(world.now, team_content(), 3);
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
fn a_running_stream_continues_but_is_not_resumed() {
    let mut world = world(RequestKind::Resumable);
    world.submit(poison("1"));
    let call = world.call();
    world.relay.on_reply_head(world.now, call.key, &head(200));
    world.stream_event(call.key, 1);
    world.relay.quarantine_content(world.now, team_content(), 3);
    assert!(world.stream_event(call.key, 2));
    world.fail(call.key, Failure::Cut);
    assert!(world.calls().is_empty());
    assert!(world.actions.iter().any(|action| matches!(action, Action::AbortStream(_))));
}

#[test]
fn a_request_that_waits_for_an_endpoint_is_refused_as_not_run() {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Once, "desk"));
    let mut world = World::new(config.build());
    world.submit(poison("1"));
    world.relay.quarantine_content(world.now, team_content(), 3);
    world.collect();
    assert!(world.refusals()[0].starts_with("503 quarantined "));
}

#[test]
fn a_prompt_that_waits_for_its_placement_is_not_sent() {
    let mut world = world(RequestKind::Stream);
    let stronger = Peer { millicores: 500, ..peer("x") };
    world.relay.set_peers(world.now, vec![stronger.clone()], 2);
    let prompt = Some(crate::relay::fixture::prompt(1, 2));
    let key = world.submit(Arrival { prompt, ..poison("1") });
    assert!(world.actions.iter().any(|action| matches!(action, Action::RequestPlacement { .. })));
    world.relay.quarantine_content(world.now, team_content(), 3);
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

/// A call contains pieces of several requests. The one that crashes the endpoint must not be
/// repeated in one call with the others.
#[test]
fn pieces_of_an_interrupted_call_are_repeated_request_by_request() {
    let mut world = staged();
    let busy_batches: Vec<_> = (0..8)
        .map(|idx| {
            world.submit(Arrival { pieces: vec![4], ..arrival(&format!("full-{idx}"), "r") });
            world.batches().remove(0)
        })
        .collect();
    let one_piece = |id: &str, content| Arrival { pieces: vec![1], content, ..arrival(id, "r") };
    world.submit(one_piece("sound", Fingerprint(1)));
    world.submit(one_piece("culprit", content()));
    assert!(world.batches().is_empty(), "all endpoints are busy");
    world.complete(&busy_batches[0]);
    let shared = world.batches().remove(0);
    assert_eq!(shared.names(), ["culprit/0/0", "sound/0/0"]);
    world.relay.on_pieces_failure(world.now, shared.call, Failure::Cut, false);
    world.collect();
    let probed_endpoints = probes(&mut world);
    world.relay.on_probe(world.now, probed_endpoints[0], ProbeResult::Gone);
    for batch in &busy_batches[1..] {
        world.complete(batch);
    }
    let isolated = world.batches();
    let names: Vec<_> = isolated.iter().map(crate::relay::fixture::Batch::names).collect();
    assert_eq!(names, [["culprit/0/0"], ["sound/0/0"]]);
    let crashed = world.take(|action| match action {
        Action::EndpointCrashed { crashes, .. } => Some(crashes.len()),
        _ => None,
    });
    assert_eq!(crashed, [2], "both are suspected after the first crash");
}

#[test]
fn pieces_of_quarantined_content_do_not_run() {
    let mut world = staged();
    let piece = {
        let mut other = staged();
        other.submit(Arrival { pieces: vec![1], ..poison("theirs") });
        other.batches().remove(0).pieces.remove(0)
    };
    world.relay.quarantine_content(world.now, team_content(), 3);
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
fn queued_pieces_fail_once_their_content_is_quarantined() {
    let mut world = staged();
    for idx in 0..8 {
        world.submit(Arrival { pieces: vec![4], ..arrival(&format!("full-{idx}"), "r") });
    }
    let piece = world.batches().remove(0).pieces.remove(0);
    let peer_piece = peatdeck_core::relay::model::Piece { content: team_content(), ..piece };
    world.relay.on_handover(world.now, 7, vec![peer_piece]);
    world.collect();
    world.relay.quarantine_content(world.now, team_content(), 3);
    world.collect();
    let returned = world.take(|action| match action {
        Action::ReturnResults { ticket, .. } => Some(*ticket),
        _ => None,
    });
    assert_eq!(returned, [7]);
}

/// The pieces of an interrupted resumable stream are repeated after its caller has received the
/// head of the answer.
#[test]
fn a_stream_that_waits_for_repeated_pieces_is_aborted() {
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
    let blocking = world.batches().remove(0);
    world.fail(call.key, Failure::Cut);
    assert!(world.batches().is_empty(), "its pieces wait behind those of another request");
    world.relay.quarantine_content(world.now, team_content(), 3);
    world.collect();
    assert!(world.actions.iter().any(|action| matches!(action, Action::AbortStream(_))));
    world.complete(&blocking);
    assert!(world.batches().is_empty());
}

/// The call that contains them crashes its endpoint, too.
#[test]
fn running_pieces_of_quarantined_content_are_not_repeated() {
    let mut world = staged();
    for idx in 0..8 {
        world.submit(Arrival { pieces: vec![4], ..arrival(&format!("full-{idx}"), "r") });
    }
    let blocking = world.batches();
    let piece = blocking[0].pieces[0].clone();
    let peer_piece = peatdeck_core::relay::model::Piece { content: team_content(), ..piece };
    world.relay.on_handover(world.now, 7, vec![peer_piece]);
    world.complete(&blocking[0]);
    let batch = world.batches().remove(0);
    world.relay.quarantine_content(world.now, team_content(), 3);
    world.relay.on_pieces_failure(world.now, batch.call, Failure::Cut, false);
    world.collect();
    assert!(world.batches().iter().all(|batch| batch.pieces[0].content != team_content()));
    let returned = world.take(|action| match action {
        Action::ReturnResults { ticket, .. } => Some(*ticket),
        _ => None,
    });
    assert_eq!(returned, [7]);
}
