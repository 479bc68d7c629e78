//! Terms that endpoints state in their replies.

use std::{thread, time::Duration};

use peatdeck_relay::surroundings::TableName;

use crate::standins::{MemoryStore, Relay, ScriptedEndpoint, exchange, full_reply, wait_for};

/// An endpoint whose replies all have this header.
fn endpoint_with_header(header: &'static str) -> ScriptedEndpoint {
    ScriptedEndpoint::start(move |_, conn| {
        while let Some(request) = conn.read_request() {
            let answer = full_reply(&request.id(), 200, "told");
            conn.write(&answer.replacen("\r\n", &format!("\r\n{header}\r\n"), 1));
        }
    })
}

/// An endpoint that states no terms, and takes longer than is expected of an endpoint without
/// calls so far.
fn endpoint_without_terms() -> ScriptedEndpoint {
    ScriptedEndpoint::start(|_, conn| {
        while let Some(request) = conn.read_request() {
            thread::sleep(Duration::from_millis(40));
            conn.write(&full_reply(&request.id(), 200, "untold"));
        }
    })
}

/// Two instances that have found each other, with these endpoints.
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

/// An endpoint that accepts one call in fifty seconds receives a first call from each instance,
/// and at most five more from both in any four seconds. It is the faster endpoint, so without
/// the limit it would get nearly all calls.
#[test]
fn a_limit_applies_to_all_instances_that_received_it() {
    let endpoints = [endpoint_with_header("peatdeck-limit: 0.02"), endpoint_without_terms()];
    let (_store, relays) = site(&endpoints);
    for turn in 0..40 {
        assert_eq!(exchange(relays[turn % 2].front, "/idempotent/x", "").status, 200);
    }
    let calls = endpoints[0].received().len();
    assert!(calls <= 2 + 5, "{calls} calls");
}

/// The endpoint is still in the directory; only its replies say that it is leaving. Each instance
/// receives one of these.
#[test]
fn an_endpoint_that_announces_leaving_receives_nothing_more() {
    let endpoints = [endpoint_with_header("peatdeck-leaving: 1"), endpoint_without_terms()];
    let (_store, relays) = site(&endpoints);
    for turn in 0..40 {
        assert_eq!(exchange(relays[turn % 2].front, "/idempotent/x", "").status, 200);
    }
    let calls = endpoints[0].received().len();
    assert!(calls <= 2, "{calls} calls");
}

/// The endpoint refuses each call and asks for a hold of an hour. Each instance receives that
/// once; two further calls of each are allowed.
#[test]
fn an_endpoint_that_asked_for_a_hold_is_not_called() {
    let busy = ScriptedEndpoint::start(|_, conn| {
        while let Some(request) = conn.read_request() {
            let refusal = full_reply(&request.id(), 503, "busy");
            let headers = "\r\npeatdeck-not-run: 1\r\nretry-after: 3600\r\n";
            conn.write(&refusal.replacen("\r\n", headers, 1));
        }
    });
    let endpoints = [busy, endpoint_without_terms()];
    let (_store, relays) = site(&endpoints);
    for turn in 0..40 {
        assert_eq!(exchange(relays[turn % 2].front, "/idempotent/x", "").status, 200);
    }
    let calls = endpoints[0].received().len();
    assert!(calls <= 2 * (1 + 2), "{calls} calls");
}

/// An instance that never called an endpoint receives its terms from the instance that did.
#[test]
fn peers_receive_the_terms_of_endpoints() {
    let cases = [
        ("peatdeck-leaving: 1", "peatdeck.relay.endpoints_leaving"),
        ("peatdeck-limit: 0", "peatdeck.relay.endpoints_limited"),
    ];
    for (header, counter) in cases {
        let endpoints = [endpoint_with_header(header), endpoint_without_terms()];
        let (_store, [one, two]) = site(&endpoints);
        wait_for("one instance has received the term", || {
            exchange(one.front, "/idempotent/x", "");
            one.counter(counter) == 1
        });
        wait_for("the other instance has received the term", || two.counter(counter) == 1);
        let before = endpoints[0].received().len();
        for _ in 0..10 {
            assert_eq!(exchange(two.front, "/idempotent/x", "").body, "untold");
        }
        assert_eq!(endpoints[0].received().len(), before, "{header}");
    }
}
