//! Idle connections of callers.

use std::{
    sync::{Mutex, mpsc},
    thread,
    time::Duration,
};

use peatdeck_relay::surroundings::TableName;

use crate::standins::{
    Conn, JumpingClock, MemoryStore, Relay, ScriptedEndpoint, full_reply, request_head, wait_for,
};

/// More connections than an instance of the tests takes.
const MANY: usize = 230;
/// Four fifths of the configured time: callers may still reuse such a connection.
const STILL_USABLE: Duration = Duration::from_secs(12);
/// Longer than the configured time.
const TOO_LONG: Duration = Duration::from_secs(17);
/// Longer than the interval at which idle connections are closed.
const PRUNE_TIME: Duration = Duration::from_secs(3);

fn start(clock: &JumpingClock, endpoint: &ScriptedEndpoint) -> Relay {
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.add_endpoint("desk", "desk", endpoint.addr);
    let relay = Relay::builder("own", &store).clock(clock).start();
    relay.wait_ready();
    relay
}

/// Sends a request and reads its answer. The connection stays open.
fn call(conn: &mut Conn) {
    conn.write(&request_head("/idempotent/x", ""));
    assert!(conn.read_until("answer"), "the connection ended");
    conn.discard();
}

#[test]
fn an_idle_connection_is_kept_for_the_configured_time_and_no_longer() {
    let clock = JumpingClock::default();
    let relay = start(&clock, &ScriptedEndpoint::answering("answer"));
    let mut conn = Conn::open(relay.front);
    call(&mut conn);
    clock.jump(STILL_USABLE);
    thread::sleep(PRUNE_TIME);
    call(&mut conn);
    clock.jump(TOO_LONG);
    assert_eq!(conn.read_to_end(), "");
}

#[test]
fn idle_connections_make_room_so_that_new_ones_are_taken() {
    let (release, released) = mpsc::channel::<()>();
    let released = Mutex::new(released);
    let endpoint = ScriptedEndpoint::start(move |_, conn| {
        while let Some(request) = conn.read_request() {
            if request.head.contains("/once/") {
                released.lock().unwrap().recv().unwrap();
            }
            conn.write(&full_reply(&request.id(), 200, "answer"));
        }
    });
    let relay = start(&JumpingClock::default(), &endpoint);
    let mut waiting = Conn::open(relay.front);
    waiting.write(&request_head("/once/x", ""));
    wait_for("the first request is called", || !endpoint.received().is_empty());
    let mut open = Vec::new();
    for _ in 0..MANY {
        let mut conn = Conn::open(relay.front);
        call(&mut conn);
        open.push(conn);
    }
    release.send(()).unwrap();
    assert!(waiting.read_until("answer"), "a connection that carried a request was closed");
    call(&mut open[MANY - 1]);
    assert_eq!(open[0].read_to_end(), "", "the oldest idle connection is open");
}
