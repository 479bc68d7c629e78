//! Draining endpoints.

#![allow(clippy::unwrap_used)]

use expect_test::expect;
use peatdeck_test_support::platform::AppendFault;
use serde_json::json;

use crate::support::Bench;

const PATH: &str = "/v1/endpoints/engine-1/drain";

#[peatdeck_macros::on_system]
async fn a_drain_applies_to_the_listed_incarnation() {
    let bench = Bench::start().await;
    bench.platform.list_endpoint("engine-1", 3);
    expect![[r#"
        200
        {"endpoint":"engine-1","incarnation":3}
    "#]]
    .assert_eq(&bench.post(PATH, json!({"author": "mair"})).await);
    let config = bench.get("/v1/config").await;
    assert!(config.contains("\"endpoint\":\"engine-1\""), "{config}");
}

#[peatdeck_macros::on_system]
async fn a_drain_sent_again_is_not_appended_again() {
    let bench = Bench::start().await;
    bench.platform.list_endpoint("engine-1", 3);
    bench.platform.state().append_faults.push_back(AppendFault::LoseReply);
    for _ in 0..2 {
        let answer = bench.post(PATH, json!({"author": "mair"})).await;
        assert!(answer.starts_with("200"), "{answer}");
    }
    assert_eq!(bench.platform.state().records.len(), 1);
}

#[peatdeck_macros::on_system]
async fn an_endpoint_that_is_not_listed_is_refused() {
    let bench = Bench::start().await;
    expect![[r#"
        404
        {"code":"unknown_endpoint","message":"the platform's list has no endpoint `engine-1`","remedy":"check the name; a new endpoint shows in the list after some seconds"}
    "#]]
    .assert_eq(&bench.post(PATH, json!({"author": "mair"})).await);
}

#[peatdeck_macros::on_system]
async fn an_incarnation_that_is_over_is_refused() {
    let bench = Bench::start().await;
    bench.platform.list_endpoint("engine-1", 3);
    let body = json!({"author": "mair", "incarnation": 2});
    expect![[r#"
        409
        {"code":"other_incarnation","message":"endpoint `engine-1` is in incarnation 3, not 2","remedy":"leave the incarnation out to drain the present one"}
    "#]]
    .assert_eq(&bench.post(PATH, body).await);
}

#[peatdeck_macros::on_system]
async fn an_unconfirmed_append_leaves_the_drain_unknown() {
    let bench = Bench::start().await;
    bench.platform.list_endpoint("engine-1", 3);
    bench.platform.state().append_faults.extend([AppendFault::Drop; 100]);
    let answer = bench.post(PATH, json!({"author": "mair"})).await;
    assert!(answer.starts_with("503\nRetry-After: 5\n"), "{answer}");
    assert!(answer.contains("\"code\":\"unknown\""), "{answer}");
}
