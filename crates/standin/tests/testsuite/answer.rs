//! Outputs derived from calls.

#![allow(clippy::unwrap_used)]

use expect_test::expect;
use peatdeck_core::model::RequestId;
use peatdeck_standin::answer;
use peatdeck_test_support::fixture;

use crate::support::key;

#[test]
fn an_output_names_its_stage_and_request() {
    let output = answer::service_output("encode", &key("r1"), "hello");
    expect!["encode:team/r1:658e9ea27a915a25"].assert_eq(&output);
}

#[test]
fn different_calls_have_different_outputs() {
    let other_team = RequestId { team: "other".into(), id: "r1".into() };
    let outputs = [
        answer::service_output("encode", &key("r1"), "hello"),
        answer::service_output("rerank", &key("r1"), "hello"),
        answer::service_output("encode", &key("r2"), "hello"),
        answer::service_output("encode", &other_team, "hello"),
        answer::service_output("encode", &key("r1"), "hello "),
    ];
    let digests: Vec<&str> =
        outputs.iter().map(|output| output.rsplit_once(':').unwrap().1).collect();
    for (idx, digest) in digests.iter().enumerate() {
        assert!(!digests[..idx].contains(digest));
    }
}

#[test]
fn the_number_of_tokens_respects_the_limit_of_the_call() {
    for max in 1..40 {
        let count = answer::tokens("generate", &key("r1"), "hello", Some(max)).len();
        assert!((max.div_ceil(2) as usize..=max as usize).contains(&count), "{count} of {max}");
    }
}

#[test]
fn a_pipeline_feeds_each_output_to_the_next_stage() {
    let document = fixture::document();
    let pipeline = document.pipeline(fixture::TICKET).unwrap();
    let encoded = answer::service_output("encode", &key("r1"), "hello");
    let generated = answer::tokens("generate", &key("r1"), &encoded, Some(12)).concat();
    let issued = answer::service_output("ledger", &key("r1"), &generated);
    assert_eq!(answer::expected_output(&document, pipeline, &key("r1"), "hello"), Some(issued));
}
