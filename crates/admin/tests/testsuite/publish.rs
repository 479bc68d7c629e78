//! Publishing: accepted, refused, in conflict, and confirmed after lost responses.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use expect_test::expect;
use peatdeck_core::{
    model::Presence,
    record::{ConfigRecord, Publish},
};
use peatdeck_test_support::platform::AppendFault;
use serde_json::json;

use crate::support::Bench;

const TEAM: &str = "[[team]]\nname = \"bala\"\n";
const OTHER: &str = "[[team]]\nname = \"other\"\n";

#[peatdeck_macros::on_system]
async fn an_accepted_publish_reports_where_it_is_in_force() {
    let bench = Bench::start().await;
    let _one = bench.platform.add_instance("entry-1");
    bench.platform.list_instance("entry-2", "127.0.0.1:1");
    expect![[r#"
        200
        {"id":"p-1","in_force":["entry-1"],"missing":[{"instance":"entry-2","reason":"no connection to 127.0.0.1:1: Connection refused (os error 111); check the address and that the service runs"}],"version":1}
    "#]].assert_eq(&bench.publish("p-1", 0, TEAM).await);
}

#[peatdeck_macros::on_system]
async fn a_leaving_instance_is_not_missing() {
    let bench = Bench::start().await;
    let _one = bench.platform.add_instance("entry-1");
    bench.platform.list_instance("entry-2", "127.0.0.1:1");
    bench.platform.state().listing.instances[1].presence = Presence::Leaving;
    expect![[r#"
        200
        {"id":"p-1","in_force":["entry-1"],"missing":[],"version":1}
    "#]]
    .assert_eq(&bench.publish("p-1", 0, TEAM).await);
}

#[peatdeck_macros::on_system]
async fn a_conflict_names_the_version_and_its_author() {
    let bench = Bench::start().await;
    bench.publish("p-1", 0, TEAM).await;
    expect![[r#"
        409
        {"code":"conflict","detail":{"author":"mair","kind":"conflict","publish":"p-1","version":1},"message":"version 1, published by mair, is in force, but this publish was made from 0","remedy":"fetch version 1 (`peatdeck show`), apply the change to it and publish it with a new id and base 1"}
    "#]].assert_eq(&bench.publish("p-2", 0, OTHER).await);
    assert_eq!(bench.platform.state().records.len(), 1);
}

#[peatdeck_macros::on_system]
async fn one_of_two_concurrent_publishes_is_accepted() {
    let bench = Bench::start().await;
    let another = bench.another_api().await;
    let (one, two) =
        futures::future::join(bench.publish("p-1", 0, TEAM), another.publish("p-2", 0, OTHER))
            .await;
    let accepted = [&one, &two].iter().filter(|answer| answer.starts_with("200")).count();
    let conflicts = [&one, &two].iter().filter(|answer| answer.starts_with("409")).count();
    assert_eq!((accepted, conflicts), (1, 1), "{one}{two}");
}

#[peatdeck_macros::on_system]
async fn a_conflict_seen_only_in_the_log_is_reported() {
    let bench = Bench::start().await;
    bench.platform.append_before_next(&ConfigRecord::Publish(Publish {
        id: "p-1".into(),
        base: 0,
        author: "ann".into(),
        document: Arc::default(),
    }));
    let answer = bench.publish("p-2", 0, TEAM).await;
    assert!(answer.starts_with("409"), "{answer}");
    assert!(answer.contains("version 1, published by ann, is in force"), "{answer}");
    assert_eq!(bench.platform.state().records.len(), 2);
    let history = bench.get("/v1/config/history").await;
    assert!(history.contains("\"verdict\":\"conflict\""), "{history}");
}

#[peatdeck_macros::on_system]
async fn an_append_with_a_lost_response_is_confirmed_by_reading() {
    let bench = Bench::start().await;
    bench.platform.state().append_faults.push_back(AppendFault::LoseReply);
    let answer = bench.publish("p-1", 0, TEAM).await;
    assert!(answer.starts_with("200"), "{answer}");
    assert_eq!(bench.platform.state().records.len(), 1);
}

#[peatdeck_macros::on_system]
async fn an_append_without_effect_or_response_is_sent_again() {
    let bench = Bench::start().await;
    bench.platform.state().append_faults.push_back(AppendFault::Drop);
    let answer = bench.publish("p-1", 0, TEAM).await;
    assert!(answer.starts_with("200"), "{answer}");
    assert_eq!(bench.platform.state().records.len(), 1);
}

#[peatdeck_macros::on_system]
async fn a_publish_sent_twice_counts_once() {
    let bench = Bench::start().await;
    let first = bench.publish("p-1", 0, TEAM).await;
    let again = bench.another_api().await.publish("p-1", 0, TEAM).await;
    assert_eq!(first, again);
    assert_eq!(bench.platform.state().records.len(), 1);
    expect![[r#"
        409
        {"code":"id_reused","message":"publish `p-1` stands in the log with another document, base or author","remedy":"publish with a new id"}
    "#]]
    .assert_eq(&bench.publish("p-1", 1, OTHER).await);
}

#[peatdeck_macros::on_system]
async fn a_duplicate_record_counts_once() {
    let bench = Bench::start().await;
    bench.publish("p-1", 0, TEAM).await;
    let record = bench.platform.state().records[0].clone();
    bench.platform.state().records.push(record);
    let answer = bench.get("/v1/config").await;
    assert!(answer.contains("\"version\":1"), "{answer}");
    let history = bench.get("/v1/config/history").await;
    assert_eq!(history.matches("\"id\":\"p-1\"").count(), 1, "{history}");
    let verdict = bench.get("/v1/config/verdict/p-1").await;
    expect![[r#"
        200
        {"author":"mair","id":"p-1","verdict":"accepted","version":1}
    "#]]
    .assert_eq(&verdict);
}

#[peatdeck_macros::on_system]
async fn a_log_over_its_rate_means_nothing_was_published() {
    let bench = Bench::start().await;
    bench.platform.state().append_faults.push_back(AppendFault::RateLimit);
    let answer = bench.publish("p-1", 0, TEAM).await;
    assert!(answer.starts_with("503\nRetry-After: 5\n"), "{answer}");
    assert!(answer.contains("\"code\":\"log_out\""), "{answer}");
    assert!(answer.contains("this request appended nothing"), "{answer}");
    assert!(bench.platform.state().records.is_empty());
}

#[peatdeck_macros::on_system]
async fn an_unconfirmed_append_leaves_the_publish_unknown() {
    let bench = Bench::start().await;
    bench.platform.state().append_faults.extend([AppendFault::Drop; 100]);
    expect![[r#"
        503
        Retry-After: 5
        {"code":"unknown","detail":{"id":"p-1","kind":"unknown"},"message":"unknown: publish `p-1` may have taken effect, and the log did not say in time","remedy":"ask for the verdict of `p-1` (GET /v1/config/verdict/p-1, `peatdeck show --verdict p-1`), or publish again with the same id: it counts once"}
    "#]].assert_eq(&bench.publish("p-1", 0, TEAM).await);
    expect![[r#"
        404
        {"code":"unknown_publish","message":"the log holds no publish `p-1`","remedy":"if an append of it may still be on its way, publish again with the same id: it counts once"}
    "#]].assert_eq(&bench.get("/v1/config/verdict/p-1").await);
}

#[peatdeck_macros::on_system]
async fn a_log_that_cannot_be_read_is_not_written() {
    let bench = Bench::start().await;
    bench.platform.state().has_read_outage = true;
    let answer = bench.publish("p-1", 0, TEAM).await;
    assert!(answer.contains("\"code\":\"log_out\""), "{answer}");
    assert!(bench.platform.state().records.is_empty());
}

#[peatdeck_macros::on_system]
async fn an_invalid_document_is_not_published() {
    let bench = Bench::start().await;
    let source = "[[team]]\nname = \"\"\nweight = 0\n";
    expect![[r#"
        422
        {"code":"invalid_document","detail":{"kind":"invalid","problems":[{"message":"the name is empty","path":{"field":"name","steps":[{"index":0,"name":"","table":"team"}]},"remedy":"give it a name"},{"message":"the weight is 0, so the team would never get a share","path":{"field":"weight","steps":[{"index":0,"name":"","table":"team"}]},"remedy":"set `weight` to 1 or more, or remove the team"}]},"message":"the document has 2 problem(s), the first: team \"\" name: the name is empty","remedy":"mend every problem listed and publish again"}
    "#]]
    .assert_eq(&bench.publish("p-1", 0, source).await);
    assert!(bench.platform.state().records.is_empty());
}

#[peatdeck_macros::on_system]
async fn a_policy_that_does_not_compile_is_not_published() {
    let bench = Bench::start().await;
    let source = "[[policy]]\nname = \"gate\"\nscript = \"fn admit(\"\n";
    let answer = bench.publish("p-1", 0, source).await;
    assert!(answer.starts_with("422"), "{answer}");
    assert!(answer.contains("the policy doesn't compile"), "{answer}");
}

#[peatdeck_macros::on_system]
async fn a_body_that_is_not_readable_is_refused() {
    let bench = Bench::start().await;
    expect![[r#"
        400
        {"code":"malformed","message":"the body is not readable: invalid type: integer `5`, expected a string at line 1 column 7","remedy":"correct the request and send it again"}
    "#]].assert_eq(&bench.post("/v1/config/publish", json!({"id": 5})).await);
    let unknown = json!({"document": {"teem": []}});
    expect![[r#"
        400
        {"code":"malformed","message":"the body is not readable: unknown field `teem`, expected one of `pool`, `pipeline`, `team`, `policy` at line 1 column 19","remedy":"correct the request and send it again"}
    "#]].assert_eq(&bench.post("/v1/config/check", unknown).await);
    let nameless = json!({"id": "", "base": 0, "author": "mair", "document": {}});
    expect![[r#"
        400
        {"code":"malformed","message":"`id` must have 1 to 128 bytes, all printable","remedy":"correct the request and send it again"}
    "#]]
    .assert_eq(&bench.post("/v1/config/publish", nameless).await);
}

#[peatdeck_macros::on_system]
async fn a_body_that_is_too_large_is_refused() {
    let bench = Bench::start().await;
    let large = json!({"document": "x".repeat(1024 * 1024)});
    expect![[r#"
        413
        {"code":"too_large","message":"the body takes more than 1048576 bytes","remedy":"shorten policies or remove what is unused"}
    "#]]
    .assert_eq(&bench.post("/v1/config/check", large).await);
}

#[peatdeck_macros::on_system]
async fn a_dry_run_publishes_nothing() {
    let bench = Bench::start().await;
    let body = json!({"document": {"team": [{"name": "bala", "weight": 0}]}});
    expect![[r#"
        200
        {"problems":[{"message":"the weight is 0, so the team would never get a share","path":{"field":"weight","steps":[{"index":0,"name":"bala","table":"team"}]},"remedy":"set `weight` to 1 or more, or remove the team"}],"valid":false}
    "#]]
    .assert_eq(&bench.post("/v1/config/check", body).await);
    assert!(bench.platform.state().records.is_empty());
}
