//! How an entry starts and stops.

use std::process::Stdio;

use ntex::web;
use serde_json::json;

use crate::support::{self, Bench};

#[test]
fn invalid_settings_start_nothing() {
    let output = support::command().stderr(Stdio::piped()).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty());
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("--name: is missing") && text.contains("--list: is missing"), "{text}");
}

#[ntex::test]
async fn an_address_in_use_is_named_with_its_remedy() {
    let taken = web::test::server(async || web::App::new()).await;
    let taken = taken.addr().to_string();
    let output = support::command()
        .args(["--name", "e1", "--data-centre", "d", "--log", "127.0.0.1:1"])
        .args(["--list", "127.0.0.1:1", "--listen", &taken, "--peer-listen", "127.0.0.1:0"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("--listen") && text.contains("give another address"), "{text}");
}

#[ntex::test]
async fn an_idle_entry_stops_at_once_with_success() {
    let bench = Bench::start(&[]).await;
    let entry = bench.entry("e1").await;
    entry.terminate();
    assert!(entry.exit().await.success());
}

#[ntex::test]
async fn an_entry_without_a_platform_is_live_but_not_ready_and_stops() {
    let bench = Bench::start(&[]).await;
    let nowhere = ["--name", "e1", "--data-centre", "d", "--log", "127.0.0.1:1"];
    let entry = support::Entry::start(&[&nowhere[..], &["--list", "127.0.0.1:1"]].concat());
    let get = async |path: &str| {
        let url = format!("http://{}{path}", entry.addr);
        bench.client.get(url).send().await.unwrap()
    };
    assert_eq!(get("/livez").await.status(), 200);
    let (status, body) = support::read(get("/readyz").await).await;
    assert_eq!((status, &body["ready"]), (503, &json!(false)));
    assert!(!body["reasons"].as_array().unwrap().is_empty());
    let (status, body) = support::read(bench.send(&entry, "r1", false).await).await;
    assert_eq!((status, &body["outcome"]), (503, &json!("not_run")));
    entry.terminate();
    assert!(entry.exit().await.success());
}

#[ntex::test]
async fn a_request_in_flight_is_answered_whole_before_the_exit() {
    let bench = Bench::start(&["--token-ms", "20"]).await;
    let entry = bench.entry("e1").await;
    let whole = bench.send(&entry, "r1", false);
    let streamed = bench.send(&entry, "r2", true);
    let stop = async {
        support::eventually(async || bench.engine_calls().await.calls.len() == 2).await;
        entry.terminate();
    };
    let (whole, streamed, ()) = futures::join!(whole, streamed, stop);
    let (status, body) = support::read(whole).await;
    assert_eq!((status, &body["output"]), (200, &json!(bench.expected_output("r1"))));
    let events = streamed.body().await.unwrap();
    let last = String::from_utf8_lossy(&events).into_owned();
    assert!(last.contains("event: answer\n") && last.ends_with("\n\n"), "{last}");
    assert!(entry.exit().await.success());
}
