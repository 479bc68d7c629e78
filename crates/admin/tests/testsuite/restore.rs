//! Restoring: only if neither the log nor an instance has the version in force,
//! and then once.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use expect_test::expect;
use peatdeck_core::{
    document::Document,
    record::{ConfigRecord, Snapshot},
};
use peatdeck_test_support::platform::AppendFault;
use serde_json::json;

use crate::support::Bench;

const TEAM: &str = "[[team]]\nname = \"bala\"\n";

/// An API that starts when all records have expired and no instance runs.
async fn start_without_state() -> Bench {
    let bench = Bench::start().await;
    bench.publish("p-1", 0, TEAM).await;
    bench.publish("p-2", 1, TEAM).await;
    bench.platform.state().earliest = 2;
    bench.another_api().await
}

async fn restore(bench: &Bench, id: &str, version: u64) -> String {
    let document: Document = toml::from_str(TEAM).unwrap();
    let body = json!({"id": id, "version": version, "author": "ann", "document": document});
    bench.post("/v1/config/restore", body).await
}

#[peatdeck_macros::on_system]
async fn publishing_works_only_after_the_restore() {
    let bench = start_without_state().await;
    let before = bench.publish("p-3", 2, TEAM).await;
    assert!(before.contains("\"code\":\"no_state\""), "{before}");
    expect![[r#"
        200
        {"id":"r-1","in_force":[],"missing":[],"version":3}
    "#]]
    .assert_eq(&restore(&bench, "r-1", 2).await);
    assert_eq!(bench.platform.state().records.len(), 3);
    for api in [&bench, &bench.another_api().await] {
        let config = api.get("/v1/config").await;
        assert!(config.contains("\"author\":\"ann\",\"confirmed\":true"), "{config}");
        assert!(config.contains("\"publish\":\"r-1\",\"version\":3"), "{config}");
    }
    let after = bench.another_api().await.publish("p-3", 3, TEAM).await;
    assert!(after.starts_with("200") && after.contains("\"version\":4"), "{after}");
    expect![[r#"
        200
        {"acts":[{"author":"ann","offset":2,"time_ms":1772346602000,"what":{"id":"r-1","kind":"restore","version":3}},{"author":"mair","offset":3,"time_ms":1772346603000,"what":{"base":3,"id":"p-3","kind":"publish","verdict":{"verdict":"accepted","version":4}}}],"earliest":2,"next":null}
    "#]].assert_eq(&bench.get("/v1/config/history").await);
}

#[peatdeck_macros::on_system]
async fn a_restore_is_refused_while_the_log_holds_the_version_in_force() {
    let bench = Bench::start().await;
    let empty = restore(&bench, "r-1", 0).await;
    assert!(empty.contains("\"code\":\"not_lost\""), "{empty}");
    bench.publish("p-1", 0, TEAM).await;
    expect![[r#"
        409
        {"code":"not_lost","detail":{"author":"mair","kind":"conflict","publish":"p-1","version":1},"message":"version 1 is in force, so there is nothing to restore; this restore has no effect","remedy":"publish on base 1 instead"}
    "#]].assert_eq(&restore(&bench, "r-1", 1).await);
    assert_eq!(bench.platform.state().records.len(), 1);
}

#[peatdeck_macros::on_system]
async fn a_restore_is_refused_while_an_instance_has_a_version() {
    let bench = start_without_state().await;
    let _one = bench.platform.add_instance("entry-1");
    expect![[r#"
        409
        {"code":"still_held","message":"instance `entry-1` still has version 2 in force, so it is not lost; nothing was appended","remedy":"wait for its snapshot, or stop it if its version is not the one to go on from; then send it again"}
    "#]].assert_eq(&restore(&bench, "r-1", 2).await);
    bench.platform.state().has_list_outage = true;
    let answer = restore(&bench, "r-1", 2).await;
    assert!(answer.contains("\"code\":\"list_out\""), "{answer}");
    assert_eq!(bench.platform.state().records.len(), 2);
}

#[peatdeck_macros::on_system]
async fn a_restore_sent_twice_or_without_an_answer_counts_once() {
    let bench = start_without_state().await;
    bench.platform.state().append_faults.push_back(AppendFault::LoseReply);
    let first = restore(&bench, "r-1", 2).await;
    assert!(first.starts_with("200"), "{first}");
    assert_eq!(restore(&bench, "r-1", 2).await, first);
    assert_eq!(restore(&bench.another_api().await, "r-1", 2).await, first);
    assert_eq!(bench.platform.state().records.len(), 3);
    let second = restore(&bench, "r-2", 2).await;
    assert!(second.contains("\"code\":\"not_lost\""), "{second}");
}

#[peatdeck_macros::on_system]
async fn of_two_concurrent_restores_the_first_record_counts() {
    let bench = start_without_state().await;
    bench.platform.append_before_next(&ConfigRecord::Snapshot(Snapshot {
        as_of: Some(1),
        version: 8,
        publish: Some("r-0".into()),
        document: Arc::default(),
        drains: Vec::new(),
        evacuated: Vec::new(),
        restorer: Some("mair".into()),
    }));
    expect![[r#"
        409
        {"code":"not_lost","detail":{"author":"mair","kind":"conflict","publish":"r-0","version":8},"message":"version 8 is in force, so there is nothing to restore; this restore has no effect","remedy":"publish on base 8 instead"}
    "#]].assert_eq(&restore(&bench, "r-1", 2).await);
    let config = bench.another_api().await.get("/v1/config").await;
    assert!(config.contains("\"version\":8"), "{config}");
}

#[peatdeck_macros::on_system]
async fn a_restore_cannot_go_below_a_version_that_was_read() {
    let bench = Bench::start().await;
    bench.publish("p-1", 0, TEAM).await;
    let another = bench.another_api().await;
    another.publish("p-2", 1, TEAM).await;
    another.publish("p-3", 2, TEAM).await;
    bench.platform.state().earliest = 3;
    expect![[r#"
        409
        {"code":"old_version","message":"version 1 was in force, so a restore cannot follow version 0; nothing was appended","remedy":"restore with version 1 or a newer one"}
    "#]].assert_eq(&restore(&bench, "r-1", 0).await);
    let answer = restore(&bench, "r-1", 3).await;
    assert!(answer.starts_with("200") && answer.contains("\"version\":4"), "{answer}");
}

#[peatdeck_macros::on_system]
async fn a_restored_document_is_checked_like_a_published_one() {
    let bench = start_without_state().await;
    let body = json!({"id": "r-1", "version": 2, "author": "ann",
        "document": {"team": [{"name": "bala", "weight": 0}]}});
    let answer = bench.post("/v1/config/restore", body).await;
    assert!(answer.starts_with("422"), "{answer}");
    let answer = restore(&bench, "r-1", u64::MAX).await;
    assert!(answer.starts_with("400"), "{answer}");
    assert_eq!(bench.platform.state().records.len(), 2);
}
