#![allow(clippy::unwrap_used)]

use peatdeck_load::{
    sample::{Ending, Sample},
    work::{End, Ledger, Use, Violation, Work},
};

use crate::support::{answered, document, sample, work};

fn uses(sample: &Sample, works: Vec<Work>) -> Vec<Use> {
    Ledger::new(works).uses(sample).map(|(_, usage)| usage).collect()
}

#[test]
fn the_reply_that_was_taken_is_useful() {
    let works = vec![work("a", 1, "e-1", 0, 100, End::Finished)];
    assert_eq!(uses(&answered("a", 0, 120, "e-1"), works), [Use::Useful]);
}

#[test]
fn a_second_call_beside_the_first_is_a_hedge() {
    let works = vec![
        work("a", 1, "e-1", 0, 100, End::Finished),
        work("a", 2, "e-2", 50, 30, End::Finished),
    ];
    assert_eq!(uses(&answered("a", 0, 120, "e-2"), works), [Use::Hedge, Use::Useful]);
}

#[test]
fn a_call_before_the_one_taken_is_a_retry() {
    let works =
        vec![work("a", 1, "e-1", 0, 40, End::Broken), work("a", 2, "e-2", 50, 30, End::Finished)];
    assert_eq!(uses(&answered("a", 0, 120, "e-2"), works), [Use::Retry, Use::Useful]);
}

#[test]
fn a_stopped_call_is_cancelled() {
    let works = vec![
        work("a", 1, "e-1", 0, 100, End::Cancelled),
        work("a", 2, "e-2", 50, 30, End::Finished),
    ];
    assert_eq!(uses(&answered("a", 0, 120, "e-2"), works), [Use::Cancelled, Use::Useful]);
}

#[test]
fn work_for_an_answer_past_the_deadline_is_late() {
    let works = vec![work("a", 1, "e-1", 0, 100, End::Finished)];
    assert_eq!(uses(&answered("a", 0, 1001, "e-1"), works), [Use::Late]);
}

fn violations(samples: &[Sample], works: Vec<Work>) -> Vec<Violation> {
    Ledger::new(works).violations(samples, &document())
}

#[test]
fn a_call_for_a_request_that_did_not_run_is_a_violation() {
    let refused = sample("a", 0, 5, Ending::NotRun("over_share".into()));
    let works = vec![work("a", 1, "e-1", 0, 100, End::Cancelled)];
    assert_eq!(
        violations(&[refused], works),
        [Violation::RanAfterNotRun {
            id: "a".into(),
            told: "not_run/over_share".into(),
            calls: vec!["stage 0 attempt 1 at e-1".into()],
        }]
    );
}

#[test]
fn an_earlier_send_that_may_have_run_explains_the_call() {
    let ending = Ending::NotRun("over_share".into());
    let resent = Sample { doubted: true, ..sample("a", 0, 5, ending) };
    let works = vec![work("a", 1, "e-1", 0, 100, End::Cancelled)];
    assert_eq!(violations(&[resent], works), []);
}

#[test]
fn two_runs_of_a_stage_that_may_not_be_repeated_are_a_violation() {
    let once = Sample { idempotent: false, ..answered("a", 0, 100, "e-1") };
    let works =
        vec![work("a", 1, "e-1", 0, 40, End::Broken), work("a", 2, "e-2", 50, 30, End::Finished)];
    let found = violations(std::slice::from_ref(&once), works.clone());
    assert!(matches!(&found[..], [Violation::RanTwice { .. }]), "{found:?}");
    let idempotent = Sample { idempotent: true, ..once };
    assert_eq!(violations(&[idempotent], works), []);
}

#[test]
fn another_answer_is_a_violation() {
    let wrong = sample("a", 0, 100, Ending::Wrong("expected `x`, got `y`".into()));
    let found = violations(&[wrong], Vec::new());
    assert!(matches!(&found[..], [Violation::WrongAnswer { .. }]), "{found:?}");
}
