//! A machine that was suspended, and whose clock says so.
//!
//! While it is suspended nothing runs, and afterwards timers of the operating system
//! have as long to go as before. Deadlines, idle times and the age of what is known
//! have gone on.

use std::time::Duration;

use peatdeck_relay::surroundings::TableName;
use peatdeck_util::clock::{Clock, SystemClock};

use crate::standins::{
    Conn, JumpingClock, MemoryStore, Relay, ScriptedEndpoint, exchange, read_reply, request_head,
    wait_for,
};

/// Longer than anything that is open here may last.
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

/// The system's clock is the one that counts a suspension: it is read as time since
/// the machine started.
#[test]
fn the_system_clock_includes_the_time_of_a_suspension() {
    let uptime = std::fs::read_to_string("/proc/uptime").unwrap();
    let before: f64 = uptime.split(' ').next().unwrap().parse().unwrap();
    let clock = SystemClock::new();
    assert!(clock.now() < LONG, "it starts with its process");
    assert!(SystemClock::since_boot().as_secs_f64() + 0.02 >= before);
}

/// Its caller waits 20 s, and the desk never answers.
#[test]
fn a_request_whose_deadline_passed_during_a_suspension_ends_at_once() {
    let endpoint = ScriptedEndpoint::start(|_, conn| {
        conn.read_request();
        conn.read_request();
    });
    let (_store, clock, relay) = site(&endpoint);
    let mut conn = Conn::open(relay.front);
    conn.write(&request_head("/idempotent/x", "connection: close\r\n"));
    wait_for("the desk has it", || endpoint.received().len() == 1);
    let since_jump = SystemClock::new();
    clock.jump(LONG);
    assert_eq!(read_reply(&mut conn).status, 504);
    assert!(
        since_jump.now() < Duration::from_secs(10),
        "the time that was left was not waited for"
    );
}

/// The endpoint has closed it long ago, or has another one at its address.
#[test]
fn connections_that_were_idle_during_a_suspension_are_not_reused() {
    let endpoint = ScriptedEndpoint::answering("x");
    let (_store, clock, relay) = site(&endpoint);
    assert_eq!(exchange(relay.front, "/idempotent/x", "").status, 200);
    let before = relay.counter("peatdeck.relay.connections_reused");
    clock.jump(LONG);
    assert_eq!(exchange(relay.front, "/idempotent/x", "").status, 200);
    wait_for("it is counted", || relay.counter("peatdeck.relay.connections_opened") == 2);
    assert_eq!(relay.counter("peatdeck.relay.connections_reused"), before);
}

/// Whatever it knew may have changed: a key revoked, a route moved, an endpoint gone.
#[test]
fn tables_from_before_a_suspension_are_not_used() {
    let endpoint = ScriptedEndpoint::answering("x");
    let (store, clock, relay) = site(&endpoint);
    assert_eq!(exchange(relay.front, "/since-1/x", "").status, 200);
    store.set_unavailable(true);
    wait_for("the store is missed", || relay.counter("peatdeck.relay.store_failed") > 2);
    store.put(TableName::Config, "config", b"2".to_vec());
    store.set_unavailable(false);
    clock.jump(LONG);
    assert_eq!(exchange(relay.front, "/since-1/x", "").status, 404);
}
