//! Requests that crash whatever runs them.
//!
//! The story stands with the test of whole instances (`crashes` in the relay's
//! tests): one content ended endpoint after endpoint, since what an exchange had
//! learned of it ended with the exchange. Here: what counts as a crash, how many are
//! enough, whom they are told to, what becomes of work that is under way, and who is
//! not to be blamed.

use std::{sync::Arc, time::Duration};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::{Kind, Route},
        directory::Entry,
        fingerprint::Fingerprint,
        model::{
            Action, Arrival, Call, EndpointKey, Failure, Life, Peer, PieceFailure, Probed, Refusal,
        },
        quarantine::{BEGINNING, Crash, WINDOW},
    },
};

use super::fixture::{ConfigBuilder, World, arrival, entry, head, ms, route, stage};

/// Endpoints of a world: more than any test ends.
const DESKS: usize = 12;

fn world(kind: Kind) -> World {
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
    content().from_team(None)
}

fn probes(world: &mut World) -> Vec<EndpointKey> {
    world.take(|action| match action {
        Action::Probe { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

/// The call is cut, and the probe of its endpoint tells this.
fn cut(world: &mut World, call: &Call, probed: Probed) {
    world.failed(call.key, Failure::Cut);
    for endpoint in probes(world) {
        world.relay.probed(world.now, endpoint, probed);
        world.collect();
    }
}

/// The content is sent and ends its endpoint.
fn crash(world: &mut World, id: &str) {
    world.arrive(poison(id));
    let call = world.call();
    cut(world, &call, Probed::Gone);
    world.refusals();
}

fn consulted(world: &mut World) -> Vec<Fingerprint> {
    world.take(|action| match action {
        Action::Consult { content, .. } => Some(*content),
        _ => None,
    })
}

fn answer_consult(world: &mut World, was_answered: bool) {
    for content in consulted(world) {
        world.relay.consulted(world.now, content, was_answered);
        world.collect();
    }
}

fn is_refused(world: &mut World) -> bool {
    world.arrive(poison("probe"));
    let is_sent = !world.calls().is_empty();
    let refusals = world.refusals();
    assert!(is_sent != refusals.iter().any(|refusal| refusal.contains("quarantined")));
    !is_sent
}

/// A content that has ended three endpoints, and is held back.
fn held_world(kind: Kind) -> World {
    let mut world = world(kind);
    for id in ["1", "2", "3"] {
        crash(&mut world, id);
    }
    answer_consult(&mut world, false);
    world
}

#[test]
fn content_that_ended_three_endpoints_is_held_back() {
    let mut world = world(Kind::Once);
    crash(&mut world, "1");
    crash(&mut world, "2");
    assert!(consulted(&mut world).is_empty());
    crash(&mut world, "3");
    answer_consult(&mut world, false);
    let told = world.take(|action| match action {
        Action::Quarantine { content, crashes } => Some((*content, *crashes)),
        _ => None,
    });
    assert_eq!(told, [(held(), 3)]);
    world.arrive(poison("4"));
    assert!(world.calls().is_empty());
}

#[test]
fn its_caller_hears_at_once_that_nothing_ran_and_how_long_that_lasts() {
    let mut world = held_world(Kind::Once);
    world.advance(ms(60_000));
    world.arrive(poison("4"));
    let refusal = world.refusals().remove(0);
    let away = refusal.strip_prefix("503 quarantined ").unwrap().to_owned();
    let seconds: f64 = away.strip_suffix('s').unwrap().parse().unwrap();
    // Each request that is refused prolongs it.
    assert!((WINDOW.as_secs_f64()..WINDOW.as_secs_f64() + 61.0).contains(&seconds), "{seconds}");
}

#[test]
fn what_is_asked_for_by_others_is_served() {
    let mut world = held_world(Kind::Once);
    world.arrive(arrival("other", "r"));
    assert_eq!(world.calls().len(), 1);
}

#[test]
fn a_content_is_its_teams_own() {
    let same = content();
    assert_ne!(same.from_team(Some("one")), same.from_team(Some("other")));
    assert_ne!(same.from_team(Some("one")), same.from_team(None));
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
    for probed in [Probed::There, Probed::Unknown] {
        let mut world = world(Kind::Once);
        for id in 0..9 {
            world.arrive(poison(&id.to_string()));
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
    let mut world = world(Kind::Once);
    for id in 0..6 {
        world.arrive(poison(&id.to_string()));
        let call = world.call();
        world.put(Entry { is_leaving: true, ..entry(&call.endpoint, "desk") });
        world.failed(call.key, Failure::Cut);
        assert!(probes(&mut world).is_empty());
        world.refusals();
    }
    assert!(!is_refused(&mut world));
}

/// Its entry is there for some seconds yet.
#[test]
fn an_endpoint_that_has_ended_gets_nothing_until_its_entry_is_written_anew() {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", Kind::Once, "desk"));
    let mut world = World::new(config.build());
    world.put(entry("only", "desk"));
    crash(&mut world, "1");
    world.advance(ms(5000));
    world.arrive(arrival("2", "r"));
    assert!(world.calls().is_empty());
    world.put(entry("only", "desk"));
    assert_eq!(world.calls().len(), 1);
}

/// Calls that this instance gives up itself say nothing of their endpoints.
#[test]
fn calls_that_are_given_up_are_no_crashes() {
    let mut world = world(Kind::Once);
    let key = world.arrive(poison("1"));
    world.call();
    world.leave(key);
    assert!(probes(&mut world).is_empty());
}

#[test]
fn one_life_counts_once_however_many_runs_end_with_it() {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", Kind::Once, "desk"));
    let mut world = World::new(config.build());
    world.put(entry("only", "desk"));
    let calls: Vec<_> = (0..4)
        .map(|id| {
            world.arrive(poison(&id.to_string()));
            world.call()
        })
        .collect();
    for call in &calls {
        world.failed(call.key, Failure::Cut);
    }
    let probed = probes(&mut world);
    assert_eq!(probed.len(), 1, "one probe tells for all");
    world.relay.probed(world.now, probed[0], Probed::Gone);
    world.collect();
    assert!(consulted(&mut world).is_empty());
}

/// The connection may be noticed late, behind the probe's answer.
#[test]
fn runs_that_are_cut_after_the_end_is_known_count() {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", Kind::Once, "desk"));
    let mut world = World::new(config.build());
    world.put(entry("only", "desk"));
    world.arrive(arrival("bystander", "r"));
    let bystander = world.call();
    world.arrive(poison("1"));
    let call = world.call();
    cut(&mut world, &bystander, Probed::Gone);
    world.failed(call.key, Failure::Cut);
    assert!(probes(&mut world).is_empty());
    let crashed = world.take(|action| match action {
        Action::Crashed { crashes, .. } => Some(crashes[0].content),
        _ => None,
    });
    assert_eq!(crashed[1..], [held()]);
}

/// The address itself may show nothing: the next life listens there already.
#[test]
fn an_endpoint_that_started_again_has_crashed_with_what_it_was_sent() {
    let mut world = world(Kind::Once);
    for id in ["1", "2", "3"] {
        world.arrive(poison(id));
        let call = world.call();
        cut(&mut world, &call, Probed::There);
        world.put(Entry { incarnation: Incarnation(2), ..entry(&call.endpoint, "desk") });
    }
    assert_eq!(consulted(&mut world), [held()]);
}

#[test]
fn calls_that_are_open_when_an_endpoint_starts_again_have_crashed_with_it() {
    let mut world = world(Kind::Once);
    for id in ["1", "2", "3"] {
        world.arrive(poison(id));
        let call = world.call();
        world.put(Entry { incarnation: Incarnation(2), ..entry(&call.endpoint, "desk") });
        assert!(probes(&mut world).is_empty(), "nothing is left to find out");
    }
    assert_eq!(consulted(&mut world), [held()]);
}

/// Streams that have gone on for a while when their engine ends are bystanders.
#[test]
fn crashes_of_runs_that_had_gone_on_for_a_while_weigh_half() {
    let mut world = world(Kind::Stream);
    for id in 0..6 {
        assert!(consulted(&mut world).is_empty(), "{id} crashes");
        world.arrive(poison(&id.to_string()));
        let call = world.call();
        world.relay.opened(world.now, call.key, &head(200));
        world.event(call.key, 1);
        world.advance(BEGINNING);
        cut(&mut world, &call, Probed::Gone);
    }
    assert_eq!(consulted(&mut world), [held()]);
}

/// Popular content is in many crashes by chance.
#[test]
fn content_that_was_answered_meanwhile_is_not_held_back() {
    let mut world = world(Kind::Once);
    crash(&mut world, "1");
    crash(&mut world, "2");
    world.arrive(poison("sound"));
    let call = world.call();
    world.replied(call.key, &head(200));
    crash(&mut world, "3");
    assert!(consulted(&mut world).is_empty());
    assert!(!is_refused(&mut world));
}

#[test]
fn an_endpoints_own_failure_is_an_answer_too() {
    let mut world = world(Kind::Once);
    crash(&mut world, "1");
    crash(&mut world, "2");
    world.arrive(poison("failing"));
    let call = world.call();
    world.replied(call.key, &head(500));
    crash(&mut world, "3");
    assert!(consulted(&mut world).is_empty());
}

#[test]
fn content_that_another_instance_had_answered_is_not_held_back() {
    let mut world = world(Kind::Once);
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
    let mut world = world(Kind::Once);
    world.advance(ms(1000));
    world.arrive(poison("1"));
    let call = world.call();
    world.replied(call.key, &head(200));
    assert!(world.relay.was_answered(held(), ms(1000)));
    assert!(!world.relay.was_answered(held(), ms(1001)));
}

#[test]
fn crashes_count_for_a_while_only() {
    let mut world = world(Kind::Once);
    crash(&mut world, "1");
    crash(&mut world, "2");
    world.advance(WINDOW);
    crash(&mut world, "3");
    assert!(consulted(&mut world).is_empty());
}

/// What is under way when word comes is stopped, before it gets further.
#[test]
fn calls_that_wait_for_their_answers_are_given_up() {
    let mut world = world(Kind::Idempotent);
    world.arrive(poison("1"));
    let call = world.call();
    world.relay.hold_back(world.now, held(), 3);
    world.collect();
    let cancelled = world.take(|action| match action {
        Action::Cancel(key) => Some(*key),
        _ => None,
    });
    assert_eq!(cancelled, [call.key]);
    assert!(world.refusals()[0].starts_with("502 failed "), "it may have run");
    assert!(world.calls().is_empty());
}

#[test]
fn a_stream_that_has_begun_goes_on_but_is_not_begun_again() {
    let mut world = world(Kind::Resumable);
    world.arrive(poison("1"));
    let call = world.call();
    world.relay.opened(world.now, call.key, &head(200));
    world.event(call.key, 1);
    world.relay.hold_back(world.now, held(), 3);
    assert!(world.event(call.key, 2));
    world.failed(call.key, Failure::Cut);
    assert!(world.calls().is_empty());
    assert!(world.actions.iter().any(|action| matches!(action, Action::Break(_))));
}

#[test]
fn one_that_waits_for_an_endpoint_hears_that_nothing_ran() {
    let config = ConfigBuilder::new(1).service("desk").route(route("r", Kind::Once, "desk"));
    let mut world = World::new(config.build());
    world.arrive(poison("1"));
    world.relay.hold_back(world.now, held(), 3);
    world.collect();
    assert!(world.refusals()[0].starts_with("503 quarantined "));
}

#[test]
fn a_prompt_that_a_placer_is_asked_about_is_not_sent() {
    let mut world = world(Kind::Stream);
    let stronger = Peer { strength: 500, ..peer("x") };
    world.relay.set_peers(world.now, vec![stronger.clone()], 2);
    let prompt = Some(super::fixture::prompt(1, 2));
    let key = world.arrive(Arrival { prompt, ..poison("1") });
    assert!(world.actions.iter().any(|action| matches!(action, Action::Ask { .. })));
    world.relay.hold_back(world.now, held(), 3);
    world.relay.placed(world.now, key, &stronger.name, None);
    world.collect();
    assert!(world.calls().is_empty());
    assert!(world.refusals()[0].starts_with("503 quarantined "));
}

fn peer(name: &str) -> Peer {
    Peer { name: Arc::from(name), strength: 250 }
}

fn staged() -> World {
    let stages = vec![stage("ledger", &[], 10)];
    let config = ConfigBuilder::new(1).service("desk").maker("ledger", 1 << 30).route(Route {
        stages,
        max_attempts: 4,
        ..route("r", Kind::Idempotent, "desk")
    });
    let mut world = World::new(config.build());
    world.put(entry("d1", "desk"));
    for idx in 0..8 {
        world.put(entry(&format!("l{idx}"), "ledger"));
    }
    world
}

/// A call for pieces carries those of several requests. One that ends its endpoint
/// must not take the others with it again.
#[test]
fn pieces_whose_call_was_cut_are_made_again_request_by_request() {
    let mut world = staged();
    let stalled: Vec<_> = (0..8)
        .map(|idx| {
            world.arrive(Arrival { pieces: vec![4], ..arrival(&format!("full-{idx}"), "r") });
            world.orders().remove(0)
        })
        .collect();
    let asking = |id: &str, content| Arrival { pieces: vec![1], content, ..arrival(id, "r") };
    world.arrive(asking("sound", Fingerprint(1)));
    world.arrive(asking("culprit", content()));
    assert!(world.orders().is_empty(), "all endpoints are busy");
    world.make(&stalled[0]);
    let together = world.orders().remove(0);
    assert_eq!(together.names(), ["culprit/0/0", "sound/0/0"]);
    world.relay.make_failed(world.now, together.call, Failure::Cut, false);
    world.collect();
    let probed = probes(&mut world);
    world.relay.probed(world.now, probed[0], Probed::Gone);
    for order in &stalled[1..] {
        world.make(order);
    }
    let apart = world.orders();
    let names: Vec<_> = apart.iter().map(super::fixture::Order::names).collect();
    assert_eq!(names, [["culprit/0/0"], ["sound/0/0"]]);
    let crashed = world.take(|action| match action {
        Action::Crashed { crashes, .. } => Some(crashes.len()),
        _ => None,
    });
    assert_eq!(crashed, [2], "both are suspects after the first");
}

#[test]
fn pieces_of_content_that_is_held_back_are_not_made() {
    let mut world = staged();
    let piece = {
        let mut other = staged();
        other.arrive(Arrival { pieces: vec![1], ..poison("theirs") });
        other.orders().remove(0).pieces.remove(0)
    };
    world.relay.hold_back(world.now, held(), 3);
    world.relay.take_over(world.now, 7, vec![piece]);
    world.collect();
    assert!(world.orders().is_empty());
    let returned = world.take(|action| match action {
        Action::Return { ticket, results } => Some((*ticket, results.clone())),
        _ => None,
    });
    assert_eq!(returned, [(7, vec![Err(PieceFailure::Failed)])]);
}

#[test]
fn pieces_that_wait_are_given_up_once_their_content_is_held_back() {
    let mut world = staged();
    for idx in 0..8 {
        world.arrive(Arrival { pieces: vec![4], ..arrival(&format!("full-{idx}"), "r") });
    }
    let piece = world.orders().remove(0).pieces.remove(0);
    let theirs = peatdeck_core::relay::model::Piece { content: held(), ..piece };
    world.relay.take_over(world.now, 7, vec![theirs]);
    world.collect();
    world.relay.hold_back(world.now, held(), 3);
    world.collect();
    let returned = world.take(|action| match action {
        Action::Return { ticket, .. } => Some(*ticket),
        _ => None,
    });
    assert_eq!(returned, [7]);
}

/// A resumable stream that was cut has its pieces made again, and its caller holds the
/// head of its answer meanwhile.
#[test]
fn a_stream_that_waits_for_its_pieces_again_is_broken_off() {
    let stages = vec![stage("ledger", &[], 10)];
    let route = Route { stages, ..route("r", Kind::Resumable, "desk") };
    let config = ConfigBuilder::new(1).service("desk").maker("ledger", 1 << 30).route(route);
    let mut world = World::new(config.build());
    for name in ["d1", "d2"] {
        world.put(entry(name, "desk"));
    }
    world.put(entry("l1", "ledger"));
    world.arrive(Arrival { pieces: vec![1], ..poison("1") });
    let order = world.orders().remove(0);
    world.make(&order);
    let call = world.call();
    world.relay.opened(world.now, call.key, &head(200));
    world.event(call.key, 1);
    world.arrive(Arrival { pieces: vec![4], ..arrival("busy", "r") });
    let busy = world.orders().remove(0);
    world.failed(call.key, Failure::Cut);
    assert!(world.orders().is_empty(), "its pieces wait behind another request's");
    world.relay.hold_back(world.now, held(), 3);
    world.collect();
    assert!(world.actions.iter().any(|action| matches!(action, Action::Break(_))));
    world.make(&busy);
    assert!(world.orders().is_empty());
}

/// The call that carries them crashes its endpoint, too.
#[test]
fn pieces_under_way_are_not_made_again() {
    let mut world = staged();
    for idx in 0..8 {
        world.arrive(Arrival { pieces: vec![4], ..arrival(&format!("full-{idx}"), "r") });
    }
    let busy = world.orders();
    let piece = busy[0].pieces[0].clone();
    let theirs = peatdeck_core::relay::model::Piece { content: held(), ..piece };
    world.relay.take_over(world.now, 7, vec![theirs]);
    world.make(&busy[0]);
    let order = world.orders().remove(0);
    world.relay.hold_back(world.now, held(), 3);
    world.relay.make_failed(world.now, order.call, Failure::Cut, false);
    world.collect();
    assert!(world.orders().iter().all(|order| order.pieces[0].content != held()));
    let returned = world.take(|action| match action {
        Action::Return { ticket, .. } => Some(*ticket),
        _ => None,
    });
    assert_eq!(returned, [7]);
}

fn accused(world: &mut World) -> Vec<Arc<str>> {
    let mut peers = world.take(|action| match action {
        Action::Accuse { peer, .. } => Some(peer.clone()),
        _ => None,
    });
    peers.sort();
    peers
}

/// Crashes that different instances see have to meet somewhere.
#[test]
fn all_instances_tell_the_same_peers_of_a_contents_crashes() {
    let names = ["own", "a", "b", "c", "d"];
    let mut world = world(Kind::Once);
    let others = names[1..].iter().map(|name| peer(name)).collect();
    world.relay.set_peers(world.now, others, names.len());
    crash(&mut world, "1");
    let told = accused(&mut world);
    assert!((1..=2).contains(&told.len()), "{told:?}");
    crash(&mut world, "2");
    assert_eq!(accused(&mut world), told);
}

#[test]
fn a_keeper_counts_what_peers_saw() {
    let mut world = world(Kind::Once);
    for (idx, name) in ["x", "y", "z"].into_iter().enumerate() {
        assert!(consulted(&mut world).is_empty(), "after {idx}");
        let life = Life { name: Arc::from(name), incarnation: Incarnation(1) };
        let crash = Crash { content: held(), life, age: ms(5), is_late: false };
        world.relay.suspect(world.now, &crash);
        world.relay.suspect(world.now, &crash);
        world.collect();
    }
    answer_consult(&mut world, false);
    assert!(is_refused(&mut world));
}

fn told(world: &mut World) -> usize {
    world
        .take(|action| match action {
            Action::Quarantine { content, .. } => Some(*content),
            _ => None,
        })
        .len()
}

/// Whoever reports a crash of what is held back has not heard of it.
#[test]
fn peers_are_told_again_where_it_is_still_sent_to_endpoints() {
    let mut world = held_world(Kind::Once);
    assert_eq!(told(&mut world), 1);
    let life = Life { name: Arc::from("x"), incarnation: Incarnation(1) };
    let crash = Crash { content: held(), life, age: ms(5), is_late: false };
    world.relay.suspect(world.now, &crash);
    world.collect();
    assert_eq!(told(&mut world), 1);
}

/// The store may be away: then its table tells nothing to whoever starts.
#[test]
fn peers_that_join_are_told_of_what_the_table_lacks() {
    let mut world = held_world(Kind::Once);
    told(&mut world);
    world.relay.set_peers(world.now, vec![peer("x")], 2);
    world.collect();
    assert_eq!(told(&mut world), 1);
    world.relay.set_peers(world.now, vec![peer("x")], 2);
    world.relay.recorded(world.now, held(), 3);
    world.relay.set_peers(world.now, vec![peer("x"), peer("y")], 3);
    world.collect();
    assert_eq!(told(&mut world), 0);
}

#[test]
fn nothing_is_blamed_on_content_that_was_not_told() {
    let mut world = world(Kind::Once);
    for name in ["x", "y", "z"] {
        let life = Life { name: Arc::from(name), incarnation: Incarnation(1) };
        let content = Fingerprint::UNKNOWN;
        let crash = Crash { content, life, age: ms(5), is_late: false };
        world.relay.suspect(world.now, &crash);
    }
    world.collect();
    assert!(consulted(&mut world).is_empty());
}

/// An instance that has just started must not try again what others hold back.
#[test]
fn nothing_is_sent_before_it_is_known_what_is_held_back() {
    let settings = peatdeck_core::relay::Settings {
        name: Arc::from("own"),
        data_centre: Arc::from("east"),
        bound: peatdeck_core::relay::allowance::Bound { ratio: 0.2, slack: 10.0, window: ms(9000) },
        instances: 1,
        strength: 250,
    };
    let config = ConfigBuilder::new(1).service("desk").route(route("r", Kind::Once, "desk"));
    let mut world = World::new(config.build());
    world.relay = peatdeck_core::relay::Relay::new(settings, 1);
    world.relay.configure(ConfigBuilder::new(1).build());
    assert_eq!(world.try_arrive(poison("1")), Err(Refusal::NotReady));
    world.relay.know_quarantine();
    assert_eq!(world.try_arrive(poison("1")), Err(Refusal::NoRoute));
}

#[test]
fn what_the_table_holds_back_is_held_back_until_its_record_is_gone() {
    let mut world = world(Kind::Once);
    world.relay.recorded(world.now, held(), 3);
    assert!(is_refused(&mut world));
    world.relay.unrecorded(held());
    assert!(!is_refused(&mut world));
}

fn unrecorded(world: &mut World) -> Vec<Fingerprint> {
    world.take(|action| match action {
        Action::Unrecord(content) => Some(*content),
        _ => None,
    })
}

/// Instances agree on what is held back by what the table has, so an old record is
/// removed, and not only forgotten by each at a time of its own.
#[test]
fn content_that_nobody_sends_any_more_has_its_record_removed() {
    let mut world = world(Kind::Once);
    world.relay.recorded(world.now, held(), 3);
    world.advance(WINDOW - ms(1));
    assert!(unrecorded(&mut world).is_empty());
    for _ in 0..20 {
        world.advance(ms(5000));
    }
    assert_eq!(unrecorded(&mut world)[0], held());
    assert!(is_refused(&mut world), "its record is still there");
    world.relay.unrecorded(held());
    assert!(!is_refused(&mut world));
}

#[test]
fn content_without_a_record_is_forgotten_after_a_while() {
    let mut world = world(Kind::Once);
    world.relay.hold_back(world.now, held(), 3);
    world.advance(WINDOW + ms(70_000));
    world.advance(ms(5000));
    assert!(!is_refused(&mut world));
}

/// Whoever goes on sending it keeps it held back, here and elsewhere.
#[test]
fn its_record_is_written_anew_while_it_is_still_sent() {
    let mut world = world(Kind::Once);
    world.relay.recorded(world.now, held(), 3);
    let mut written = 0;
    for id in 0..30 {
        world.advance(Duration::from_secs(60));
        world.arrive(poison(&id.to_string()));
        assert!(world.calls().is_empty());
        written += world
            .take(|action| match action {
                Action::Record { crashes, .. } => Some(*crashes),
                _ => None,
            })
            .len();
    }
    assert_eq!(written, 6, "once each five minutes");
    assert!(unrecorded(&mut world).is_empty());
}

#[test]
fn an_operator_releases_a_content() {
    let mut world = held_world(Kind::Once);
    let shown: Vec<_> =
        world.relay.held_back().map(|(content, hold)| (content, hold.crashes)).collect();
    assert_eq!(shown, [(held(), 3)]);
    assert!(world.relay.lift(held()));
    world.collect();
    assert_eq!(unrecorded(&mut world), [held()]);
    assert!(!is_refused(&mut world));
    assert!(!world.relay.lift(held()));
}

/// Any number of contents may be in crashes, and any number of endpoints may end.
#[test]
fn what_is_remembered_of_crashes_is_bounded() {
    let mut world = world(Kind::Once);
    world.advance(ms(60_000));
    let crash = |content: u128, name: &str, age| Crash {
        content: Fingerprint(content),
        life: Life { name: Arc::from(name), incarnation: Incarnation(1) },
        age: ms(age),
        is_late: false,
    };
    for content in 1..=6000 {
        world.relay.suspect(world.now, &crash(content, "x", 6000 - content as u64));
    }
    // The newest are remembered, the oldest are not.
    for name in ["y", "z"] {
        world.relay.suspect(world.now, &crash(6000, name, 0));
        world.relay.suspect(world.now, &crash(1, name, 0));
    }
    world.collect();
    assert_eq!(consulted(&mut world), [Fingerprint(6000)]);
}

#[test]
fn many_contents_can_be_held_back_at_once_but_not_any_number() {
    let mut world = world(Kind::Once);
    for content in 1..=3000 {
        for name in ["x", "y", "z"] {
            let life = Life { name: Arc::from(name), incarnation: Incarnation(1) };
            let crash = Crash { content: Fingerprint(content), life, age: ms(0), is_late: false };
            world.relay.suspect(world.now, &crash);
        }
        world.collect();
        answer_consult(&mut world, false);
    }
    assert_eq!(world.relay.held_back().count(), 1024);
}
