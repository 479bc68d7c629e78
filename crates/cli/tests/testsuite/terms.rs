//! `peatdeck terms`: rate limits, holds and departures that endpoints announced.

use expect_test::expect;

use crate::support::{self, instance};

#[peatdeck_macros::on_system]
async fn terms_of_endpoints_are_listed() {
    let listed = r#"[{"endpoint":"e1","service":"llm","limit":0.5,"rest_ms":0,"is_leaving":false},
        {"endpoint":"e2","service":"llm","limit":null,"rest_ms":2900,"is_leaving":false},
        {"endpoint":"d1","service":"desk","limit":null,"rest_ms":0,"is_leaving":true}]"#;
    let addr = instance("/terms", &[(200, listed), (200, "[]"), (503, "stopping\n")]);
    let shown = support::run(None, &["terms", "--at", &addr]).await;
    expect![[r#"
        exit 0
        ENDPOINT  SERVICE  CALLS A SECOND  RESTS FOR  LEAVES
        e1        llm      0.5
        e2        llm                      2900 ms
        d1        desk                                yes
    "#]]
    .assert_eq(&shown);
    let shown = support::run(None, &["terms", "--at", &addr]).await;
    expect![[r#"
        exit 0
        no endpoint has announced a rate limit, a hold or that it is leaving
    "#]]
    .assert_eq(&shown);
    let shown = support::run(None, &["terms", "--at", &addr]).await;
    assert!(shown.starts_with("exit 1"), "{shown}");
}
