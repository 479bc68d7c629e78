//! Failures of instances, the network and the store during a rollout.

use peatdeck_core::relay::{
    model::{Failure, ProbeResult},
    operator::OperatorCommand,
    position::Timeline,
    rollout::{Phase, Verdict},
};

use crate::relay::{
    fixture::{World, arrival, head, ms},
    rollout::{order, ordered, read, record, reports, serve, set_peer, start, wait, world, writes},
};

fn verdict(phase: Phase, is_halted: bool) -> Verdict {
    let order = order("v2", ms(12_000), 1);
    let (content, order) = (order.content(), order.position);
    Verdict { service: "desk".into(), order, content, phase, is_halted, age: ms(1000) }
}

/// An instance whose peer decides.
fn follower() -> World {
    let mut world = ordered();
    set_peer(&mut world, true);
    world
}

fn hear(world: &mut World, verdict: Verdict) {
    world.relay.on_verdict(world.now, "desk", Some(verdict));
    world.collect();
}

/// An instance that is cut off does not learn that the version was found bad.
#[test]
fn no_canary_call_is_sent_without_a_verdict_for_a_second() {
    let mut world = follower();
    assert_eq!(serve(&mut world, 40, 200), 0);
    hear(&mut world, verdict(Phase::Canary, false));
    assert!(serve(&mut world, 40, 200) > 0);
    wait(&mut world, 1000);
    assert_eq!(serve(&mut world, 40, 200), 0);
}

/// A paused instance resumes with an old verdict.
#[test]
fn no_canary_call_is_sent_after_a_pause_before_a_new_verdict() {
    let mut world = follower();
    hear(&mut world, verdict(Phase::Canary, false));
    world.relay.hold_for_tables(world.now + ms(10));
    world.relay.mark_tables_read(world.now);
    assert_eq!(serve(&mut world, 40, 200), 0);
    hear(&mut world, verdict(Phase::Canary, false));
    assert!(serve(&mut world, 40, 200) > 0);
}

/// The halt has to work without the store.
#[test]
fn a_halt_takes_effect_without_a_record() {
    let mut world = follower();
    hear(&mut world, verdict(Phase::Canary, true));
    hear(&mut world, verdict(Phase::Canary, false));
    assert_eq!(serve(&mut world, 40, 200), 0);
    world.advance(ms(250));
    assert!(reports(&mut world).iter().all(|it| it.is_halted));
}

/// The instance may be cut off from the one that decides.
#[test]
fn an_instance_halts_on_its_own_evidence_and_reports_that() {
    let mut world = follower();
    let mut failed = 0;
    for _ in 0..20 {
        hear(&mut world, verdict(Phase::Canary, false));
        failed += serve(&mut world, 25, 500);
    }
    assert!((5..20).contains(&failed), "{failed}");
    assert!(reports(&mut world).last().unwrap().is_halted);
}

#[test]
fn a_reported_halt_rolls_the_version_back() {
    let mut world = ordered();
    let mut evidence = {
        let mut other = follower();
        other.advance(ms(250));
        reports(&mut other).remove(0)
    };
    set_peer(&mut world, false);
    wait(&mut world, 600);
    evidence.is_halted = true;
    let verdict = world.relay.on_evidence(world.now, &"peer".into(), evidence).unwrap();
    assert!(verdict.is_halted);
    let written = wait(&mut world, 300);
    assert_eq!(written.last().map(|it| it.phase), Some(Phase::RolledBack));
}

/// The next deciding instance knows nothing but the reports, which are cumulative.
#[test]
fn the_next_deciding_instance_decides_from_the_reports() {
    let mut failing = follower();
    for _ in 0..4 {
        hear(&mut failing, verdict(Phase::Canary, false));
        serve(&mut failing, 25, 500);
    }
    failing.advance(ms(250));
    let evidence = reports(&mut failing).pop().unwrap();
    assert!(!evidence.is_halted);
    let mut next = ordered();
    set_peer(&mut next, true);
    wait(&mut next, 600);
    next.relay.set_peers(next.now, Vec::new(), 2);
    for idx in 0..4 {
        let from = format!("i{idx}").into();
        assert!(next.relay.on_evidence(next.now, &from, evidence.clone()).is_some());
    }
    let written = wait(&mut next, 1000);
    assert_eq!(written.last().map(|it| it.phase), Some(Phase::RolledBack));
}

/// A lost or repeated message must not change the counts.
#[test]
fn a_repeated_report_counts_once() {
    let mut failing = follower();
    for _ in 0..3 {
        hear(&mut failing, verdict(Phase::Canary, false));
        serve(&mut failing, 25, 500);
    }
    failing.advance(ms(250));
    let evidence = reports(&mut failing).pop().unwrap();
    let mut next = ordered();
    wait(&mut next, 600);
    for _ in 0..20 {
        next.relay.on_evidence(next.now, &"i1".into(), evidence.clone());
    }
    assert!(wait(&mut next, 1000).iter().all(|it| it.phase == Phase::Canary));
}

/// All instances have restarted; the record states when the order was first seen.
#[test]
fn the_age_is_that_of_the_record_after_a_restart_of_all() {
    let mut world = ordered();
    let begun =
        peatdeck_core::relay::rollout::RolloutRecord { age: ms(11_500), ..record(Phase::Canary) };
    read(&mut world, begun);
    let written = wait(&mut world, 600);
    assert_eq!(written.last().map(|it| it.phase), Some(Phase::RolledBack));
}

/// Both would write again and again.
#[test]
fn an_instance_whose_write_fails_waits_and_follows_the_record() {
    let mut world = ordered();
    assert_eq!(wait(&mut world, 600).len(), 1);
    world.relay.on_rollout_unwritten(world.now, "desk");
    assert!(wait(&mut world, 50).is_empty());
    read(&mut world, record(Phase::RolledBack));
    assert!(wait(&mut world, 3000).is_empty());
    assert_eq!(serve(&mut world, 40, 200), 0);
}

#[test]
fn writes_are_rarer_the_longer_the_store_fails() {
    let mut world = ordered();
    let mut written = 0;
    for _ in 0..100 {
        let records = wait(&mut world, 100);
        written += records.len();
        for _ in records {
            world.relay.on_rollout_unwritten(world.now, "desk");
        }
    }
    assert!((4..12).contains(&written), "{written}");
}

#[test]
fn a_written_record_is_not_written_again() {
    let mut world = ordered();
    let written = wait(&mut world, 600).remove(0);
    assert_eq!((written.phase, written.baseline.as_deref()), (Phase::Canary, Some("v1")));
    read(&mut world, written);
    assert!(wait(&mut world, 3000).is_empty());
}

/// Without the store no phase begins, and canary calls stop at the deadline.
#[test]
fn after_the_deadline_without_the_store_canary_calls_stop() {
    let mut world = ordered();
    let mut last = None;
    for _ in 0..24 {
        serve(&mut world, 25, 200);
        last = writes(&mut world).pop().or(last);
        world.relay.on_rollout_unwritten(world.now, "desk");
    }
    wait(&mut world, 2000);
    assert_eq!(serve(&mut world, 40, 200), 0);
    let written = wait(&mut world, 3000);
    assert_eq!(written.last().map(|it| it.phase), Some(Phase::RolledBack));
}

#[test]
fn a_final_record_is_written_again_to_a_store_that_lost_it() {
    for older in [None, Some(record(Phase::Canary))] {
        let mut world = ordered();
        read(&mut world, record(Phase::RolledBack));
        world.relay.on_rollout_record(world.now, "desk", older);
        let written = wait(&mut world, 1000);
        assert_eq!(written.last().map(|it| it.phase), Some(Phase::RolledBack));
        assert_eq!(serve(&mut world, 40, 200), 0);
    }
}

#[test]
fn a_version_in_an_evacuated_data_centre_is_rolled_back() {
    let mut world = world();
    for name in ["c", "d"] {
        let west = crate::relay::rollout::versioned(name, "desk", 2);
        world.put(peatdeck_core::relay::directory::Entry { data_centre: "west".into(), ..west });
    }
    world.apply_command(OperatorCommand::Evacuate("west".into()));
    start(&mut world, order("v2", ms(6000), 1));
    wait(&mut world, 600);
    assert_eq!(serve(&mut world, 100, 200), 0);
    let written = wait(&mut world, 3000);
    assert_eq!(written.last().map(|it| it.phase), Some(Phase::RolledBack));
}

/// One request that crashes endpoints is no fault of the version.
#[test]
fn cut_calls_of_the_same_content_count_once() {
    let mut world = ordered();
    wait(&mut world, 600);
    let content = arrival("poison", "r").content;
    let mut cut = 0;
    for idx in 0..200 {
        let other = arrival(&idx.to_string(), "r");
        world.submit(peatdeck_core::relay::model::Arrival { content, ..other });
        let call = world.call();
        if ["c", "d"].contains(&&*call.endpoint) {
            cut += 1;
            world.fail(call.key, Failure::Cut);
            let endpoint = world.relay.directory().by_name(&call.endpoint).unwrap();
            world.relay.on_probe(world.now, endpoint, ProbeResult::There);
        }
        world.collect();
    }
    assert!(cut > 5, "{cut}");
    assert!(wait(&mut world, 500).iter().all(|it| it.phase == Phase::Canary));
}

/// The decision is based on replies: a failing endpoint may state that it is healthy.
#[test]
fn a_retry_of_a_canary_call_goes_to_the_version_in_force() {
    let mut world = ordered();
    wait(&mut world, 600);
    let mut retried = 0;
    for idx in 0..100 {
        world.submit(arrival(&idx.to_string(), "r"));
        let call = world.call();
        if ["c", "d"].contains(&&*call.endpoint) {
            world.reply(call.key, &head(500));
            assert!(["a", "b"].contains(&&*world.call().endpoint));
            retried += 1;
        } else {
            world.reply(call.key, &head(200));
        }
    }
    assert_eq!(retried, 6);
}

/// Guards against a good version that is rolled back since the deciding instance, which has not
/// read the new order yet, replies with its verdict on the one before from an earlier timeline.
#[test]
fn a_verdict_on_an_earlier_order_of_another_timeline_is_ignored() {
    let mut decider = ordered();
    let mut world = world();
    let mut next = order("v3", ms(8000), 11);
    next.position.timeline = Timeline(2);
    start(&mut world, next);
    set_peer(&mut world, true);
    world.advance(ms(250));
    let report = reports(&mut world).remove(0);
    read(&mut decider, record(Phase::RolledBack));
    decider.advance(ms(1000));
    let verdict = decider.relay.on_evidence(decider.now, &"peer".into(), report);
    assert_eq!(verdict, None);
}

/// Guards against a good version that is rolled back by a verdict on the order before it.
#[test]
fn a_verdict_of_another_timeline_does_not_end_the_next_order() {
    let mut world = world();
    let mut next = order("v3", ms(8000), 11);
    next.position.timeline = Timeline(2);
    start(&mut world, next);
    set_peer(&mut world, true);
    hear(&mut world, verdict(Phase::RolledBack, true));
    world.advance(ms(250));
    assert!(!reports(&mut world).is_empty());
}
