//! `peatdeck show`.

#![allow(clippy::unwrap_used)]

use expect_test::expect;

use crate::support::Bench;

const FLEET: &str = r#"[[pool]]
name = "encoders"
kind = "service"
cost = 1.0
fenced = false

[[pipeline]]
name = "ticket"
max_deadline_ms = 5000
objective = 0.99

[[pipeline.stage]]
name = "encode"
pool = "encoders"
repeatable = false
"#;

#[peatdeck_macros::on_system]
async fn the_document_can_be_edited_and_published_again() {
    let bench = Bench::start("show").await;
    bench.platform.list_endpoint("engine-1", 3);
    let file = bench.file("fleet.toml", FLEET);
    bench.run(&["publish", "--author", "mair", "--id", "p-1", &file]).await;
    bench.run(&["drain", "engine-1", "--author", "ann"]).await;
    let shown = bench.run(&["show"]).await;
    expect![[r#"
        exit 0
        # version 1, published by mair (publish p-1)
        # drained: engine-1 (incarnation 3), by ann
        team = []
        policy = []

        [[pool]]
        name = "encoders"
        kind = "service"
        cost = 1.0
        fenced = false

        [[pipeline]]
        name = "ticket"
        max_deadline_ms = 5000
        objective = 0.99

        [[pipeline.stage]]
        name = "encode"
        pool = "encoders"
        repeatable = false
    "#]]
    .assert_eq(&shown);
    let edited = bench.file("edited.toml", shown.split_once('\n').unwrap().1);
    let answer = bench.run(&["publish", "--author", "mair", "--base", "1", &edited]).await;
    assert!(answer.starts_with("exit 0\naccepted: version 2 "), "{answer}");
}

#[peatdeck_macros::on_system]
async fn the_history_is_a_table_with_a_continuation() {
    let bench = Bench::start("show-history").await;
    bench.platform.list_endpoint("engine-1", 3);
    let file = bench.file("fleet.toml", FLEET);
    bench.run(&["publish", "--author", "mair", "--id", "p-1", &file]).await;
    bench.run(&["drain", "engine-1", "--author", "ann"]).await;
    bench.run(&["publish", "--author", "mair", "--id", "p-2", &file]).await;
    expect![[r#"
        exit 0
        OFFSET  TIME                  AUTHOR  ACT                             VERDICT
        0       2026-03-01T06:30:00Z  mair    publish p-1 on 0                accepted as 1
        1       2026-03-01T06:30:01Z  ann     drain engine-1 (incarnation 3)  in force
        more with --from 2
    "#]]
    .assert_eq(&bench.run(&["show", "--history", "--limit", "2"]).await);
    expect![[r#"
        exit 0
        OFFSET  TIME                  AUTHOR  ACT               VERDICT
        2       2026-03-01T06:30:02Z  mair    publish p-2 on 1  accepted as 2
    "#]]
    .assert_eq(&bench.run(&["show", "--history", "--from", "2"]).await);
}

#[peatdeck_macros::on_system]
async fn the_verdict_of_a_publish_can_be_requested() {
    let bench = Bench::start("show-verdict").await;
    let file = bench.file("fleet.toml", FLEET);
    bench.run(&["publish", "--author", "mair", "--id", "p-1", &file]).await;
    expect![[r#"
        exit 0
        publish p-1 by mair: accepted as 1
    "#]]
    .assert_eq(&bench.run(&["show", "--verdict", "p-1"]).await);
    expect![[r#"
        exit 1
          x the log holds no publish `p-2` (unknown_publish)
          help: if an append of it may still be on its way, publish again with the same id: it counts once
    "#]].assert_eq(&bench.run(&["show", "--verdict", "p-2"]).await);
}

#[peatdeck_macros::on_system]
async fn json_output_is_the_response_of_the_api() {
    let bench = Bench::start("show-json").await;
    expect![[r#"
        exit 0
        {
          "version": 0,
          "publish": null,
          "author": null,
          "confirmed": true,
          "document": {
            "pool": [],
            "pipeline": [],
            "team": [],
            "policy": []
          },
          "drains": []
        }
    "#]]
    .assert_eq(&bench.run(&["show", "--format", "json"]).await);
}

#[peatdeck_macros::on_system]
async fn an_outage_shows_in_the_file_and_the_exit_code() {
    let bench = Bench::start("show-outage").await;
    bench.run(&["show"]).await;
    bench.platform.state().has_read_outage = true;
    expect![[r#"
        exit 6
        # version 0
        # the log is unavailable: a later version may exist
        pool = []
        pipeline = []
        team = []
        policy = []
    "#]]
    .assert_eq(&bench.run(&["show"]).await);
}
