//! Whether a request is admitted, and when a refused one should be retried.

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
fn a_request_that_fits_its_deadline_is_admitted() {
    check(&estimate(1000, 400, 600), expect!["admitted"]);
}

#[test]
fn retry_after_is_the_time_until_the_excess_has_drained() {
    check(&estimate(1000, 1700, 600), expect!["Infeasible, in 1.3s"]);
}

#[test]
fn work_longer_than_the_deadline_is_retried_once_the_queue_is_empty() {
    check(&estimate(500, 1700, 600), expect!["Infeasible, in 2.3s"]);
}

#[test]
fn with_an_empty_queue_only_the_least_work_must_fit() {
    check(&estimate(500, 0, 1000), expect!["admitted"]);
    check(&estimate(200, 0, 1000), expect!["Infeasible, in 1s"]);
}

#[test]
fn retry_after_is_bounded() {
    check(&estimate(1000, 401, 600), expect!["Infeasible, in 100ms"]);
    check(&estimate(1000, 900_000, 600), expect!["Infeasible, in 60s"]);
}

#[test]
fn a_team_at_its_maximum_is_refused() {
    let share =
        Share { active: 10, max_active: Some(10), total: 10, weight: 1.0, is_contended: false };
    check(&Estimate { share, ..estimate(1000, 0, 500) }, expect!["OverShare, in 100ms"]);
    let share = Share { active: 9, ..share };
    check(&Estimate { share, ..estimate(1000, 0, 500) }, expect!["admitted"]);
}

#[test]
fn a_team_may_exceed_its_share_without_contention() {
    let share =
        Share { active: 79, max_active: None, total: 100, weight: 0.25, is_contended: false };
    check(&Estimate { share, ..estimate(5000, 1000, 500) }, expect!["admitted"]);
    let share = Share { is_contended: true, ..share };
    check(&Estimate { share, ..estimate(5000, 1000, 500) }, expect!["OverShare, in 560.126582ms"]);
    let share = Share { active: 49, ..share };
    check(&Estimate { share, ..estimate(5000, 1000, 500) }, expect!["admitted"]);
}

#[test]
fn shares_do_not_apply_to_a_few_requests() {
    let share = Share { active: 3, max_active: None, total: 15, weight: 0.09, is_contended: true };
    check(&Estimate { share, ..estimate(5000, 1000, 500) }, expect!["admitted"]);
    let share = Share { active: 4, ..share };
    check(&Estimate { share, ..estimate(5000, 1000, 500) }, expect!["OverShare, in 375ms"]);
    let share = Share { active: 3, max_active: Some(3), ..share };
    check(&Estimate { share, ..estimate(5000, 1000, 500) }, expect!["OverShare, in 500ms"]);
}

#[test]
fn retry_after_has_jitter() {
    let mut rng = SmallRng::seed_from_u64(1);
    let refusal = admission::refusal(RefusalKind::Infeasible, ms(1000));
    let times = [0; 8].map(|_| admission::add_jitter(refusal.clone(), &mut rng).retry_after);
    assert!(times.iter().all(|time| (ms(1000)..=ms(1250)).contains(time)), "{times:?}");
    assert!(times.windows(2).all(|pair| pair[0] != pair[1]), "{times:?}");
}

#[test]
fn the_drain_rate_counts_only_time_during_which_calls_wait() {
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
fn the_wait_grows_while_nothing_is_dispatched() {
    let mut drain = DrainRate::new();
    drain.set_waiting(ms(0), true);
    for at in 1..=10 {
        drain.record_dispatch(ms(at * 100), 2.0);
    }
    assert!(drain.time_to_drain(ms(6000), 40.0).unwrap() > ms(10_000));
}

#[test]
fn few_dispatches_give_no_drain_rate() {
    let mut drain = DrainRate::new();
    assert_eq!(drain.time_to_drain(ms(0), 10.0), None);
    drain.set_waiting(ms(0), true);
    drain.record_dispatch(ms(10), 1.0);
    assert_eq!(drain.time_to_drain(ms(10), 10.0), None);
}

#[test]
fn a_probe_is_due_only_after_a_time_without_admissions() {
    let mut probe = ProbePacer::new();
    assert!(probe.is_due(ms(0)));
    probe.record_admission(ms(500));
    assert!(!probe.is_due(ms(1400)));
    assert!(probe.is_due(ms(1500)));
}

#[test]
fn the_wait_is_estimated_from_slots_without_a_measured_rate() {
    assert_eq!(admission::expected_wait(12.0, 4, ms(100)), ms(300));
    assert_eq!(admission::expected_wait(12.0, 0, ms(100)), Duration::from_secs(60));
}
