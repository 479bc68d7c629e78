//! `peatdeck restore`.

#![allow(clippy::unwrap_used)]

use expect_test::expect;

use crate::support::Bench;

const TEAM: &str = "[[team]]\nname = \"bala\"\n";

#[peatdeck_macros::on_system]
async fn a_lost_configuration_is_restored_and_published_on() {
    let bench = Bench::start("restore").await;
    let file = bench.file("fleet.toml", TEAM);
    // All records of the log have expired.
    bench.platform.state().records = vec!["expired".into(), "expired".into()];
    bench.platform.state().earliest = 2;
    let publish = ["publish", "--author", "mair", "--base", "12", "--id", "p-1", &file];
    expect![[r#"
        exit 1
          x the log keeps neither a snapshot nor its first record, so nobody can tell from it what is in
          | force; nothing was appended (no_state)
          help: wait for an entry that still has the configuration: it appends a snapshot; then send it
                again. If none has it any more, restore it (`peatdeck restore FILE --version N`)
    "#]].assert_eq(&bench.run(&publish).await);
    let restore = ["restore", "--author", "ann", "--version", "11", "--id", "r-1", &file];
    expect![[r#"
        exit 0
        accepted: version 12 (restore r-1)
        not known to be in force on any instance
    "#]]
    .assert_eq(&bench.run(&restore).await);
    expect![[r#"
        exit 0
        accepted: version 13 (publish p-1)
        not known to be in force on any instance
    "#]]
    .assert_eq(&bench.run(&publish).await);
    expect![[r#"
        exit 0
        OFFSET  TIME                  AUTHOR  ACT                VERDICT
        2       2026-03-01T06:30:02Z  ann     restore r-1        accepted as 12
        3       2026-03-01T06:30:03Z  mair    publish p-1 on 12  accepted as 13
    "#]]
    .assert_eq(&bench.run(&["show", "--history"]).await);
    let again = ["restore", "--author", "ann", "--version", "11", "--id", "r-2", &file];
    expect![[r#"
        exit 4
          x version 13 is in force, so there is nothing to restore; this restore has no effect (not_lost)
          help: publish on base 13 instead
    "#]]
    .assert_eq(&bench.run(&again).await);
}
