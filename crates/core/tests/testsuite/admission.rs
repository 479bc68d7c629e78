//! Whether a request is taken in, and when a refused one should come back.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use expect_test::{Expect, expect};
use peatdeck_core::{
    admission::{self, Estimate, Share, drain::DrainRate, probe::ProbePacer},
    model::RefusalKind,
};
use rand::{SeedableRng, rngs::SmallRng};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn estimate(left: u64, wait: u64, work: u64) -> Estimate {
    let (left, wait, work) = (ms(left), ms(wait), ms(work));
    Estimate { left, wait, work, min_work: work / 4, share: Share::default() }
}

fn check(estimate: &Estimate, want: Expect) {
    let text = match admission::decide(estimate) {
        Ok(()) => "admitted".to_owned(),
        Err(refusal) => format!("{:?}, in {:?}", refusal.kind, refusal.retry_after),
    };
    want.assert_eq(&text);
}

#[test]
fn what_fits_the_deadline_is_admitted() {
    check(&estimate(1000, 400, 600), expect!["admitted"]);
}

#[test]
fn what_does_not_fit_is_told_when_the_excess_is_gone() {
    check(&estimate(1000, 1700, 600), expect!["Infeasible, in 1.3s"]);
}

#[test]
fn work_that_is_too_much_by_itself_waits_for_an_empty_queue() {
    check(&estimate(500, 1700, 600), expect!["Infeasible, in 2.3s"]);
}

#[test]
fn while_nothing_waits_a_chance_is_enough() {
    check(&estimate(500, 0, 1000), expect!["admitted"]);
    check(&estimate(200, 0, 1000), expect!["Infeasible, in 1s"]);
}

#[test]
fn the_time_to_come_back_is_bounded() {
    check(&estimate(1000, 401, 600), expect!["Infeasible, in 100ms"]);
    check(&estimate(1000, 900_000, 600), expect!["Infeasible, in 60s"]);
}

#[test]
fn a_team_at_its_most_is_refused() {
    let share =
        Share { active: 10, max_active: Some(10), total: 10, weight: 1.0, is_contended: false };
    check(&Estimate { share, ..estimate(1000, 0, 500) }, expect!["OverShare, in 100ms"]);
    let share = Share { active: 9, ..share };
    check(&Estimate { share, ..estimate(1000, 0, 500) }, expect!["admitted"]);
}

#[test]
fn a_share_is_lent_while_nobody_waits() {
    let share =
        Share { active: 79, max_active: None, total: 100, weight: 0.25, is_contended: false };
    check(&Estimate { share, ..estimate(5000, 1000, 500) }, expect!["admitted"]);
    let share = Share { is_contended: true, ..share };
    check(&Estimate { share, ..estimate(5000, 1000, 500) }, expect!["OverShare, in 560.126582ms"]);
    let share = Share { active: 49, ..share };
    check(&Estimate { share, ..estimate(5000, 1000, 500) }, expect!["admitted"]);
}

#[test]
fn a_few_requests_say_nothing_of_a_share() {
    let share = Share { active: 3, max_active: None, total: 15, weight: 0.09, is_contended: true };
    check(&Estimate { share, ..estimate(5000, 1000, 500) }, expect!["admitted"]);
    let share = Share { active: 4, ..share };
    check(&Estimate { share, ..estimate(5000, 1000, 500) }, expect!["OverShare, in 375ms"]);
    let share = Share { active: 3, max_active: Some(3), ..share };
    check(&Estimate { share, ..estimate(5000, 1000, 500) }, expect!["OverShare, in 500ms"]);
}

#[test]
fn refused_callers_do_not_come_back_together() {
    let mut rng = SmallRng::seed_from_u64(1);
    let refusal = admission::refusal(RefusalKind::Infeasible, ms(1000));
    let times = [0; 8].map(|_| admission::add_jitter(refusal.clone(), &mut rng).retry_after);
    assert!(times.iter().all(|time| (ms(1000)..=ms(1250)).contains(time)), "{times:?}");
    assert!(times.windows(2).all(|pair| pair[0] != pair[1]), "{times:?}");
}

#[test]
fn the_drain_rate_counts_only_time_in_which_calls_wait() {
    let mut drain = DrainRate::new();
    drain.set_waiting(ms(0), true);
    for at in 1..=10 {
        drain.record_dispatch(ms(at * 100), 2.0);
    }
    drain.set_waiting(ms(1000), false);
    drain.set_waiting(ms(9000), true);
    let wait = drain.time_to_drain(ms(9000), 40.0).unwrap();
    assert!((ms(1950)..ms(2050)).contains(&wait), "{wait:?}");
}

#[test]
fn a_queue_that_stands_still_makes_the_wait_grow() {
    let mut drain = DrainRate::new();
    drain.set_waiting(ms(0), true);
    for at in 1..=10 {
        drain.record_dispatch(ms(at * 100), 2.0);
    }
    assert!(drain.time_to_drain(ms(6000), 40.0).unwrap() > ms(10_000));
}

#[test]
fn little_evidence_is_none() {
    let mut drain = DrainRate::new();
    assert_eq!(drain.time_to_drain(ms(0), 10.0), None);
    drain.set_waiting(ms(0), true);
    drain.record_dispatch(ms(10), 1.0);
    assert_eq!(drain.time_to_drain(ms(10), 10.0), None);
}

#[test]
fn a_probe_is_due_only_after_a_while_without_any_admission() {
    let mut probe = ProbePacer::new();
    assert!(probe.is_due(ms(0)));
    probe.record_admission(ms(500));
    assert!(!probe.is_due(ms(1400)));
    assert!(probe.is_due(ms(1500)));
}

#[test]
fn a_wait_without_a_measured_rate_is_worked_out_from_places() {
    assert_eq!(admission::expected_wait(12.0, 4, ms(100)), ms(300));
    assert_eq!(admission::expected_wait(12.0, 0, ms(100)), Duration::from_secs(60));
}
