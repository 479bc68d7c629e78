//! A part that several prompts share crashes the endpoints that begin to answer them.

use peatdeck_core::relay::{
    config::RequestKind,
    fingerprint::Fingerprint,
    model::{Arrival, Call, Failure, Part, ProbeResult, Prompt},
};

use super::{Arc, World, answer_queries, arrival, head, interrupt, ms, queries, world};

const GUILTY: u64 = 0xbad;
const SHARED: u64 = 0xa1;

/// A request with a content of its own, whose prompt has these shared parts.
fn request(id: &str, parts: &[u64]) -> Arrival {
    let own = u64::from_str_radix(id, 36).unwrap() + 0x1_0000;
    let parts = parts.iter().chain([&own]).map(|id| Part { id: *id, tokens: 100 });
    let prompt = Prompt { parts: parts.collect(), input: 300, output: 50 };
    let content = Fingerprint::of("POST", "fleet.example", "/r/x", id.as_bytes());
    Arrival { content, prompt: Some(prompt), deadline: Some(ms(6000)), ..arrival(id, "r") }
}

fn send(world: &mut World, id: &str, parts: &[u64]) -> Call {
    world.submit(request(id, parts));
    world.call()
}

fn begin(world: &mut World, call: &Call) {
    world.relay.on_reply_head(world.now, call.key, &head(200));
    world.collect();
}

/// Sends a request whose endpoint crashes as it begins to answer.
fn crash(world: &mut World, id: &str, parts: &[u64]) {
    let call = send(world, id, parts);
    begin(world, &call);
    world.advance(ms(80));
    interrupt(world, &call, ProbeResult::Gone);
    world.calls();
    world.refusals();
}

fn part(id: u64) -> Fingerprint {
    Fingerprint::of_part("desk", id)
}

fn is_refused(world: &mut World, id: &str, parts: &[u64]) -> bool {
    world.submit(request(id, parts));
    world.calls().is_empty()
}

#[test]
fn a_part_under_which_four_endpoints_crashed_is_quarantined_in_all_contents() {
    let mut world = world(RequestKind::Resumable);
    for id in ["1", "2", "3"] {
        crash(&mut world, id, &[GUILTY]);
        assert!(queries(&mut world).is_empty());
    }
    crash(&mut world, "4", &[GUILTY]);
    answer_queries(&mut world, false);
    assert!(is_refused(&mut world, "5", &[GUILTY]));
    assert!(is_refused(&mut world, "6", &[SHARED, GUILTY]));
    assert!(!is_refused(&mut world, "7", &[SHARED]));
}

#[test]
fn a_part_that_sound_requests_share_is_cleared_by_their_answers() {
    let mut world = world(RequestKind::Resumable);
    for id in ["1", "2", "3", "4"] {
        let sound = send(&mut world, &format!("s{id}"), &[SHARED]);
        crash(&mut world, id, &[SHARED, GUILTY]);
        begin(&mut world, &sound);
        world.relay.on_stream_end(world.now, sound.key);
        world.collect();
    }
    assert_eq!(queries(&mut world), [part(GUILTY)]);
}

/// A part that was answered before the first crash may be one that sound requests share, so more
/// crashes without an answer are needed.
#[test]
fn a_part_that_was_answered_before_is_quarantined_after_six_crashes() {
    let mut world = world(RequestKind::Resumable);
    let sound = send(&mut world, "s", &[SHARED]);
    begin(&mut world, &sound);
    world.relay.on_stream_end(world.now, sound.key);
    world.collect();
    for id in ["1", "2", "3", "4", "5"] {
        crash(&mut world, id, &[SHARED]);
        assert!(queries(&mut world).is_empty(), "{id}");
    }
    crash(&mut world, "6", &[SHARED]);
    assert_eq!(queries(&mut world), [part(SHARED)]);
}

/// Peers that answered it lately count as this instance does.
#[test]
fn a_part_that_a_peer_answered_lately_is_not_quarantined_after_four_crashes() {
    let mut world = world(RequestKind::Resumable);
    for id in ["1", "2", "3", "4"] {
        crash(&mut world, id, &[SHARED]);
    }
    answer_queries(&mut world, true);
    crash(&mut world, "5", &[SHARED]);
    assert!(!is_refused(&mut world, "r", &[SHARED]));
    crash(&mut world, "6", &[SHARED]);
    answer_queries(&mut world, false);
    assert!(is_refused(&mut world, "7", &[SHARED]));
}

/// A stream that has lasted longer than a guilty part lets its endpoint live clears its parts.
#[test]
fn a_part_is_cleared_by_a_stream_that_has_gone_on_for_a_while() {
    let mut world = world(RequestKind::Resumable);
    let sound = send(&mut world, "s", &[SHARED]);
    begin(&mut world, &sound);
    for (number, id) in (1..).zip(["1", "2", "3", "4"]) {
        crash(&mut world, id, &[SHARED, GUILTY]);
        world.advance(ms(400));
        world.relay.on_stream_event(world.now, sound.key, Some(number));
        world.collect();
    }
    assert_eq!(queries(&mut world), [part(GUILTY)]);
}

#[test]
fn a_failure_that_an_endpoint_answers_clears_no_part() {
    let mut world = world(RequestKind::Resumable);
    for id in ["1", "2", "3", "4"] {
        crash(&mut world, id, &[GUILTY]);
        let failed = send(&mut world, &format!("f{id}"), &[GUILTY]);
        world.relay.on_reply(world.now, failed.key, &head(500));
        world.collect();
        world.calls();
    }
    assert_eq!(queries(&mut world), [part(GUILTY)]);
}

/// Requests that wait at an endpoint as it crashes share nothing with the cause.
#[test]
fn runs_that_no_endpoint_had_begun_to_answer_are_weak_evidence_against_parts() {
    let mut world = world(RequestKind::Resumable);
    for id in ["1", "2", "3", "4", "5", "6", "7"] {
        let call = send(&mut world, id, &[SHARED]);
        interrupt(&mut world, &call, ProbeResult::Gone);
        world.calls();
        world.refusals();
    }
    assert!(queries(&mut world).is_empty());
}

#[test]
fn a_request_that_waits_for_its_retry_is_stopped_by_the_quarantine_of_its_part() {
    let mut world = world(RequestKind::Resumable);
    let waiting = send(&mut world, "w", &[GUILTY]);
    world.relay.quarantine_content(world.now, part(GUILTY), 4);
    world.collect();
    assert_eq!(world.refusals().len(), 1);
    world.fail(waiting.key, Failure::Cut);
    assert!(world.calls().is_empty());
}

/// Callers may send any number of parts.
#[test]
fn the_number_of_parts_that_are_watched_is_bounded() {
    let mut world = world(RequestKind::Resumable);
    let many: Vec<u64> = (1..200).collect();
    let call = send(&mut world, "1", &many);
    begin(&mut world, &call);
    world.fail(call.key, Failure::Cut);
    let reported: Arc<str> = call.endpoint.clone();
    let key = world.relay.directory().by_name(&reported).unwrap();
    world.relay.on_probe(world.now, key, ProbeResult::Gone);
    world.collect();
    let crashes = world.take(|action| match action {
        peatdeck_core::relay::model::Action::EndpointCrashed { crashes, .. } => Some(crashes.len()),
        _ => None,
    });
    assert_eq!(crashes, [1 + 16]);
}
