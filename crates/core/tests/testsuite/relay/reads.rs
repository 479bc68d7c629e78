//! Results that calls for pieces have read.

use peatdeck_core::relay::{
    config::{Pieces, RequestKind, Stage},
    fingerprint::Fingerprint,
    model::{Action, Arrival, Handle, Peer, Piece, PieceFailure},
};

use crate::relay::fixture::{Batch, ConfigBuilder, World, arrival, entry, ms, route, stage};

/// Size of a result.
const BYTES: u64 = 50_000;

/// Two makers in a chain, each with one endpoint; the first has room for so many
/// results, and takes four pieces a call.
fn chain(stages: Vec<Stage>, room: u64, second_batch: u32) -> World {
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
    let config = ConfigBuilder::new(1).service("desk").piece_service("first", room * BYTES);
    let mut world = World::new(config.piece_service_with("second", second).route(staged).build());
    world.put(entry("a", "desk"));
    world.put(entry("m", "first"));
    world.put(entry("n", "second"));
    world
}

fn two_stages() -> Vec<Stage> {
    vec![stage("first", &[], BYTES), stage("second", &[0], 1000)]
}

fn come(world: &mut World, id: &str, pieces: &[u16]) {
    world.submit(Arrival { pieces: pieces.to_vec(), ..arrival(id, "r") });
}

fn batch_at(world: &mut World, endpoint: &str) -> Option<Batch> {
    world.batches().into_iter().find(|batch| &*batch.endpoint == endpoint)
}

/// Both results of a request's first stage are made and its second stage has begun, a
/// second request waits for room.
fn waiting_for_room() -> (World, Batch) {
    let mut world = chain(two_stages(), 4, 4);
    come(&mut world, "1", &[4, 1]);
    let first = batch_at(&mut world, "m").unwrap();
    world.complete(&first);
    let second = batch_at(&mut world, "n").unwrap();
    come(&mut world, "2", &[4, 1]);
    assert!(world.batches().is_empty(), "there is no room");
    (world, second)
}

#[test]
fn what_the_next_stage_has_read_gives_way_where_room_is_scarce() {
    let (mut world, _) = waiting_for_room();
    world.advance(ms(59));
    assert!(world.batches().is_empty());
    world.advance(ms(1));
    assert_eq!(world.freed().join(" "), "m:80/1-0-0 m:80/1-0-1 m:80/1-0-2 m:80/1-0-3");
    assert_eq!(batch_at(&mut world, "m").unwrap().pieces.len(), 4);
}

#[test]
fn what_the_next_stage_has_read_stays_where_there_is_room() {
    let mut world = chain(two_stages(), 8, 4);
    come(&mut world, "1", &[4, 1]);
    let first = batch_at(&mut world, "m").unwrap();
    world.complete(&first);
    come(&mut world, "2", &[4, 1]);
    let again = batch_at(&mut world, "m").unwrap();
    world.advance(ms(100));
    assert!(world.freed().is_empty(), "it might be needed again");
    assert_eq!(again.pieces.len(), 4);
}

#[test]
fn what_another_piece_has_yet_to_read_stays() {
    let mut world = chain(two_stages(), 4, 1);
    come(&mut world, "1", &[4, 2]);
    let first = batch_at(&mut world, "m").unwrap();
    world.complete(&first);
    let second = batch_at(&mut world, "n").unwrap();
    assert_eq!(second.names(), ["1/1/0"]);
    come(&mut world, "2", &[4, 1]);
    world.advance(ms(100));
    assert!(world.freed().is_empty(), "the other piece waits");
    world.complete(&second);
    assert_eq!(batch_at(&mut world, "n").unwrap().names(), ["1/1/1"]);
    world.advance(ms(60));
    assert_eq!(world.freed().len(), 4);
}

#[test]
fn what_another_stage_needs_too_stays() {
    let stages = vec![
        stage("first", &[], BYTES),
        stage("second", &[0], 1000),
        stage("second", &[0, 1], 1000),
    ];
    let mut world = chain(stages, 4, 4);
    come(&mut world, "1", &[4, 1, 1]);
    let first = batch_at(&mut world, "m").unwrap();
    world.complete(&first);
    assert_eq!(batch_at(&mut world, "n").unwrap().names(), ["1/1/0"]);
    come(&mut world, "2", &[4, 1, 1]);
    world.advance(ms(100));
    assert!(world.freed().is_empty());
}

/// A call that came too late for what had been given up: its pieces are made again from
/// the beginning, and the next calls are given longer to read.
#[test]
fn inputs_that_were_missed_are_held_longer_next_time() {
    let (mut world, second) = waiting_for_room();
    world.advance(ms(60));
    assert_eq!(world.freed().len(), 4);
    let first = batch_at(&mut world, "m").unwrap();
    world.complete_with(second.call, second.all_failed(PieceFailure::InputGone));
    world.complete(&first);
    let second = batch_at(&mut world, "n").unwrap();
    assert_eq!(second.names(), ["2/1/0"]);
    // What the first request needs once more waits for room; it gave the old up.
    world.freed();
    world.advance(ms(119));
    assert!(world.freed().is_empty());
    world.advance(ms(1));
    assert_eq!(world.freed().len(), 4);
    assert_eq!(batch_at(&mut world, "m").unwrap().names().len(), 4);
}

/// This instance makes pieces from results that a peer had made.
fn beside_a_batcher() -> World {
    let mut world = chain(two_stages(), 4, 4);
    let peer = Peer { name: "peer".into(), millicores: 500 };
    world.relay.set_peers(world.now, vec![peer], 2);
    world
}

fn spared(world: &mut World) -> Vec<Handle> {
    let told = world.take(|action| match action {
        Action::FreeViaPeer { handles, is_evictable: true, .. } => Some(handles.clone()),
        _ => None,
    });
    told.into_iter().flatten().collect()
}

/// Peers are told what was read only while pieces wait at their endpoints.
#[test]
fn a_peer_hears_what_was_read_where_pieces_wait() {
    let mut world = beside_a_batcher();
    let made = |world: &mut World, id: &str| {
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
        spared(world)
    };
    assert!(made(&mut world, "1").is_empty());
    world.relay.on_backlog_notice(world.now, "first".into());
    assert_eq!(made(&mut world, "2").join(" "), "m:80/2");
    world.advance(ms(400));
    assert!(made(&mut world, "3").is_empty(), "that was a while ago");
}

#[test]
fn an_instance_says_where_pieces_wait_and_not_too_often() {
    let mut world = beside_a_batcher();
    let pieces = |count: u16| (0..count).map(|number| Piece { number, ..piece_for("first") });
    let told = |world: &mut World| {
        let told = world.take(|action| match action {
            Action::AnnounceQueue { service, .. } => Some(service.to_string()),
            _ => None,
        });
        told.len()
    };
    world.relay.on_handover(world.now, 1, pieces(4).collect());
    world.advance(ms(10));
    assert_eq!(told(&mut world), 0, "all are being made");
    world.relay.on_handover(world.now, 2, pieces(8).collect());
    world.advance(ms(100));
    assert_eq!(told(&mut world), 1);
    world.advance(ms(50));
    assert_eq!(told(&mut world), 0);
    world.advance(ms(50));
    assert_eq!(told(&mut world), 1);
}

fn piece_for(service: &str) -> Piece {
    Piece {
        service: service.into(),
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
        content: Fingerprint(1),
        is_isolated: false,
        is_last_reader: true,
    }
}
