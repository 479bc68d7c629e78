//! `peatdeck evacuate`.

#![allow(clippy::unwrap_used)]

use expect_test::expect;

use crate::support::Bench;

#[peatdeck_macros::on_system]
async fn an_evacuation_prints_the_number_of_endpoints() {
    let bench = Bench::start("evacuate").await;
    bench.platform.list_endpoint("engine-1", 3);
    let answer = bench.run(&["evacuate", "dc1", "--author", "mair"]).await;
    expect![[r#"
        exit 0
        accepted: 1 endpoints of dc1 receive no new work
    "#]]
    .assert_eq(&answer);
    let shown = bench.run(&["show"]).await;
    assert!(shown.contains("# evacuated: dc1, by mair\n"), "{shown}");
    let answer = bench.run(&["evacuate", "dc1", "--over", "--author", "mair"]).await;
    expect![[r#"
        exit 0
        accepted: 1 endpoints of dc1 receive new work again
    "#]]
    .assert_eq(&answer);
    let history = bench.run(&["show", "--history"]).await;
    assert!(
        history.contains("evacuate dc1") && history.contains("evacuation over dc1"),
        "{history}"
    );
}

#[peatdeck_macros::on_system]
async fn a_data_centre_without_endpoints_is_pointed_out() {
    let bench = Bench::start("evacuate-none").await;
    let answer = bench.run(&["evacuate", "dc9", "--author", "mair"]).await;
    expect![[r#"
        exit 0
        accepted: endpoints of dc9 receive no new work; none is listed
    "#]]
    .assert_eq(&answer);
}
