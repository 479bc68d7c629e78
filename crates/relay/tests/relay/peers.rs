//! Two or more instances.

use peatdeck_relay::{
    native::{PiecesBody, ResultBody, ResultsBody},
    surroundings::TableName,
};

use crate::standins::{Conn, Desk, MemoryStore, Relay, ask, get, wait_for};

/// An endpoint that makes pieces.
fn maker() -> Desk {
    Desk::start(|_, conn| {
        while let Some(request) = conn.read_request() {
            let body = match request.head.starts_with("POST /v1/pieces ") {
                true => made(&request.body),
                false => "{}".to_owned(),
            };
            let len = body.len();
            conn.write(&format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n{body}"));
        }
    })
}

fn made(body: &str) -> String {
    let body: PiecesBody = serde_json::from_str(body).unwrap();
    let handle = |number| format!("127.0.0.1:1/result-{number}").into();
    let results = body.pieces.iter().map(|piece| ResultBody::Made(handle(piece.number)));
    serde_json::to_string(&ResultsBody { results: results.collect() }).unwrap()
}

fn store(desk: &Desk, maker: &Desk) -> MemoryStore {
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.enlist("desk", "desk", desk.addr);
    store.enlist("maker", "maker", maker.addr);
    store
}

fn make_three(front: std::net::SocketAddr) {
    let reply = ask(front, "/staged/x", "peatdeck-pieces: 3\r\npeatdeck-piece-key: k\r\n");
    assert_eq!(reply.status, 200, "{reply:?}");
}

#[test]
fn a_call_takes_in_the_results_of_its_stages() {
    let (desk, maker) = (Desk::answering("x"), maker());
    let relay = Relay::start("own", &store(&desk, &maker), &[]);
    relay.wait_ready();
    make_three(relay.front);
    let head = desk.seen().pop().unwrap();
    let inputs = "peatdeck-inputs: 127.0.0.1:1/result-0,127.0.0.1:1/result-1,127.0.0.1:1/result-2";
    assert!(head.contains(inputs), "{head}");
    wait_for("the results were given up", || {
        maker.seen().len() == 1 && relay.counter("peatdeck.relay.frees_failed") == 1
    });
}

#[test]
fn an_instance_that_the_store_turns_away_learns_from_its_peers() {
    let (desk, maker) = (Desk::answering("x"), maker());
    let shared = store(&desk, &maker);
    let first = Relay::start("first", &shared, &[]);
    first.wait_ready();
    let dark = MemoryStore::default();
    dark.set_dark(true);
    let second = Relay::start("second", &dark, &[first.peers]);
    second.wait_ready();
    assert_eq!(ask(second.front, "/once/x", "").status, 200);
    shared.put(TableName::Config, "config", b"2".to_vec());
    wait_for("version 2 is in force", || ask(second.front, "/since-2/x", "").status == 200);
}

#[test]
fn pieces_are_batched_by_one_instance() {
    let (desk, maker) = (Desk::answering("x"), maker());
    let shared = store(&desk, &maker);
    let relays = ["a", "b", "c"].map(|name| Relay::start(name, &shared, &[]));
    for relay in &relays {
        relay.wait_ready();
        wait_for("it knows its peers", || relay.counter("peatdeck.relay.peers") == 2);
    }
    for relay in &relays {
        make_three(relay.front);
    }
    let calls = relays.each_ref().map(|relay| relay.counter("peatdeck.relay.piece_calls"));
    assert_eq!(calls.iter().filter(|count| **count > 0).count(), 1, "{calls:?}");
    let handed = relays.each_ref().map(|relay| relay.counter("peatdeck.relay.handed_over"));
    assert_eq!(handed.iter().sum::<u64>(), 6, "{handed:?}");
}

#[test]
fn most_instances_leave_the_store_alone() {
    let (desk, maker) = (Desk::answering("x"), maker());
    let shared = store(&desk, &maker);
    let relays: Vec<_> = (0..6).map(|idx| Relay::start(&format!("r{idx}"), &shared, &[])).collect();
    for relay in &relays {
        wait_for("it knows its peers", || relay.counter("peatdeck.relay.peers") == 5);
    }
    let reads = |relay: &Relay| relay.counter("peatdeck.relay.store_reads");
    let before: Vec<_> = relays.iter().map(reads).collect();
    let grown = |_: ()| {
        let pairs = relays.iter().zip(&before);
        pairs.filter(|(relay, before)| reads(relay) > **before + 8).count()
    };
    wait_for("the readers have read on", || grown(()) >= 2);
    assert_eq!(grown(()), 2);
    shared.put(TableName::Config, "config", b"2".to_vec());
    for relay in &relays {
        wait_for("version 2 is in force", || ask(relay.front, "/since-2/x", "").status == 200);
    }
}

#[test]
fn damaged_bytes_on_the_peers_port_harm_nothing() {
    let (desk, maker) = (Desk::answering("x"), maker());
    let relay = Relay::start("own", &store(&desk, &maker), &[]);
    relay.wait_ready();
    let mut conn = Conn::open(relay.peers);
    conn.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    drop(conn);
    assert_eq!(ask(relay.front, "/once/x", "").status, 200);
}

/// Whoever else writes to the directory or to the table of instances: what
/// cannot be read names nobody, and the others hold.
#[test]
fn records_of_another_writer_name_nobody_and_leave_the_others() {
    let (desk, maker) = (Desk::answering("x"), maker());
    let shared = store(&desk, &maker);
    let relays = ["a", "b"].map(|name| Relay::start(name, &shared, &[]));
    for relay in &relays {
        relay.wait_ready();
        wait_for("it knows its peer", || relay.counter("peatdeck.relay.peers") == 1);
    }
    shared.put(TableName::Endpoints, "stranger", b"\xff\xfe".to_vec());
    shared.put(TableName::Instances, "stranger", b"[]".to_vec());
    shared.put(TableName::Instances, "b", b"{\"peers\": 7}".to_vec());
    let unreadable = || relays[0].counter("peatdeck.relay.endpoints_unreadable");
    wait_for("the foreign entry was seen", || unreadable() == 1);
    // The peer itself lives and says so.
    assert_eq!(relays[0].counter("peatdeck.relay.peers"), 1);
    assert_eq!(ask(relays[0].front, "/once/x", "").status, 200);
    make_three(relays[0].front);
}

/// An instance that the store turns away hears of an evacuation, and of its end, from
/// a peer; so does one that starts meanwhile.
#[test]
fn an_evacuation_is_in_force_at_instances_that_the_store_turns_away() {
    let (desk, maker) = (Desk::answering("x"), maker());
    let shared = store(&desk, &maker);
    let first = Relay::start("first", &shared, &[]);
    first.wait_ready();
    let dark = MemoryStore::default();
    dark.set_dark(true);
    let second = Relay::start("second", &dark, &[first.peers]);
    second.wait_ready();
    assert_eq!(ask(second.front, "/once/x", "").status, 200);
    shared.put(TableName::Config, "evacuate/east", b"{}".to_vec());
    for relay in [&first, &second] {
        wait_for("it is in force", || relay.counter("peatdeck.relay.evacuated") == 1);
    }
    let listed = get(second.metrics, "/evacuations").body;
    assert_eq!(listed, r#"[{"data_centre":"east","endpoints":2}]"#);
    let seen = desk.seen().len();
    let third = Relay::start("third", &dark, &[first.peers]);
    third.wait_ready();
    for relay in [&first, &second, &third] {
        assert_eq!(ask(relay.front, "/once/x", "").status, 503);
    }
    assert_eq!(desk.seen().len(), seen, "nothing was sent");
    // The store forgets what came before, the order being taken back included.
    shared.write(TableName::Config, "evacuate/east", None);
    shared.compact(TableName::Config);
    for relay in [&first, &second, &third] {
        wait_for("it is taken back", || ask(relay.front, "/once/x", "").status == 200);
    }
}
