//! `peatdeck drain`.

#![allow(clippy::unwrap_used)]

use expect_test::expect;

use crate::support::Bench;

#[peatdeck_macros::on_system]
async fn a_drain_prints_the_incarnation_it_applies_to() {
    let bench = Bench::start("drain").await;
    bench.platform.list_endpoint("engine 1/a", 3);
    let answer = bench.run(&["drain", "engine 1/a", "--author", "mair"]).await;
    expect![[r#"
        exit 0
        accepted: engine 1/a receives no new work in incarnation 3
    "#]]
    .assert_eq(&answer);
}

#[peatdeck_macros::on_system]
async fn an_endpoint_that_is_not_listed_is_reported() {
    let bench = Bench::start("drain-unknown").await;
    let answer = bench.run(&["drain", "engine-9", "--author", "mair"]).await;
    expect![[r#"
        exit 1
          x the platform's list has no endpoint `engine-9` (unknown_endpoint)
          help: check the name; a new endpoint shows in the list after some seconds
    "#]]
    .assert_eq(&answer);
}
