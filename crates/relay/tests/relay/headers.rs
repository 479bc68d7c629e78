//! What endpoints receive of a request.

use crate::standins::{Conn, ScriptedEndpoint, Site, exchange, read_reply, request_head};

#[test]
fn method_path_query_and_body_are_forwarded_unchanged() {
    let endpoint = ScriptedEndpoint::start(|_, conn| {
        while let Some(request) = conn.read_request() {
            let echo = format!("{} [{}]", request.head.lines().next().unwrap(), request.body);
            conn.write(&crate::standins::full_reply(&request.id(), 200, &echo));
        }
    });
    let site = Site::start(&[endpoint]);
    let mut conn = Conn::open(site.relay.front);
    let head =
        request_head("/once/a%20b?x=%2F&y", "connection: close\r\ntransfer-encoding: chunked\r\n");
    conn.write(&head.replace("GET", "PUT"));
    conn.write("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    let reply = read_reply(&mut conn);
    assert_eq!(reply.body, "PUT /once/a%20b?x=%2F&y HTTP/1.1 [abcde]");
    assert_eq!(reply.header("peatdeck-seal").as_deref(), Some("s"));
}

#[test]
fn an_endpoint_receives_the_team_and_not_the_key() {
    let endpoint = ScriptedEndpoint::answering("x");
    let site = Site::start(std::slice::from_ref(&endpoint));
    let forged =
        "peatdeck-team: forged\r\npeatdeck-endpoint: forged\r\npeatdeck-inputs: forged\r\n";
    assert_eq!(exchange(site.relay.front, "/once/x", forged).status, 200);
    let head = endpoint.received().pop().unwrap();
    assert!(head.contains("peatdeck-team: markets\r\n"), "{head}");
    assert!(head.contains("peatdeck-endpoint: desk-0\r\n"), "{head}");
    assert!(!head.contains("forged"), "{head}");
    assert!(!head.contains("key-1"), "{head}");
    assert!(!head.contains("connection: close"), "{head}");
}

#[test]
fn headers_that_control_endpoints_are_not_taken_from_callers() {
    let endpoint = ScriptedEndpoint::answering("x");
    let site = Site::start(std::slice::from_ref(&endpoint));
    let forged = "peatdeck-hold: forged\r\npeatdeck-from: 10.0.0.1:80/forged\r\n\
                  peatdeck-rank: forged\r\npeatdeck-seal: forged\r\n";
    assert_eq!(exchange(site.relay.front, "/once/x", forged).status, 200);
    let head = endpoint.received().pop().unwrap();
    assert!(!head.contains("forged"), "{head}");
}

#[test]
fn an_endpoint_receives_no_more_time_than_the_caller_has() {
    let endpoint = ScriptedEndpoint::answering("x");
    let site = Site::start(std::slice::from_ref(&endpoint));
    site.exchange("/once/x");
    let head = endpoint.received().pop().unwrap();
    let line = head.lines().find_map(|line| line.strip_prefix("peatdeck-deadline-ms: ")).unwrap();
    let left: u64 = line.parse().unwrap();
    assert!((1..=20_000).contains(&left), "{left}");
}

#[test]
fn requests_without_a_route_a_key_or_an_id_are_refused() {
    let site = Site::start(&[ScriptedEndpoint::answering("x")]);
    assert_eq!(site.exchange("/none/x").status, 404);
    let mut conn = Conn::open(site.relay.front);
    conn.write("GET /once/x HTTP/1.1\r\nhost: fleet.example\r\npeatdeck-request: 1\r\nconnection: close\r\n\r\n");
    assert_eq!(read_reply(&mut conn).status, 401);
    let mut conn = Conn::open(site.relay.front);
    conn.write("GET /once/x HTTP/1.1\r\nhost: fleet.example\r\nconnection: close\r\n\r\n");
    assert_eq!(read_reply(&mut conn).status, 400);
}

#[test]
fn a_request_smuggled_with_two_lengths_reaches_no_endpoint() {
    let endpoint = ScriptedEndpoint::answering("x");
    let site = Site::start(std::slice::from_ref(&endpoint));
    let mut conn = Conn::open(site.relay.front);
    let smuggling = "content-length: 4\r\ntransfer-encoding: chunked\r\n";
    conn.write(&request_head("/once/x", smuggling).replace("GET", "POST"));
    conn.write("0\r\n\r\nGET /once/smuggled HTTP/1.1\r\nhost: fleet.example\r\npeatdeck-request: s\r\npeatdeck-key: key-1\r\n\r\n");
    conn.read_to_end();
    let smuggled = endpoint.received().iter().filter(|head| head.contains("smuggled")).count();
    assert_eq!(smuggled, 0);
}

/// Guards against an abort of the instance: the target of such a request begins with its query.
#[test]
fn a_full_address_without_a_path_is_forwarded_with_the_root_path() {
    let endpoint = ScriptedEndpoint::answering("x");
    let site = Site::start(std::slice::from_ref(&endpoint));
    let mut conn = Conn::open(site.relay.front);
    let head = request_head("http://all.example?x=1", "connection: close\r\n");
    conn.write(&head.replace("fleet.example", "all.example"));
    assert_eq!(read_reply(&mut conn).status, 200);
    let received = endpoint.received().pop().unwrap();
    assert!(received.starts_with("GET /?x=1 HTTP/1.1\r\n"), "{received}");
    assert_eq!(site.exchange("/once/x").status, 200);
}
