//! Request bodies.

use crate::standins::{Conn, ScriptedEndpoint, Site, read_reply, request_head};

#[test]
fn a_body_over_the_limit_is_refused_and_reaches_no_endpoint() {
    let endpoint = ScriptedEndpoint::answering("x");
    let site = Site::start(std::slice::from_ref(&endpoint));
    let mut conn = Conn::open(site.relay.front);
    let len = (1 << 16) + 1;
    let head = request_head("/once/x", &format!("content-length: {len}\r\n"));
    conn.write(&head.replace("GET", "POST"));
    conn.write(&"x".repeat(len));
    assert_eq!(read_reply(&mut conn).status, 413);
    assert!(endpoint.received().is_empty());
}

#[test]
fn a_request_whose_body_ends_early_reaches_no_endpoint() {
    let endpoint = ScriptedEndpoint::answering("x");
    let site = Site::start(std::slice::from_ref(&endpoint));
    let mut conn = Conn::open(site.relay.front);
    conn.write(&request_head("/once/x", "content-length: 10\r\n").replace("GET", "POST"));
    conn.write("half");
    drop(conn);
    assert_eq!(site.exchange("/once/x").status, 200);
    assert_eq!(endpoint.received().len(), 1);
}

#[test]
fn a_request_that_offers_another_protocol_is_answered_without_waiting_for_a_body() {
    let site = Site::start(&[ScriptedEndpoint::answering("x")]);
    for length in ["", "content-length: 0\r\n"] {
        for protocol in ["h2c", "websocket"] {
            let mut conn = Conn::open(site.relay.front);
            let headers = format!("connection: upgrade\r\nupgrade: {protocol}\r\n{length}");
            conn.write(&request_head("/once/x", &headers));
            let reply = read_reply(&mut conn);
            assert_eq!((reply.status, reply.body.as_str()), (200, "x"), "{protocol} {length}");
        }
    }
}
