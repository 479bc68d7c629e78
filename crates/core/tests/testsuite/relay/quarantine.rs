//! Requests that crash whatever runs them.
//!
//! The story stands with the test of whole instances (`crashes` in the relay's
//! tests): one content ended endpoint after endpoint, since what an exchange had
//! learned of it ended with the exchange. Here: what counts as a crash, how many are
//! enough, and who is not to be blamed. `work`: what becomes of work that is under way.
//! `keeping`: who counts crashes and is told, and how long content is held back.

mod keeping;
mod work;

use std::sync::Arc;

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::RequestKind,
        directory::Entry,
        fingerprint::Fingerprint,
        model::{Action, Arrival, Call, EndpointKey, Failure, Peer, ProbeResult},
        quarantine::{EARLY_PERIOD, WINDOW},
    },
};

use super::fixture::{ConfigBuilder, World, arrival, entry, head, ms, route};

/// Endpoints of a world: more than any test ends.
const DESKS: usize = 12;

fn world(kind: RequestKind) -> World {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", kind, "desk"));
    let mut world = World::new(config.build());
    for idx in 0..DESKS {
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

/// The same as instances keep it: no team sent it.
fn held() -> Fingerprint {
    content().for_team(None)
}

fn probes(world: &mut World) -> Vec<EndpointKey> {
    world.take(|action| match action {
        Action::Probe { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

/// The call is cut, and the probe of its endpoint tells this.
fn cut(world: &mut World, call: &Call, probed: ProbeResult) {
    world.fail(call.key, Failure::Cut);
    for endpoint in probes(world) {
        world.relay.on_probe(world.now, endpoint, probed);
        world.collect();
    }
}

/// The content is sent and ends its endpoint.
fn crash(world: &mut World, id: &str) {
    world.submit(poison(id));
    let call = world.call();
    cut(world, &call, ProbeResult::Gone);
    world.refusals();
}

fn consulted(world: &mut World) -> Vec<Fingerprint> {
    world.take(|action| match action {
        Action::QueryAnswered { content, .. } => Some(*content),
        _ => None,
    })
}

fn answer_consult(world: &mut World, was_answered: bool) {
    for content in consulted(world) {
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

/// A content that has ended three endpoints, and is held back.
fn held_world(kind: RequestKind) -> World {
    let mut world = world(kind);
    for id in ["1", "2", "3"] {
        crash(&mut world, id);
    }
    answer_consult(&mut world, false);
    world
}

#[test]
fn content_that_ended_three_endpoints_is_held_back() {
    let mut world = world(RequestKind::Once);
    crash(&mut world, "1");
    crash(&mut world, "2");
    assert!(consulted(&mut world).is_empty());
    crash(&mut world, "3");
    answer_consult(&mut world, false);
    let told = world.take(|action| match action {
        Action::AnnounceQuarantine { content, crashes } => Some((*content, *crashes)),
        _ => None,
    });
    assert_eq!(told, [(held(), 3)]);
    world.submit(poison("4"));
    assert!(world.calls().is_empty());
}

#[test]
fn its_caller_hears_at_once_that_nothing_ran_and_how_long_that_lasts() {
    let mut world = held_world(RequestKind::Once);
    world.advance(ms(60_000));
    world.submit(poison("4"));
    let refusal = world.refusals().remove(0);
    let away = refusal.strip_prefix("503 quarantined ").unwrap().to_owned();
    let seconds: f64 = away.strip_suffix('s').unwrap().parse().unwrap();
    // Each request that is refused prolongs it.
    assert!((WINDOW.as_secs_f64()..WINDOW.as_secs_f64() + 61.0).contains(&seconds), "{seconds}");
}

#[test]
fn what_is_asked_for_by_others_is_served() {
    let mut world = held_world(RequestKind::Once);
    world.submit(arrival("other", "r"));
    assert_eq!(world.calls().len(), 1);
}

#[test]
fn a_content_is_its_teams_own() {
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
fn a_fingerprint_is_read_as_it_is_written() {
    let one = held();
    assert_eq!(Fingerprint::parse(&one.to_string()), Some(one));
    for wrong in ["", "12", "g0000000000000000000000000000000"] {
        assert_eq!(Fingerprint::parse(wrong), None);
    }
}

/// Networks cut calls too, and machines that do not answer cannot be told from
/// networks that do not.
#[test]
fn cut_connections_alone_are_no_crashes() {
    for probed in [ProbeResult::There, ProbeResult::Unknown] {
        let mut world = world(RequestKind::Once);
        for id in 0..9 {
            world.submit(poison(&id.to_string()));
            let call = world.call();
            cut(&mut world, &call, probed);
            world.refusals();
            world.advance(ms(5000));
        }
        assert!(!is_refused(&mut world), "{probed:?}");
    }
}

#[test]
fn a_planned_end_is_no_crash() {
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

/// Its entry is there for some seconds yet.
#[test]
fn an_endpoint_that_has_ended_gets_nothing_until_its_entry_is_written_anew() {
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

/// Calls that this instance gives up itself say nothing of their endpoints.
#[test]
fn calls_that_are_given_up_are_no_crashes() {
    let mut world = world(RequestKind::Once);
    let key = world.submit(poison("1"));
    world.call();
    world.disconnect(key);
    assert!(probes(&mut world).is_empty());
}

#[test]
fn one_life_counts_once_however_many_runs_end_with_it() {
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
    assert_eq!(probed.len(), 1, "one probe tells for all");
    world.relay.on_probe(world.now, probed[0], ProbeResult::Gone);
    world.collect();
    assert!(consulted(&mut world).is_empty());
}

/// The connection may be noticed late, behind the probe's answer.
#[test]
fn runs_that_are_cut_after_the_end_is_known_count() {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", RequestKind::Once, "desk"));
    let mut world = World::new(config.build());
    world.put(entry("only", "desk"));
    world.submit(arrival("bystander", "r"));
    let bystander = world.call();
    world.submit(poison("1"));
    let call = world.call();
    cut(&mut world, &bystander, ProbeResult::Gone);
    world.fail(call.key, Failure::Cut);
    assert!(probes(&mut world).is_empty());
    let crashed = world.take(|action| match action {
        Action::EndpointCrashed { crashes, .. } => Some(crashes[0].content),
        _ => None,
    });
    assert_eq!(crashed[1..], [held()]);
}

/// The address itself may show nothing: the next life listens there already.
#[test]
fn an_endpoint_that_started_again_has_crashed_with_what_it_was_sent() {
    let mut world = world(RequestKind::Once);
    for id in ["1", "2", "3"] {
        world.submit(poison(id));
        let call = world.call();
        cut(&mut world, &call, ProbeResult::There);
        world.put(Entry { incarnation: Incarnation(2), ..entry(&call.endpoint, "desk") });
    }
    assert_eq!(consulted(&mut world), [held()]);
}

#[test]
fn calls_that_are_open_when_an_endpoint_starts_again_have_crashed_with_it() {
    let mut world = world(RequestKind::Once);
    for id in ["1", "2", "3"] {
        world.submit(poison(id));
        let call = world.call();
        world.put(Entry { incarnation: Incarnation(2), ..entry(&call.endpoint, "desk") });
        assert!(probes(&mut world).is_empty(), "nothing is left to find out");
    }
    assert_eq!(consulted(&mut world), [held()]);
}

/// Streams that have gone on for a while when their engine ends are bystanders.
#[test]
fn crashes_of_runs_that_had_gone_on_for_a_while_weigh_half() {
    let mut world = world(RequestKind::Stream);
    for id in 0..6 {
        assert!(consulted(&mut world).is_empty(), "{id} crashes");
        world.submit(poison(&id.to_string()));
        let call = world.call();
        world.relay.on_reply_head(world.now, call.key, &head(200));
        world.stream_event(call.key, 1);
        world.advance(EARLY_PERIOD);
        cut(&mut world, &call, ProbeResult::Gone);
    }
    assert_eq!(consulted(&mut world), [held()]);
}

/// Popular content is in many crashes by chance.
#[test]
fn content_that_was_answered_meanwhile_is_not_held_back() {
    let mut world = world(RequestKind::Once);
    crash(&mut world, "1");
    crash(&mut world, "2");
    world.submit(poison("sound"));
    let call = world.call();
    world.reply(call.key, &head(200));
    crash(&mut world, "3");
    assert!(consulted(&mut world).is_empty());
    assert!(!is_refused(&mut world));
}

#[test]
fn an_endpoints_own_failure_is_an_answer_too() {
    let mut world = world(RequestKind::Once);
    crash(&mut world, "1");
    crash(&mut world, "2");
    world.submit(poison("failing"));
    let call = world.call();
    world.reply(call.key, &head(500));
    crash(&mut world, "3");
    assert!(consulted(&mut world).is_empty());
}

#[test]
fn content_that_another_instance_had_answered_is_not_held_back() {
    let mut world = world(RequestKind::Once);
    for id in ["1", "2", "3"] {
        crash(&mut world, id);
    }
    answer_consult(&mut world, true);
    assert!(!is_refused(&mut world));
    // It takes as many crashes again.
    crash(&mut world, "4");
    assert!(consulted(&mut world).is_empty());
}

#[test]
fn an_instance_says_whether_it_had_a_content_answered() {
    let mut world = world(RequestKind::Once);
    world.advance(ms(1000));
    world.submit(poison("1"));
    let call = world.call();
    world.reply(call.key, &head(200));
    assert!(world.relay.was_answered(held(), ms(1000)));
    assert!(!world.relay.was_answered(held(), ms(1001)));
}

#[test]
fn crashes_count_for_a_while_only() {
    let mut world = world(RequestKind::Once);
    crash(&mut world, "1");
    crash(&mut world, "2");
    world.advance(WINDOW);
    crash(&mut world, "3");
    assert!(consulted(&mut world).is_empty());
}

fn peer(name: &str) -> Peer {
    Peer { name: Arc::from(name), millicores: 250 }
}
