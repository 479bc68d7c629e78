use std::{sync::Arc, time::Duration};

use expect_test::{Expect, expect};
use peatdeck_core::model::{
    Answer, Invalid, Outcome, Refusal, RefusalKind, StageReport, Uncertainty, UncertaintyKind,
};
use peatdeck_entry::outcome;

fn check(outcome: Outcome, expected: Expect) {
    let code = outcome::code(&outcome);
    let (status, retry, json) = match outcome::render(&Arc::from("r1"), outcome) {
        Ok(body) => (200, None, serde_json::to_string(&body).unwrap()),
        Err(failure) => {
            assert_eq!(code, &*failure.body.code);
            let retry = failure.retry_after();
            (failure.status.as_u16(), retry, serde_json::to_string(&failure.body).unwrap())
        }
    };
    let retry = retry.map_or_else(|| "-".to_owned(), |seconds| seconds.to_string());
    expected.assert_eq(&format!("{status} retry {retry}\n{json}"));
}

fn statuses<K: Copy + std::fmt::Debug>(kinds: &[K], outcome: impl Fn(K) -> Outcome) -> String {
    let line = |kind: &K| {
        let failure = outcome::render(&Arc::from("r1"), outcome(*kind)).unwrap_err();
        let body = failure.body;
        assert!(!body.message.is_empty() && !body.remedy.is_empty());
        format!("{kind:?}: {} {} {}", failure.status.as_u16(), body.outcome, body.code)
    };
    kinds.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn refusal(kind: RefusalKind, millis: u64) -> Outcome {
    Outcome::NotRun(Refusal { kind, retry_after: Duration::from_millis(millis) })
}

fn uncertainty(kind: UncertaintyKind, retry_after: Option<Duration>) -> Outcome {
    Outcome::MayHaveRun(Uncertainty { kind, stage: Some(Arc::from("generate")), retry_after })
}

#[test]
fn an_answer_carries_the_id_and_each_stage() {
    let report = StageReport {
        stage: Arc::from("encode"),
        endpoint: Arc::from("e1"),
        attempts: 2,
        took: Duration::from_micros(1_500),
    };
    check(
        Outcome::Answered(Answer { output: Arc::from("out"), stages: vec![report] }),
        expect![[r#"
        200 retry -
        {"id":"r1","outcome":"answered","output":"out","stages":[{"stage":"encode","endpoint":"e1","attempts":2,"took_ms":1.5}]}"#]],
    );
}

#[test]
fn a_refusal_says_that_nothing_ran_and_when_to_retry() {
    check(
        refusal(RefusalKind::Infeasible, 1_001),
        expect![[r#"
        503 retry 2
        {"id":"r1","outcome":"not_run","code":"infeasible","message":"the request would not have finished within its deadline; nothing ran","remedy":"send it again after the given time, or with a longer deadline","retry_after_ms":1001}"#]],
    );
}

#[test]
fn retry_after_is_rounded_up_and_the_body_exact() {
    check(
        refusal(RefusalKind::OverShare, 1),
        expect![[r#"
        429 retry 1
        {"id":"r1","outcome":"not_run","code":"over_share","message":"the team holds more than its share while others wait; nothing ran","remedy":"send it again after the given time, or send fewer requests at once","retry_after_ms":1}"#]],
    );
    check(
        refusal(RefusalKind::OverShare, 2_000),
        expect![[r#"
        429 retry 2
        {"id":"r1","outcome":"not_run","code":"over_share","message":"the team holds more than its share while others wait; nothing ran","remedy":"send it again after the given time, or send fewer requests at once","retry_after_ms":2000}"#]],
    );
}

#[test]
fn an_uncertain_outcome_names_the_stage() {
    check(
        uncertainty(UncertaintyKind::TimedOut, Some(Duration::from_millis(250))),
        expect![[r#"
        504 retry 1
        {"id":"r1","outcome":"may_have_run","code":"timed_out","message":"the deadline passed while a stage ran; it may have run","remedy":"send it again after the given time","stage":"generate","retry_after_ms":250}"#]],
    );
}

#[test]
fn an_uncertain_outcome_that_must_not_be_repeated_has_no_retry_after() {
    check(
        uncertainty(UncertaintyKind::StageFailed, None),
        expect![[r#"
        502 retry -
        {"id":"r1","outcome":"may_have_run","code":"stage_failed","message":"a stage failed and may not be tried again; it may have run","remedy":"do not send the request again; find out whether its effect took place","stage":"generate"}"#]],
    );
}

#[test]
fn every_refusal_has_its_status_and_code() {
    use RefusalKind::*;
    let kinds = [
        Infeasible,
        OverShare,
        Expired,
        Policy,
        NoEndpoint,
        NotReady,
        Stopping,
        ClaimUnknown,
        ClaimHorizon,
    ];
    expect![[r#"
        Infeasible: 503 not_run infeasible
        OverShare: 429 not_run over_share
        Expired: 503 not_run expired
        Policy: 429 not_run policy
        NoEndpoint: 503 not_run no_endpoint
        NotReady: 503 not_run not_ready
        Stopping: 503 not_run stopping
        ClaimUnknown: 503 not_run claim_unknown
        ClaimHorizon: 503 not_run claim_horizon"#]]
    .assert_eq(&statuses(&kinds, |kind| refusal(kind, 0)));
}

#[test]
fn every_uncertain_outcome_has_its_status_and_code() {
    use UncertaintyKind::*;
    let kinds =
        [TimedOut, StageFailed, InProgress, ClaimedElsewhere, AlreadyFinished, EarlierUnknown];
    expect![[r#"
        TimedOut: 504 may_have_run timed_out
        StageFailed: 502 may_have_run stage_failed
        InProgress: 504 may_have_run in_progress
        ClaimedElsewhere: 502 may_have_run claimed_elsewhere
        AlreadyFinished: 502 may_have_run already_finished
        EarlierUnknown: 502 may_have_run earlier_unknown"#]]
    .assert_eq(&statuses(&kinds, |kind| uncertainty(kind, None)));
}

#[test]
fn every_invalid_request_has_its_status_and_code() {
    use Invalid::*;
    let kinds = [UnknownPipeline, UnknownTeam, KeyReused];
    expect![[r#"
        UnknownPipeline: 404 invalid unknown_pipeline
        UnknownTeam: 400 invalid unknown_team
        KeyReused: 409 invalid key_reused"#]]
    .assert_eq(&statuses(&kinds, Outcome::Invalid));
}
