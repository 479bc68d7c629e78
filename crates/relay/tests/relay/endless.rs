//! Endpoints that send bytes without end: a call is given up at a bound, and retried.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use peatdeck_relay::surroundings::TableName;

use crate::standins::{
    Conn, MemoryStore, Relay, Reply, ScriptedEndpoint, Site, event_chunk, full_reply, read_reply,
    request_head, stream_head, wait_for,
};

/// Requests of each test.
const REQUESTS: usize = 8;
/// What a connection's buffers in the kernel may take in unread, in bytes.
const SOCKET_BUFFERS: usize = 12 << 20;
/// What an instance may read of a reply, in bytes.
const MAX_REPLY: usize = 16 << 20;
/// The same of a head, of an event, or of the line before a chunk.
const MAX_PART: usize = 1 << 20;
/// Size of the writes of an endless endpoint, in bytes.
const WRITE_SIZE: usize = 16 << 10;

/// What an endpoint sends without end: first `head` once, then `unit` again and again.
struct Endless {
    head: fn(&str) -> String,
    unit: &'static str,
    /// What an instance may read of it, in bytes.
    limit: usize,
}

fn plain_head(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\npeatdeck-request: {id}\r\npeatdeck-seal: s\r\n")
}

/// An endpoint that sends bytes without end in reply to each request, and counts them.
struct EndlessEndpoint {
    endpoint: ScriptedEndpoint,
    sent: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
}

impl EndlessEndpoint {
    fn start(what: &Endless) -> EndlessEndpoint {
        let (sent, open) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (written, running) = (sent.clone(), open.clone());
        let (head, unit) = (what.head, what.unit.repeat(WRITE_SIZE.div_ceil(what.unit.len())));
        let endpoint = ScriptedEndpoint::start(move |_, conn| {
            let Some(request) = conn.read_request() else { return };
            running.fetch_add(1, Ordering::SeqCst);
            conn.write(&head(&request.id()));
            while conn.try_write(&unit) {
                written.fetch_add(unit.len(), Ordering::SeqCst);
            }
            running.fetch_sub(1, Ordering::SeqCst);
        });
        EndlessEndpoint { endpoint, sent, open }
    }
}

/// The whole stream of a sound endpoint, or its plain answer.
fn sound() -> ScriptedEndpoint {
    ScriptedEndpoint::start(|_, conn| {
        while let Some(request) = conn.read_request() {
            if request.head.contains("/idempotent/") {
                conn.write(&full_reply(&request.id(), 200, "sound"));
            } else {
                conn.write(&stream_head(&request.id()));
                conn.write(&format!("{}{}0\r\n\r\n", event_chunk(1), event_chunk(2)));
            }
        }
    })
}

fn exchange(relay: &Relay, path: &str) -> Reply {
    let mut conn = Conn::open(relay.front);
    conn.write(&request_head(path, "connection: close\r\n"));
    read_reply(&mut conn)
}

/// Sends requests at the same time to an instance before an endless and a sound endpoint: all are
/// answered whole, and each call of the endless one is given up at its bound.
fn check(path: &'static str, what: &Endless) {
    let endless = EndlessEndpoint::start(what);
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.add_endpoint("desk-0", "desk", endless.endpoint.addr);
    let relay = Relay::start("own", &store, &[]);
    relay.wait_ready();
    let site = Site { store, relay };
    thread::scope(|scope| {
        let first = scope.spawn(|| exchange(&site.relay, path));
        wait_for("the endless endpoint is called", || !endless.endpoint.received().is_empty());
        let sound = sound();
        site.store.add_endpoint("desk-1", "desk", sound.addr);
        wait_for("the instance knows both endpoints", || {
            site.relay.counter("peatdeck.relay.endpoints_ready") == 2
        });
        let others = (1..REQUESTS).map(|_| scope.spawn(|| exchange(&site.relay, path)));
        let others: Vec<_> = others.collect();
        let first = first.join().unwrap();
        assert!(matches!(first.status, 200 | 502 | 503), "{first:?}");
        for reply in others {
            let reply = reply.join().unwrap();
            assert_eq!(reply.status, 200, "{reply:?}");
            assert!(reply.body.contains("sound") || reply.body.contains("token-2"), "{reply:?}");
        }
        wait_for("all endless replies are given up", || endless.open.load(Ordering::SeqCst) == 0);
        let calls = endless.endpoint.received().len();
        let sent = endless.sent.load(Ordering::SeqCst);
        assert!(sent <= calls * (what.limit + SOCKET_BUFFERS), "{sent} bytes in {calls} calls");
    });
}

fn check_both(what: &Endless) {
    check("/idempotent/x", what);
    check("/resumable/x", what);
}

#[test]
fn a_status_line_without_end_costs_a_retry() {
    check_both(&Endless { head: |_| "HTTP/1.1 200 ".to_owned(), unit: "OK ", limit: MAX_PART });
}

#[test]
fn headers_without_end_cost_a_retry() {
    check_both(&Endless { head: plain_head, unit: "x-more: y\r\n", limit: MAX_PART });
}

#[test]
fn a_header_without_end_costs_a_retry() {
    let head = |id: &str| format!("{}x-long: ", plain_head(id));
    check_both(&Endless { head, unit: "y", limit: MAX_PART });
}

#[test]
fn interim_replies_without_end_cost_a_retry() {
    let unit = "HTTP/1.1 100 Continue\r\n\r\n";
    check_both(&Endless { head: |_| String::new(), unit, limit: MAX_PART });
}

#[test]
fn a_line_before_a_chunk_without_end_costs_a_retry() {
    check_both(&Endless { head: stream_head, unit: "0", limit: MAX_PART });
    let head = |id: &str| format!("{}5;x=", stream_head(id));
    check_both(&Endless { head, unit: "y", limit: MAX_PART });
}

#[test]
fn chunks_without_end_cost_a_retry() {
    let what = Endless { head: stream_head, unit: "8\r\nabcdefgh\r\n", limit: MAX_REPLY };
    check_both(&what);
}

#[test]
fn a_body_longer_than_any_reply_costs_a_retry() {
    let head = |id: &str| format!("{}content-length: 999999999999\r\n\r\n", plain_head(id));
    check_both(&Endless { head, unit: "abcdefgh", limit: MAX_REPLY });
}

#[test]
fn a_body_without_length_or_end_costs_a_retry() {
    let head = |id: &str| format!("{}\r\n", plain_head(id));
    check_both(&Endless { head, unit: "abcdefgh", limit: MAX_REPLY });
}

#[test]
fn an_event_without_end_costs_a_retry() {
    let head = |id: &str| format!("{}10000000\r\nid: 1\ndata: ", stream_head(id));
    check("/resumable/x", &Endless { head, unit: "abcdefgh", limit: MAX_PART });
}

#[test]
fn trailers_without_end_cost_a_retry() {
    let head = |id: &str| format!("{}1\r\nx\r\n0\r\n", stream_head(id));
    check("/idempotent/x", &Endless { head, unit: "x-more: y\r\n", limit: MAX_PART });
}

/// A caller that does not read must not fill the memory of its instance.
#[test]
fn events_without_end_wait_for_their_caller() {
    let unit = "14\r\ndata: abcdefghijkl\n\n\r\n";
    let endless = EndlessEndpoint::start(&Endless { head: stream_head, unit, limit: MAX_PART });
    let site = Site::start(&[endless.endpoint]);
    let mut conn = Conn::open_narrow(site.relay.front);
    conn.write(&request_head("/resumable/x", ""));
    wait_for("the stream has to wait", || site.relay.counter("peatdeck.relay.streams_paused") > 0);
    let sent = endless.sent.load(Ordering::SeqCst);
    assert!(sent <= MAX_PART + SOCKET_BUFFERS, "{sent} bytes");
}
