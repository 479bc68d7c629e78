//! Failures in deployments with several regions: a request is served in a region where it may be,
//! or refused.

use std::sync::Arc;

use peatdeck_core::{
    model::{DataCentre, Incarnation},
    relay::{
        config::{Config, Route},
        directory::{Change, Entry},
        model::{Action, Arrival, Failure, Peer, Refusal},
        operator::OperatorCommand,
        region::RegionName,
    },
};

use super::{
    fixture::{ConfigBuilder, World, arrival, head, ms},
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
pub fn restricted(regions: Option<&[&str]>) -> World {
    let mut world = world(config());
    allow(&mut world, 2, regions);
    put_all(&mut world, "lake-b");
    put_all(&mut world, "coast-a");
    world
}

pub fn put_all(world: &mut World, data_centre: &str) {
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

/// Failure: an endpoint restarts while it runs pieces of a request that has left its region. They
/// were queued there again. Found by the property test.
#[test]
fn pieces_of_a_request_that_has_moved_are_not_repeated() {
    let mut world = restricted(None);
    world.submit(staged("1"));
    let first = world.batches().remove(0);
    allow(&mut world, 3, Some(&["coast"]));
    assert_eq!(&*world.batches()[0].endpoint, "ledger-coast-a");
    let entry = entry_in("lake-b", &first.endpoint, "ledger");
    world.put(Entry { incarnation: Incarnation(2), ..entry });
    world.advance(ms(200));
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

/// Guards against a call that is cancelled as overdue and then refused, because its region has been
/// excluded meanwhile.
#[test]
fn an_overdue_call_is_kept_if_its_region_is_excluded() {
    for (list, expected) in [(None, 1), (Some(&["coast"][..]), 0)] {
        let mut world = restricted(None);
        world.put(entry_in("lake-a", "other", "engine"));
        world.submit(Arrival { deadline: Some(ms(8000)), ..with_prompt("1") });
        allow(&mut world, 3, list);
        for _ in 0..70 {
            world.advance(ms(100));
        }
        let is_cancelled = |action: &Action| matches!(action, Action::Cancel(_)).then_some(());
        assert_eq!(world.take(is_cancelled).len(), expected);
    }
}

/// Guards against results that the batcher of another region is asked to free, which has no account
/// of them.
#[test]
fn results_are_freed_by_the_batcher_of_their_region() {
    let mut world = restricted(Some(&["coast"]));
    world.relay.set_peers(world.now, vec![peer("near", "lake-b"), peer("far", "coast-b")], 3);
    world.submit(staged("1"));
    let key = world.take(|action| match action {
        Action::HandOverPieces { key, peer, .. } => Some((*key, peer.to_string())),
        _ => None,
    });
    assert_eq!(key[0].1, "far");
    let results = vec![Ok("m:80/1".into()), Ok("m:80/2".into())];
    world.relay.on_handover_return(world.now, key[0].0, Some(results));
    world.collect();
    let call = world.call();
    world.reply(call.key, &head(200));
    let freed = world.take(|action| match action {
        Action::FreeViaPeer { peer, handles, .. } => Some((peer.to_string(), handles.len())),
        _ => None,
    });
    assert_eq!(freed, [("far".to_owned(), 2)]);
}

/// Guards against requests that wait in vain: an evacuated region is left before they begin.
#[test]
fn requests_leave_an_evacuated_region() {
    let mut world = restricted(None);
    world.apply_command(OperatorCommand::Evacuate(DataCentre::from("lake-b")));
    world.submit(staged("1"));
    assert_eq!(&*world.batches()[0].endpoint, "ledger-coast-a");
}

/// A refusal that promises that nothing ran must not be sent after something may have run.
#[test]
fn the_refusal_states_that_something_may_have_run() {
    assert_eq!(Refusal::NoAllowedRegion.after(true), Refusal::Failed);
    assert_eq!(Refusal::NoAllowedRegion.after(false).status(), 503);
}
