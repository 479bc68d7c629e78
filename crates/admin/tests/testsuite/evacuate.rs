//! Evacuating data centres.

#![allow(clippy::unwrap_used)]

use expect_test::expect;
use peatdeck_test_support::platform::AppendFault;
use serde_json::json;

use crate::support::Bench;

const PATH: &str = "/v1/data-centres/dc1/evacuation";

#[peatdeck_macros::on_system]
async fn a_data_centre_is_evacuated_until_the_evacuation_is_ended() {
    let bench = Bench::start().await;
    bench.platform.list_endpoint("engine-1", 3);
    expect![[r#"
        200
        {"data_centre":"dc1","endpoints":1,"is_evacuated":true}
    "#]]
    .assert_eq(&bench.post(PATH, json!({"author": "mair"})).await);
    let config = bench.get("/v1/config").await;
    assert!(config.contains(r#""evacuated":[{"author":"mair","data_centre":"dc1"}]"#), "{config}");
    expect![[r#"
        200
        {"data_centre":"dc1","endpoints":1,"is_evacuated":false}
    "#]]
    .assert_eq(&bench.post(PATH, json!({"author": "huw", "is_over": true})).await);
    let config = bench.get("/v1/config").await;
    assert!(!config.contains("evacuated"), "{config}");
    let history = bench.get("/v1/config/history").await;
    assert!(history.contains(r#""is_over":true,"kind":"evacuation""#), "{history}");
}

#[peatdeck_macros::on_system]
async fn an_evacuation_in_force_is_not_appended_again() {
    let bench = Bench::start().await;
    bench.platform.state().append_faults.push_back(AppendFault::LoseReply);
    for _ in 0..2 {
        let answer = bench.post(PATH, json!({"author": "mair"})).await;
        assert!(answer.starts_with("200"), "{answer}");
    }
    assert_eq!(bench.platform.state().records.len(), 1);
    let never = "/v1/data-centres/dc9/evacuation";
    let answer = bench.post(never, json!({"author": "mair", "is_over": true})).await;
    assert!(answer.starts_with("200"), "{answer}");
    assert_eq!(bench.platform.state().records.len(), 1, "there was no evacuation to end");
}

#[peatdeck_macros::on_system]
async fn an_invalid_name_or_field_is_refused() {
    let bench = Bench::start().await;
    let answer = bench.post("/v1/data-centres/%20/evacuation", json!({"author": "mair"})).await;
    assert!(answer.starts_with("400"), "{answer}");
    let answer = bench.post(PATH, json!({"author": "mair", "over": true})).await;
    assert!(answer.starts_with("400"), "{answer}");
}

#[peatdeck_macros::on_system]
async fn an_unconfirmed_append_leaves_the_evacuation_unknown() {
    let bench = Bench::start().await;
    bench.platform.state().append_faults.extend([AppendFault::Drop; 100]);
    let answer = bench.post(PATH, json!({"author": "mair"})).await;
    assert!(answer.starts_with("503\nRetry-After: 5\n"), "{answer}");
    assert!(answer.contains("\"code\":\"unknown\""), "{answer}");
}
