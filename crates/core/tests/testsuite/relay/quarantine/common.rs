//! Endpoints that crash at one moment, for a cause outside of the requests that they run.

use std::{
    collections::BTreeSet,
    ops::{Range, RangeInclusive},
    sync::Arc,
    time::Duration,
};

use peatdeck_core::{
    model::Incarnation,
    relay::{
        config::RequestKind,
        fingerprint::Fingerprint,
        model::{Action, EndpointId},
        quarantine::Crash,
    },
};

use super::{
    World, answer_queries, ms, queries,
    site::{DEADLY, Load, Site, deadly_content},
    team_content, world,
};

const INSTANCES: usize = 8;
const ENDPOINTS: usize = 18;
const SEEDS: RangeInclusive<u64> = 1..=4;
/// When the endpoints crash, and the span within which all of them do.
const CRASH_AT: Duration = Duration::from_secs(5);
const CRASH_SPAN: Duration = Duration::from_millis(300);
/// How long crashed endpoints are away at least.
const AWAY: Duration = Duration::from_secs(1);
const END: Duration = Duration::from_secs(14);
/// Three quarters of the 86 requests a second from `LATE` to `END`; some still run then.
const MIN_SERVED_LATE: usize = 86 * 4 * 3 / 4;
/// 3 % of a kind with 60 requests a second.
const DEADLY_RATE: f64 = 1.8;
/// Endpoints that a part or content may crash before it is quarantined.
const MAX_CRASHED_BY_PART: usize = 4;
const MAX_CRASHED_BY_CONTENT: usize = 3;
/// Until a quarantine has reached all instances: four messages of at most 101 ms, and the time in
/// which a crash is detected and a run crashes its endpoint.
const REACTION: Duration = Duration::from_millis(4 * 101 + 100);

/// A site with three kinds of prompts and a content that is asked for again and again.
fn busy_site(seed: u64) -> Site {
    let site = Site::new(INSTANCES, ENDPOINTS, seed);
    let loads = [(Load::Kind(0), 40.0), (Load::Kind(1), 12.0), (Load::Kind(2), 4.0)];
    let loads = loads.into_iter().chain([(Load::Repeated, 30.0)]);
    loads.fold(site, |site, (load, rate)| site.arrivals(load, rate, Duration::ZERO, END))
}

/// Runs the site with each seed: nothing is quarantined or refused, and all is served afterwards.
fn assert_sound_is_served(change: impl Fn(Site) -> Site) {
    for seed in SEEDS {
        let outcome = change(busy_site(seed)).run(END);
        assert_eq!(outcome.quarantined, BTreeSet::new(), "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_refused, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.served_late >= MIN_SERVED_LATE, "seed {seed}: {outcome:?}");
    }
}

/// Runs the site with each seed and deadly requests: only they are quarantined, in time.
fn assert_deadly_is_stopped(load: Load, max: usize, from: Duration, change: impl Fn(Site) -> Site) {
    let deadly = match load {
        Load::DeadlyContent => deadly_content(),
        _ => Fingerprint::of_part("desk", DEADLY),
    };
    for seed in SEEDS {
        let site = busy_site(seed).arrivals(load, DEADLY_RATE, from, END);
        let outcome = change(site).run(END);
        assert_eq!(outcome.quarantined, BTreeSet::from([deadly.0]), "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_refused, 0, "seed {seed}: {outcome:?}");
        // Fewer are enough where a common crash counts too.
        let last = outcome.crashed.get(max - 1).map(|at| *at + REACTION);
        let is_in_time = |at: &Duration| last.is_none_or(|last| *at <= last);
        assert!(outcome.crashed.iter().all(is_in_time), "seed {seed}: {outcome:?}");
    }
}

fn crash_all(site: Site) -> Site {
    site.crash_first(ENDPOINTS, CRASH_AT, CRASH_SPAN, AWAY)
}

#[test]
fn nothing_is_quarantined_after_all_endpoints_crashed_at_one_moment() {
    assert_sound_is_served(crash_all);
}

#[test]
fn instances_state_that_crashes_at_one_moment_count_as_one() {
    let outcome = crash_all(busy_site(1)).run(CRASH_AT + AWAY);
    assert!(outcome.combined > 0, "{outcome:?}");
}

#[test]
fn nothing_is_quarantined_after_a_common_crash_that_fast_messages_report() {
    assert_sound_is_served(|site| crash_all(site.max_delay(ms(2))));
}

#[test]
fn nothing_is_quarantined_after_the_endpoints_of_a_rack_crashed_at_one_moment() {
    assert_sound_is_served(|site| site.crash_first(9, CRASH_AT, CRASH_SPAN, AWAY));
}

#[test]
fn nothing_is_quarantined_after_a_common_crash_that_slow_messages_report() {
    assert_sound_is_served(|site| crash_all(site.max_delay(ms(250))));
}

#[test]
fn nothing_is_quarantined_after_two_common_crashes() {
    let second = CRASH_AT + ms(3000);
    assert_sound_is_served(|site| crash_all(site).crash_first(ENDPOINTS, second, CRASH_SPAN, AWAY));
}

#[test]
fn nothing_is_quarantined_if_an_instance_starts_during_a_common_crash() {
    assert_sound_is_served(|site| crash_all(site.late_instance(CRASH_AT + ms(100))));
}

#[test]
fn a_deadly_part_is_stopped_without_a_common_crash() {
    assert_deadly_is_stopped(Load::DeadlyPart, MAX_CRASHED_BY_PART, CRASH_AT, |site| site);
}

#[test]
fn a_deadly_part_is_stopped_if_endpoints_also_crash_at_one_moment() {
    for from in [CRASH_AT - AWAY, CRASH_AT, CRASH_AT + AWAY] {
        assert_deadly_is_stopped(Load::DeadlyPart, MAX_CRASHED_BY_PART, from, crash_all);
    }
}

#[test]
fn a_deadly_content_is_stopped_if_endpoints_also_crash_at_one_moment() {
    for from in [CRASH_AT - AWAY, CRASH_AT, CRASH_AT + AWAY] {
        assert_deadly_is_stopped(Load::DeadlyContent, MAX_CRASHED_BY_CONTENT, from, crash_all);
    }
}

#[test]
fn a_deadly_part_is_stopped_if_an_instance_starts_between_its_crashes() {
    let change = |site: Site| crash_all(site.late_instance(CRASH_AT + AWAY));
    let from = CRASH_AT - AWAY;
    assert_deadly_is_stopped(Load::DeadlyPart, MAX_CRASHED_BY_PART, from, change);
}

/// A peer reports that endpoints `range` crashed now, one each `step`.
fn report(world: &mut World, content: Fingerprint, range: Range<usize>, step: Duration) {
    for idx in range {
        let endpoint =
            EndpointId { name: Arc::from(format!("x{idx}")), incarnation: Incarnation(1) };
        let is_part = content != team_content();
        let crash = Crash { content, endpoint, age: Duration::ZERO, is_late: false, is_part };
        world.relay.on_crash(world.now, &crash);
        world.collect();
        world.now += step;
    }
}

fn combined(world: &mut World) -> Vec<u32> {
    world.take(|action| match action {
        Action::CrashesCombined { endpoints, .. } => Some(*endpoints),
        _ => None,
    })
}

fn part() -> Fingerprint {
    Fingerprint::of_part("desk", 1)
}

#[test]
fn crashes_at_one_moment_count_each_against_what_nobody_has_answered() {
    for (content, threshold) in [(part(), 4), (team_content(), 3)] {
        let mut world = world(RequestKind::Once);
        report(&mut world, content, 0..threshold, ms(20));
        assert_eq!(queries(&mut world), [content]);
        world.relay.on_query_result(world.now, content, false);
        assert_eq!(world.relay.quarantined().count(), 1);
    }
}

#[test]
fn crashes_at_one_moment_count_as_one_against_what_was_answered_lately() {
    for content in [part(), team_content()] {
        let mut world = world(RequestKind::Once);
        report(&mut world, content, 0..5, ms(20));
        answer_queries(&mut world, true);
        report(&mut world, content, 5..18, ms(15));
        assert!(queries(&mut world).is_empty());
        let combined = combined(&mut world);
        assert_eq!(combined.len(), 1, "stated once: {combined:?}");
    }
}

/// What turned deadly after it was answered crashes one endpoint after another.
#[test]
fn crashes_at_different_moments_count_each_against_what_was_answered_lately() {
    for (content, threshold) in [(part(), 6), (team_content(), 3)] {
        let mut world = world(RequestKind::Once);
        world.now += ms(60_000);
        let first = if content == part() { 4 } else { 3 };
        report(&mut world, content, 0..first, ms(160));
        assert_eq!(queries(&mut world), [content]);
        world.relay.on_query_result(world.now, content, true);
        world.collect();
        report(&mut world, content, first..threshold, ms(160));
        assert_eq!(queries(&mut world), [content], "answers since the first crash count");
        world.relay.on_query_result(world.now, content, false);
        assert_eq!(world.relay.quarantined().count(), 1);
    }
}

/// The crashes of a common moment count as one together with those after it.
#[test]
fn crashes_after_a_common_crash_count_each() {
    let mut world = world(RequestKind::Once);
    report(&mut world, part(), 0..12, ms(20));
    answer_queries(&mut world, true);
    world.now += ms(2000);
    for idx in 12..16 {
        report(&mut world, part(), idx..idx + 1, ms(500));
        assert!(queries(&mut world).is_empty(), "{idx}");
    }
    report(&mut world, part(), 16..17, ms(500));
    assert_eq!(queries(&mut world), [part()]);
}

#[test]
fn the_number_of_endpoints_whose_crashes_are_stored_is_bounded() {
    let mut world = world(RequestKind::Once);
    report(&mut world, part(), 0..5000, ms(40));
    assert_eq!(queries(&mut world), [part()]);
    answer_queries(&mut world, true);
}
