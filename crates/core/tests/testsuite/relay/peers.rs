//! Pieces that are handed over to the batcher of their service.

use std::sync::Arc;

use peatdeck_core::relay::{
    config::{RequestKind, Route},
    model::{Action, Arrival, HandoverKey, Peer, Piece, PieceFailure},
};

use super::fixture::{ConfigBuilder, World, arrival, entry, ms, route, stage};

fn world() -> World {
    let stages = vec![stage("ledger", &[], 10)];
    let config = ConfigBuilder::new(1)
        .service("desk")
        .piece_service("ledger", 1 << 30)
        .route(Route { stages, ..route("r", RequestKind::Idempotent, "desk") });
    let mut world = World::new(config.build());
    world.put(entry("d1", "desk"));
    world.put(entry("l1", "ledger"));
    world
}

/// A world in which a peer is the batcher of the service `ledger`.
fn with_batcher_peer() -> World {
    let mut world = world();
    for idx in 0..50 {
        let peers = vec![peer(&format!("peer-{idx}"), 250)];
        world.relay.set_peers(world.now, peers, 2);
        let exchange = world.submit(staged_arrival("probe", 1));
        let is_handed_over = !handovers(&mut world).is_empty();
        world.disconnect(exchange);
        world.actions.clear();
        if is_handed_over {
            return world;
        }
        world = self::world();
    }
    panic!("none of 50 peer names ranks before this instance");
}

fn peer(name: &str, cpu: u32) -> Peer {
    Peer { name: Arc::from(name), millicores: cpu, data_centre: "east".into() }
}

/// The peers that pieces are handed over to.
fn receivers(world: &mut World) -> Vec<Arc<str>> {
    world.take(|action| match action {
        Action::HandOverPieces { peer, .. } => Some(peer.clone()),
        _ => None,
    })
}

fn staged_arrival(id: &str, pieces: u16) -> Arrival {
    Arrival { pieces: vec![pieces], ..arrival(id, "r") }
}

fn handovers(world: &mut World) -> Vec<(HandoverKey, Vec<Piece>)> {
    world.take(|action| match action {
        Action::HandOverPieces { key, pieces, .. } => Some((*key, pieces.clone())),
        _ => None,
    })
}

fn returned_results(world: &mut World) -> Vec<(u64, usize)> {
    world.take(|action| match action {
        Action::ReturnResults { ticket, results } => Some((*ticket, results.len())),
        _ => None,
    })
}

#[test]
fn results_returned_by_the_peer_are_used() {
    let mut world = with_batcher_peer();
    world.submit(staged_arrival("1", 2));
    let (key, pieces) = handovers(&mut world).remove(0);
    assert_eq!(pieces.len(), 2);
    let results = vec![Ok(Arc::from("l1:80/x")), Ok(Arc::from("l1:80/y"))];
    world.relay.on_handover_return(world.now, key, Some(results));
    world.collect();
    assert_eq!(world.call().inputs.len(), 2);
}

#[test]
fn pieces_of_a_failed_handover_run_locally() {
    let mut world = with_batcher_peer();
    world.submit(staged_arrival("1", 2));
    let (key, _) = handovers(&mut world).remove(0);
    assert!(world.batches().is_empty());
    world.relay.on_handover_return(world.now, key, None);
    world.collect();
    assert_eq!(world.batches()[0].names(), ["1/0/0", "1/0/1"]);
}

#[test]
fn pieces_go_to_the_peer_with_the_largest_cpu_share() {
    for idx in 0..20 {
        let mut world = world();
        let small = (0..20).map(|other| peer(&format!("weak-{other}"), 120));
        let large = format!("strong-{idx}");
        let peers = small.chain([peer(&large, 500)]).collect();
        world.relay.set_peers(world.now, peers, 22);
        world.submit(staged_arrival("1", 1));
        assert_eq!(receivers(&mut world), [Arc::from(large)]);
    }
}

#[test]
fn pieces_of_a_peer_that_fails_go_to_the_next_one() {
    let mut world = world();
    let peers = vec![peer("first", 500), peer("second", 400)];
    world.relay.set_peers(world.now, peers.clone(), 3);
    world.submit(staged_arrival("1", 2));
    let (key, pieces) = handovers(&mut world).remove(0);
    world.relay.on_handover_return(world.now, key, None);
    world.collect();
    let next = world.take(|action| match action {
        Action::HandOverPieces { peer, pieces, .. } => Some((peer.clone(), pieces.clone())),
        _ => None,
    });
    assert_eq!(next, [(Arc::from("second"), pieces)]);
    assert!(world.batches().is_empty(), "nothing runs locally");
    world.submit(staged_arrival("2", 1));
    assert_eq!(receivers(&mut world), [Arc::from("second")]);
    world.now += ms(2100);
    world.relay.set_peers(world.now, peers, 3);
    world.submit(staged_arrival("3", 1));
    assert_eq!(receivers(&mut world), [Arc::from("first")], "it is tried again later");
}

#[test]
fn pieces_are_recalled_when_their_caller_disconnects() {
    let mut world = with_batcher_peer();
    let exchange = world.submit(staged_arrival("1", 2));
    let (key, _) = handovers(&mut world).remove(0);
    world.disconnect(exchange);
    assert_eq!(world.actions, [Action::RecallPieces(key)]);
}

#[test]
fn an_instance_that_stops_batching_hands_its_pieces_over() {
    let mut world = world();
    world.relay.set_peers(world.now, vec![peer("other", 250)], 2);
    world.relay.stop_batching();
    world.submit(staged_arrival("1", 1));
    assert_eq!(handovers(&mut world).len(), 1);
    world.relay.set_peers(world.now, Vec::new(), 2);
    world.submit(staged_arrival("2", 1));
    assert_eq!(world.batches()[0].names(), ["2/0/0"], "without peers it runs them itself");
}

fn piece(number: u16) -> Piece {
    let mut world = with_batcher_peer();
    world.submit(staged_arrival("theirs", number + 1));
    handovers(&mut world).remove(0).1.remove(usize::from(number))
}

#[test]
fn a_peers_pieces_are_returned_together() {
    let mut world = world();
    world.relay.on_handover(world.now, 9, vec![piece(0), piece(1)]);
    world.collect();
    let batch = world.batches().remove(0);
    assert_eq!(batch.pieces.len(), 2);
    world.complete(&batch);
    assert_eq!(returned_results(&mut world), [(9, 2)]);
}

#[test]
fn expired_pieces_of_a_peer_are_returned_at_once() {
    let mut world = world();
    let expired = Piece { deadline: world.now, ..piece(0) };
    world.relay.on_handover(world.now, 9, vec![expired]);
    world.collect();
    assert_eq!(returned_results(&mut world), [(9, 1)]);
    assert!(world.batches().is_empty());
}

/// A peer may send any count; it must not overflow.
#[test]
fn a_piece_with_the_maximum_count_of_tries_is_returned() {
    let mut world = world();
    let tried = Piece { tries: u8::MAX, ..piece(0) };
    world.relay.on_handover(world.now, 9, vec![tried]);
    world.collect();
    let batch = world.batches().remove(0);
    world.complete_with(batch.call, batch.all_failed(PieceFailure::Failed));
    assert_eq!(returned_results(&mut world), [(9, 1)]);
}

#[test]
fn recalled_pieces_do_not_run_and_their_results_are_freed() {
    let mut world = world();
    world.relay.on_handover(world.now, 1, vec![piece(0)]);
    world.collect();
    let running = world.batches().remove(0);
    world.relay.on_handover(world.now, 2, vec![piece(0)]);
    world.relay.on_handover_recall(1);
    world.relay.on_handover_recall(2);
    world.complete(&running);
    assert!(world.batches().is_empty());
    assert_eq!(world.freed().len(), 1);
    assert_eq!(world.relay.open_tickets(), 0);
}

#[test]
fn a_failed_piece_of_a_peer_is_retried_and_then_returned() {
    let mut world = world();
    world.relay.on_handover(world.now, 3, vec![piece(0)]);
    world.collect();
    for _ in 0..3 {
        let batch = world.batches().remove(0);
        world.complete_with(batch.call, batch.all_failed(PieceFailure::Failed));
    }
    assert_eq!(returned_results(&mut world), [(3, 1)]);
}

/// Otherwise instances that start at the same time would each run their pieces themselves.
#[test]
fn pieces_wait_until_a_started_instance_knows_its_peers() {
    let mut world = world();
    world.relay.hold_for_peers(ms(1500));
    world.submit(staged_arrival("1", 2));
    world.advance(ms(300));
    assert!(world.batches().is_empty() && handovers(&mut world).is_empty());
    world.relay.set_peers(world.now, vec![peer("strong", 500)], 2);
    world.relay.mark_peers_known(world.now);
    world.collect();
    assert_eq!(receivers(&mut world), [Arc::from("strong")]);
}

#[test]
fn an_instance_that_receives_no_peers_runs_its_pieces_itself() {
    let mut world = world();
    world.relay.hold_for_peers(ms(1500));
    world.submit(staged_arrival("1", 2));
    world.advance(ms(1500));
    assert_eq!(world.batches().len(), 1);
}

/// Guards against an overflow of the sums of sizes, one of which a peer states.
#[test]
fn pieces_of_a_peer_that_states_too_large_sizes_do_not_end_the_instance() {
    let mut world = with_batcher_peer();
    world.submit(staged_arrival("1", 2));
    let (_, mut pieces) = handovers(&mut world).remove(0);
    for piece in &mut pieces {
        piece.bytes = u64::MAX;
    }
    world.relay.on_handover(world.now, 9, pieces.clone());
    world.relay.on_handover(world.now, 10, pieces);
    world.advance(ms(3000));
    assert_eq!(returned_results(&mut world), [(9, 2), (10, 2)]);
}
