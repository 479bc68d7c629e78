//! The operators' token.

#![allow(clippy::unwrap_used)]

use expect_test::expect;
use ntex::http::Method;

use crate::support::{self, Bench};

const PATHS: [(Method, &str); 8] = [
    (Method::GET, "/v1/outcomes"),
    (Method::GET, "/v1/config"),
    (Method::GET, "/v1/config/history"),
    (Method::GET, "/v1/config/verdict/x"),
    (Method::GET, "/v1/status"),
    (Method::POST, "/v1/config/check"),
    (Method::POST, "/v1/config/publish"),
    (Method::POST, "/v1/endpoints/e/drain"),
];

#[peatdeck_macros::on_system]
async fn a_wrong_token_is_refused() {
    let bench = Bench::start().await;
    let request = bench
        .request_without_token(Method::GET, "/v1/config")
        .bearer_auth("a token of another's own");
    expect![[r#"
        401
        {"code":"unauthorized","message":"the bearer token is missing or wrong","remedy":"send `Authorization: Bearer` with the token that the process was started with"}
    "#]]
    .assert_eq(&support::send(request, None).await);
}

#[peatdeck_macros::on_system]
async fn every_operation_needs_the_token() {
    let bench = Bench::start().await;
    for (method, path) in PATHS {
        let bare = support::send(bench.request_without_token(method.clone(), path), None).await;
        assert!(bare.starts_with("401"), "{method} {path}: {bare}");
        let basic =
            bench.request_without_token(method.clone(), path).basic_auth(support::TOKEN, None);
        let basic = support::send(basic, None).await;
        assert!(basic.starts_with("401"), "{method} {path}: {basic}");
    }
    assert!(bench.platform.state().records.is_empty());
}

#[peatdeck_macros::on_system]
async fn liveness_and_readiness_need_no_token() {
    let bench = Bench::start().await;
    let live = support::send(bench.request_without_token(Method::GET, "/livez"), None).await;
    assert_eq!(live, "200\nlive\n");
    bench.platform.state().has_read_outage = true;
    let ready = support::send(bench.request_without_token(Method::GET, "/readyz"), None).await;
    assert!(ready.starts_with("503\nnot ready: "), "{ready}");
    bench.platform.state().has_read_outage = false;
    let ready = support::send(bench.request_without_token(Method::GET, "/readyz"), None).await;
    assert_eq!(ready, "200\nready\n");
}

#[peatdeck_macros::on_system]
async fn an_unknown_path_is_reported() {
    let bench = Bench::start().await;
    expect![[r#"
        404
        {"code":"no_route","message":"no operation has this path and method","remedy":"see the reference of the administration API"}
    "#]]
    .assert_eq(&bench.get("/v2/config").await);
}
