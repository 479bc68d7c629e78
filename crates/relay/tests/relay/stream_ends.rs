//! Replies that have no length, so that they end with their connection.

use std::thread;

use crate::standins::{
    Conn, ReceivedRequest, ScriptedEndpoint, Site, exchange, full_reply, request_head, stream_head,
};

/// What ends a whole reply to a caller.
const END: &str = "0\r\n\r\n";
/// The header of a stream that is sent in chunks.
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Writes the head of a reply without a length and two events.
fn begin_unframed(conn: &mut Conn, request: &ReceivedRequest) {
    let head = stream_head(&request.id());
    assert!(head.contains(CHUNKED), "{head}");
    conn.write(&head.replace(CHUNKED, "connection: close\r\n"));
    conn.write("id: 1\ndata: token-1\n\nid: 2\ndata: token-2\n\n");
}

/// Writes the head of a reply without a length and half of its body.
fn begin_answer(conn: &mut Conn, request: &ReceivedRequest) {
    let reply = full_reply(&request.id(), 200, "half of the answer");
    conn.write(&reply.replace("content-length: 18", "connection: close"));
}

fn stream_from(endpoint: ScriptedEndpoint) -> String {
    read_stream(&Site::start(&[endpoint]), "/stream/x")
}

fn read_stream(site: &Site, path: &str) -> String {
    let mut conn = Conn::open(site.relay.front);
    conn.write(&request_head(path, "connection: close\r\n"));
    conn.read_to_end()
}

/// A stream from an endpoint that ends within it and is listening again when the end is read. The
/// instance has had a second connection to it from before.
fn stream_over_restart(path: &str) -> String {
    let endpoint = ScriptedEndpoint::restarting_after("/last", begin_unframed);
    let site = Site::start(&[endpoint]);
    let front = site.relay.front;
    let warm = ["1", "2"].map(|name| {
        thread::spawn(move || exchange(front, &format!("/idempotent/warm/{name}"), ""))
    });
    for request in warm {
        assert_eq!(request.join().unwrap().status, 200);
    }
    read_stream(&site, path)
}

#[test]
fn a_stream_that_is_closed_by_its_endpoints_end_is_not_taken_for_whole() {
    let text = stream_from(ScriptedEndpoint::crashing_after("/stream/", begin_unframed));
    assert!(text.contains("token-2"), "{text}");
    assert!(!text.ends_with(END), "{text}");
}

#[test]
fn a_stream_without_length_is_whole_if_its_endpoint_closes_it_and_stays() {
    let endpoint = ScriptedEndpoint::start(|_, conn| {
        let Some(request) = conn.read_request() else { return };
        begin_unframed(conn, &request);
        conn.close();
    });
    let text = stream_from(endpoint);
    assert!(text.contains("token-2"), "{text}");
    assert!(text.ends_with(END), "{text}");
}

#[test]
fn a_stream_whose_endpoint_ends_and_listens_again_is_not_taken_for_whole() {
    for path in ["/resumable/last", "/stream/last"] {
        let text = stream_over_restart(path);
        assert!(text.contains("token-2"), "{text}");
        assert!(!text.ends_with(END), "{text}");
    }
}

#[test]
fn an_answer_that_is_closed_by_its_endpoints_end_is_not_taken_for_whole() {
    let site = Site::start(&[ScriptedEndpoint::crashing_after("/last", begin_answer)]);
    assert_eq!(site.exchange("/idempotent/last").status, 502);
}
