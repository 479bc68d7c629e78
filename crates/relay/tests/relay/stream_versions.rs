//! Streams of a service whose endpoints have several versions: none holds events of two.

use std::{
    thread,
    time::{Duration, Instant},
};

use peatdeck_relay::{server::Control, surroundings::TableName};

use crate::standins::{
    Conn, MemoryStore, Relay, ScriptedEndpoint, exchange, read_reply, request_head, stream_head,
    wait_for,
};

/// The events of a whole stream.
const EVENTS: u64 = 8;
/// The last event of a stream that an endpoint breaks off.
const BREAK_AFTER: u64 = 3;
/// Streams that a test begins. If each went on at a version by chance, one in 16 million tests
/// would see none that holds events of two.
const STREAMS: usize = 24;
/// Longest time of a refusal that is known at once: a question to the peers, on a busy machine.
const AT_ONCE: Duration = Duration::from_millis(1500);
/// Time after which an endpoint whose entry has disappeared is not used any more.
const ENTRY_GRACE: Duration = Duration::from_secs(2);

/// An event that names the version that wrote it, as a chunk.
pub fn event(id: u64, version: &str) -> String {
    let event = format!("id: {id}\ndata: {version}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// An endpoint whose streams begin after the event that the request names. It breaks off each
/// stream that begins with the first event.
fn breaking(version: &'static str) -> ScriptedEndpoint {
    endpoint(version, |conn| conn.close())
}

/// An endpoint that stops in the middle of each stream that begins with the first event, until
/// its caller leaves.
fn pausing(version: &'static str) -> ScriptedEndpoint {
    endpoint(version, |conn| drop(conn.read_to_end()))
}

fn endpoint(version: &'static str, interrupt: fn(&mut Conn)) -> ScriptedEndpoint {
    ScriptedEndpoint::start(move |_, conn| {
        while let Some(request) = conn.read_request() {
            let last = request.header("last-event-id").map(|id| id.parse().unwrap());
            conn.write(&stream_head(&request.id()));
            let end = if last.is_none() { BREAK_AFTER } else { EVENTS };
            for id in last.unwrap_or(0) + 1..=end {
                conn.write(&event(id, version));
            }
            if last.is_none() {
                interrupt(conn);
                return;
            }
            conn.write("0\r\n\r\n");
        }
    })
}

/// The versions of the events in a reply, in order and without repetitions.
pub fn versions(text: &str) -> Vec<String> {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut versions: Vec<_> = data.map(str::to_owned).collect();
    versions.dedup();
    versions
}

/// Instances and the endpoints that their store lists.
struct Site {
    store: MemoryStore,
    relays: Vec<Relay>,
    endpoints: Vec<ScriptedEndpoint>,
}

impl Site {
    /// Starts instances before two endpoints of each version.
    fn start(
        instances: usize,
        versions: &[&'static str],
        start: fn(&'static str) -> ScriptedEndpoint,
    ) -> Site {
        let store = MemoryStore::default();
        store.put(TableName::Config, "config", b"1".to_vec());
        let mut site = Site { store, relays: Vec::new(), endpoints: Vec::new() };
        for version in versions {
            site.add_endpoint(version, start(version));
            site.add_endpoint(version, start(version));
        }
        site.start_relays(instances, "r");
        site
    }

    fn add_endpoint(&mut self, version: &str, endpoint: ScriptedEndpoint) {
        let name = format!("desk-{}", self.endpoints.len());
        self.store.add_version(&name, "desk", endpoint.addr, version);
        self.endpoints.push(endpoint);
    }

    fn start_relays(&mut self, count: usize, prefix: &str) {
        let start = |idx| Relay::start(&format!("{prefix}{idx}"), &self.store, &[]);
        self.relays = (0..count).map(start).collect();
        for relay in &self.relays {
            relay.wait_ready();
            wait_for("the instance has found its peers", || {
                relay.counter("peatdeck.relay.peers") >= count as u64 - 1
            });
            self.wait_ready_endpoints(relay, self.endpoints.len());
        }
    }

    /// Waits until an instance has read the entries of so many endpoints.
    fn wait_ready_endpoints(&self, relay: &Relay, count: usize) {
        wait_for("the instance has read the directory", || {
            relay.counter("peatdeck.relay.endpoints_ready") == count as u64
        });
    }

    /// Begins streams at the first instance, all at once, so that all endpoints get some. Their
    /// callers stay.
    fn begin(&self) -> Vec<Begun> {
        (0..STREAMS).map(|_| Begun::new(&self.relays[0])).collect()
    }

    /// Has the callers of streams leave, and takes each up at the other instances in turn.
    /// Returns how many went on; panics if one did at another version.
    fn count_taken_up(&self, begun: Vec<Begun>) -> usize {
        let others = &self.relays[1..];
        let went_on = begun.into_iter().enumerate().filter(|(number, stream)| {
            let Begun { id, version, .. } = stream;
            let (status, versions) = take_up(&others[number % others.len()], id);
            assert!(versions.iter().all(|it| it == version), "{id}: {version}, then {versions:?}");
            status == 200
        });
        went_on.count()
    }

    /// Has the callers of streams leave, stops all instances and starts others.
    fn replace_relays(&mut self, begun: &mut [Begun]) {
        begun.iter_mut().for_each(|stream| stream.conn.close());
        for relay in std::mem::take(&mut self.relays) {
            relay.send_control(Control::Stop);
            relay.join();
        }
        self.start_relays(3, "s");
    }
}

/// A stream that has brought its first events.
struct Begun {
    id: String,
    version: String,
    conn: Conn,
}

impl Begun {
    fn new(relay: &Relay) -> Begun {
        let head = request_head("/resumable/x", "");
        let id = head.lines().find_map(|line| line.strip_prefix("peatdeck-request: "));
        let mut conn = Conn::open(relay.front);
        conn.write(&head);
        assert!(conn.read_until(&format!("id: {BREAK_AFTER}\n")), "the stream did not begin");
        let seen = versions(&conn.read_text());
        assert_eq!(seen.len(), 1, "{seen:?}");
        Begun { id: id.unwrap().to_owned(), version: seen[0].clone(), conn }
    }
}

/// Takes a stream up at an instance. Returns the status and the versions of its events.
fn take_up(relay: &Relay, id: &str) -> (u16, Vec<String>) {
    let headers = format!("last-event-id: {BREAK_AFTER}\r\npeatdeck-first-attempt: {id}\r\n");
    let reply = exchange(relay.front, "/resumable/x", &headers);
    (reply.status, versions(&reply.body))
}

#[test]
fn an_answer_whose_endpoint_breaks_off_never_goes_on_at_another_version() {
    let site = Site::start(1, &["v1", "v2"], breaking);
    let front = site.relays[0].front;
    let mut whole = 0;
    for _ in 0..STREAMS {
        let mut conn = Conn::open(front);
        conn.write(&request_head("/resumable/x", "connection: close\r\n"));
        let reply = read_reply(&mut conn);
        let seen = versions(&reply.body);
        assert_eq!(seen.len(), 1, "{seen:?}");
        whole += usize::from(reply.body.contains(&format!("id: {EVENTS}\n")));
    }
    assert!(whole * 2 >= STREAMS, "{whole} of {STREAMS} were whole");
}

#[test]
fn a_stream_taken_up_at_another_instance_never_goes_on_at_another_version() {
    let site = Site::start(4, &["v1", "v2"], pausing);
    let went_on = site.count_taken_up(site.begin());
    assert!(went_on * 2 >= STREAMS, "{went_on} of {STREAMS} went on");
}

#[test]
fn a_stream_that_began_before_a_second_version_came_never_goes_on_there() {
    let mut site = Site::start(3, &["v1"], pausing);
    let begun = site.begin();
    for _ in 0..2 {
        site.add_endpoint("v2", pausing("v2"));
    }
    for relay in &site.relays {
        site.wait_ready_endpoints(relay, 4);
    }
    let went_on = site.count_taken_up(begun);
    assert!(went_on * 2 >= STREAMS, "{went_on} of {STREAMS} went on");
}

#[test]
fn a_stream_that_nobody_remembers_is_refused_while_two_versions_serve() {
    let mut site = Site::start(3, &["v1", "v2"], pausing);
    let mut begun = site.begin();
    site.replace_relays(&mut begun);
    site.store.forget_streams();
    let started = Instant::now();
    assert_eq!(site.count_taken_up(begun), 0);
    assert!(started.elapsed() < AT_ONCE * STREAMS as u32, "{:?}", started.elapsed());
    // New streams begin.
    Begun::new(&site.relays[1]);
}

#[test]
fn a_stream_goes_on_after_all_instances_have_restarted_where_one_version_serves() {
    let mut site = Site::start(3, &["v1"], pausing);
    let mut begun = site.begin();
    site.replace_relays(&mut begun);
    assert_eq!(site.count_taken_up(begun), STREAMS);
}

#[test]
fn a_stream_whose_version_has_left_is_refused_at_once() {
    let mut site = Site::start(3, &["v1"], pausing);
    let begun = site.begin();
    for _ in 0..2 {
        site.add_endpoint("v2", pausing("v2"));
    }
    for name in ["desk-0", "desk-1"] {
        site.store.write(TableName::Endpoints, name, None);
    }
    for relay in &site.relays {
        site.wait_ready_endpoints(relay, 2);
    }
    // An entry that disappears may have expired, so its endpoint is used for a while.
    thread::sleep(ENTRY_GRACE);
    let started = Instant::now();
    assert_eq!(site.count_taken_up(begun), 0);
    assert!(started.elapsed() < AT_ONCE * STREAMS as u32, "{:?}", started.elapsed());
}
