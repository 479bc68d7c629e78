//! A host that was suspended, with a clock that includes the time of the suspension.
//!
//! Nothing runs during a suspension, and afterwards the timers of the operating system have as
//! much time left as before. Deadlines, idle times and the age of tables, however, include the
//! suspension.

use std::time::Duration;

use peatdeck_relay::surroundings::TableName;
use peatdeck_util::clock::{Clock, SystemClock};

use crate::standins::{
    Conn, JumpingClock, MemoryStore, Relay, ScriptedEndpoint, exchange, read_reply, request_head,
    wait_for,
};

/// Longer than any deadline, idle timeout or maximum age in these tests.
const LONG: Duration = Duration::from_secs(120);

fn site(endpoint: &ScriptedEndpoint) -> (MemoryStore, JumpingClock, Relay) {
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.add_endpoint("desk", "desk", endpoint.addr);
    let clock = JumpingClock::default();
    let relay = Relay::builder("own", &store).clock(&clock).start();
    relay.wait_ready();
    (store, clock, relay)
}

/// The system clock counts a suspension, since it is based on the time since the host booted.
#[test]
fn the_system_clock_includes_the_time_of_a_suspension() {
    let uptime = std::fs::read_to_string("/proc/uptime").unwrap();
    let before: f64 = uptime.split(' ').next().unwrap().parse().unwrap();
    let clock = SystemClock::new();
    assert!(clock.now() < LONG, "the clock starts with its process");
    assert!(SystemClock::since_boot().as_secs_f64() + 0.02 >= before);
}

/// The caller's deadline is 20 s, and the endpoint never answers.
#[test]
fn a_request_whose_deadline_passed_during_a_suspension_ends_at_once() {
    let endpoint = ScriptedEndpoint::start(|_, conn| {
        conn.read_request();
        conn.read_request();
    });
    let (_store, clock, relay) = site(&endpoint);
    let mut conn = Conn::open(relay.front);
    conn.write(&request_head("/idempotent/x", "connection: close\r\n"));
    wait_for("the endpoint has received the request", || endpoint.received().len() == 1);
    let since_jump = SystemClock::new();
    clock.jump(LONG);
    assert_eq!(read_reply(&mut conn).status, 504);
    assert!(since_jump.now() < Duration::from_secs(10), "the remaining time was not waited for");
}

/// The endpoint may have closed such a connection, or another endpoint may have its address.
#[test]
fn connections_that_were_idle_during_a_suspension_are_not_reused() {
    let endpoint = ScriptedEndpoint::answering("x");
    let (_store, clock, relay) = site(&endpoint);
    assert_eq!(exchange(relay.front, "/idempotent/x", "").status, 200);
    let before = relay.counter("peatdeck.relay.connections_reused");
    clock.jump(LONG);
    assert_eq!(exchange(relay.front, "/idempotent/x", "").status, 200);
    wait_for("the new connection is counted", || {
        relay.counter("peatdeck.relay.connections_opened") == 2
    });
    assert_eq!(relay.counter("peatdeck.relay.connections_reused"), before);
}

/// A key may have been revoked, a route changed or an endpoint removed in the meantime.
#[test]
fn tables_from_before_a_suspension_are_not_used() {
    let endpoint = ScriptedEndpoint::answering("x");
    let (store, clock, relay) = site(&endpoint);
    assert_eq!(exchange(relay.front, "/since-1/x", "").status, 200);
    store.set_unavailable(true);
    wait_for("reads of the store fail", || relay.counter("peatdeck.relay.store_failed") > 2);
    store.put(TableName::Config, "config", b"2".to_vec());
    store.set_unavailable(false);
    clock.jump(LONG);
    assert_eq!(exchange(relay.front, "/since-1/x", "").status, 404);
}
