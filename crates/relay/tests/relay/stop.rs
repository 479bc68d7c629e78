//! Planned stops and reloads.

use std::{
    sync::{Mutex, mpsc},
    thread,
    time::Duration,
};

use peatdeck_relay::{server::Control, surroundings::TableName};

use crate::standins::{
    Conn, JumpingClock, MemoryStore, Relay, ScriptedEndpoint, Site, full_reply, read_reply,
    request_head, wait_for,
};

/// A reply that is larger than the kernel's buffers of a narrow connection, in bytes.
const LONG_REPLY: usize = 15 << 20;
/// Steps in the size of replies, in bytes; less than the server may hold of one that ends.
const REPLY_STEP: usize = 16 << 10;
/// Longer than a stopping instance waits if nothing is under way, and shorter than its grace.
const LONGER_THAN_AN_EMPTY_DRAIN: Duration = Duration::from_secs(10);
/// Time in which the caller of a long reply reads nothing: longer than a connection was given to
/// close.
const SLOW_CALLER: Duration = Duration::from_secs(3);

#[test]
fn requests_in_flight_are_answered_before_the_instance_stops() {
    let (release, released) = mpsc::channel::<()>();
    let (arrived, on_arrival) = mpsc::channel();
    let released = Mutex::new(released);
    let site = Site::start(&[ScriptedEndpoint::start(move |_, conn| {
        let request = conn.read_request().unwrap();
        arrived.send(()).unwrap();
        released.lock().unwrap().recv().unwrap();
        conn.write(&full_reply(&request.id(), 200, "in time"));
    })]);
    let mut conn = Conn::open(site.relay.front);
    conn.write(&request_head("/once/x", ""));
    on_arrival.recv().unwrap();
    site.relay.send_control(Control::Stop);
    wait_for("the instance is not ready any more", || site.relay.ready_status() == 503);
    release.send(()).unwrap();
    let reply = read_reply(&mut conn);
    assert_eq!((reply.status, reply.body.as_str()), (200, "in time"));
    site.relay.join();
}

#[test]
fn a_caller_on_an_open_connection_is_served_and_told_to_close_it() {
    let site = Site::start(&[ScriptedEndpoint::answering("x")]);
    let mut conn = Conn::open(site.relay.front);
    site.relay.send_control(Control::Stop);
    wait_for("the instance is not ready any more", || site.relay.ready_status() == 503);
    conn.write(&request_head("/once/x", ""));
    let reply = read_reply(&mut conn);
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection").as_deref(), Some("close"));
    site.relay.join();
}

#[test]
fn a_reload_interrupts_nothing() {
    let site = Site::start(&[ScriptedEndpoint::answering("x")]);
    site.relay.send_control(Control::Reload);
    assert_eq!(site.exchange("/once/x").status, 200);
    assert_eq!(site.relay.ready_status(), 200);
}

#[test]
fn a_stop_does_not_cut_a_reply_that_its_caller_is_still_reading() {
    let clock = JumpingClock::default();
    let relay = relay_with_long_replies(&clock);
    let mut conn = Conn::open_narrow(relay.front);
    conn.write(&request_head(&format!("/once/{LONG_REPLY}"), ""));
    wait_for("the reply is whole", || relay.counter("peatdeck.relay.answered") == 1);
    relay.send_control(Control::Stop);
    wait_for("the instance is not ready any more", || relay.ready_status() == 503);
    clock.jump(LONGER_THAN_AN_EMPTY_DRAIN);
    thread::sleep(SLOW_CALLER);
    assert!(!relay.has_stopped(), "the rest of the reply is lost with the process");
    assert_eq!(read_reply(&mut conn).body.len(), LONG_REPLY);
    relay.join();
}

#[test]
fn the_end_of_a_reply_that_closes_its_connection_is_not_cut_while_its_caller_reads_slowly() {
    let relay = relay_with_long_replies(&JumpingClock::default());
    // Of some of these, only the end does not fit into the kernel's buffers.
    let sizes = (1..=40).map(|number| number * REPLY_STEP);
    let calls = sizes.map(|size| {
        let mut conn = Conn::open_narrow(relay.front);
        conn.write(&request_head(&format!("/once/{size}"), "connection: close\r\n"));
        (size, conn)
    });
    let calls: Vec<_> = calls.collect();
    let count = calls.len() as u64;
    wait_for("the replies are whole", || relay.counter("peatdeck.relay.answered") == count);
    thread::sleep(SLOW_CALLER);
    for (size, mut conn) in calls {
        assert_eq!(read_reply(&mut conn).body.len(), size);
    }
}

/// Starts an instance whose endpoint answers with so many bytes as the path says.
fn relay_with_long_replies(clock: &JumpingClock) -> Relay {
    let endpoint = ScriptedEndpoint::start(|_, conn| {
        while let Some(request) = conn.read_request() {
            let path = request.head.split(' ').nth(1).unwrap();
            let size = path["/once/".len()..].parse().unwrap();
            conn.write(&full_reply(&request.id(), 200, &"y".repeat(size)));
        }
    });
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.add_endpoint("desk", "desk", endpoint.addr);
    let relay = Relay::builder("own", &store).clock(clock).start();
    relay.wait_ready();
    relay
}
