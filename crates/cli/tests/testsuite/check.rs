//! `peatdeck check`: errors with their positions in the file.

#![allow(clippy::unwrap_used)]

use expect_test::{Expect, expect};

use crate::support::Bench;

async fn check(name: &str, text: &str, expected: Expect) {
    let bench = Bench::start(name).await;
    let file = bench.file("fleet.toml", text);
    expected.assert_eq(&bench.run(&["check", &file]).await);
}

#[peatdeck_macros::on_system]
async fn a_valid_file_is_summarised() {
    let text = "[[team]]\nname = \"bala\"\n";
    check(
        "check-valid",
        text,
        expect![[r#"
        exit 0
        fleet.toml is valid: 0 pools, 0 pipelines, 1 teams, 0 policies
    "#]],
    )
    .await;
}

#[peatdeck_macros::on_system]
async fn a_syntax_error_is_pointed_at() {
    check(
        "check-syntax",
        "[[team]]\nname = \"bala\n",
        expect![[r#"
        exit 3
          x invalid basic string, expected `"`
           ,-[fleet.toml:2:13]
         1 | [[team]]
         2 | name = "bala
           :             ^
           :             `-- here
           `----
          help: see the configuration reference for the tables and their fields
    "#]],
    )
    .await;
}

#[peatdeck_macros::on_system]
async fn an_unknown_field_is_pointed_at() {
    let text = "[[team]]\nname = \"bala\"\nwieght = 2\n";
    check(
        "check-field",
        text,
        expect![[r#"
        exit 3
          x unknown field `wieght`, expected one of `name`, `weight`, `max_running`
           ,-[fleet.toml:3:1]
         2 | name = "bala"
         3 | wieght = 2
           : ^^^|^^
           :    `-- here
           `----
          help: see the configuration reference for the tables and their fields
    "#]],
    )
    .await;
}

#[peatdeck_macros::on_system]
async fn a_missing_field_is_pointed_at() {
    check(
        "check-missing",
        "[[pool]]\nname = \"encoders\"\n",
        expect![[r#"
        exit 3
          x missing field `kind`
           ,-[fleet.toml:1:1]
         1 | [[pool]]
           : ^^^^|^^^
           :     `-- here
         2 | name = "encoders"
           `----
          help: see the configuration reference for the tables and their fields
    "#]],
    )
    .await;
}

#[peatdeck_macros::on_system]
async fn every_problem_is_pointed_at() {
    let text = r#"
[[pool]]
name = "encoders"
kind = "service"

[[pipeline]]
name = "ticket"
max_deadline_ms = 0
policy = "gate"
stage = [{ name = "encode", pool = "encodres" }]

[[policy]]
name = "gate"
script = "fn admit("
"#;
    check("check-problems", text, expect![[r#"
        exit 3
          x fleet.toml has 3 problem(s)

        Error:
          x pipeline "ticket" max_deadline_ms: the longest deadline is 0 ms
           ,-[fleet.toml:8:19]
         7 | name = "ticket"
         8 | max_deadline_ms = 0
           :                   |
           :                   `-- here
         9 | policy = "gate"
           `----
          help: set `max_deadline_ms` between 1 and 600000

        Error:
          x pipeline "ticket" stage "encode" pool: no pool is named "encodres"
            ,-[fleet.toml:10:36]
          9 | policy = "gate"
         10 | stage = [{ name = "encode", pool = "encodres" }]
            :                                    ^^^^^|^^^^
            :                                         `-- here
         11 |
            `----
          help: add a [[pool]] of that name, or use one of "encoders"

        Error:
          x policy "gate" script: the policy doesn't compile (Expecting ')' to close the parameters list
          | of function 'admit' (line 1, position 10)); correct the script at that position
            ,-[fleet.toml:14:10]
         13 | name = "gate"
         14 | script = "fn admit("
            :          ^^^^^|^^^^^
            :               `-- here
            `----
          help: mend the script, then check again
    "#]]).await;
}

#[peatdeck_macros::on_system]
async fn a_missing_file_is_reported() {
    let bench = Bench::start("check-absent").await;
    expect![[r#"
        exit 1
          x cannot read /nowhere/fleet.toml: No such file or directory (os error 2)
          help: check the path and that the file is text in UTF-8
    "#]]
    .assert_eq(&bench.run(&["check", "/nowhere/fleet.toml"]).await);
}

#[peatdeck_macros::on_system]
async fn the_examples_are_valid() {
    let bench = Bench::start("check-examples").await;
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for name in ["wash-fleet.toml", "guild.toml"] {
        let answer = bench.run(&["check", &format!("{examples}/{name}")]).await;
        assert!(answer.starts_with("exit 0\n"), "{answer}");
    }
}
