//! Replies that their endpoints end in their heads, or right after them.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use peatdeck_relay::{
    native::{PiecesBody, ResultBody, ResultsBody},
    surroundings::TableName,
};

use crate::standins::{
    Conn, Cut, EndpointLinks, MemoryStore, ReceivedRequest, Relay, ScriptedEndpoint, event_chunk,
    request_head, wait_for,
};

/// Number of endpoints, so that some are usable while others are paused after a failure.
const ENDPOINTS: usize = 12;
/// Of so many calls one is broken.
const INTERVAL: usize = 2;
/// Requests that are made for each break at most.
const MAX_REQUESTS: usize = 20;
/// The whole answer to a request that is not a stream.
const ANSWER: &str = "the whole answer";
/// What ends a whole reply in chunks.
const END: &str = "0\r\n\r\n";
/// Only one of these tests runs at a time, to leave processors to the others.
static TURN: Mutex<()> = Mutex::new(());
/// Headers for a request with stages.
const PIECES: &str = "peatdeck-pieces: 2\r\npeatdeck-piece-key: k\r\n";

/// No head has more bytes.
const HEAD_BYTES: usize = 160;
/// The last bytes of a head that end it: two line ends.
const LAST_BYTES: usize = 5;

/// How an endpoint ends a reply early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
    HalfClose,
}

const ENDINGS: [Ending; 3] = [Ending::Close, Ending::Reset, Ending::HalfClose];

/// How the head of a reply states where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    /// A head that begins after an interim reply.
    Interim,
    /// It does not state it.
    None,
    /// It names a coding that does not end by itself.
    Identity,
    /// The head is of a protocol version without chunks.
    Old,
}

const FRAMINGS: [Framing; 6] = [
    Framing::Length,
    Framing::Chunks,
    Framing::Interim,
    Framing::None,
    Framing::Identity,
    Framing::Old,
];

impl Framing {
    fn has_length(self) -> bool {
        matches!(self, Framing::Length | Framing::Chunks | Framing::Interim)
    }

    /// A head; with an empty id it names no request.
    fn head(self, id: &str, content_type: &str) -> String {
        let request = if id.is_empty() { "" } else { &format!("peatdeck-request: {id}\r\n") };
        let (interim, line) = match self {
            Framing::Length => ("", "content-length: 16\r\n"),
            Framing::Chunks => ("", "transfer-encoding: chunked\r\n"),
            Framing::Interim => ("HTTP/1.1 100 Continue\r\n\r\n", "content-length: 16\r\n"),
            Framing::None => ("", ""),
            Framing::Identity => ("", "transfer-encoding: identity\r\n"),
            Framing::Old => ("", "transfer-encoding: chunked\r\n"),
        };
        let version = if self == Framing::Old { "1.0" } else { "1.1" };
        format!(
            "{interim}HTTP/{version} 200 OK\r\n{line}content-type: {content_type}\r\n{request}peatdeck-seal: s\r\n\r\n"
        )
    }
}

/// One break: the reply ends so many bytes before the end of its head.
#[derive(Debug, Clone, Copy)]
struct Break {
    ending: Ending,
    framing: Framing,
    missing: usize,
}

/// A break at each byte of the head, by each framing and ending in turn, and at its last bytes and
/// right after it by all of them.
fn breaks(is_after_head: bool) -> Vec<Break> {
    let kinds: Vec<_> =
        FRAMINGS.iter().flat_map(|it| ENDINGS.map(|ending| (*it, ending))).collect();
    let part = |(framing, ending), missing| Break { ending, framing, missing };
    let mut breaks = Vec::new();
    for (missing, kind) in (LAST_BYTES..HEAD_BYTES).zip(kinds.iter().cycle()) {
        breaks.push(part(*kind, missing));
    }
    for missing in 0..LAST_BYTES {
        let is_played = |framing: Framing| missing > 0 || framing.has_length() || is_after_head;
        let kinds = kinds.iter().filter(|(framing, _)| is_played(*framing));
        breaks.extend(kinds.map(|kind| part(*kind, missing)));
    }
    breaks
}

/// The breaks that are left, and the calls that were made so far.
#[derive(Clone, Default)]
struct Script(Arc<Mutex<(Vec<Break>, usize)>>);

impl Script {
    fn new(breaks: Vec<Break>) -> Script {
        Script(Arc::new(Mutex::new((breaks, 0))))
    }

    /// What the next call is broken with, if it is.
    fn next(&self) -> Option<Break> {
        let (breaks, calls) = &mut *self.0.lock().unwrap();
        *calls += 1;
        if *calls % INTERVAL == 0 { breaks.pop() } else { None }
    }

    fn is_over(&self) -> bool {
        self.0.lock().unwrap().0.is_empty()
    }
}

/// Answers a request, or breaks off. Returns whether the connection is still open.
fn answer(conn: &mut Conn, request: &ReceivedRequest, script: &Script, answer: &str) -> bool {
    let (id, content_type) = (request.id(), content_type(request));
    let is_probe = request.head.starts_with("GET / ");
    let Some(part) = script.next().filter(|_| !is_probe) else {
        let framing = if answer.ends_with(END) { Framing::Chunks } else { Framing::Length };
        let length = format!("content-length: {}", answer.len());
        let head = framing.head(&id, content_type).replace("content-length: 16", &length);
        return conn.try_write(&[&head, answer].concat());
    };
    let head = part.framing.head(&id, content_type);
    conn.write(&head[..head.len().saturating_sub(part.missing)]);
    match part.ending {
        Ending::Close => conn.close(),
        Ending::Reset => conn.reset(),
        Ending::HalfClose => conn.half_close(),
    }
    false
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/stream/") || path.starts_with("/resumable/")
}

fn content_type(request: &ReceivedRequest) -> &'static str {
    let path = request.head.split(' ').nth(1).unwrap();
    if is_stream(path) { "text/event-stream" } else { "text/plain" }
}

/// The whole body of a stream.
fn events() -> String {
    [&event_chunk(1), &event_chunk(2), END].concat()
}

fn desk(script: &Script) -> ScriptedEndpoint {
    let script = script.clone();
    ScriptedEndpoint::start(move |_, conn| {
        while let Some(request) = conn.read_request() {
            let path = request.head.split(' ').nth(1).unwrap();
            let body = if is_stream(path) { events() } else { ANSWER.to_owned() };
            if !answer(conn, &request, &script, &body) {
                return;
            }
        }
    })
}

/// An endpoint that runs pieces, whose replies bear no id.
fn maker(script: &Script) -> ScriptedEndpoint {
    let script = script.clone();
    ScriptedEndpoint::start(move |_, conn| {
        while let Some(mut request) = conn.read_request() {
            let body = match request.head.starts_with("POST /v1/pieces ") {
                true => results(&request.body),
                false => "{}".to_owned(),
            };
            request.head = request.head.replace("peatdeck-request", "x");
            let is_open = answer(conn, &request, &script, &body);
            if !is_open {
                return;
            }
        }
    })
}

fn results(body: &str) -> String {
    let body: PiecesBody = serde_json::from_str(body).unwrap();
    let handle = |number| format!("127.0.0.1:1/result-{number}").into();
    let results = body.pieces.iter().map(|piece| ResultBody::Made(handle(piece.number)));
    serde_json::to_string(&ResultsBody { results: results.collect() }).unwrap()
}

fn store(desks: &[ScriptedEndpoint], makers: &[ScriptedEndpoint]) -> MemoryStore {
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    for (service, endpoints) in [("desk", desks), ("maker", makers)] {
        for (idx, endpoint) in endpoints.iter().enumerate() {
            store.add_endpoint(&format!("{service}-{idx}"), service, endpoint.addr);
        }
    }
    store
}

/// Sends a request, and returns all that comes until the connection ends.
fn ask(front: SocketAddr, path: &str, headers: &str) -> String {
    let mut conn = Conn::open(front);
    conn.write(&request_head(path, &format!("connection: close\r\n{headers}")));
    conn.read_to_end()
}

/// Checks that an answer which looks whole is. Returns whether it is.
fn check(text: &str, path: &str) -> bool {
    let (head, body) = text.split_once("\r\n\r\n").expect("each request gets an answer");
    let status: u16 = head.split(' ').nth(1).unwrap().parse().unwrap();
    if status != 200 {
        assert!(status == 502 || status == 503, "{text}");
        return false;
    }
    if !is_stream(path) {
        assert_eq!(body, ANSWER, "{text}");
        return true;
    }
    let is_ended = text.ends_with(END);
    assert!(!is_ended || body == events(), "{text}");
    is_ended
}

/// Sends requests until all breaks have been played.
fn play(front: SocketAddr, path: &str, headers: &str, script: &Script, count: usize) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut served = 0;
    for _ in 0..count * MAX_REQUESTS {
        if script.is_over() {
            break;
        }
        served += usize::from(check(&ask(front, path, headers), path));
    }
    assert!(script.is_over(), "not all breaks were played; {served} requests were served");
    assert!(served > 0);
}

fn check_route(path: &str, is_after_head: bool) -> Vec<ScriptedEndpoint> {
    let breaks = breaks(is_after_head);
    let count = breaks.len();
    let script = Script::new(breaks);
    let desks: Vec<_> = (0..ENDPOINTS).map(|_| desk(&script)).collect();
    let relay = Relay::start("own", &store(&desks, &[]), &[]);
    relay.wait_ready();
    play(relay.front, path, "", &script, count);
    desks
}

#[test]
fn a_break_in_the_head_of_a_repeatable_reply_is_not_a_whole_answer() {
    check_route("/idempotent/x", true);
}

#[test]
fn a_break_in_the_head_of_a_resumable_stream_is_not_a_whole_stream() {
    check_route("/resumable/x", true);
}

#[test]
fn a_break_in_the_head_of_a_stream_is_not_a_whole_stream() {
    check_route("/stream/x", true);
}

#[test]
fn a_break_in_the_head_of_a_reply_that_may_run_once_is_not_repeated() {
    let desks = check_route("/once/x", false);
    let heads = desks.iter().flat_map(ScriptedEndpoint::received);
    let ids = heads.filter(|head| head.starts_with("GET /once/"));
    let mut seen = HashSet::new();
    for head in ids {
        let id = head.lines().find(|line| line.starts_with("peatdeck-request")).unwrap().to_owned();
        assert!(seen.insert(id), "a request was sent twice: {head}");
    }
}

#[test]
fn a_break_in_the_head_of_results_gives_no_stage_a_wrong_input() {
    let breaks = breaks(true);
    let count = breaks.len();
    let script = Script::new(breaks);
    let desks = [ScriptedEndpoint::answering(ANSWER), ScriptedEndpoint::answering(ANSWER)];
    let makers: Vec<_> = (0..ENDPOINTS).map(|_| maker(&script)).collect();
    let relay = Relay::start("own", &store(&desks, &makers), &[]);
    relay.wait_ready();
    play(relay.front, "/staged/x", PIECES, &script, count);
    for head in desks.iter().flat_map(ScriptedEndpoint::received) {
        let inputs = "peatdeck-inputs: 127.0.0.1:1/result-0,127.0.0.1:1/result-1";
        assert!(head.starts_with("GET / ") || head.contains(inputs), "{head}");
    }
}

#[test]
fn a_break_in_a_head_that_comes_through_a_peer_is_not_a_whole_answer() {
    let (script, links) = (Script::default(), EndpointLinks::default());
    let desks: Vec<_> = (0..ENDPOINTS).map(|_| desk(&script)).collect();
    let store = store(&desks, &[]);
    let own = Relay::builder("own", &store).endpoint_links(&links).start();
    let peer = Relay::start("peer", &store, &[]);
    for relay in [&own, &peer] {
        relay.wait_ready();
        wait_for("the instance has found its peer", || relay.counter("peatdeck.relay.peers") == 1);
    }
    links.cut(Cut::Refuse);
    let detours = || own.counter("peatdeck.relay.detours");
    wait_for("the peer makes the calls", || {
        check(&ask(own.front, "/idempotent/x", ""), "/idempotent/x") && detours() > 0
    });
    for path in ["/idempotent/x", "/resumable/x", "/stream/x"] {
        let breaks: Vec<_> = breaks(true).into_iter().filter(|it| it.missing % 5 == 0).collect();
        let count = breaks.len();
        script.0.lock().unwrap().0 = breaks;
        let before = detours();
        play(own.front, path, "", &script, count);
        assert!(detours() >= before + count as u64, "{path}");
    }
}
