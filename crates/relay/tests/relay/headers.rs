//! What endpoints see of a request.

use crate::standins::{Conn, Desk, Site, ask, read_reply, request};

#[test]
fn method_path_query_and_body_go_through_untouched() {
    let desk = Desk::start(|_, conn| {
        while let Some(request) = conn.read_request() {
            let echo = format!("{} [{}]", request.head.lines().next().unwrap(), request.body);
            conn.write(&crate::standins::whole(&request.id(), 200, &echo));
        }
    });
    let site = Site::start(&[desk]);
    let mut conn = Conn::open(site.relay.front);
    let head =
        request("/once/a%20b?x=%2F&y", "connection: close\r\ntransfer-encoding: chunked\r\n");
    conn.write(&head.replace("GET", "PUT"));
    conn.write("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    let reply = read_reply(&mut conn);
    assert_eq!(reply.body, "PUT /once/a%20b?x=%2F&y HTTP/1.1 [abcde]");
    assert_eq!(reply.header("peatdeck-seal").as_deref(), Some("s"));
}

#[test]
fn an_endpoint_sees_the_team_and_not_the_key() {
    let desk = Desk::answering("x");
    let site = Site::start(std::slice::from_ref(&desk));
    let forged =
        "peatdeck-team: forged\r\npeatdeck-endpoint: forged\r\npeatdeck-inputs: forged\r\n";
    assert_eq!(ask(site.relay.front, "/once/x", forged).status, 200);
    let head = desk.seen().pop().unwrap();
    assert!(head.contains("peatdeck-team: markets\r\n"), "{head}");
    assert!(head.contains("peatdeck-endpoint: desk-0\r\n"), "{head}");
    assert!(!head.contains("forged"), "{head}");
    assert!(!head.contains("key-1"), "{head}");
    assert!(!head.contains("connection: close"), "{head}");
}

#[test]
fn a_caller_does_not_steer_an_endpoint() {
    let desk = Desk::answering("x");
    let site = Site::start(std::slice::from_ref(&desk));
    let forged = "peatdeck-hold: forged\r\npeatdeck-from: 10.0.0.1:80/forged\r\n\
                  peatdeck-rank: forged\r\npeatdeck-seal: forged\r\n";
    assert_eq!(ask(site.relay.front, "/once/x", forged).status, 200);
    let head = desk.seen().pop().unwrap();
    assert!(!head.contains("forged"), "{head}");
}

#[test]
fn an_endpoint_gets_no_more_time_than_the_caller_has() {
    let desk = Desk::answering("x");
    let site = Site::start(std::slice::from_ref(&desk));
    site.ask("/once/x");
    let head = desk.seen().pop().unwrap();
    let line = head.lines().find_map(|line| line.strip_prefix("peatdeck-deadline-ms: ")).unwrap();
    let left: u64 = line.parse().unwrap();
    assert!((1..=20_000).contains(&left), "{left}");
}

#[test]
fn who_asks_for_nothing_known_is_told_so() {
    let site = Site::start(&[Desk::answering("x")]);
    assert_eq!(site.ask("/none/x").status, 404);
    let mut conn = Conn::open(site.relay.front);
    conn.write("GET /once/x HTTP/1.1\r\nhost: fleet.example\r\npeatdeck-request: 1\r\nconnection: close\r\n\r\n");
    assert_eq!(read_reply(&mut conn).status, 401);
    let mut conn = Conn::open(site.relay.front);
    conn.write("GET /once/x HTTP/1.1\r\nhost: fleet.example\r\nconnection: close\r\n\r\n");
    assert_eq!(read_reply(&mut conn).status, 400);
}

#[test]
fn a_request_with_two_lengths_reaches_no_endpoint() {
    let desk = Desk::answering("x");
    let site = Site::start(std::slice::from_ref(&desk));
    let mut conn = Conn::open(site.relay.front);
    let smuggling = "content-length: 4\r\ntransfer-encoding: chunked\r\n";
    conn.write(&request("/once/x", smuggling).replace("GET", "POST"));
    conn.write("0\r\n\r\nGET /once/smuggled HTTP/1.1\r\nhost: fleet.example\r\npeatdeck-request: s\r\npeatdeck-key: key-1\r\n\r\n");
    conn.read_to_end();
    let smuggled = desk.seen().iter().filter(|head| head.contains("smuggled")).count();
    assert_eq!(smuggled, 0);
}
