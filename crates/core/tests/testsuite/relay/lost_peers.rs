//! Streams that a peer began and nobody remembers, since that peer has ended.

use std::{collections::HashMap, sync::Arc};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        StoredOrigins,
        config::RequestKind,
        directory::Entry,
        model::{Action, Arrival, Peer},
        peer_losses::Incarnations,
        registry::Versions,
        streams::{Origin, PeerAnswer},
    },
};

use super::fixture::{ConfigBuilder, World, arrival, entry, ms, route};

fn versioned(name: &str, version: &str) -> Entry {
    Entry { version: version.into(), ..entry(name, "desk") }
}

fn versions(names: &[&str]) -> Versions {
    names.iter().map(|it| Arc::from(*it)).collect()
}

fn live(peers: &[(&str, u64)]) -> Incarnations {
    peers.iter().map(|(name, number)| ((*name).into(), Incarnation(*number))).collect()
}

/// An instance that has started while the store listed v1 alone, with two peers. Five seconds
/// later v2 is listed and serves beside v1.
fn young() -> World {
    let config = ConfigBuilder::new(1).key("k1", "one").service("desk");
    let config = config.route(route("r", RequestKind::Resumable, "desk"));
    let mut world = World::new(config.build());
    let peer = |name: &str| Peer { name: name.into(), millicores: 1, data_centre: "".into() };
    world.relay.set_peers(world.now, vec![peer("p"), peer("q")], 3);
    world.relay.set_live_peers(world.now, live(&[("p", 1), ("q", 1)]));
    world.put(versioned("a", "v1"));
    list(&mut world, &["v1"]);
    world.advance(ms(5000));
    world.put(versioned("c", "v2"));
    list(&mut world, &["v1", "v2"]);
    world.advance(ms(2000));
    world
}

fn list(world: &mut World, listed: &[&str]) {
    world.relay.on_versions_listed(world.now, &"desk".into(), versions(listed));
    world.collect();
}

/// Takes up a stream that nobody remembers; so many of the two peers answer that.
fn take_up_unknown(world: &mut World, answered: usize) {
    let arrival = Arrival { key: Some("k1".into()), ..arrival("2", "r") };
    world.submit(Arrival { resume: Some(2), first_attempt: Some("1".into()), ..arrival });
    let asked = world.take(|action| match action {
        Action::AskOrigin { exchange, .. } => Some(*exchange),
        _ => None,
    });
    let answer = PeerAnswer { origin: Origin::Ambiguous, asked: 2, answered, age: ms(0) };
    world.relay.on_origin(world.now, asked[0], answer);
    let versions = HashMap::from([("desk".into(), versions(&["v1", "v2"]))]);
    let stored = StoredOrigins { versions, streams: Vec::new() };
    world.relay.on_origins_read(world.now, Some(stored));
    world.collect();
}

#[test]
fn a_stream_from_before_the_start_goes_on_while_all_peers_live() {
    let mut world = young();
    world.relay.set_live_peers(world.now, live(&[("p", 1), ("q", 1)]));
    take_up_unknown(&mut world, 2);
    assert_eq!(&*world.call().software, "v1");
}

#[test]
fn a_stream_is_not_taken_for_one_from_before_the_start_once_a_peer_has_ended() {
    for left in [live(&[("p", 1)]), live(&[("p", 1), ("q", 2)])] {
        let mut world = young();
        world.relay.set_live_peers(world.now, left);
        take_up_unknown(&mut world, 2);
        assert_eq!(world.refusals(), ["503 unknown_version never"]);
        assert_eq!(world.calls(), []);
    }
}

#[test]
fn a_stream_is_not_taken_for_one_from_before_the_start_while_a_peer_does_not_answer() {
    let mut world = young();
    take_up_unknown(&mut world, 1);
    assert_eq!(world.refusals(), ["503 origin_unavailable 600ms"]);
    assert_eq!(world.calls(), []);
}
