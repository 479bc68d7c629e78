//! The configuration and the endpoints that each history begins with.

use peatdeck_core::relay::{
    config::{Engine, RequestKind, Route, Stage, Transfer},
    directory::Entry,
    fingerprint::Fingerprint,
    model::Peer,
};

use crate::relay::{
    fixture::{ConfigBuilder, World, entry, route, stage},
    fuzz::oracle::{COLD_INTERVAL, data_centre_of},
};

pub const KINDS: [RequestKind; 4] =
    [RequestKind::Idempotent, RequestKind::Once, RequestKind::Stream, RequestKind::Resumable];
/// One of the few contents that many requests have in common.
pub fn common_content(pick: u8) -> Fingerprint {
    Fingerprint(u128::from(pick % 4) + 1)
}
pub fn entry_of(name: &str, service: &str) -> Entry {
    Entry { data_centre: data_centre_of(name).into(), ..entry(name, service) }
}

/// Name of the peer.
pub const PEER: &str = "peer";
/// The engines.
pub const ENGINES: [&str; 3] = ["e0", "e1", "e2"];

fn stages() -> Vec<Stage> {
    vec![stage("ledger", &[], 1_500_000), stage("ledger", &[], 8_000), stage("mart", &[1], 6_000)]
}

fn config() -> ConfigBuilder {
    let mut config = ConfigBuilder::new(1)
        .service("desk")
        .piece_service("ledger", 6_000_000)
        .piece_service("mart", 100_000);
    for (idx, kind) in KINDS.into_iter().enumerate() {
        config = config.route(route(&format!("plain{idx}"), kind, "desk"));
        config = config
            .route(Route { stages: stages(), ..route(&format!("staged{idx}"), kind, "desk") });
    }
    for service in ["desk", "ledger", "mart"] {
        config = config.cold_interval(service, COLD_INTERVAL);
    }
    config
}

fn with_endpoints(config: ConfigBuilder) -> World {
    let mut world = World::new(config.build());
    for name in ["d0", "d1", "d2"] {
        world.put(entry_of(name, "desk"));
    }
    for name in ["l0", "l1"] {
        world.put(entry_of(name, "ledger"));
    }
    world.put(entry_of("m0", "mart"));
    world
}

/// An instance without peers.
pub fn world() -> World {
    with_endpoints(config())
}

/// An instance with engines, and with a peer that ranks before it because of its CPU share: the
/// peer places all prompts and batches all pieces.
pub fn world_with_peer() -> World {
    let transfer = Some(Transfer { token_bytes: 160_000.0, rate: 32e6 });
    let engine = Engine { slots: 64, memory: 300_000, max_gap: None, transfer };
    let mut config = config().engine_service("llm", engine);
    for (idx, kind) in KINDS.into_iter().enumerate() {
        config = config.route(route(&format!("prompt{idx}"), kind, "llm"));
        let staged = route(&format!("both{idx}"), kind, "llm");
        config = config.route(Route { stages: stages(), ..staged });
    }
    let mut world = with_endpoints(config);
    for name in ENGINES {
        world.put(entry_of(name, "llm"));
    }
    set_peer(&mut world, true);
    world
}

/// Whether the instance has a live peer.
pub fn set_peer(world: &mut World, is_alive: bool) {
    let peer = Peer { name: PEER.into(), millicores: 500, data_centre: "east".into() };
    let peers = if is_alive { vec![peer] } else { Vec::new() };
    world.relay.set_peers(world.now, peers, 2);
    world.collect();
}
