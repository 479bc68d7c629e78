//! Requests leave a full region, and deployments with one region choose as without regions.

use peatdeck_core::relay::{
    config::{RequestKind, Route},
    model::{Arrival, Peer},
    overflow::{REMOTE_TIME, best_region},
    region::RegionName,
};

use super::{
    fixture::{World, arrival, head, ms, route, stage},
    region_failures::{put_all, restricted},
    regions::{config, handovers, map, peer, placements, staged, with_prompt, world, world_at},
};

/// Guards against a request that is refused although another region has time for it.
#[test]
fn the_best_region_meets_the_objective_with_the_distance_added() {
    let best = |times: &[(&str, u64)]| {
        let times = times.iter().map(|(name, time)| (RegionName::from(*name), ms(*time)));
        best_region(ms(500), times).map(|name| name.to_string())
    };
    let limit = (ms(500) - REMOTE_TIME).as_millis() as u64;
    assert_eq!(best(&[("a", limit + 1), ("b", limit)]).as_deref(), Some("b"));
    assert_eq!(best(&[("a", 200), ("b", 100)]).as_deref(), Some("b"));
    assert_eq!(best(&[("a", limit + 1)]), None);
    assert_eq!(best(&[]), None);
}

/// An instance whose stages in its own region take 1.5 s, and an objective of 1 s.
fn overloaded(peers: Vec<Peer>) -> World {
    let stages = vec![stage("ledger", &[], 1000), stage("ledger", &[0], 1000)];
    let chain =
        Route { stages, timeout: ms(60_000), ..route("chain", RequestKind::Idempotent, "desk") };
    let mut world = world(config().route(chain));
    put_all(&mut world, "lake-b");
    put_all(&mut world, "coast-a");
    world.relay.set_peers(world.now, peers, 3);
    for id in ["1", "2", "3"] {
        let arrival = arrival(id, "chain");
        let arrival = Arrival { pieces: vec![1, 1], deadline: Some(ms(60_000)), ..arrival };
        world.submit(arrival);
    }
    world
}

/// Guards against refusals for lack of time while another region is idle, and against a region that
/// gets the excess although the link to it is cut.
#[test]
fn a_request_leaves_a_full_region_only_for_one_whose_instances_answer() {
    for (has_peer, expected) in [(true, 1), (false, 0)] {
        let peers = if has_peer { vec![peer("far", "coast-a")] } else { Vec::new() };
        let mut world = overloaded(peers);
        let own = world.batches().remove(0);
        world.advance(ms(1500));
        world.complete(&own);
        let mut left = 0;
        for id in 0..40 {
            let arrival = Arrival { pieces: vec![1, 1], ..arrival(&format!("late-{id}"), "chain") };
            world.submit(arrival);
            let away = handovers(&mut world).into_iter().flat_map(|(_, pieces)| pieces);
            left += away.filter(|piece| piece.region.as_deref() == Some("coast")).count();
        }
        assert_eq!(left.min(1), expected, "{left} requests left");
        let refused = world.refusals().len();
        assert_eq!(refused == 0, has_peer, "{refused} requests were refused");
    }
}

/// Guards against refusals of pieces that their queue has no time for, while another region is idle.
#[test]
fn a_request_that_a_queue_rejects_leaves_the_region() {
    let mut world = restricted(None);
    world.relay.set_peers(world.now, vec![peer("far", "coast-a")], 3);
    let mut left = 0;
    for id in 0..60 {
        world.submit(Arrival { pieces: vec![4], ..arrival(&id.to_string(), "r") });
        let away = handovers(&mut world).into_iter().map(|(_, pieces)| pieces);
        left += away.filter(|it| it[0].region.as_deref() == Some("coast")).count();
    }
    assert!(left > 0);
    assert!(world.refusals().is_empty());
}

/// Guards against a changed choice in deployments with one region.
#[test]
fn one_region_chooses_as_without_a_map() {
    let actions = |regions| {
        let mut world = world_at("lake-a", regions, config());
        put_all(&mut world, "lake-a");
        put_all(&mut world, "lake-b");
        let mut seen = Vec::new();
        for id in 0..30 {
            let id = id.to_string();
            world.submit(staged(&id));
            world.submit(arrival(&format!("p{id}"), "plain"));
            world.submit(with_prompt(&format!("c{id}")));
            for batch in world.batches() {
                seen.push(format!("{}: {:?}", batch.endpoint, batch.names()));
                world.complete(&batch);
            }
            for call in world.calls() {
                seen.push(format!("{call:?}"));
                world.reply(call.key, &head(200));
            }
            world.relay.set_peers(world.now, vec![peer("near", "lake-b")], 2);
            let handed = handovers(&mut world).into_iter();
            seen.extend(handed.map(|(peer, pieces)| format!("{peer}: {pieces:?}")));
            seen.extend(placements(&mut world).iter().map(|placed| format!("{placed:?}")));
            world.advance(ms(50));
        }
        seen
    };
    let without = actions(map(&[]));
    assert!(without.len() > 60);
    assert_eq!(actions(map(&[("lake-a", "lake"), ("lake-b", "lake")])), without);
}
