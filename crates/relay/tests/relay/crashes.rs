//! A request that crashes whatever runs it.
//!
//! What users saw: engines ended one after the other, a few seconds after each had
//! started, until none was left for long; streams of all teams were cut midway with
//! them. Order of events: a caller sends a request; the engine that begins to run it
//! ends, and all its calls are cut; the instance sends it to a second engine, which
//! ends too; the caller is told to come back, and its next try reaches another
//! instance, to which it is new. Cause: what an exchange had learned ended with the
//! exchange, so the same content was offered to one engine after the other for as
//! long as anybody sent it.
//!
//! Evidence: all calls of an engine were cut within 3 ms at three instances at once
//! and the next connections to it refused; a route's calls were common to nearly all
//! of them; and this test, in which nothing else goes wrong.

use std::net::SocketAddr;

use peatdeck_relay::surroundings::TableName;

use crate::standins::{Desk, MemoryStore, Relay, ask, wait_for};

/// Endpoints that one request may end before nobody sends it any more, and as many
/// that it may reach while word of that is on its way.
const MOST_ENDED: usize = 3 + 3;

fn site(desks: &[Desk]) -> (MemoryStore, [Relay; 2]) {
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    for (idx, desk) in desks.iter().enumerate() {
        store.enlist(&format!("desk-{idx}"), "desk", desk.addr);
    }
    let one = Relay::start("one", &store, &[]);
    let two = Relay::start("two", &store, &[one.peers]);
    for relay in [&one, &two] {
        relay.wait_ready();
        wait_for("the instances know each other", || relay.counter("peatdeck.relay.peers") == 1);
    }
    (store, [one, two])
}

fn ended(desks: &[Desk], word: &str) -> usize {
    desks.iter().filter(|desk| desk.seen().iter().any(|head| head.contains(word))).count()
}

fn serves(front: SocketAddr) -> bool {
    ask(front, "/idempotent/sound", "").status == 200
}

#[test]
fn a_request_that_crashes_what_runs_it_is_held_back() {
    let desks: Vec<_> = (0..14).map(|_| Desk::crashing_at("/poison")).collect();
    let (_store, relays) = site(&desks);
    for turn in 0..14 {
        let front = relays[turn % 2].front;
        let status = ask(front, "/idempotent/poison", "").status;
        assert!(matches!(status, 502 | 503), "{status}");
    }
    let ended = ended(&desks, "/poison");
    assert!((3..=MOST_ENDED).contains(&ended), "{ended} endpoints ended under one request");
    assert!(relays.iter().all(|relay| serves(relay.front)));
}
