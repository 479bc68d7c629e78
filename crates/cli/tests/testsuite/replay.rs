//! `peatdeck replay`: a table, and an exit code for scripts.

use expect_test::{Expect, expect};

use crate::support::{self, Bench};

const TRACE: &str = include_str!("../../../testsuite/traces/killed-neighbour.trace");

async fn check(name: &str, trace: &str, expected: Expect) {
    let bench = Bench::start(name).await;
    let file = bench.file("entry-1.trace", trace);
    let shown = support::run(None, &["replay", &file]).await;
    expected.assert_eq(&shown.replace(&file, "entry-1.trace"));
}

#[peatdeck_macros::on_system]
async fn a_trace_that_replays_is_shown_as_a_table() {
    check(
        "replay-same",
        TRACE,
        expect![[r#"
            exit 0
            CALLER       TEAM     REQUEST  CALLS  TOLD          REPLAY TELLS
            4294967297   station  paid     0      may have run  may have run
            12884901889  station  other    3      answered      answered
            21474836481  station  read     4      answered      answered
            entry-1: 44 inputs, 7 calls, 0 differences
        "#]],
    )
    .await;
}

#[peatdeck_macros::on_system]
async fn a_difference_is_reported_and_has_its_exit_code() {
    let altered = TRACE.replace("claimed_elsewhere", "timed_out");
    check("replay-differs", &altered, expect![[r#"
        exit 7
        CALLER       TEAM     REQUEST  CALLS  TOLD          REPLAY TELLS
        4294967297   station  paid     0      may have run  may have run
        12884901889  station  other    3      answered      answered
        21474836481  station  read     4      answered      answered
        line 12: caller 4294967297 was sent may have run (TimedOut, stage None); the replay sends caller 4294967297 may have run (ClaimedElsewhere, stage None)
        entry-1: 44 inputs, 7 calls, 1 differences
    "#]]).await;
}

#[peatdeck_macros::on_system]
async fn a_file_that_is_no_trace_is_reported() {
    check(
        "replay-none",
        "{}\n",
        expect![[r#"
            exit 1
              x cannot replay entry-1.trace: line 1 is no valid trace record:
              | missing field `peatdeck_inputs` at line 1 column 2; correct or remove it
              help: give a file written by `peatdeck-entry --trace`
        "#]],
    )
    .await;
}
