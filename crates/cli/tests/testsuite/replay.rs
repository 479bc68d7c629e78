//! `peatdeck replay`: a table, and an exit code that a script can rely on.

use expect_test::{Expect, expect};

use crate::support::{self, Bench};

const TRACE: &str = include_str!("../../../testsuite/traces/killed-neighbour.trace");

async fn check(name: &str, trace: &str, expected: Expect) {
    let bench = Bench::start(name).await;
    let file = bench.file("entry-1.trace", trace);
    let shown = support::run(None, &["replay", &file]).await;
    expected.assert_eq(&shown.replace(&file, "entry-1.trace"));
}

#[ntex::test]
async fn a_trace_that_replays_is_shown_as_a_table() {
    check("replay-same", TRACE, expect![""]).await;
}

#[ntex::test]
async fn a_difference_is_told_and_has_its_exit_code() {
    let altered = TRACE.replace("claimed_elsewhere", "timed_out");
    check("replay-differs", &altered, expect![""]).await;
}

#[ntex::test]
async fn what_is_no_trace_is_told() {
    check("replay-none", "{}\n", expect![""]).await;
}
