//! Endpoints that send a reply a second time, where the reply to the connection's next call is
//! expected.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use peatdeck_relay::{
    native::{PiecesBody, ResultBody, ResultsBody},
    surroundings::TableName,
};

use crate::standins::{
    Conn, MemoryStore, ReceivedRequest, Relay, ScriptedEndpoint, Site, exchange, full_reply,
};

/// Requests that a test sends. One late reply shifts all later ones of its connection.
const REQUESTS: usize = 4;
const REFUSAL: &str = "HTTP/1.1 503 X\r\npeatdeck-not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// An endpoint that sends the first reply of each connection again before the second one.
fn repeating(
    reply: impl Fn(&ReceivedRequest) -> String + Send + Sync + 'static,
) -> ScriptedEndpoint {
    ScriptedEndpoint::start(move |_, conn: &mut Conn| {
        let Some(request) = conn.read_request() else { return };
        let first = reply(&request);
        conn.write(&first);
        let mut late = Some(first);
        while let Some(request) = conn.read_request() {
            conn.write(&late.take().unwrap_or_default());
            conn.write(&reply(&request));
        }
    })
}

#[test]
fn results_that_are_sent_again_late_are_not_inputs_of_another_request() {
    let made = Arc::new(Mutex::new(HashMap::new()));
    let requests = made.clone();
    let maker = repeating(move |request| {
        let Ok(body) = serde_json::from_str::<PiecesBody>(&request.body) else {
            return "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned();
        };
        let mut requests = requests.lock().unwrap();
        let results = body.pieces.iter().map(|piece| {
            let handle = format!("127.0.0.1:1/result-{}", requests.len());
            requests.insert(handle.clone(), piece.request.to_string());
            ResultBody::Made(handle.into())
        });
        let body = serde_json::to_string(&ResultsBody { results: results.collect() }).unwrap();
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
    });
    let runner = ScriptedEndpoint::answering("x");
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.add_endpoint("desk", "desk", runner.addr);
    store.add_endpoint("maker", "maker", maker.addr);
    let relay = Relay::start("own", &store, &[]);
    relay.wait_ready();
    for _ in 0..REQUESTS {
        let pieces = "peatdeck-pieces: 1\r\npeatdeck-piece-key: k\r\n";
        assert_eq!(exchange(relay.front, "/staged/x", pieces).status, 200);
    }
    let made = made.lock().unwrap();
    let heads = runner.received();
    assert_eq!(heads.len(), REQUESTS);
    for head in heads {
        let header = |name| head.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        let (id, input) = (header("peatdeck-request: "), header("peatdeck-inputs: "));
        assert_eq!(made[input], id, "{input} was made for another request");
    }
}

#[test]
fn a_refusal_without_an_id_that_is_sent_again_late_does_not_deny_a_run() {
    let ran = Arc::new(Mutex::new(Vec::new()));
    let runs = ran.clone();
    // Refuses the first request of each connection and runs the later ones.
    let endpoint = ScriptedEndpoint::start(move |_, conn| {
        if conn.read_request().is_none() {
            return;
        }
        conn.write(REFUSAL);
        let mut late = REFUSAL;
        while let Some(request) = conn.read_request() {
            conn.write(std::mem::take(&mut late));
            runs.lock().unwrap().push(request.id());
            conn.write(&full_reply(&request.id(), 200, "ran"));
        }
    });
    let site = Site::start(&[endpoint]);
    let replies: Vec<_> = (0..REQUESTS).map(|_| site.exchange("/once/x").status).collect();
    let ran = ran.lock().unwrap();
    let answered = replies.iter().filter(|status| **status == 200).count();
    assert_eq!(ran.len(), answered, "{replies:?} with the runs {ran:?}");
}
