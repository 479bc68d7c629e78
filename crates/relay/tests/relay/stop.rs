//! Planned stops and reloads.

use std::sync::{Mutex, mpsc};

use peatdeck_relay::server::Control;

use crate::standins::{
    Conn, ScriptedEndpoint, Site, full_reply, read_reply, request_head, wait_for,
};

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
