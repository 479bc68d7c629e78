//! Failures in deployments with several regions: a request is served in a region where it may be,
//! or refused.

use std::sync::Arc;

use peatdeck_core::{
    model::DataCentre,
    relay::{
        config::{Config, RequestKind, Route},
        directory::{Change, Entry},
        model::{Action, Arrival, Failure, Peer, Refusal},
        operator::OperatorCommand,
        overflow::{REMOTE_TIME, best_region},
        region::RegionName,
    },
};

use super::{
    fixture::{ConfigBuilder, World, arrival, head, ms, route, stage},
    regions::{
        config, entry_in, handovers, map, peer, placements, staged, with_prompt, world, world_at,
    },
};

/// The configuration with lists of allowed regions on all its routes.
fn allowing(version: u64, regions: Option<&[&str]>) -> Arc<Config> {
    let config = Arc::unwrap_or_clone(config().build());
    let allowed: Option<Arc<[RegionName]>> =
        regions.map(|names| names.iter().map(|name| RegionName::from(*name)).collect());
    let route = |route: &Arc<Route>| {
        Arc::new(Route { allowed_regions: allowed.clone(), ..Route::clone(route) })
    };
    let routes = config.routes.iter().map(route).collect();
    Arc::new(Config { version, routes, ..config })
}

/// An instance in region `lake` with endpoints of all services in both regions.
fn restricted(regions: Option<&[&str]>) -> World {
    let mut world = world(config());
    allow(&mut world, 2, regions);
    put_all(&mut world, "lake-b");
    put_all(&mut world, "coast-a");
    world
}

fn put_all(world: &mut World, data_centre: &str) {
    for service in ["ledger", "desk", "engine"] {
        let name = format!("{service}-{data_centre}");
        world.put(entry_in(data_centre, &name, service));
    }
}

fn remove_all(world: &mut World, data_centre: &str) {
    for service in ["ledger", "desk", "engine"] {
        let name = format!("{service}-{data_centre}").into();
        world.relay.apply_change(world.now, Change::Removed(name));
    }
    world.collect();
}

fn allow(world: &mut World, version: u64, regions: Option<&[&str]>) {
    let config = Config::clone(&allowing(version, regions));
    world.apply_command(OperatorCommand::Configure(config));
}

/// Where the calls that were sent went.
fn called(world: &mut World) -> Vec<String> {
    world.calls().iter().map(|call| call.endpoint.to_string()).collect()
}

/// Guards against requests that run in the caller's region although only another one is allowed.
#[test]
fn a_request_runs_in_the_first_allowed_region_that_has_endpoints() {
    let mut world = restricted(Some(&["coast", "nowhere"]));
    world.submit(staged("1"));
    let batch = world.batches().remove(0);
    assert_eq!(&*batch.endpoint, "ledger-coast-a");
    world.complete(&batch);
    assert_eq!(called(&mut world), ["desk-coast-a"]);
    world.submit(with_prompt("2"));
    assert_eq!(called(&mut world), ["engine-coast-a"]);
}

/// Guards against a list that is ignored because the other one names the region.
#[test]
fn the_lists_of_route_and_team_both_apply() {
    let base = Arc::unwrap_or_clone(allowing(1, Some(&["coast", "lake"])));
    let keyed = Arc::unwrap_or_clone(ConfigBuilder::new(1).key("k", "t").build());
    let mut keys = keyed.keys.unwrap();
    keys.get_mut("k").unwrap().allowed_regions = Some(Arc::from(["coast".into()]));
    let mut world = world(config());
    let config = Config { version: 2, keys: Some(keys), ..base };
    world.apply_command(OperatorCommand::Configure(config));
    put_all(&mut world, "lake-b");
    put_all(&mut world, "coast-a");
    let with_key = |id: &str| Arrival { key: Some("k".into()), ..arrival(id, "plain") };
    world.submit(with_key("1"));
    assert_eq!(called(&mut world), ["desk-coast-a"]);
    allow_with(&mut world, 3, &["lake"]);
    world.submit(with_key("2"));
    assert_eq!(world.refusals(), ["503 no_allowed_region 600ms"]);
}

/// Replaces the lists of the routes and keeps the teams.
fn allow_with(world: &mut World, version: u64, regions: &[&str]) {
    let keys = world.relay.config().unwrap().keys.clone();
    let config = Config { keys, ..Config::clone(&allowing(version, Some(regions))) };
    world.apply_command(OperatorCommand::Configure(config));
}

/// Guards against empty lists and unknown names that are taken for "all regions".
#[test]
fn an_empty_list_and_unknown_names_allow_nothing() {
    for list in [&[][..], &["nowhere"]] {
        let mut world = restricted(Some(list));
        for id in ["plain", "r", "chat"] {
            world.submit(arrival(id, id));
        }
        assert_eq!(world.refusals(), ["503 no_allowed_region 600ms"; 3]);
        assert!(called(&mut world).is_empty() && world.batches().is_empty());
    }
}

/// Guards against requests that are served without a list of regions, where regions have no names.
#[test]
fn a_list_without_a_map_allows_nothing() {
    let mut world = world_at("lake-a", map(&[]), config());
    allow(&mut world, 2, Some(&["lake"]));
    put_all(&mut world, "lake-b");
    world.submit(arrival("1", "plain"));
    assert_eq!(world.refusals(), ["503 no_allowed_region 600ms"]);
}

/// Guards against a data centre outside the map that counts as part of the only region.
#[test]
fn an_unmapped_data_centre_is_in_no_listed_region() {
    let mut world = world_at("lake-a", map(&[("lake-a", "lake")]), config());
    allow(&mut world, 2, Some(&["lake"]));
    put_all(&mut world, "elsewhere");
    world.submit(arrival("1", "plain"));
    assert_eq!(world.refusals(), ["503 no_allowed_region 600ms"]);
    put_all(&mut world, "lake-a");
    world.submit(arrival("2", "plain"));
    assert_eq!(called(&mut world), ["desk-lake-a"]);
}

/// Failure: a whole region is lost. Requests that may run elsewhere do; the others are refused at
/// once and never served elsewhere.
#[test]
fn when_a_region_is_lost_the_other_one_serves_what_may_run_there() {
    let mut world = restricted(None);
    remove_all(&mut world, "lake-b");
    world.advance(ms(30_000));
    world.submit(arrival("1", "plain"));
    assert_eq!(called(&mut world), ["desk-coast-a"]);
    allow(&mut world, 3, Some(&["lake"]));
    world.submit(arrival("2", "plain"));
    assert_eq!(world.refusals(), ["503 no_allowed_region 600ms"]);
    assert!(called(&mut world).is_empty());
}

/// Failure: the endpoints of the only allowed region disappear while requests wait there.
#[test]
fn waiting_requests_are_refused_when_their_region_loses_its_endpoints() {
    let mut world = restricted(Some(&["lake"]));
    world.relay.hold_for_tables(ms(5000));
    world.submit(arrival("1", "plain"));
    assert!(called(&mut world).is_empty());
    let leaving = entry_in("lake-b", "desk-lake-b", "desk");
    world.put(Entry { is_leaving: true, ..leaving });
    assert_eq!(world.refusals(), ["503 no_allowed_region 600ms"]);
}

/// Failure: the link is cut. Each region serves its callers from its own endpoints, and a request
/// restricted to the other region is refused, not served here.
#[test]
fn while_the_link_is_cut_restricted_requests_are_refused() {
    let mut world = restricted(None);
    world.relay.set_peers(world.now, vec![peer("near", "lake-b")], 5);
    world.submit(arrival("1", "plain"));
    let call = world.call();
    assert_eq!(&*call.endpoint, "desk-lake-b");
    world.reply(call.key, &head(200));
    allow(&mut world, 3, Some(&["coast"]));
    world.submit(arrival("2", "plain"));
    for _ in 0..50 {
        for call in world.calls() {
            assert_eq!(&*call.endpoint, "desk-coast-a");
            world.fail(call.key, Failure::Unsent);
        }
        world.advance(ms(40));
    }
    assert_eq!(world.refusals().len(), 1);
}

/// Failure: no instance of the allowed region is alive. Its prompts and pieces stay in this region,
/// never in a third one.
#[test]
fn content_for_a_region_without_instances_stays_in_the_region_where_it_arrived() {
    let mut world = restricted(Some(&["coast"]));
    let third = ["t1", "t2", "t3"].map(|name| peer(name, "third-a"));
    let peers: Vec<Peer> = third.into_iter().chain([peer("near", "lake-b")]).collect();
    world.relay.set_peers(world.now, peers, 5);
    world.submit(staged("1"));
    world.submit(with_prompt("2"));
    assert_eq!(&*handovers(&mut world)[0].0, "near");
    assert_eq!(&*placements(&mut world)[0].0, "near");
}

/// Failure: an instance resumes with old tables. Nothing is sent until they are read again, and the
/// new list applies.
#[test]
fn a_resumed_instance_applies_the_new_list_before_it_sends() {
    let mut world = restricted(None);
    world.relay.hold_for_tables(ms(5000));
    world.submit(arrival("1", "plain"));
    allow(&mut world, 3, Some(&["coast"]));
    assert!(called(&mut world).is_empty());
    world.relay.mark_tables_read(world.now);
    world.collect();
    assert_eq!(called(&mut world), ["desk-coast-a"]);
}

/// Failure: the list changes while a request's pieces wait. They are recalled and the stage is made
/// in the other region; results of the first region are not used.
#[test]
fn waiting_pieces_move_when_their_region_is_excluded() {
    let mut world = restricted(None);
    world.submit(staged("1"));
    let first = world.batches().remove(0);
    world.submit(staged("2"));
    assert!(world.batches().is_empty(), "the endpoint is busy");
    allow(&mut world, 3, Some(&["coast"]));
    let moved = world.batches();
    assert!(moved.iter().all(|batch| &*batch.endpoint == "ledger-coast-a"));
    world.complete(&first);
    assert!(called(&mut world).is_empty(), "results outside are not used");
    assert_eq!(world.freed().len(), 2);
    moved.iter().for_each(|batch| world.complete(batch));
    world.batches().iter().for_each(|batch| world.complete(batch));
    assert_eq!(called(&mut world), ["desk-coast-a", "desk-coast-a"]);
}

/// Failure: an endpoint crashes while it runs pieces of a request that has left its region. They
/// were queued there again. Found by the property test.
#[test]
fn pieces_of_a_request_that_has_moved_are_not_repeated() {
    let mut world = restricted(None);
    world.submit(staged("1"));
    let first = world.batches().remove(0);
    allow(&mut world, 3, Some(&["coast"]));
    assert_eq!(&*world.batches()[0].endpoint, "ledger-coast-a");
    world.relay.on_pieces_failure(world.now, first.call, Failure::Cut, false);
    world.collect();
    assert!(world.batches().is_empty());
}

/// Failure: the list changes and leaves no region. Running calls finish where they run.
#[test]
fn a_running_call_finishes_where_it_runs() {
    let mut world = restricted(None);
    world.submit(arrival("1", "plain"));
    let call = world.call();
    allow(&mut world, 3, Some(&[]));
    assert!(world.refusals().is_empty());
    world.reply(call.key, &head(200));
    assert!(world.actions.iter().any(|action| matches!(action, Action::Answer { .. })));
}

/// Guards against requests that wait in vain: an evacuated region is left before they begin.
#[test]
fn requests_leave_an_evacuated_region() {
    let mut world = restricted(None);
    world.apply_command(OperatorCommand::Evacuate(DataCentre::from("lake-b")));
    world.submit(staged("1"));
    assert_eq!(&*world.batches()[0].endpoint, "ledger-coast-a");
}

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

/// A refusal that promises that nothing ran must not be sent after something may have run.
#[test]
fn the_refusal_states_that_something_may_have_run() {
    assert_eq!(Refusal::NoAllowedRegion.after(true), Refusal::Failed);
    assert_eq!(Refusal::NoAllowedRegion.after(false).status(), 503);
}
