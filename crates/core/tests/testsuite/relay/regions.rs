//! Deployments with several regions: each request runs in one of them.

use std::sync::Arc;

use peatdeck_core::{
    model::InstanceName,
    relay::{
        Settings,
        config::{Engine, RequestKind, Route},
        directory::Entry,
        model::{Action, Arrival, Peer, Piece, PlacementRequest},
        region::RegionMap,
    },
};

use super::fixture::{ConfigBuilder, World, arrival, entry, ms, prompt, route, settings, stage};

/// Two data centres in each of the regions `lake` and `coast`.
pub fn two_regions() -> RegionMap {
    map(&[("lake-a", "lake"), ("lake-b", "lake"), ("coast-a", "coast"), ("coast-b", "coast")])
}

pub fn map(pairs: &[(&str, &str)]) -> RegionMap {
    let pairs =
        pairs.iter().map(|(data_centre, region)| (Arc::from(*data_centre), Arc::from(*region)));
    RegionMap::new(pairs.collect())
}

pub fn entry_in(data_centre: &str, name: &str, service: &str) -> Entry {
    Entry { data_centre: Arc::from(data_centre), ..entry(name, service) }
}

pub fn peer(name: &str, data_centre: &str) -> Peer {
    Peer { name: Arc::from(name), millicores: 1000, data_centre: Arc::from(data_centre) }
}

/// A route `r` with the stage `ledger` before the call to `desk`, a route `plain` to `desk` and a
/// route `chat` with prompts to `engine`.
pub fn config() -> ConfigBuilder {
    let stages = vec![stage("ledger", &[], 1000)];
    let engine = Engine { transfer: None, memory: 1 << 20, slots: 8, max_gap: None };
    ConfigBuilder::new(1)
        .service("desk")
        .piece_service("ledger", 1 << 30)
        .engine_service("engine", engine)
        .route(Route { stages, ..route("r", RequestKind::Idempotent, "desk") })
        .route(route("plain", RequestKind::Idempotent, "desk"))
        .route(route("chat", RequestKind::Idempotent, "engine"))
}

/// An instance in data centre `lake-a` of two regions.
pub fn world(config: ConfigBuilder) -> World {
    world_at("lake-a", two_regions(), config)
}

pub fn world_at(data_centre: &str, regions: RegionMap, config: ConfigBuilder) -> World {
    let data_centre = Arc::from(data_centre);
    World::with_settings(config.build(), Settings { data_centre, regions, ..settings("own") })
}

pub fn staged(id: &str) -> Arrival {
    Arrival { pieces: vec![2], ..arrival(id, "r") }
}

pub fn with_prompt(id: &str) -> Arrival {
    Arrival { prompt: Some(prompt(1, 2)), ..arrival(id, "chat") }
}

/// Removes the hand-overs of pieces from the actions and returns them.
pub fn handovers(world: &mut World) -> Vec<(InstanceName, Vec<Piece>)> {
    world.take(|action| match action {
        Action::HandOverPieces { peer, pieces, .. } => Some((peer.clone(), pieces.clone())),
        _ => None,
    })
}

/// Removes the placement requests from the actions and returns them.
pub fn placements(world: &mut World) -> Vec<(InstanceName, PlacementRequest)> {
    world.take(|action| match action {
        Action::RequestPlacement { peer, request, .. } => Some((peer.clone(), request.clone())),
        _ => None,
    })
}

/// Guards against results of 3 MB that cross the link between two regions.
#[test]
fn all_work_of_a_request_runs_in_the_region_of_its_instance() {
    let mut world = world(config());
    world.put(entry_in("coast-a", "l0", "ledger"));
    world.put(entry_in("coast-a", "d0", "desk"));
    world.put(entry_in("lake-b", "l1", "ledger"));
    world.put(entry_in("lake-b", "d1", "desk"));
    for id in 0..20 {
        world.submit(staged(&id.to_string()));
        world.advance(ms(300));
        for batch in world.batches() {
            assert_eq!(&*batch.endpoint, "l1");
            assert!(batch.pieces.iter().all(|piece| piece.region.as_deref() == Some("lake")));
            world.complete(&batch);
        }
        assert_eq!(&*world.call().endpoint, "d1");
    }
}

/// Guards against pieces and prompts that are passed to the other region while this one has
/// instances.
#[test]
fn a_region_has_a_batcher_and_a_placer_of_its_own() {
    let mut world = world(config());
    world.put(entry_in("lake-b", "l1", "ledger"));
    world.put(entry_in("lake-b", "d1", "desk"));
    world.put(entry_in("lake-b", "e1", "engine"));
    let others = ["c1", "c2", "c3", "c4", "c5"].map(|name| peer(name, "coast-b"));
    let near = peer("near", "lake-b");
    world.relay.set_peers(world.now, others.into_iter().chain([near]).collect(), 7);
    world.submit(staged("1"));
    world.submit(with_prompt("2"));
    assert_eq!(&*handovers(&mut world)[0].0, "near");
    let (placer, request) = placements(&mut world).remove(0);
    assert_eq!((&*placer, request.region.as_deref()), ("near", Some("lake")));
}

/// Guards against a batcher that runs pieces of another region at its own endpoints.
#[test]
fn a_batcher_runs_each_piece_in_its_region() {
    let mut world = world(config());
    world.put(entry_in("coast-a", "l0", "ledger"));
    world.put(entry_in("lake-b", "l1", "ledger"));
    let piece = |number, region: &str| {
        let mut other = self::world(config());
        other.relay.set_peers(other.now, vec![peer("near", "lake-b")], 2);
        other.submit(staged("1"));
        let piece = handovers(&mut other).remove(0).1.remove(0);
        Piece { number, region: Some(region.into()), ..piece }
    };
    let pieces = vec![piece(0, "coast"), piece(1, "lake")];
    world.relay.on_handover(world.now, 1, pieces);
    world.collect();
    let mut run: Vec<_> =
        world.batches().iter().map(|it| (it.endpoint.to_string(), it.names())).collect();
    run.sort_unstable();
    assert_eq!(
        run,
        [("l0".into(), vec!["1/0/0".into()]), ("l1".to_owned(), vec!["1/0/1".to_owned()])]
    );
}
