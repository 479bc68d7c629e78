//! Endpoints that an instance cannot connect to while its peers can.
//!
//! Guards against an instance that is cut off from all endpoints, stays in service and fails
//! each request, and against taking that for the endpoints' end.

use std::sync::Arc;

use peatdeck_core::{
    model::InstanceName,
    relay::{
        config::RequestKind,
        model::{Action, Call, EndpointKey, Failure, Peer, ProbeResult},
        paths::Reach,
    },
};

use super::fixture::{ConfigBuilder, World, arrival, entry, head, ms, route};

const PEERS: [&str; 3] = ["p0", "p1", "p2"];

fn world(endpoints: usize) -> World {
    let config =
        ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Idempotent, "desk"));
    let mut world = World::new(config.build());
    for idx in 0..endpoints {
        world.put(entry(&format!("d{idx}"), "desk"));
    }
    let peer =
        |name| Peer { name: Arc::from(name), millicores: 250, data_centre: Arc::from("east") };
    let peers = PEERS.map(peer).to_vec();
    world.relay.set_peers(world.now, peers, PEERS.len() + 1);
    world
}

fn request(world: &mut World, id: &str) -> Call {
    world.submit(arrival(id, "r"));
    world.call()
}

/// The connection of a call cannot be opened.
fn fail_to_connect(world: &mut World, call: &Call) {
    world.relay.on_connection(world.now, &call.addr, false);
    world.collect();
    world.fail(call.key, Failure::Unsent);
}

type Question = (EndpointKey, ProbeResult, Vec<InstanceName>);

fn questions(world: &mut World) -> Vec<Question> {
    world.take(|action| match action {
        Action::AskPeers { endpoint, own, peers, .. } => Some((*endpoint, *own, peers.clone())),
        _ => None,
    })
}

fn answer(world: &mut World, reach: Reach) {
    for (endpoint, own, peers) in questions(world) {
        let answers: Vec<_> = peers.into_iter().map(|peer| (peer, reach)).collect();
        world.relay.on_path_answers(world.now, endpoint, own, &answers);
        world.collect();
    }
}

fn probe(world: &mut World, result: ProbeResult) {
    let probed = world.take(|action| match action {
        Action::Probe { endpoint, .. } => Some(*endpoint),
        _ => None,
    });
    for endpoint in probed {
        world.relay.on_probe(world.now, endpoint, result);
        world.collect();
    }
}

/// An instance that found the paths to two of its endpoints interrupted.
fn cut_off_world(endpoints: usize) -> World {
    let mut world = world(endpoints);
    let call = request(&mut world, "1");
    fail_to_connect(&mut world, &call);
    world.calls();
    answer(&mut world, Reach::Reached);
    probe(&mut world, ProbeResult::Unknown);
    answer(&mut world, Reach::Reached);
    assert!(world.relay.is_cut_off());
    world
}

#[test]
fn an_instance_that_cannot_connect_calls_endpoints_through_peers() {
    let mut world = cut_off_world(5);
    for id in 0..9 {
        let call = request(&mut world, &format!("r{id}"));
        let detour = call.via.clone().expect("the call takes a detour");
        assert!(PEERS.contains(&&*detour.peer));
        assert_eq!(detour.endpoint.name, call.endpoint);
        world.reply(call.key, &head(200));
    }
}

#[test]
fn an_endpoint_that_no_peer_reaches_is_not_called_through_peers() {
    let mut world = world(3);
    let call = request(&mut world, "1");
    fail_to_connect(&mut world, &call);
    answer(&mut world, Reach::Unreached);
    let other = world.call();
    assert!(other.via.is_none() && other.endpoint != call.endpoint);
    assert!(!world.relay.is_cut_off());
}

#[test]
fn a_peer_that_is_cut_off_itself_is_avoided_and_the_endpoint_is_not() {
    let mut world = cut_off_world(2);
    let call = request(&mut world, "r");
    let first = call.via.clone().expect("the call takes a detour").peer;
    world.relay.on_detour_refused(world.now, call.key);
    world.collect();
    let second = world.call().via.expect("the call takes another detour").peer;
    assert_ne!(first, second);
}

#[test]
fn a_request_is_refused_as_not_run_if_no_peer_reaches_an_endpoint() {
    let mut world = cut_off_world(2);
    world.submit(arrival("r", "r"));
    for _ in 0..20 {
        for call in world.calls() {
            world.relay.on_detour_refused(world.now, call.key);
            world.collect();
        }
        world.advance(ms(40));
    }
    assert!(world.refusals().iter().any(|refusal| refusal.starts_with("503 unserved")));
}

#[test]
fn refused_connections_of_a_cut_off_instance_are_no_crashes() {
    for reach in [Reach::Reached, Reach::CutOff, Reach::Unknown] {
        let mut world = world(3);
        let call = request(&mut world, "1");
        world.fail(call.key, Failure::Cut);
        probe(&mut world, ProbeResult::Gone);
        answer(&mut world, reach);
        let crashes = world.take(|action| match action {
            Action::EndpointCrashed { .. } => Some(()),
            _ => None,
        });
        assert!(crashes.is_empty(), "{reach:?}");
        assert_eq!(world.relay.directory().ready_count(), 3);
    }
}

#[test]
fn a_refused_connection_that_a_peer_confirms_is_a_crash() {
    let mut world = world(3);
    let call = request(&mut world, "1");
    world.fail(call.key, Failure::Cut);
    probe(&mut world, ProbeResult::Gone);
    answer(&mut world, Reach::Unreached);
    let crashes = world.take(|action| match action {
        Action::EndpointCrashed { crashes, .. } => Some(crashes.len()),
        _ => None,
    });
    assert_eq!(crashes, [1]);
    assert_eq!(world.relay.directory().ready_count(), 2);
}

#[test]
fn endpoints_are_called_directly_again_once_connections_succeed() {
    let mut world = cut_off_world(2);
    let mut checked = 0;
    for _ in 0..8 {
        world.advance(ms(250));
        let checks = world.take(|action| match action {
            Action::CheckPath { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        for endpoint in checks {
            checked += 1;
            world.relay.on_path_check(world.now, endpoint, true);
            world.collect();
        }
    }
    assert!(checked <= 4, "{checked} connections");
    assert!(!world.relay.is_cut_off());
    assert_eq!(world.relay.unreachable_count(), 0);
    assert!(request(&mut world, "r").via.is_none());
}

#[test]
fn an_endpoint_that_was_gone_is_called_once_it_accepts_connections() {
    let mut world = world(1);
    let call = request(&mut world, "1");
    world.relay.on_connection(world.now, &call.addr, false);
    world.collect();
    answer(&mut world, Reach::Unknown);
    world.fail(call.key, Failure::Cut);
    probe(&mut world, ProbeResult::Gone);
    answer(&mut world, Reach::Unreached);
    assert_eq!(world.relay.directory().ready_count(), 0);
    for _ in 0..4 {
        world.advance(ms(250));
        let checks = world.take(|action| match action {
            Action::CheckPath { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        for endpoint in checks {
            world.relay.on_path_check(world.now, endpoint, true);
            world.collect();
        }
    }
    assert_eq!(world.relay.directory().ready_count(), 1);
}

/// The endpoints whose paths are checked for an answer.
fn answer_checks(world: &mut World) -> Vec<EndpointKey> {
    world.take(|action| match action {
        Action::CheckAnswer { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

/// No endpoint answers this instance, and a peer says that they answer it.
fn hear_nothing(world: &mut World) {
    for endpoint in answer_checks(world) {
        world.relay.on_answer_check(world.now, endpoint, false);
        world.collect();
    }
    let asked = world.take(|action| match action {
        Action::AskAnswered { endpoint, peers, .. } => Some((*endpoint, peers.clone())),
        _ => None,
    });
    for (endpoint, peers) in asked {
        world.relay.on_silence_answers(world.now, endpoint, &peers[..1]);
        world.collect();
    }
}

#[test]
fn slow_calls_are_left_alone_while_any_endpoint_sends_bytes() {
    let mut world = world(2);
    request(&mut world, "slow");
    for idx in 0..10 {
        world.advance(ms(150));
        let call = request(&mut world, &idx.to_string());
        world.relay.on_reply_head(world.now, call.key, &head(200));
        world.reply(call.key, &head(200));
    }
    assert_eq!(answer_checks(&mut world), []);
}

#[test]
fn calls_on_connections_that_carry_nothing_are_repeated_through_the_peer_that_is_answered() {
    let mut world = world(2);
    let call = request(&mut world, "1");
    world.advance(ms(700));
    hear_nothing(&mut world);
    let again = world.call();
    assert_eq!(again.exchange, call.exchange);
    assert!(again.via.is_some());
    // A connection that opens proves nothing now.
    world.relay.on_connect(world.now, &call.addr, true);
    world.collect();
    assert!(request(&mut world, "2").via.is_some());
}

#[test]
fn a_slow_endpoint_that_answers_a_check_is_waited_for() {
    let mut world = world(2);
    request(&mut world, "1");
    world.advance(ms(700));
    for endpoint in answer_checks(&mut world) {
        world.relay.on_answer_check(world.now, endpoint, true);
        world.collect();
    }
    assert!(world.calls().is_empty() && world.actions.is_empty());
}
