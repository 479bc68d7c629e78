//! Streams of events over real sockets.

use std::sync::mpsc;

use crate::standins::{
    Conn, ScriptedEndpoint, Site, TIMEOUT, event_chunk, request_head, stream_head,
};

const END: &str = "0\r\n\r\n";

fn events(count: u64) -> String {
    (1..=count).map(event_chunk).collect()
}

fn tokens(text: &str) -> Vec<String> {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    data.map(str::to_owned).collect()
}

#[test]
fn events_are_forwarded_as_they_arrive() {
    let (tx, rx) = mpsc::channel::<()>();
    let rx = std::sync::Mutex::new(rx);
    let site = Site::start(&[ScriptedEndpoint::start(move |_, conn| {
        let request = conn.read_request().unwrap();
        conn.write(&[stream_head(&request.id()), event_chunk(1)].concat());
        rx.lock().unwrap().recv().unwrap();
        conn.write(&(event_chunk(2) + END));
    })]);
    let mut conn = Conn::open(site.relay.front);
    conn.write(&request_head("/stream/x", "connection: close\r\n"));
    assert!(conn.read_until("token-1\n\n"));
    tx.send(()).unwrap();
    let text = conn.read_to_end();
    assert_eq!(tokens(&text), ["token-1", "token-2"]);
    assert!(text.ends_with(END));
}

#[test]
fn an_interrupted_stream_has_no_end_and_no_other_bytes() {
    let site = Site::start(&[ScriptedEndpoint::start(|_, conn| {
        let request = conn.read_request().unwrap();
        conn.write(&[stream_head(&request.id()), events(2)].concat());
        conn.close();
    })]);
    let mut conn = Conn::open(site.relay.front);
    conn.write(&request_head("/stream/x", ""));
    let text = conn.read_to_end();
    assert_eq!(tokens(&text), ["token-1", "token-2"]);
    assert!(!text.ends_with(END), "{text}");
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
}

#[test]
fn a_partial_event_is_never_forwarded() {
    let site = Site::start(&[ScriptedEndpoint::start(|_, conn| {
        let request = conn.read_request().unwrap();
        let half = "8\r\nid: 2\nda\r\n".to_owned();
        conn.write(&[stream_head(&request.id()), events(1), half].concat());
        conn.close();
    })]);
    let mut conn = Conn::open(site.relay.front);
    conn.write(&request_head("/stream/x", ""));
    let text = conn.read_to_end();
    assert!(!text.contains("id: 2"), "{text}");
}

#[test]
fn another_endpoint_resumes_after_the_last_event() {
    let half = || {
        ScriptedEndpoint::start(|number, conn| {
            let request = conn.read_request().unwrap();
            let from = request.header("last-event-id").map_or(0, |id| id.parse().unwrap());
            conn.write(&stream_head(&request.id()));
            let upto = if number == 0 && from == 0 { 3 } else { 5 };
            for id in from + 1..=upto {
                conn.write(&event_chunk(id));
            }
            if upto == 5 {
                conn.write(END);
            }
            conn.close();
        })
    };
    let site = Site::start(&[half(), half()]);
    let mut conn = Conn::open(site.relay.front);
    conn.write(&request_head("/resumable/x", "connection: close\r\n"));
    let text = conn.read_to_end();
    assert_eq!(tokens(&text), ["token-1", "token-2", "token-3", "token-4", "token-5"]);
    assert!(text.ends_with(END));
}

#[test]
fn a_caller_that_disconnects_between_two_events_ends_the_stream() {
    let (tx, rx) = mpsc::channel();
    let site = Site::start(&[ScriptedEndpoint::start(move |_, conn| {
        let request = conn.read_request().unwrap();
        conn.write(&[stream_head(&request.id()), event_chunk(1)].concat());
        conn.read_to_end();
        tx.send(()).unwrap();
    })]);
    let mut conn = Conn::open(site.relay.front);
    conn.write(&request_head("/stream/x", ""));
    assert!(conn.read_until("token-1\n\n"));
    drop(conn);
    rx.recv_timeout(TIMEOUT).expect("the endpoint's connection was closed");
}
