//! A machine that was suspended, and whose clock says so.
//!
//! While it is suspended nothing runs, and afterwards timers of the operating system
//! have as long to go as before. Deadlines, idle times and the age of what is known
//! have gone on.

use std::time::Duration;

use peatdeck_relay::surroundings::TableName;
use peatdeck_util::clock::{Clock, SystemClock};

use crate::standins::{
    Conn, Desk, LeapingClock, MemoryStore, Relay, ask, read_reply, request, wait_for,
};

/// Longer than anything that is open here may last.
const LONG: Duration = Duration::from_secs(120);

fn site(desk: &Desk) -> (MemoryStore, LeapingClock, Relay) {
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.enlist("desk", "desk", desk.addr);
    let clock = LeapingClock::default();
    let relay = Relay::with("own", &store).clock(&clock).start();
    relay.wait_ready();
    (store, clock, relay)
}

/// The system's clock is the one that counts a suspension: it is read as time since
/// the machine started.
#[test]
fn the_systems_clock_counts_what_the_machine_was_suspended() {
    let uptime = std::fs::read_to_string("/proc/uptime").unwrap();
    let before: f64 = uptime.split(' ').next().unwrap().parse().unwrap();
    let clock = SystemClock::new();
    assert!(clock.now() < LONG, "it starts with its process");
    assert!(SystemClock::since_boot().as_secs_f64() + 0.02 >= before);
}

/// Its caller waits 20 s, and the desk never answers.
#[test]
fn a_request_whose_time_is_over_ends_at_once() {
    let desk = Desk::start(|_, conn| {
        conn.read_request();
        conn.read_request();
    });
    let (_store, clock, relay) = site(&desk);
    let mut conn = Conn::open(relay.front);
    conn.write(&request("/idempotent/x", "connection: close\r\n"));
    wait_for("the desk has it", || desk.seen().len() == 1);
    let asked = SystemClock::new();
    clock.leap(LONG);
    assert_eq!(read_reply(&mut conn).status, 504);
    assert!(asked.now() < Duration::from_secs(10), "the time that was left was not waited for");
}

/// The endpoint has closed it long ago, or has another one at its address.
#[test]
fn connections_that_were_idle_through_it_are_not_used_again() {
    let desk = Desk::answering("x");
    let (_store, clock, relay) = site(&desk);
    assert_eq!(ask(relay.front, "/idempotent/x", "").status, 200);
    let before = relay.counter("peatdeck.relay.connections_reused");
    clock.leap(LONG);
    assert_eq!(ask(relay.front, "/idempotent/x", "").status, 200);
    wait_for("it is counted", || relay.counter("peatdeck.relay.connections_opened") == 2);
    assert_eq!(relay.counter("peatdeck.relay.connections_reused"), before);
}

/// Whatever it knew may have changed: a key revoked, a route moved, an endpoint gone.
#[test]
fn nothing_is_sent_by_what_was_known_before() {
    let desk = Desk::answering("x");
    let (store, clock, relay) = site(&desk);
    assert_eq!(ask(relay.front, "/since-1/x", "").status, 200);
    store.set_dark(true);
    wait_for("the store is missed", || relay.counter("peatdeck.relay.store_failed") > 2);
    store.put(TableName::Config, "config", b"2".to_vec());
    store.set_dark(false);
    clock.leap(LONG);
    assert_eq!(ask(relay.front, "/since-1/x", "").status, 404);
}
