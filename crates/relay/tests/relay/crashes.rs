//! A request that crashes the endpoint that runs it.
//!
//! Guards against one content that crashes engine after engine, each a few seconds after its
//! start, and interrupts the streams of all teams. An engine crashes on a request, which cuts
//! all its calls. The instance sends the request to a second engine, which crashes too. The
//! caller is asked to retry and reaches another instance, where the request is new. What an
//! exchange had observed was lost at its end, so the content was sent to further engines for as
//! long as callers sent it.
//!
//! It showed at three instances at once: all calls of an engine were cut within 3 ms, its next
//! connections were refused, and nearly all crashes had calls of the same route in common. This
//! test reproduces it without any other fault.

use std::net::SocketAddr;

use peatdeck_relay::{server::Control, surroundings::TableName};
use peatdeck_wire::operators::QuarantinedContent;

use crate::standins::{
    Conn, MemoryStore, ReceivedRequest, Relay, Reply, ScriptedEndpoint, exchange, get, send,
    stream_head, wait_for,
};

/// Endpoints that one content may crash before it is quarantined, and as many that it may reach
/// while the quarantine is on its way to the instances.
const MAX_CRASHED: usize = 3 + 3;

fn site(endpoints: &[ScriptedEndpoint]) -> (MemoryStore, [Relay; 2]) {
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    for (idx, endpoint) in endpoints.iter().enumerate() {
        store.add_endpoint(&format!("desk-{idx}"), "desk", endpoint.addr);
    }
    let one = Relay::start("one", &store, &[]);
    let two = Relay::start("two", &store, &[one.peers]);
    for relay in [&one, &two] {
        relay.wait_ready();
        wait_for("the instances have found each other", || {
            relay.counter("peatdeck.relay.peers") == 1
        });
    }
    (store, [one, two])
}

fn crashed(endpoints: &[ScriptedEndpoint], word: &str) -> usize {
    endpoints
        .iter()
        .filter(|endpoint| endpoint.received().iter().any(|head| head.contains(word)))
        .count()
}

/// Sends the request to an instance until the instance quarantines it.
fn quarantine(relay: &Relay) {
    wait_for("the content is quarantined", || {
        exchange(relay.front, "/idempotent/poison", "").body == "quarantined\n"
    });
}

fn is_served(front: SocketAddr) -> bool {
    exchange(front, "/idempotent/sound", "").status == 200
}

#[test]
fn a_request_that_crashes_endpoints_is_quarantined() {
    let endpoints: Vec<_> = (0..14).map(|_| ScriptedEndpoint::crashing_at("/poison")).collect();
    let (_store, relays) = site(&endpoints);
    for turn in 0..14 {
        let front = relays[turn % 2].front;
        let status = exchange(front, "/idempotent/poison", "").status;
        assert!(matches!(status, 502 | 503), "{status}");
    }
    let crashed = crashed(&endpoints, "/poison");
    assert!((3..=MAX_CRASHED).contains(&crashed), "{crashed} endpoints crashed on one request");
    assert!(relays.iter().all(|relay| is_served(relay.front)));
}

/// No peer is left to send the quarantine; the new instance reads it from the platform's table.
#[test]
fn an_instance_started_after_all_others_stopped_applies_the_quarantine() {
    let endpoints: Vec<_> = (0..8).map(|_| ScriptedEndpoint::crashing_at("/poison")).collect();
    let (store, relays) = site(&endpoints);
    quarantine(&relays[0]);
    wait_for("the quarantine is recorded", || store.len(TableName::Quarantine) > 0);
    for relay in relays {
        relay.send_control(Control::Stop);
        relay.join();
    }
    let before = crashed(&endpoints, "/poison");
    let fresh = Relay::start("fresh", &store, &[]);
    fresh.wait_ready();
    let reply = exchange(fresh.front, "/idempotent/poison", "");
    assert_eq!((reply.status, &*reply.body), (503, "quarantined\n"));
    assert_eq!(crashed(&endpoints, "/poison"), before);
}

/// Instances send the quarantine to each other even if the platform's store is unavailable. The
/// store receives the record once it is available again.
#[test]
fn all_instances_quarantine_it_while_the_store_is_unavailable() {
    let endpoints: Vec<_> = (0..8).map(|_| ScriptedEndpoint::crashing_at("/poison")).collect();
    let (store, relays) = site(&endpoints);
    store.set_unavailable(true);
    quarantine(&relays[0]);
    wait_for("the other instance has received the quarantine", || {
        relays[1].counter("peatdeck.relay.quarantined") == 1
    });
    assert_eq!(exchange(relays[1].front, "/idempotent/poison", "").body, "quarantined\n");
    assert_eq!(store.len(TableName::Quarantine), 0);
    store.set_unavailable(false);
    wait_for("the quarantine is recorded", || store.len(TableName::Quarantine) > 0);
}

/// The remaining endpoints serve requests with another content.
#[test]
fn other_requests_are_served() {
    let endpoints: Vec<_> = (0..8).map(|_| ScriptedEndpoint::crashing_at("/poison")).collect();
    let (_store, relays) = site(&endpoints);
    quarantine(&relays[0]);
    for turn in 0..20 {
        assert!(is_served(relays[turn % 2].front));
    }
}

/// A closed connection alone is not taken for a crash caused by its request.
#[test]
fn connections_closed_by_endpoints_quarantine_nothing() {
    let endpoints: Vec<_> = (0..2)
        .map(|_| {
            ScriptedEndpoint::start(|_, conn| {
                if conn.read_request().is_some_and(|request| request.head.contains("/cut")) {
                    conn.close();
                }
            })
        })
        .collect();
    let (_store, relays) = site(&endpoints);
    for _ in 0..6 {
        assert_eq!(exchange(relays[0].front, "/once/cut", "").status, 502);
    }
    wait_for("both endpoints were probed", || {
        relays[0].counter("peatdeck.relay.endpoints_probed") >= 2
    });
    assert_eq!(relays[0].counter("peatdeck.relay.crashed_runs"), 0);
    assert_eq!(relays[0].counter("peatdeck.relay.quarantined"), 0);
}

/// An operator lists the quarantined contents and releases one at all instances.
#[test]
fn an_operator_releases_it_at_all_instances() {
    let endpoints: Vec<_> = (0..14).map(|_| ScriptedEndpoint::crashing_at("/poison")).collect();
    let (store, relays) = site(&endpoints);
    quarantine(&relays[0]);
    wait_for("the quarantine is recorded", || store.len(TableName::Quarantine) > 0);
    wait_for("all instances have received the quarantine", || {
        relays[1].counter("peatdeck.relay.quarantined") == 1
    });
    let listed = get(relays[1].metrics, "/quarantine").body;
    let listed: Vec<QuarantinedContent> = serde_json::from_str(&listed).unwrap();
    assert!(listed[0].crashes >= 3);
    let path = format!("/quarantine/{}", listed[0].content);
    assert_eq!(send(relays[1].metrics, "DELETE", &path).status, 202);
    for relay in &relays {
        wait_for("the content is released", || relay.counter("peatdeck.relay.quarantined") == 0);
    }
    assert_eq!(send(relays[1].metrics, "DELETE", "/quarantine/none").status, 400);
}

/// Endpoints that a part of prompts may crash before it is quarantined, and those that it may
/// reach while the quarantine is on its way to the instances.
const MAX_CRASHED_BY_PART: usize = 5 + 3;

fn send_prompt(front: SocketAddr, path: &str, parts: &str) -> Reply {
    let headers = format!("peatdeck-tokens: 1000,50\r\npeatdeck-parts: {parts}\r\n");
    exchange(front, path, &headers)
}

/// No two of the requests are alike, and sound ones share their caller and their other parts.
#[test]
fn a_prompt_part_that_crashes_endpoints_is_quarantined_and_the_other_parts_are_not() {
    let begin =
        |conn: &mut Conn, request: &ReceivedRequest| conn.write(&stream_head(&request.id()));
    let endpoints: Vec<_> =
        (0..20).map(|_| ScriptedEndpoint::crashing_after(",bad:", begin)).collect();
    let (_store, relays) = site(&endpoints);
    let mut is_quarantined = false;
    for turn in 0..30 {
        let front = relays[turn % 2].front;
        let parts = format!("a1:600,b2:200,{turn:x}:9");
        let sound = send_prompt(front, &format!("/idempotent/s{turn}"), &parts);
        assert_ne!(sound.body, "quarantined\n", "sound request {turn}");
        assert_eq!(sound.status, 200, "sound request {turn}: {sound:?}");
        let parts = format!("a1:600,bad:200,{turn:x}:9");
        let poison = send_prompt(front, &format!("/resumable/p{turn}"), &parts);
        is_quarantined |= poison.body == "quarantined\n";
    }
    assert!(is_quarantined);
    let crashed = crashed(&endpoints, ",bad:");
    assert!(crashed <= MAX_CRASHED_BY_PART, "{crashed} endpoints crashed on one part");
}
