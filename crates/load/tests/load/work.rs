#![allow(clippy::unwrap_used)]

use peatdeck_load::{
    sample::{Ending, Sample},
    work::{CallEnd, CallIndex, EndpointCall, Use, Violation},
};

use crate::support::{answered, call, document, sample};

fn uses(sample: &Sample, calls: Vec<EndpointCall>) -> Vec<Use> {
    CallIndex::new(calls).uses(sample).map(|(_, usage)| usage).collect()
}

#[test]
fn the_reply_used_in_the_answer_is_useful() {
    let calls = vec![call("a", 1, "e-1", 0, 100, CallEnd::Finished)];
    assert_eq!(uses(&answered("a", 0, 120, "e-1"), calls), [Use::Useful]);
}

#[test]
fn a_second_call_beside_the_first_is_a_hedge() {
    let calls = vec![
        call("a", 1, "e-1", 0, 100, CallEnd::Finished),
        call("a", 2, "e-2", 50, 30, CallEnd::Finished),
    ];
    assert_eq!(uses(&answered("a", 0, 120, "e-2"), calls), [Use::Hedge, Use::Useful]);
}

#[test]
fn a_call_before_the_used_one_is_a_retry() {
    let calls = vec![
        call("a", 1, "e-1", 0, 40, CallEnd::Broken),
        call("a", 2, "e-2", 50, 30, CallEnd::Finished),
    ];
    assert_eq!(uses(&answered("a", 0, 120, "e-2"), calls), [Use::Retry, Use::Useful]);
}

#[test]
fn a_cancelled_call_is_counted_as_cancelled() {
    let calls = vec![
        call("a", 1, "e-1", 0, 100, CallEnd::Cancelled),
        call("a", 2, "e-2", 50, 30, CallEnd::Finished),
    ];
    assert_eq!(uses(&answered("a", 0, 120, "e-2"), calls), [Use::Cancelled, Use::Useful]);
}

#[test]
fn work_for_an_answer_past_the_deadline_is_late() {
    let calls = vec![call("a", 1, "e-1", 0, 100, CallEnd::Finished)];
    assert_eq!(uses(&answered("a", 0, 1001, "e-1"), calls), [Use::Late]);
}

fn violations(samples: &[Sample], calls: Vec<EndpointCall>) -> Vec<Violation> {
    CallIndex::new(calls).violations(samples, &document())
}

#[test]
fn a_call_for_a_request_that_did_not_run_is_a_violation() {
    let refused = sample("a", 0, 5, Ending::NotRun("over_share".into()));
    let calls = vec![call("a", 1, "e-1", 0, 100, CallEnd::Cancelled)];
    assert_eq!(
        violations(&[refused], calls),
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
    let calls = vec![call("a", 1, "e-1", 0, 100, CallEnd::Cancelled)];
    assert_eq!(violations(&[resent], calls), []);
}

#[test]
fn two_runs_of_a_stage_that_may_not_be_repeated_are_a_violation() {
    let once = Sample { idempotent: false, ..answered("a", 0, 100, "e-1") };
    let calls = vec![
        call("a", 1, "e-1", 0, 40, CallEnd::Broken),
        call("a", 2, "e-2", 50, 30, CallEnd::Finished),
    ];
    let found = violations(std::slice::from_ref(&once), calls.clone());
    assert!(matches!(&found[..], [Violation::RanTwice { .. }]), "{found:?}");
    let idempotent = Sample { idempotent: true, ..once };
    assert_eq!(violations(&[idempotent], calls), []);
}

#[test]
fn a_wrong_answer_is_a_violation() {
    let wrong = sample("a", 0, 100, Ending::Wrong("expected `x`, got `y`".into()));
    let found = violations(&[wrong], Vec::new());
    assert!(matches!(&found[..], [Violation::WrongAnswer { .. }]), "{found:?}");
}
