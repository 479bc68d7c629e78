//! All instances are killed at once while several versions serve: callers take their streams up
//! at others, and none holds events of two versions.

use std::{collections::HashMap, thread, time::Duration};

use peatdeck_relay::{server::Control, surroundings::TableName};

use crate::{
    standins::{Conn, MemoryStore, Relay, ScriptedEndpoint, request_head, stream_head, wait_for},
    stream_versions::{event, versions},
};

/// Events of a stream between two interruptions.
const LEG: u64 = 3;
/// The events of a whole stream, which may be interrupted twice.
const EVENTS: u64 = 8;
const INSTANCES: usize = 3;
const ENDPOINTS_PER_VERSION: usize = 2;
/// Streams that a test begins. If each went on at a version by chance, one test in 10^12 would
/// see none that holds events of two.
const STREAMS: usize = 40;
/// Of the streams that are taken up while endpoints of their version serve, the part that goes
/// on at least.
const GOES_ON: f64 = 0.9;
/// How long endpoints take to begin: longer than instances expect of those that have answered
/// nothing yet, so that each of them is tried.
const RESPONSE_TIME: Duration = Duration::from_millis(60);
/// How long streams have lasted when all instances are killed.
const AGE: Duration = Duration::from_secs(2);
/// How often callers take a stream up before they give up.
const TRIES: usize = 6;
/// The pause before the next try if the refusal does not name a time.
const PAUSE: Duration = Duration::from_millis(300);
/// The longest pause before the next try.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// An endpoint that stops after some events of a stream until its caller leaves. A stream goes
/// on after the event that the request names.
fn pausing(version: &'static str) -> ScriptedEndpoint {
    ScriptedEndpoint::start(move |_, conn| {
        while let Some(request) = conn.read_request() {
            let last = request.header("last-event-id").map_or(0, |id| id.parse().unwrap());
            thread::sleep(RESPONSE_TIME);
            conn.write(&stream_head(&request.id()));
            let end = (last + LEG).min(EVENTS);
            for id in last + 1..=end {
                conn.write(&event(id, version));
            }
            if end < EVENTS {
                conn.read_to_end();
                return;
            }
            conn.write("0\r\n\r\n");
        }
    })
}

/// Instances and the endpoints that their store lists.
struct Site {
    store: MemoryStore,
    relays: Vec<Relay>,
    /// The names of the endpoints of each version.
    endpoints: HashMap<&'static str, Vec<String>>,
    /// Number of times that all instances were started.
    starts: usize,
}

impl Site {
    fn start(versions: &[&'static str]) -> Site {
        let store = MemoryStore::default();
        store.put(TableName::Config, "config", b"1".to_vec());
        let mut site = Site { store, relays: Vec::new(), endpoints: HashMap::new(), starts: 0 };
        versions.iter().for_each(|version| site.add_version(version));
        site.start_relays();
        site.wait_ready();
        // Until then only one of them gets work.
        wait_for("all versions are listed", || site.store.lists_versions("desk", versions));
        site
    }

    fn add_version(&mut self, version: &'static str) {
        for idx in 0..ENDPOINTS_PER_VERSION {
            let name = format!("desk-{version}-{idx}");
            self.store.add_version(&name, "desk", pausing(version).addr, version);
            self.endpoints.entry(version).or_default().push(name);
        }
    }

    /// The endpoints of a version leave. The store keeps no record of them.
    fn remove_version(&mut self, version: &str) {
        for name in self.endpoints.remove(version).unwrap() {
            self.store.write(TableName::Endpoints, &name, None);
        }
        self.store.compact(TableName::Endpoints);
    }

    fn start_relays(&mut self) {
        self.starts += 1;
        let name = |idx| format!("r{}-{idx}", self.starts);
        self.relays =
            (0..INSTANCES).map(|idx| Relay::start(&name(idx), &self.store, &[])).collect();
    }

    /// Waits until all instances have found each other and read the directory.
    fn wait_ready(&self) {
        let count = self.endpoints.values().map(Vec::len).sum::<usize>() as u64;
        for relay in &self.relays {
            relay.wait_ready();
            wait_for("the instance has found its peers", || {
                relay.counter("peatdeck.relay.peers") >= INSTANCES as u64 - 1
            });
            wait_for("the instance has read the directory", || {
                relay.counter("peatdeck.relay.endpoints_ready") == count
            });
        }
    }

    /// Ends all instances at once. From that moment none of them writes to the store, which is
    /// unavailable until the test says otherwise.
    fn kill(&mut self, streams: &mut [Stream]) {
        self.store.set_unavailable(true);
        streams.iter_mut().for_each(|stream| stream.conn.close());
        for relay in &self.relays {
            relay.send_control(Control::Stop);
        }
        std::mem::take(&mut self.relays).into_iter().for_each(Relay::join);
    }

    /// Ends all instances at once and starts others before the same store.
    fn kill_and_restart(&mut self, streams: &mut [Stream]) {
        self.kill(streams);
        self.store.set_unavailable(false);
        self.start_relays();
        self.wait_ready();
    }

    /// Begins streams at all instances. They have lasted for a while when it returns.
    fn begin(&self) -> Vec<Stream> {
        let relays = self.relays.iter().cycle();
        let streams = relays.take(STREAMS).map(Stream::begin).collect();
        thread::sleep(AGE);
        streams
    }

    /// Takes streams up, those that are refused again after a pause at another instance, and
    /// returns those that went on. Panics if one holds events of two versions.
    fn take_up(&self, streams: Vec<Stream>) -> Vec<Stream> {
        let (mut refused, mut went_on) = (streams, Vec::new());
        for number in 0..TRIES {
            let mut pause = Duration::ZERO;
            for (idx, mut stream) in std::mem::take(&mut refused).into_iter().enumerate() {
                match stream.take_up(&self.relays[(number + idx) % INSTANCES]) {
                    TakenUp::GoesOn => went_on.push(stream),
                    TakenUp::Refused(head) => {
                        pause = pause.max(retry_after(&head).unwrap_or(PAUSE));
                        refused.push(stream);
                    }
                }
            }
            thread::sleep(pause.min(MAX_PAUSE));
        }
        went_on
    }

    /// Takes streams up whose versions all serve. Returns those that went on.
    fn take_most_up(&self, streams: Vec<Stream>) -> Vec<Stream> {
        let count = streams.len();
        let went_on = self.take_up(streams);
        assert!(
            went_on.len() as f64 >= GOES_ON * count as f64,
            "{} of {count} went on",
            went_on.len()
        );
        went_on
    }
}

/// A reply to a request that takes a stream up.
enum TakenUp {
    GoesOn,
    /// Refused, with this head of the reply.
    Refused(String),
}

/// A stream as its caller sees it.
struct Stream {
    /// The attempt that brought the first event.
    first: String,
    version: String,
    /// The last event that arrived.
    last: u64,
    conn: Conn,
}

impl Stream {
    fn begin(relay: &Relay) -> Stream {
        let head = request_head("/resumable/x", "");
        let first = head.lines().find_map(|line| line.strip_prefix("peatdeck-request: "));
        let mut conn = Conn::open(relay.front);
        conn.write(&head);
        assert!(conn.read_until(&format!("id: {LEG}\n")), "the stream did not begin");
        let seen = versions(&conn.read_text());
        assert_eq!(seen.len(), 1, "{seen:?}");
        Stream { first: first.unwrap().to_owned(), version: seen[0].clone(), last: LEG, conn }
    }

    /// Takes the stream up after its last event. Panics if it goes on at another version.
    fn take_up(&mut self, relay: &Relay) -> TakenUp {
        let Stream { first, version, last, conn } = self;
        let lines = format!("last-event-id: {last}\r\npeatdeck-first-attempt: {first}\r\n");
        *conn = Conn::open(relay.front);
        conn.write(&request_head("/resumable/x", &lines));
        let head = conn.read_head().expect("a reply");
        if !head.starts_with("HTTP/1.1 200") {
            return TakenUp::Refused(head);
        }
        let end = (*last + LEG).min(EVENTS);
        let is_whole = conn.read_until(&format!("id: {end}\n"));
        let seen = versions(&conn.read_text());
        assert!(seen.iter().all(|it| it == version), "{first}: {version}, then {seen:?}");
        assert!(is_whole, "{first}: broken off");
        *last = end;
        TakenUp::GoesOn
    }
}

fn retry_after(head: &str) -> Option<Duration> {
    let value = head.lines().find_map(|line| line.strip_prefix("retry-after: "))?;
    Some(Duration::from_secs_f64(value.parse().unwrap()))
}

#[test]
fn a_stream_whose_version_left_during_a_common_kill_goes_on_at_no_other() {
    let mut site = Site::start(&["v1", "v2"]);
    let mut streams = site.begin();
    site.kill(&mut streams);
    site.remove_version("v1");
    site.store.set_unavailable(false);
    site.start_relays();
    site.wait_ready();
    let (left, serving): (Vec<_>, Vec<_>) = streams.into_iter().partition(|it| it.version == "v1");
    assert!(!left.is_empty() && !serving.is_empty());
    assert_eq!(site.take_up(left).len(), 0);
    site.take_most_up(serving);
    // New streams begin.
    Stream::begin(&site.relays[0]);
}

#[test]
fn a_stream_whose_version_left_before_a_common_kill_goes_on_at_no_other() {
    let mut site = Site::start(&["v1"]);
    let mut streams = site.begin();
    site.add_version("v2");
    site.wait_ready();
    site.remove_version("v1");
    thread::sleep(AGE);
    site.kill_and_restart(&mut streams);
    assert_eq!(site.take_up(streams).len(), 0);
}

#[test]
fn streams_go_on_after_a_common_kill_while_their_versions_serve() {
    let mut site = Site::start(&["v1", "v2"]);
    let mut streams = site.begin();
    site.kill_and_restart(&mut streams);
    site.take_most_up(streams);
}

#[test]
fn streams_of_three_versions_go_on_after_two_common_kills() {
    let mut site = Site::start(&["v1", "v2", "v3"]);
    let mut streams = site.begin();
    site.kill_and_restart(&mut streams);
    let mut streams = site.take_most_up(streams);
    thread::sleep(AGE);
    site.kill_and_restart(&mut streams);
    let streams = site.take_most_up(streams);
    assert!(streams.iter().all(|stream| stream.last == EVENTS));
}

#[test]
fn a_stream_that_is_refused_while_the_store_is_dark_after_a_common_kill_goes_on_later() {
    let mut site = Site::start(&["v1", "v2"]);
    let mut streams = site.begin();
    site.kill(&mut streams);
    site.start_relays();
    for (number, stream) in streams.iter_mut().enumerate() {
        let TakenUp::Refused(head) = stream.take_up(&site.relays[number % INSTANCES]) else {
            panic!("{} went on", stream.first);
        };
        assert!(retry_after(&head).is_some(), "refused without a time to come back: {head}");
    }
    site.store.set_unavailable(false);
    site.wait_ready();
    site.take_most_up(streams);
}

#[test]
fn no_stream_is_refused_where_a_second_version_never_served() {
    let mut site = Site::start(&["v1"]);
    let mut streams = site.begin();
    let is_at_once = |(number, stream): (usize, &mut Stream)| {
        stream.conn.close();
        matches!(stream.take_up(&site.relays[(number + 1) % INSTANCES]), TakenUp::GoesOn)
    };
    assert!(streams.iter_mut().enumerate().all(is_at_once));
    site.kill_and_restart(&mut streams);
    let relays = site.relays.iter().cycle();
    let mut taken_up = streams.iter_mut().zip(relays).map(|(stream, relay)| stream.take_up(relay));
    assert!(taken_up.all(|it| matches!(it, TakenUp::GoesOn)));
}

#[test]
fn a_stream_goes_on_at_no_other_version_if_the_list_was_lost_during_a_common_kill() {
    let mut site = Site::start(&["v1", "v2"]);
    let mut streams = site.begin();
    site.kill(&mut streams);
    site.remove_version("v1");
    site.store.forget_versions();
    site.store.set_unavailable(false);
    site.start_relays();
    site.wait_ready();
    let (left, serving): (Vec<_>, Vec<_>) = streams.into_iter().partition(|it| it.version == "v1");
    assert!(!left.is_empty() && !serving.is_empty());
    assert_eq!(site.take_up(left).len(), 0);
}
