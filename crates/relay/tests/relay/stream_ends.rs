//! Replies that have no length, so that they end with their connection.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use crate::standins::{
    Conn, ReceivedRequest, ScriptedEndpoint, Site, event_chunk, exchange, full_reply, request_head,
    stream_head,
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

/// Writes the head of a reply without a length, and nothing more.
fn begin_nothing(conn: &mut Conn, request: &ReceivedRequest) {
    conn.write(&stream_head(&request.id()).replace(CHUNKED, "connection: close\r\n"));
}

/// An endpoint that closes each connection after `begin`, and runs on.
fn closing_after(begin: fn(&mut Conn, &ReceivedRequest)) -> ScriptedEndpoint {
    ScriptedEndpoint::start(move |_, conn| {
        let Some(request) = conn.read_request() else { return };
        begin(conn, &request);
        conn.close();
    })
}

/// Answers a request whole: a stream goes on after the last event that the caller has.
fn write_whole(conn: &mut Conn, request: &ReceivedRequest) {
    if !request.head.contains("/resumable/") {
        return conn.write(&full_reply(&request.id(), 200, "the whole answer"));
    }
    let last = request.header("last-event-id").map_or(0, |id| id.parse().unwrap());
    let events: String = (last + 1..=3).map(event_chunk).collect();
    conn.write(&[&stream_head(&request.id()), events.as_str(), END].concat());
}

/// The answer to a request whose first call an endpoint closes after `begin`. All later calls are
/// answered whole.
fn read_after_first(begin: fn(&mut Conn, &ReceivedRequest), path: &'static str) -> String {
    let is_over = Arc::new(AtomicBool::new(false));
    let endpoints = [(); 2].map(|()| {
        let is_over = is_over.clone();
        ScriptedEndpoint::start(move |_, conn| {
            while let Some(request) = conn.read_request() {
                if request.head.contains(path) && !is_over.swap(true, Ordering::SeqCst) {
                    begin(conn, &request);
                    return conn.close();
                }
                write_whole(conn, &request);
            }
        })
    });
    read_stream(&Site::start(&endpoints), path)
}

#[test]
fn a_stream_without_length_and_events_goes_on_elsewhere() {
    let text = read_after_first(begin_nothing, "/resumable/x");
    assert!(text.contains("token-1") && text.ends_with(END), "{text}");
}

#[test]
fn a_stream_without_length_and_events_is_not_whole_where_it_may_not_be_repeated() {
    let text = stream_from(closing_after(begin_nothing));
    assert!(text.starts_with("HTTP/1.1 502 "), "{text}");
}

#[test]
fn a_stream_without_length_that_ends_in_an_event_goes_on_after_the_last_whole_one() {
    let begin = |conn: &mut Conn, request: &ReceivedRequest| {
        begin_nothing(conn, request);
        conn.write("id: 1\ndata: token-1\n\nid: 2\ndata: tok");
    };
    let text = read_after_first(begin, "/resumable/x");
    assert!(text.matches("id: 2\n").count() == 1 && text.ends_with(END), "{text}");
    let text = stream_from(closing_after(begin));
    assert!(text.contains("token-1") && !text.ends_with(END), "{text}");
}

#[test]
fn a_stream_that_another_endpoint_goes_on_with_no_event_is_not_whole() {
    let begin = |conn: &mut Conn, request: &ReceivedRequest| {
        if request.header("last-event-id").is_none() {
            conn.write(&[stream_head(&request.id()), event_chunk(1)].concat());
        } else {
            begin_nothing(conn, request);
        }
    };
    let site = Site::start(&[closing_after(begin), closing_after(begin)]);
    let text = read_stream(&site, "/resumable/x");
    assert!(text.contains("token-1") && !text.ends_with(END), "{text}");
}

#[test]
fn an_empty_answer_without_length_is_asked_for_again_where_it_may_be() {
    let text = read_after_first(begin_nothing, "/idempotent/x");
    assert!(text.ends_with("the whole answer"), "{text}");
    let site = Site::start(&[closing_after(begin_nothing)]);
    assert_eq!(site.exchange("/idempotent/x").status, 502);
}

#[test]
fn an_empty_answer_without_length_to_a_request_that_may_run_once_is_passed_on() {
    let site = Site::start(&[closing_after(begin_nothing)]);
    let reply = site.exchange("/once/x");
    assert_eq!((reply.status, reply.body.as_str()), (200, ""));
}

#[test]
fn an_answer_that_has_no_body_is_whole() {
    let endpoint = closing_after(|conn, request| {
        let reply = full_reply(&request.id(), 204, "");
        conn.write(&reply.replace("content-length: 0\r\n", ""));
    });
    assert_eq!(Site::start(&[endpoint]).exchange("/idempotent/x").status, 204);
}
