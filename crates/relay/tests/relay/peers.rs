//! Several instances that exchange tables, announcements and pieces.

use peatdeck_relay::{
    native::{PiecesBody, ResultBody, ResultsBody},
    surroundings::TableName,
};

use crate::standins::{Conn, MemoryStore, Relay, ScriptedEndpoint, exchange, get, wait_for};

/// An endpoint that runs pieces.
fn piece_endpoint() -> ScriptedEndpoint {
    ScriptedEndpoint::start(|_, conn| {
        while let Some(request) = conn.read_request() {
            let body = match request.head.starts_with("POST /v1/pieces ") {
                true => results_body(&request.body),
                false => "{}".to_owned(),
            };
            let len = body.len();
            conn.write(&format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n{body}"));
        }
    })
}

fn results_body(body: &str) -> String {
    let body: PiecesBody = serde_json::from_str(body).unwrap();
    let handle = |number| format!("127.0.0.1:1/result-{number}").into();
    let results = body.pieces.iter().map(|piece| ResultBody::Made(handle(piece.number)));
    serde_json::to_string(&ResultsBody { results: results.collect() }).unwrap()
}

fn store(endpoint: &ScriptedEndpoint, piece_endpoint: &ScriptedEndpoint) -> MemoryStore {
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.add_endpoint("desk", "desk", endpoint.addr);
    store.add_endpoint("maker", "maker", piece_endpoint.addr);
    store
}

fn run_three_pieces(front: std::net::SocketAddr) {
    let reply = exchange(front, "/staged/x", "peatdeck-pieces: 3\r\npeatdeck-piece-key: k\r\n");
    assert_eq!(reply.status, 200, "{reply:?}");
}

#[test]
fn a_call_receives_the_results_of_its_stages() {
    let (endpoint, piece_endpoint) = (ScriptedEndpoint::answering("x"), piece_endpoint());
    let relay = Relay::start("own", &store(&endpoint, &piece_endpoint), &[]);
    relay.wait_ready();
    run_three_pieces(relay.front);
    let head = endpoint.received().pop().unwrap();
    let inputs = "peatdeck-inputs: 127.0.0.1:1/result-0,127.0.0.1:1/result-1,127.0.0.1:1/result-2";
    assert!(head.contains(inputs), "{head}");
    wait_for("the results were freed", || {
        piece_endpoint.received().len() == 1 && relay.counter("peatdeck.relay.frees_failed") == 1
    });
}

#[test]
fn an_instance_that_the_store_refuses_reads_the_tables_of_its_peers() {
    let (endpoint, piece_endpoint) = (ScriptedEndpoint::answering("x"), piece_endpoint());
    let shared = store(&endpoint, &piece_endpoint);
    let first = Relay::start("first", &shared, &[]);
    first.wait_ready();
    let unavailable = MemoryStore::default();
    unavailable.set_unavailable(true);
    let second = Relay::start("second", &unavailable, &[first.peers]);
    second.wait_ready();
    assert_eq!(exchange(second.front, "/once/x", "").status, 200);
    shared.put(TableName::Config, "config", b"2".to_vec());
    wait_for("version 2 is in force", || exchange(second.front, "/since-2/x", "").status == 200);
}

#[test]
fn pieces_are_batched_by_one_instance() {
    let (endpoint, piece_endpoint) = (ScriptedEndpoint::answering("x"), piece_endpoint());
    let shared = store(&endpoint, &piece_endpoint);
    let relays = ["a", "b", "c"].map(|name| Relay::start(name, &shared, &[]));
    for relay in &relays {
        relay.wait_ready();
        wait_for("the instance has found its peers", || relay.counter("peatdeck.relay.peers") == 2);
    }
    for relay in &relays {
        run_three_pieces(relay.front);
    }
    let calls = relays.each_ref().map(|relay| relay.counter("peatdeck.relay.piece_calls"));
    assert_eq!(calls.iter().filter(|count| **count > 0).count(), 1, "{calls:?}");
    let handed_over = relays.each_ref().map(|relay| relay.counter("peatdeck.relay.handed_over"));
    assert_eq!(handed_over.iter().sum::<u64>(), 6, "{handed_over:?}");
}

#[test]
fn only_the_selected_readers_read_the_store() {
    let (endpoint, piece_endpoint) = (ScriptedEndpoint::answering("x"), piece_endpoint());
    let shared = store(&endpoint, &piece_endpoint);
    let relays: Vec<_> = (0..6).map(|idx| Relay::start(&format!("r{idx}"), &shared, &[])).collect();
    for relay in &relays {
        wait_for("the instance has found its peers", || relay.counter("peatdeck.relay.peers") == 5);
    }
    let reads = |relay: &Relay| relay.counter("peatdeck.relay.store_reads");
    let before: Vec<_> = relays.iter().map(reads).collect();
    let active_readers = |_: ()| {
        let pairs = relays.iter().zip(&before);
        pairs.filter(|(relay, before)| reads(relay) > **before + 8).count()
    };
    wait_for("the readers have read again", || active_readers(()) >= 2);
    assert_eq!(active_readers(()), 2);
    shared.put(TableName::Config, "config", b"2".to_vec());
    for relay in &relays {
        wait_for("version 2 is in force", || exchange(relay.front, "/since-2/x", "").status == 200);
    }
}

#[test]
fn malformed_bytes_on_the_peer_port_are_ignored() {
    let (endpoint, piece_endpoint) = (ScriptedEndpoint::answering("x"), piece_endpoint());
    let relay = Relay::start("own", &store(&endpoint, &piece_endpoint), &[]);
    relay.wait_ready();
    let mut conn = Conn::open(relay.peers);
    conn.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    drop(conn);
    assert_eq!(exchange(relay.front, "/once/x", "").status, 200);
}

/// Another writer may put unreadable records into the directory and the table of instances. They
/// are ignored, and all other records stay in force.
#[test]
fn unreadable_records_of_another_writer_are_ignored() {
    let (endpoint, piece_endpoint) = (ScriptedEndpoint::answering("x"), piece_endpoint());
    let shared = store(&endpoint, &piece_endpoint);
    let relays = ["a", "b"].map(|name| Relay::start(name, &shared, &[]));
    for relay in &relays {
        relay.wait_ready();
        wait_for("the instance has found its peer", || relay.counter("peatdeck.relay.peers") == 1);
    }
    shared.put(TableName::Endpoints, "stranger", b"\xff\xfe".to_vec());
    shared.put(TableName::Instances, "stranger", b"[]".to_vec());
    shared.put(TableName::Instances, "b", b"{\"peers\": 7}".to_vec());
    let unreadable = || relays[0].counter("peatdeck.relay.endpoints_unreadable");
    wait_for("the foreign entry was read", || unreadable() == 1);
    // The peer is alive and announces itself over gossip.
    assert_eq!(relays[0].counter("peatdeck.relay.peers"), 1);
    assert_eq!(exchange(relays[0].front, "/once/x", "").status, 200);
    run_three_pieces(relays[0].front);
}

/// An instance that the store refuses receives an evacuation, and its end, from a peer, even if
/// the instance starts during the evacuation.
#[test]
fn an_evacuation_is_in_force_at_instances_that_the_store_refuses() {
    let (endpoint, piece_endpoint) = (ScriptedEndpoint::answering("x"), piece_endpoint());
    let shared = store(&endpoint, &piece_endpoint);
    let first = Relay::start("first", &shared, &[]);
    first.wait_ready();
    let unavailable = MemoryStore::default();
    unavailable.set_unavailable(true);
    let second = Relay::start("second", &unavailable, &[first.peers]);
    second.wait_ready();
    assert_eq!(exchange(second.front, "/once/x", "").status, 200);
    shared.put(TableName::Config, "evacuate/east", b"{}".to_vec());
    for relay in [&first, &second] {
        wait_for("the evacuation is in force", || relay.counter("peatdeck.relay.evacuated") == 1);
    }
    let listed = get(second.metrics, "/evacuations").body;
    assert_eq!(listed, r#"[{"data_centre":"east","endpoints":2}]"#);
    let received = endpoint.received().len();
    let third = Relay::start("third", &unavailable, &[first.peers]);
    third.wait_ready();
    for relay in [&first, &second, &third] {
        assert_eq!(exchange(relay.front, "/once/x", "").status, 503);
    }
    assert_eq!(endpoint.received().len(), received, "nothing was sent");
    // The store compacts its log, including the removal of the evacuation.
    shared.write(TableName::Config, "evacuate/east", None);
    shared.compact(TableName::Config);
    for relay in [&first, &second, &third] {
        wait_for("the evacuation is over", || exchange(relay.front, "/once/x", "").status == 200);
    }
}
