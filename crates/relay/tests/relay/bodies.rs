//! Bodies of callers.

use crate::standins::{Conn, Desk, Site, read_reply, request};

#[test]
fn a_body_over_the_limit_is_refused_and_reaches_nobody() {
    let desk = Desk::answering("x");
    let site = Site::start(std::slice::from_ref(&desk));
    let mut conn = Conn::open(site.relay.front);
    let len = (1 << 16) + 1;
    let head = request("/once/x", &format!("content-length: {len}\r\n"));
    conn.write(&head.replace("GET", "POST"));
    conn.write(&"x".repeat(len));
    assert_eq!(read_reply(&mut conn).status, 413);
    assert!(desk.seen().is_empty());
}

#[test]
fn a_body_that_ends_early_reaches_nobody() {
    let desk = Desk::answering("x");
    let site = Site::start(std::slice::from_ref(&desk));
    let mut conn = Conn::open(site.relay.front);
    conn.write(&request("/once/x", "content-length: 10\r\n").replace("GET", "POST"));
    conn.write("half");
    drop(conn);
    assert_eq!(site.ask("/once/x").status, 200);
    assert_eq!(desk.seen().len(), 1);
}
