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

use peatdeck_relay::{server::Control, surroundings::TableName};
use peatdeck_wire::operators::QuarantinedContent;

use crate::standins::{Desk, MemoryStore, Relay, ask, get, send, wait_for};

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

/// Sends it until it is held back by that instance.
fn hold_back(relay: &Relay) {
    wait_for("it is held back", || {
        ask(relay.front, "/idempotent/poison", "").body == "quarantined\n"
    });
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

/// The platform's table keeps it: nobody is left who could tell.
#[test]
fn instances_that_start_after_all_have_ended_hold_it_back() {
    let desks: Vec<_> = (0..8).map(|_| Desk::crashing_at("/poison")).collect();
    let (store, relays) = site(&desks);
    hold_back(&relays[0]);
    wait_for("it is recorded", || store.len(TableName::Quarantine) > 0);
    for relay in relays {
        relay.tell(Control::Stop);
        relay.join();
    }
    let before = ended(&desks, "/poison");
    let fresh = Relay::start("fresh", &store, &[]);
    fresh.wait_ready();
    let reply = ask(fresh.front, "/idempotent/poison", "");
    assert_eq!((reply.status, &*reply.body), (503, "quarantined\n"));
    assert_eq!(ended(&desks, "/poison"), before);
}

/// Instances tell each other, whether the platform's store answers or not; once it
/// does again, it gets its record.
#[test]
fn it_is_held_back_by_all_while_the_store_is_away() {
    let desks: Vec<_> = (0..8).map(|_| Desk::crashing_at("/poison")).collect();
    let (store, relays) = site(&desks);
    store.set_dark(true);
    hold_back(&relays[0]);
    wait_for("the other one knows", || relays[1].counter("peatdeck.relay.quarantined") == 1);
    assert_eq!(ask(relays[1].front, "/idempotent/poison", "").body, "quarantined\n");
    assert_eq!(store.len(TableName::Quarantine), 0);
    store.set_dark(false);
    wait_for("it is recorded", || store.len(TableName::Quarantine) > 0);
}

/// Who sends something else is served, by the endpoints that are left.
#[test]
fn other_requests_are_served() {
    let desks: Vec<_> = (0..8).map(|_| Desk::crashing_at("/poison")).collect();
    let (_store, relays) = site(&desks);
    hold_back(&relays[0]);
    for turn in 0..20 {
        assert!(serves(relays[turn % 2].front));
    }
}

/// Resets of connections are none of a request's doing.
#[test]
fn connections_that_endpoints_close_hold_nothing_back() {
    let desks: Vec<_> = (0..2)
        .map(|_| {
            Desk::start(|_, conn| {
                if conn.read_request().is_some_and(|request| request.head.contains("/cut")) {
                    conn.close();
                }
            })
        })
        .collect();
    let (_store, relays) = site(&desks);
    for _ in 0..6 {
        assert_eq!(ask(relays[0].front, "/once/cut", "").status, 502);
    }
    wait_for("both endpoints were found there", || {
        relays[0].counter("peatdeck.relay.endpoints_probed") >= 2
    });
    assert_eq!(relays[0].counter("peatdeck.relay.crashed_runs"), 0);
    assert_eq!(relays[0].counter("peatdeck.relay.quarantined"), 0);
}

/// An operator sees what is held back, and releases it for all instances.
#[test]
fn an_operator_releases_it() {
    let desks: Vec<_> = (0..14).map(|_| Desk::crashing_at("/poison")).collect();
    let (store, relays) = site(&desks);
    hold_back(&relays[0]);
    wait_for("it is recorded", || store.len(TableName::Quarantine) > 0);
    wait_for("all know", || relays[1].counter("peatdeck.relay.quarantined") == 1);
    let listed = get(relays[1].metrics, "/quarantine").body;
    let listed: Vec<QuarantinedContent> = serde_json::from_str(&listed).unwrap();
    assert!(listed[0].crashes >= 3);
    let path = format!("/quarantine/{}", listed[0].content);
    assert_eq!(send(relays[1].metrics, "DELETE", &path).status, 202);
    for relay in &relays {
        wait_for("it is released", || relay.counter("peatdeck.relay.quarantined") == 0);
    }
    assert_eq!(send(relays[1].metrics, "DELETE", "/quarantine/none").status, 400);
}
