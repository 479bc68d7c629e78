//! Each kind of invalid input gets an error with its own code and a remedy, and
//! nothing runs.

use std::{env, fs, process};

use peatdeck_core::document::{Document, Policy};
use peatdeck_test_support::{
    fixture::{self, CERTIFICATE},
    http::Reply,
    process::{Process, Spec},
    processes::{TOKEN, builder::Builder},
    wait::{self, TIMEOUT},
};
use peatdeck_wire::{
    admin::{ApiError, ErrorDetail},
    caller::ErrorBody,
};
use serde_json::{Value, json};

use crate::support::Bench;

/// Largest request body that the entries of this test accept.
const MAX_BODY: usize = 4_096;

fn body() -> Value {
    serde_json::to_value(fixture::once("invalid", "trailer")).unwrap()
}

/// A body with one field set.
fn with(field: &str, value: Value) -> String {
    let mut body = body();
    body[field] = value;
    body.to_string()
}

fn without(field: &str) -> String {
    let mut body = body();
    body.as_object_mut().unwrap().remove(field);
    body.to_string()
}

#[ntex::test]
async fn an_invalid_request_gets_its_error_and_does_not_run() {
    let bench = Bench::start(Builder::default().entry_flags(&["--max-body", "4096"])).await;
    let long = "x".repeat(129);
    let cases = [
        ("certificat", body().to_string(), "404 unknown_pipeline"),
        (CERTIFICATE, "{\"id\": ".to_owned(), "400 malformed_json"),
        (CERTIFICATE, "[]".to_owned(), "400 malformed_json"),
        (CERTIFICATE, with("input", "x".repeat(MAX_BODY).into()), "413 body_too_large"),
        (CERTIFICATE, without("deadline_ms"), "400 deadline_missing"),
        (CERTIFICATE, with("deadline_ms", 0.into()), "400 deadline_zero"),
        (CERTIFICATE, with("deadline_ms", (-1).into()), "400 deadline_passed"),
        (CERTIFICATE, with("deadline_ms", 1_796_223_463_428_i64.into()), "400 deadline_absurd"),
        (CERTIFICATE, with("deadline_ms", 1e300.into()), "400 deadline_absurd"),
        (CERTIFICATE, with("deadline_ms", "5s".into()), "400 field_type"),
        (CERTIFICATE, without("id"), "400 id_missing"),
        (CERTIFICATE, with("id", "".into()), "400 id_missing"),
        (CERTIFICATE, with("id", long.into()), "400 id_too_long"),
        (CERTIFICATE, without("team"), "400 team_missing"),
        (CERTIFICATE, with("team", "nobody".into()), "400 unknown_team"),
        (CERTIFICATE, without("input"), "400 input_missing"),
        (CERTIFICATE, with("prioriti", 1.into()), "400 unknown_field"),
    ];
    let addr = bench.system.addr("entry-1").unwrap().to_owned();
    for (pipeline, body, expected) in cases {
        let path = format!("/v1/pipelines/{pipeline}/requests");
        let reply = bench.system.http.post_text(None, &addr, &path, body).await.unwrap();
        let error: ErrorBody = reply.json().unwrap();
        assert_eq!(format!("{} {}", reply.status, error.code), expected, "{error:?}");
        assert_eq!(&*error.outcome, "invalid", "{error:?}");
        assert!(!error.remedy.is_empty() && !error.message.is_empty(), "{error:?}");
    }
    assert_eq!(bench.system.all_calls().await.unwrap(), []);
    bench.finish().await;
}

/// Publishes with the given token; expects an error body.
async fn publish(bench: &Bench, token: Option<&str>, document: &Value) -> (Reply, ApiError) {
    let body = json!({ "id": "wrong", "base": 1, "author": "test", "document": document });
    let addr = bench.system.addr("admin").unwrap();
    let path = "/v1/config/publish";
    let reply = bench.system.http.post_text(token, addr, path, body.to_string()).await.unwrap();
    let error = reply.json().unwrap();
    (reply, error)
}

async fn check_publish(bench: &Bench, token: Option<&str>, document: &Value, expected: &str) {
    let (reply, error) = publish(bench, token, document).await;
    assert_eq!(format!("{} {}", reply.status, error.code), expected, "{error:?}");
    assert!(!error.remedy.is_empty(), "{error:?}");
}

/// Publishes the fixture's document with a change that makes it invalid at `place`.
async fn check_problem(bench: &Bench, change: impl FnOnce(&mut Document), place: &str) {
    let mut document = fixture::document();
    change(&mut document);
    let document = serde_json::to_value(&document).unwrap();
    let (reply, error) = publish(bench, Some(TOKEN), &document).await;
    assert_eq!(format!("{} {}", reply.status, error.code), "422 invalid_document", "{error:?}");
    let Some(ErrorDetail::Invalid { problems }) = &error.detail else { panic!("{error:?}") };
    let [problem] = &problems[..] else { panic!("{problems:?}") };
    assert_eq!(problem.path.to_string(), place, "{problem:?}");
    assert!(!problem.remedy.is_empty(), "{problem:?}");
}

#[ntex::test]
async fn an_invalid_publish_gets_its_error_and_changes_nothing() {
    let bench = Bench::start(Builder::default()).await;
    let document = serde_json::to_value(fixture::document()).unwrap();
    check_publish(&bench, None, &document, "401 unauthorized").await;
    check_publish(&bench, Some("not-the-operators-token"), &document, "401 unauthorized").await;
    let mut unknown = document.clone();
    unknown["team"][0]["wieght"] = 2.into();
    check_publish(&bench, Some(TOKEN), &unknown, "400 malformed").await;
    let stray = |document: &mut Document| document.pipelines[0].stages[0].pool = "nowhere".into();
    check_problem(&bench, stray, r#"pipeline "certificate" stage "encode" pool"#).await;
    let policy = Policy { name: "broken".into(), script: "fn admit(".into() };
    let broken = |document: &mut Document| document.policies.push(policy);
    check_problem(&bench, broken, r#"policy "broken" script"#).await;
    for entry in bench.system.entries() {
        assert_eq!(bench.system.status(&entry).await.unwrap().version, 1);
    }
    assert_eq!(bench.system.all_calls().await.unwrap(), []);
    bench.finish().await;
}

#[ntex::test]
async fn the_command_line_points_at_an_unknown_field() {
    let path = env::temp_dir().join(format!("peatdeck-invalid-{}.toml", process::id()));
    fs::write(&path, "[[team]]\nname = \"bala\"\nwieght = 2\n").unwrap();
    let spec = Spec::new("check", "peatdeck").args(["check", path.to_str().unwrap()]);
    let mut check = Process::start(&spec).unwrap();
    let status = check.wait(TIMEOUT).await.unwrap();
    let error_log = async || Some(check.log()).filter(|log| log.contains("help:"));
    let log = wait::until("the error's remedy", TIMEOUT, error_log).await.unwrap();
    fs::remove_file(&path).unwrap();
    assert_eq!(status.code(), Some(3), "{log}");
    assert!(log.contains("unknown field `wieght`") && log.contains(":3:1"), "{log}");
}
