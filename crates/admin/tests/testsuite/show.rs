//! The configuration in force, its history, and the status of the instances.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use expect_test::expect;
use peatdeck_core::record::{ConfigRecord, Snapshot};
use peatdeck_wire::admin::OutcomeCount;

use crate::support::Bench;

const TEAM: &str = "[[team]]\nname = \"bala\"\n";

#[peatdeck_macros::on_system]
async fn the_empty_document_is_version_0() {
    let bench = Bench::start().await;
    expect![[r#"
        200
        {"author":null,"confirmed":true,"document":{"pipeline":[],"policy":[],"pool":[],"team":[]},"drains":[],"publish":null,"version":0}
    "#]]
    .assert_eq(&bench.get("/v1/config").await);
}

#[peatdeck_macros::on_system]
async fn during_a_log_outage_the_last_config_is_shown_as_unconfirmed() {
    let bench = Bench::start().await;
    bench.publish("p-1", 0, TEAM).await;
    bench.platform.state().has_read_outage = true;
    let answer = bench.get("/v1/config").await;
    assert!(answer.starts_with("200"), "{answer}");
    assert!(answer.contains("\"confirmed\":false"), "{answer}");
    let fresh = bench.another_api().await.get("/v1/config").await;
    assert!(fresh.contains("\"code\":\"log_out\""), "{fresh}");
}

#[peatdeck_macros::on_system]
async fn expired_records_without_a_snapshot_give_no_state() {
    let bench = Bench::start().await;
    bench.publish("p-1", 0, TEAM).await;
    bench.publish("p-2", 1, TEAM).await;
    bench.platform.state().earliest = 1;
    let late = bench.another_api().await;
    expect![[r#"
        503
        Retry-After: 5
        {"code":"no_state","message":"the log keeps neither a snapshot nor its first record, so nobody can tell from it what is in force; nothing was appended","remedy":"wait for an entry that still has the configuration: it appends a snapshot; then send it again. If none has it any more, restore it (`peatdeck restore FILE --version N`)"}
    "#]].assert_eq(&late.get("/v1/config").await);
    let answer = late.publish("p-3", 1, TEAM).await;
    assert!(answer.contains("\"code\":\"no_state\""), "{answer}");
}

#[peatdeck_macros::on_system]
async fn unreadable_records_are_skipped_up_to_the_end() {
    let bench = Bench::start().await;
    bench.platform.state().records = vec!["of others".into(); 200];
    bench.publish("p-1", 0, TEAM).await;
    let config = bench.another_api().await.get("/v1/config").await;
    assert!(config.contains("\"version\":1"), "{config}");
}

#[peatdeck_macros::on_system]
async fn an_api_that_missed_records_waits_for_a_snapshot() {
    let bench = Bench::start().await;
    let another = bench.another_api().await;
    bench.publish("p-1", 0, TEAM).await;
    another.publish("p-2", 1, TEAM).await;
    another.publish("p-3", 2, TEAM).await;
    bench.platform.state().earliest = 2;
    let config = bench.get("/v1/config").await;
    assert!(config.contains("\"confirmed\":false"), "{config}");
    let answer = bench.publish("p-4", 1, TEAM).await;
    assert!(answer.contains("\"code\":\"no_state\""), "{answer}");
    bench.platform.append_before_next(&ConfigRecord::Snapshot(Snapshot {
        as_of: Some(2),
        version: 3,
        publish: Some("p-3".into()),
        document: Arc::default(),
        drains: Vec::new(),
        evacuated: Vec::new(),
        restorer: None,
    }));
    another.publish("p-4", 3, TEAM).await;
    let config = bench.get("/v1/config").await;
    assert!(config.contains("\"confirmed\":true"), "{config}");
    assert!(config.contains("\"version\":4"), "{config}");
}

#[peatdeck_macros::on_system]
async fn the_history_is_paginated() {
    let bench = Bench::start().await;
    bench.platform.list_endpoint("engine-1", 3);
    bench.publish("p-1", 0, TEAM).await;
    bench.post("/v1/endpoints/engine-1/drain", serde_json::json!({"author": "ann"})).await;
    bench.publish("p-2", 1, TEAM).await;
    expect![[r#"
        200
        {"acts":[{"author":"mair","offset":0,"time_ms":1772346600000,"what":{"base":0,"id":"p-1","kind":"publish","verdict":{"verdict":"accepted","version":1}}},{"author":"ann","offset":1,"time_ms":1772346601000,"what":{"endpoint":"engine-1","incarnation":3,"kind":"drain"}}],"earliest":0,"next":2}
    "#]]
    .assert_eq(&bench.get("/v1/config/history?limit=2").await);
    expect![[r#"
        200
        {"acts":[{"author":"mair","offset":2,"time_ms":1772346602000,"what":{"base":1,"id":"p-2","kind":"publish","verdict":{"verdict":"accepted","version":2}}}],"earliest":0,"next":null}
    "#]]
    .assert_eq(&bench.get("/v1/config/history?from=2&limit=2").await);
    let wrong = bench.get("/v1/config/history?form=2").await;
    assert!(wrong.starts_with("400"), "{wrong}");
}

#[peatdeck_macros::on_system]
async fn the_status_names_instances_that_did_not_respond() {
    let bench = Bench::start().await;
    let _one = bench.platform.add_instance("entry-1");
    bench.platform.list_instance("entry-2", "127.0.0.1:1");
    // Not `expect!`: the difference that it prints appears in the output of the test
    // that ran first on the shared runtime, not of this one.
    let expected = r#"200
{"entries":[{"counters":{},"data_centre":"dc1","endpoints":[],"incarnation":1,"instance":"entry-1","outcomes":[],"peers":[],"ready":true,"reasons":[],"running":0,"version":0}],"missing":[{"instance":"entry-2","reason":"no connection to 127.0.0.1:1: Connection refused (os error 111); check the address and that the service runs"}]}
"#;
    assert_eq!(bench.get("/v1/status").await, expected);
    bench.platform.state().has_list_outage = true;
    let answer = bench.get("/v1/status").await;
    assert!(answer.contains("\"code\":\"list_out\""), "{answer}");
}

#[peatdeck_macros::on_system]
async fn outcomes_are_summed_over_the_instances() {
    let bench = Bench::start().await;
    let row = |slot, count| OutcomeCount {
        slot,
        pipeline: "ticket".into(),
        team: "bala".into(),
        outcome: "timed_out".into(),
        stage: Some("write".into()),
        count,
    };
    bench.platform.state().outcomes = vec![row(60, 5), row(120, 7)];
    let _one = bench.platform.add_instance("entry-1");
    let _two = bench.platform.add_instance("entry-2");
    bench.platform.list_instance("entry-3", "127.0.0.1:1");
    expect![[r#"
        200
        {"instances":["entry-1","entry-2"],"missing":[{"instance":"entry-3","reason":"no connection to 127.0.0.1:1: Connection refused (os error 111); check the address and that the service runs"}],"outcomes":[{"count":14,"outcome":"timed_out","pipeline":"ticket","slot":120,"stage":"write","team":"bala"}]}
    "#]].assert_eq(&bench.get("/v1/outcomes?since=120").await);
}
