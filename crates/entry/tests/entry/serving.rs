//! Requests through an entry on stand-ins.

use peatdeck_standin::calls::CallState;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::{self, Bench, Entry};

const REQUESTS: &str = "/v1/pipelines/two/requests";

#[ntex::test]
async fn each_request_gets_its_own_answer() {
    let bench = Bench::start(&[]).await;
    let entry = bench.entry("e1").await;
    for id in ["r1", "r2"] {
        let (status, body) = support::read(bench.send(&entry, id, false).await).await;
        assert_eq!(status, 200, "{body}");
        assert_eq!(body["id"], id);
        assert_eq!(body["output"], bench.expected_output(id));
        let stages: Vec<_> = body["stages"].as_array().unwrap().iter().collect();
        assert_eq!(stages[0]["endpoint"], "s1");
        assert_eq!(stages[1]["endpoint"], "g1");
    }
}

#[ntex::test]
async fn a_stream_delivers_the_answer_in_pieces_and_its_end() {
    let bench = Bench::start(&[]).await;
    let entry = bench.entry("e1").await;
    let response = bench.send(&entry, "r1", true).await;
    assert_eq!(response.header("content-type").unwrap(), "text/event-stream");
    let events = events(&response.body().await.unwrap());
    let (last, texts) = events.split_last().unwrap();
    let text: String = texts.iter().map(|(_, data)| data["text"].as_str().unwrap()).collect();
    assert!(texts.len() > 1 && texts.iter().all(|(name, _)| name == "text"));
    assert_eq!(text, bench.expected_output("r1"));
    assert_eq!(last.0, "answer");
    assert_eq!(last.1["output"], bench.expected_output("r1"));
}

#[ntex::test]
async fn a_streamed_request_that_is_refused_gets_a_plain_status() {
    let bench = Bench::start(&[]).await;
    let entry = bench.entry("e1").await;
    let mut body = support::body("r1", true);
    body["team"] = json!("nobody");
    let (status, body) = bench.post(&entry, REQUESTS, &body).await;
    assert_eq!((status, &body["code"]), (400, &json!("unknown_team")));
}

#[ntex::test]
async fn a_caller_that_closes_its_connection_cancels_its_call() {
    let bench = Bench::start(&[]).await;
    let entry = bench.entry("e1").await;
    bench.engine_faults(json!({"hang": true})).await;
    let connection = open(&entry, "r1", false).await;
    support::eventually(async || call_state(&bench).await == Some(CallState::Running)).await;
    drop(connection);
    support::eventually(async || call_state(&bench).await == Some(CallState::Cancelled)).await;
    assert_eq!(bench.status(&entry).await.counters["entry.caller_gone"], 1);
}

#[ntex::test]
async fn a_closed_stream_is_detected_while_no_text_is_sent() {
    let bench = Bench::start(&["--token-ms", "600000"]).await;
    let entry = bench.entry("e1").await;
    let mut connection = open(&entry, "r1", true).await;
    let mut seen = String::new();
    while !seen.contains("event: text") {
        let mut buf = [0; 1024];
        let n = connection.read(&mut buf).await.unwrap();
        seen.push_str(&String::from_utf8_lossy(&buf[..n]));
    }
    drop(connection);
    support::eventually(async || bench.status(&entry).await.counters["entry.caller_gone"] == 1)
        .await;
    support::eventually(async || call_state(&bench).await == Some(CallState::Cancelled)).await;
}

#[ntex::test]
async fn a_caller_that_has_its_answer_is_not_counted_as_disconnected() {
    let bench = Bench::start(&[]).await;
    let entry = bench.entry("e1").await;
    support::read(bench.send(&entry, "r1", false).await).await;
    support::read(bench.send(&entry, "r2", false).await).await;
    assert_eq!(bench.status(&entry).await.counters["entry.caller_gone"], 0);
}

#[ntex::test]
async fn a_malformed_request_runs_nothing() {
    let bench = Bench::start(&[]).await;
    let entry = bench.entry("e1").await;
    let mut absurd = support::body("r1", false);
    absurd["deadline_ms"] = json!(10_000_000);
    let mut large = support::body("r1", false);
    large["input"] = json!("x".repeat(3 << 20));
    let good = support::body("r1", false);
    let cases = [
        (REQUESTS, &absurd, 400, "deadline_absurd"),
        (REQUESTS, &large, 413, "body_too_large"),
        ("/v1/pipelines/none/requests", &good, 404, "unknown_pipeline"),
        ("/v1/elsewhere", &good, 404, "not_found"),
        ("/v1/status", &good, 405, "wrong_method"),
    ];
    for (path, body, status, code) in cases {
        let (seen, body) = bench.post(&entry, path, body).await;
        assert_eq!((seen, &body["code"]), (status, &json!(code)), "{body}");
    }
    assert!(bench.service_calls().await.calls.is_empty());
    assert!(bench.engine_calls().await.calls.is_empty());
}

#[ntex::test]
async fn the_status_includes_outcomes() {
    let bench = Bench::start(&[]).await;
    let entry = bench.entry("e1").await;
    support::read(bench.send(&entry, "r1", false).await).await;
    let outcomes = bench.status(&entry).await.outcomes;
    assert_eq!(outcomes.len(), 1);
    assert_eq!(&*outcomes[0].outcome, "answered");
    assert_eq!((&*outcomes[0].pipeline, &*outcomes[0].team, outcomes[0].count), ("two", "t", 1));
}

#[ntex::test]
async fn two_entries_become_peers() {
    let bench = Bench::start(&[]).await;
    let (one, two) = (bench.entry("e1").await, bench.entry("e2").await);
    bench.list_instances(&[&one, &two]).await;
    for (entry, peer) in [(&one, "e2"), (&two, "e1")] {
        support::eventually(async || {
            bench.status(entry).await.peers.iter().any(|name| &**name == peer)
        })
        .await;
    }
}

async fn open(entry: &Entry, id: &str, stream: bool) -> TcpStream {
    let body = support::body(id, stream).to_string();
    let head = format!(
        "POST {REQUESTS} HTTP/1.1\r\nhost: entry\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut connection = TcpStream::connect(&entry.addr).await.unwrap();
    connection.write_all(head.as_bytes()).await.unwrap();
    connection.write_all(body.as_bytes()).await.unwrap();
    connection
}

/// State of the engine's newest call.
async fn call_state(bench: &Bench) -> Option<CallState> {
    bench.engine_calls().await.calls.last().map(|call| call.state)
}

fn events(body: &[u8]) -> Vec<(String, Value)> {
    let text = std::str::from_utf8(body).unwrap();
    let event = |block: &str| {
        let (name, data) = block.split_once('\n').unwrap();
        let data = data.strip_prefix("data: ").unwrap();
        let name = name.strip_prefix("event: ").unwrap();
        (name.to_owned(), serde_json::from_str(data).unwrap())
    };
    text.split_terminator("\n\n").map(event).collect()
}
