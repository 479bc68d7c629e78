//! Results that the calls for pieces of a later stage have probably read.

use peatdeck_core::relay::{
    config::{Pieces, RequestKind, Stage},
    fingerprint::Fingerprint,
    model::{Action, Arrival, Handle, Peer, Piece, PieceFailure},
};

use crate::relay::fixture::{Batch, ConfigBuilder, World, arrival, entry, ms, route, stage};

/// Size of a result, in bytes.
const BYTES: u64 = 50_000;

/// Two dependent services, `first` and `second`, with one endpoint each. The endpoint of `first`
/// has memory for `max_results` results and runs up to four pieces per call.
fn chain(stages: Vec<Stage>, max_results: u64, second_batch: u32) -> World {
    let mut staged = route("r", RequestKind::Idempotent, "desk");
    staged.stages = stages;
    let second = Pieces {
        slots: 1,
        queue: 2,
        batch: second_batch,
        call_time: ms(200),
        piece_time: ms(20),
        room: 1 << 30,
        lease: ms(4000),
    };
    let config = ConfigBuilder::new(1).service("desk").piece_service("first", max_results * BYTES);
    let mut world = World::new(config.piece_service_with("second", second).route(staged).build());
    world.put(entry("a", "desk"));
    world.put(entry("m", "first"));
    world.put(entry("n", "second"));
    world
}

fn two_stages() -> Vec<Stage> {
    vec![stage("first", &[], BYTES), stage("second", &[0], 1000)]
}

fn submit_pieces(world: &mut World, id: &str, pieces: &[u16]) {
    world.submit(Arrival { pieces: pieces.to_vec(), ..arrival(id, "r") });
}

fn batch_at(world: &mut World, endpoint: &str) -> Option<Batch> {
    world.batches().into_iter().find(|batch| &*batch.endpoint == endpoint)
}

/// The first stage of a request is complete and its second stage has begun; a second request waits
/// for result memory.
fn waiting_for_memory() -> (World, Batch) {
    let mut world = chain(two_stages(), 4, 4);
    submit_pieces(&mut world, "1", &[4, 1]);
    let first = batch_at(&mut world, "m").unwrap();
    world.complete(&first);
    let second = batch_at(&mut world, "n").unwrap();
    submit_pieces(&mut world, "2", &[4, 1]);
    assert!(world.batches().is_empty(), "no result memory is free");
    (world, second)
}

#[test]
fn results_read_by_the_next_stage_are_evicted_if_memory_is_scarce() {
    let (mut world, _) = waiting_for_memory();
    world.advance(ms(59));
    assert!(world.batches().is_empty());
    world.advance(ms(1));
    assert_eq!(world.freed().join(" "), "m:80/1-0-0 m:80/1-0-1 m:80/1-0-2 m:80/1-0-3");
    assert_eq!(batch_at(&mut world, "m").unwrap().pieces.len(), 4);
}

#[test]
fn results_read_by_the_next_stage_are_kept_if_memory_suffices() {
    let mut world = chain(two_stages(), 8, 4);
    submit_pieces(&mut world, "1", &[4, 1]);
    let first = batch_at(&mut world, "m").unwrap();
    world.complete(&first);
    submit_pieces(&mut world, "2", &[4, 1]);
    let again = batch_at(&mut world, "m").unwrap();
    world.advance(ms(100));
    assert!(world.freed().is_empty(), "it might be needed again");
    assert_eq!(again.pieces.len(), 4);
}

#[test]
fn results_that_another_piece_has_yet_to_read_are_kept() {
    let mut world = chain(two_stages(), 4, 1);
    submit_pieces(&mut world, "1", &[4, 2]);
    let first = batch_at(&mut world, "m").unwrap();
    world.complete(&first);
    let second = batch_at(&mut world, "n").unwrap();
    assert_eq!(second.names(), ["1/1/0"]);
    submit_pieces(&mut world, "2", &[4, 1]);
    world.advance(ms(100));
    assert!(world.freed().is_empty(), "the other piece waits");
    world.complete(&second);
    assert_eq!(batch_at(&mut world, "n").unwrap().names(), ["1/1/1"]);
    world.advance(ms(60));
    assert_eq!(world.freed().len(), 4);
}

#[test]
fn results_that_another_stage_needs_are_kept() {
    let stages = vec![
        stage("first", &[], BYTES),
        stage("second", &[0], 1000),
        stage("second", &[0, 1], 1000),
    ];
    let mut world = chain(stages, 4, 4);
    submit_pieces(&mut world, "1", &[4, 1, 1]);
    let first = batch_at(&mut world, "m").unwrap();
    world.complete(&first);
    assert_eq!(batch_at(&mut world, "n").unwrap().names(), ["1/1/0"]);
    submit_pieces(&mut world, "2", &[4, 1, 1]);
    world.advance(ms(100));
    assert!(world.freed().is_empty());
}

/// A call read its inputs only after they had been evicted. Its pieces are repeated from the first
/// stage, and the next calls get more time to read their inputs.
#[test]
fn missing_inputs_lengthen_the_time_that_results_are_held() {
    let (mut world, second) = waiting_for_memory();
    world.advance(ms(60));
    assert_eq!(world.freed().len(), 4);
    let first = batch_at(&mut world, "m").unwrap();
    world.complete_with(second.call, second.all_failed(PieceFailure::InputGone));
    world.complete(&first);
    let second = batch_at(&mut world, "n").unwrap();
    assert_eq!(second.names(), ["2/1/0"]);
    // The repeated pieces of the first request wait for memory; its old results are freed.
    world.freed();
    world.advance(ms(119));
    assert!(world.freed().is_empty());
    world.advance(ms(1));
    assert_eq!(world.freed().len(), 4);
    assert_eq!(batch_at(&mut world, "m").unwrap().names().len(), 4);
}

/// This instance runs pieces whose inputs were produced through a peer.
fn with_batcher_peer() -> World {
    let mut world = chain(two_stages(), 4, 4);
    let peer = Peer { name: "peer".into(), millicores: 500, data_centre: "east".into() };
    world.relay.set_peers(world.now, vec![peer], 2);
    world
}

fn evictable(world: &mut World) -> Vec<Handle> {
    let reported = world.take(|action| match action {
        Action::FreeViaPeer { handles, is_evictable: true, .. } => Some(handles.clone()),
        _ => None,
    });
    reported.into_iter().flatten().collect()
}

/// Evictable results are reported to a peer only while pieces wait for the endpoints that hold
/// them.
#[test]
fn peers_receive_evictable_results_only_while_pieces_wait() {
    let mut world = with_batcher_peer();
    let evictable_after = |world: &mut World, id: &str| {
        let piece = Piece {
            request: id.into(),
            inputs: vec![format!("m:80/{id}").into()],
            ..piece_for("second")
        };
        let ticket = world.now.as_millis() as u64;
        world.relay.on_handover(world.now, ticket, vec![piece]);
        world.collect();
        world.advance(ms(60));
        let batch = batch_at(world, "n").unwrap();
        world.complete(&batch);
        evictable(world)
    };
    assert!(evictable_after(&mut world, "1").is_empty());
    world.relay.on_backlog_notice(world.now, "first".into());
    assert_eq!(evictable_after(&mut world, "2").join(" "), "m:80/2");
    world.advance(ms(400));
    assert!(evictable_after(&mut world, "3").is_empty(), "the last backlog notice is too old");
}

#[test]
fn backlogs_are_announced_at_a_limited_rate() {
    let mut world = with_batcher_peer();
    let pieces = |count: u16| (0..count).map(|number| Piece { number, ..piece_for("first") });
    let reported = |world: &mut World| {
        let reported = world.take(|action| match action {
            Action::AnnounceQueue { service, .. } => Some(service.to_string()),
            _ => None,
        });
        reported.len()
    };
    world.relay.on_handover(world.now, 1, pieces(4).collect());
    world.advance(ms(10));
    assert_eq!(reported(&mut world), 0, "all of them are running");
    world.relay.on_handover(world.now, 2, pieces(8).collect());
    world.advance(ms(100));
    assert_eq!(reported(&mut world), 1);
    world.advance(ms(50));
    assert_eq!(reported(&mut world), 0);
    world.advance(ms(50));
    assert_eq!(reported(&mut world), 1);
}

fn piece_for(service: &str) -> Piece {
    Piece {
        service: service.into(),
        region: None,
        route: "r".into(),
        request: "r".into(),
        stage: 1,
        number: 0,
        key: None,
        inputs: Vec::new(),
        bytes: 1000,
        deadline: ms(60_000),
        target: ms(30_000),
        priority: 1,
        destination: None,
        round: 0,
        tries: 0,
        is_repeat: false,
        is_begun: false,
        is_resumed: false,
        content: Fingerprint(1),
        is_isolated: false,
        is_last_reader: true,
    }
}
