//! Requests that crash the endpoints that run them.
//!
//! Guards against a content that crashes one endpoint after another because nothing is remembered
//! of it after its exchange has ended; `crashes` in the relay's tests describes the incident and
//! tests whole instances. `parts`: parts of prompts. This module: what counts as a crash, how many are enough, and which
//! content is not suspected. `work`: what happens to work in progress. `keeping`: who collects
//! crashes, who is notified, and how long content stays quarantined.

mod common;
mod keeping;
mod parts;
mod site;
mod work;

use std::sync::Arc;

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::RequestKind,
        directory::Entry,
        fingerprint::Fingerprint,
        model::{Action, Arrival, Call, EndpointKey, Failure, Peer, ProbeResult},
        paths::Reach,
        quarantine::{EARLY_PERIOD, WINDOW},
    },
};

use super::fixture::{ConfigBuilder, World, arrival, entry, head, ms, route};

/// Number of endpoints; more than any test crashes.
const ENDPOINTS: usize = 12;

fn world(kind: RequestKind) -> World {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", kind, "desk"));
    let mut world = World::new(config.build());
    for idx in 0..ENDPOINTS {
        world.put(entry(&format!("d{idx}"), "desk"));
    }
    world
}

fn poison(id: &str) -> Arrival {
    Arrival { content: content(), ..arrival(id, "r") }
}

fn content() -> Fingerprint {
    Fingerprint::of("POST", "fleet.example", "/r/x", b"poison")
}

/// The fingerprint under which instances track the content, which is sent without a team.
fn team_content() -> Fingerprint {
    content().for_team(None)
}

fn probes(world: &mut World) -> Vec<EndpointKey> {
    world.take(|action| match action {
        Action::Probe { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

/// Interrupts a call and lets the probe of its endpoint return `result`.
fn interrupt(world: &mut World, call: &Call, result: ProbeResult) {
    world.fail(call.key, Failure::Cut);
    for endpoint in probes(world) {
        world.relay.on_probe(world.now, endpoint, result);
        world.collect();
    }
    confirm_probes(world);
}

/// Peers do not reach the probed endpoints either, but others.
fn confirm_probes(world: &mut World) {
    let asked = world.take(|action| match action {
        Action::AskPeers { endpoint, own, peers, .. } => Some((*endpoint, *own, peers.clone())),
        _ => None,
    });
    for (endpoint, own, peers) in asked {
        let answers: Vec<_> = peers.into_iter().map(|peer| (peer, Reach::Unreached)).collect();
        world.relay.on_path_answers(world.now, endpoint, own, &answers);
        world.collect();
    }
}

/// Submits the content, which crashes its endpoint.
fn crash(world: &mut World, id: &str) {
    world.submit(poison(id));
    let call = world.call();
    interrupt(world, &call, ProbeResult::Gone);
    world.refusals();
}

fn queries(world: &mut World) -> Vec<Fingerprint> {
    world.take(|action| match action {
        Action::QueryAnswered { content, .. } => Some(*content),
        _ => None,
    })
}

fn answer_queries(world: &mut World, was_answered: bool) {
    for content in queries(world) {
        world.relay.on_query_result(world.now, content, was_answered);
        world.collect();
    }
}

fn is_refused(world: &mut World) -> bool {
    world.submit(poison("probe"));
    let is_sent = !world.calls().is_empty();
    let refusals = world.refusals();
    assert!(is_sent != refusals.iter().any(|refusal| refusal.contains("quarantined")));
    !is_sent
}

/// A world in which the content has crashed three endpoints and is quarantined.
fn quarantined_world(kind: RequestKind) -> World {
    let mut world = world(kind);
    for id in ["1", "2", "3"] {
        crash(&mut world, id);
    }
    answer_queries(&mut world, false);
    world
}

#[test]
fn content_that_crashed_three_endpoints_is_quarantined() {
    let mut world = world(RequestKind::Once);
    crash(&mut world, "1");
    crash(&mut world, "2");
    assert!(queries(&mut world).is_empty());
    crash(&mut world, "3");
    answer_queries(&mut world, false);
    let announced = world.take(|action| match action {
        Action::AnnounceQuarantine { content, crashes } => Some((*content, *crashes)),
        _ => None,
    });
    assert_eq!(announced, [(team_content(), 3)]);
    world.submit(poison("4"));
    assert!(world.calls().is_empty());
}

#[test]
fn quarantined_content_is_refused_as_not_run_with_the_remaining_time() {
    let mut world = quarantined_world(RequestKind::Once);
    world.advance(ms(60_000));
    world.submit(poison("4"));
    let refusal = world.refusals().remove(0);
    let retry_after = refusal.strip_prefix("503 quarantined ").unwrap().to_owned();
    let seconds: f64 = retry_after.strip_suffix('s').unwrap().parse().unwrap();
    // Each refused request prolongs the quarantine.
    assert!((WINDOW.as_secs_f64()..WINDOW.as_secs_f64() + 61.0).contains(&seconds), "{seconds}");
}

#[test]
fn other_content_is_served() {
    let mut world = quarantined_world(RequestKind::Once);
    world.submit(arrival("other", "r"));
    assert_eq!(world.calls().len(), 1);
}

#[test]
fn a_fingerprint_depends_on_the_team() {
    let same = content();
    assert_ne!(same.for_team(Some("one")), same.for_team(Some("other")));
    assert_ne!(same.for_team(Some("one")), same.for_team(None));
    let of = |method, host, target, body: &[u8]| Fingerprint::of(method, host, target, body);
    let one = of("POST", "a.example", "/x", b"y");
    assert_eq!(one, of("POST", "a.example", "/x", b"y"));
    let others = [
        of("PUT", "a.example", "/x", b"y"),
        of("POST", "b.example", "/x", b"y"),
        of("POST", "a.example", "/xy", b""),
        of("POST", "a.example", "/x", b""),
    ];
    assert!(others.iter().all(|other| *other != one));
}

#[test]
fn a_fingerprint_is_parsed_as_it_is_printed() {
    let one = team_content();
    assert_eq!(Fingerprint::parse(&one.to_string()), Some(one));
    for wrong in ["", "12", "g0000000000000000000000000000000"] {
        assert_eq!(Fingerprint::parse(wrong), None);
    }
}

/// Networks interrupt calls too, and an unresponsive machine cannot be distinguished from an
/// unresponsive network.
#[test]
fn interrupted_connections_alone_are_no_crashes() {
    for result in [ProbeResult::There, ProbeResult::Unknown] {
        let mut world = world(RequestKind::Once);
        for id in 0..9 {
            world.submit(poison(&id.to_string()));
            let call = world.call();
            interrupt(&mut world, &call, result);
            world.refusals();
            world.advance(ms(5000));
        }
        assert!(!is_refused(&mut world), "{result:?}");
    }
}

#[test]
fn a_planned_shutdown_is_no_crash() {
    let mut world = world(RequestKind::Once);
    for id in 0..6 {
        world.submit(poison(&id.to_string()));
        let call = world.call();
        world.put(Entry { is_leaving: true, ..entry(&call.endpoint, "desk") });
        world.fail(call.key, Failure::Cut);
        assert!(probes(&mut world).is_empty());
        world.refusals();
    }
    assert!(!is_refused(&mut world));
}

/// The entry of a crashed endpoint remains for some seconds.
#[test]
fn a_crashed_endpoint_gets_nothing_until_its_entry_is_rewritten() {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Once, "desk"));
    let mut world = World::new(config.build());
    world.put(entry("only", "desk"));
    crash(&mut world, "1");
    world.advance(ms(5000));
    world.submit(arrival("2", "r"));
    assert!(world.calls().is_empty());
    world.put(entry("only", "desk"));
    assert_eq!(world.calls().len(), 1);
}

/// Calls that this instance cancels itself show nothing about their endpoints.
#[test]
fn cancelled_calls_are_no_crashes() {
    let mut world = world(RequestKind::Once);
    let key = world.submit(poison("1"));
    world.call();
    world.disconnect(key);
    assert!(probes(&mut world).is_empty());
}

#[test]
fn an_incarnation_counts_once_however_many_runs_it_interrupts() {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Once, "desk"));
    let mut world = World::new(config.build());
    world.put(entry("only", "desk"));
    let calls: Vec<_> = (0..4)
        .map(|id| {
            world.submit(poison(&id.to_string()));
            world.call()
        })
        .collect();
    for call in &calls {
        world.fail(call.key, Failure::Cut);
    }
    let probed = probes(&mut world);
    assert_eq!(probed.len(), 1, "one probe is enough for all calls");
    world.relay.on_probe(world.now, probed[0], ProbeResult::Gone);
    world.collect();
    assert!(queries(&mut world).is_empty());
}

/// An interrupted connection may be detected only after the probe has returned.
#[test]
fn runs_that_are_interrupted_after_the_crash_was_detected_count() {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Once, "desk"));
    let mut world = World::new(config.build());
    world.put(entry("only", "desk"));
    world.submit(arrival("bystander", "r"));
    let bystander = world.call();
    world.submit(poison("1"));
    let call = world.call();
    interrupt(&mut world, &bystander, ProbeResult::Gone);
    world.fail(call.key, Failure::Cut);
    assert!(probes(&mut world).is_empty());
    let crashed = world.take(|action| match action {
        Action::EndpointCrashed { crashes, .. } => Some(crashes[0].content),
        _ => None,
    });
    assert_eq!(crashed[1..], [team_content()]);
}

/// The probe may find nothing wrong because the next incarnation listens at the address already.
#[test]
fn a_restart_counts_as_a_crash_of_interrupted_calls() {
    let mut world = world(RequestKind::Once);
    for id in ["1", "2", "3"] {
        world.submit(poison(id));
        let call = world.call();
        interrupt(&mut world, &call, ProbeResult::There);
        world.put(Entry { incarnation: Incarnation(2), ..entry(&call.endpoint, "desk") });
    }
    assert_eq!(queries(&mut world), [team_content()]);
}

#[test]
fn a_restart_counts_as_a_crash_of_open_calls() {
    let mut world = world(RequestKind::Once);
    for id in ["1", "2", "3"] {
        world.submit(poison(id));
        let call = world.call();
        world.put(Entry { incarnation: Incarnation(2), ..entry(&call.endpoint, "desk") });
        assert!(probes(&mut world).is_empty(), "no probe is needed");
    }
    assert_eq!(queries(&mut world), [team_content()]);
}

/// A stream that has run for a while when its engine crashes is probably not the cause.
#[test]
fn crashes_late_in_a_run_count_half() {
    let mut world = world(RequestKind::Stream);
    for id in 0..6 {
        assert!(queries(&mut world).is_empty(), "{id} crashes");
        world.submit(poison(&id.to_string()));
        let call = world.call();
        world.relay.on_reply_head(world.now, call.key, &head(200));
        world.stream_event(call.key, 1);
        world.advance(EARLY_PERIOD);
        interrupt(&mut world, &call, ProbeResult::Gone);
    }
    assert_eq!(queries(&mut world), [team_content()]);
}

/// Frequent content is involved in many crashes by chance.
#[test]
fn content_that_was_answered_meanwhile_is_not_quarantined() {
    let mut world = world(RequestKind::Once);
    crash(&mut world, "1");
    crash(&mut world, "2");
    world.submit(poison("sound"));
    let call = world.call();
    world.reply(call.key, &head(200));
    crash(&mut world, "3");
    assert!(queries(&mut world).is_empty());
    assert!(!is_refused(&mut world));
}

#[test]
fn an_error_response_counts_as_an_answer() {
    let mut world = world(RequestKind::Once);
    crash(&mut world, "1");
    crash(&mut world, "2");
    world.submit(poison("failing"));
    let call = world.call();
    world.reply(call.key, &head(500));
    crash(&mut world, "3");
    assert!(queries(&mut world).is_empty());
}

#[test]
fn content_that_another_instance_got_answered_is_not_quarantined() {
    let mut world = world(RequestKind::Once);
    for id in ["1", "2", "3"] {
        crash(&mut world, id);
    }
    answer_queries(&mut world, true);
    assert!(!is_refused(&mut world));
    // The count of crashes starts over.
    crash(&mut world, "4");
    assert!(queries(&mut world).is_empty());
}

#[test]
fn an_instance_reports_whether_a_content_was_answered() {
    let mut world = world(RequestKind::Once);
    world.advance(ms(1000));
    world.submit(poison("1"));
    let call = world.call();
    world.reply(call.key, &head(200));
    assert!(world.relay.was_answered(team_content(), ms(1000)));
    assert!(!world.relay.was_answered(team_content(), ms(1001)));
}

#[test]
fn crashes_count_for_a_limited_time() {
    let mut world = world(RequestKind::Once);
    crash(&mut world, "1");
    crash(&mut world, "2");
    world.advance(WINDOW);
    crash(&mut world, "3");
    assert!(queries(&mut world).is_empty());
}

fn peer(name: &str) -> Peer {
    Peer { name: Arc::from(name), millicores: 250, data_centre: "east".into() }
}
