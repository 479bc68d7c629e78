//! A planned stop.

use std::sync::{Mutex, mpsc};

use peatdeck_relay::server::Control;

use crate::standins::{Conn, Desk, Site, read_reply, request, wait_for, whole};

#[test]
fn what_is_in_flight_is_answered_before_the_process_ends() {
    let (go, wait) = mpsc::channel::<()>();
    let (asked, on_asked) = mpsc::channel();
    let wait = Mutex::new(wait);
    let site = Site::start(&[Desk::start(move |_, conn| {
        let request = conn.read_request().unwrap();
        asked.send(()).unwrap();
        wait.lock().unwrap().recv().unwrap();
        conn.write(&whole(&request.id(), 200, "in time"));
    })]);
    let mut conn = Conn::open(site.relay.front);
    conn.write(&request("/once/x", ""));
    on_asked.recv().unwrap();
    site.relay.tell(Control::Stop);
    wait_for("the balancer is told", || site.relay.ready_status() == 503);
    go.send(()).unwrap();
    let reply = read_reply(&mut conn);
    assert_eq!((reply.status, reply.body.as_str()), (200, "in time"));
    site.relay.join();
}

#[test]
fn a_caller_on_an_open_connection_is_served_and_told_to_close_it() {
    let site = Site::start(&[Desk::answering("x")]);
    let mut conn = Conn::open(site.relay.front);
    site.relay.tell(Control::Stop);
    wait_for("the balancer is told", || site.relay.ready_status() == 503);
    conn.write(&request("/once/x", ""));
    let reply = read_reply(&mut conn);
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection").as_deref(), Some("close"));
    site.relay.join();
}

#[test]
fn a_reload_cuts_nothing() {
    let site = Site::start(&[Desk::answering("x")]);
    site.relay.tell(Control::Reload);
    assert_eq!(site.ask("/once/x").status, 200);
    assert_eq!(site.relay.ready_status(), 200);
}
