//! Stand-ins: a store in memory, endpoints that follow a script, callers that
//! write and read raw bytes.

use std::{
    collections::HashMap,
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};

use futures::channel::mpsc::{UnboundedSender, unbounded};
use peatdeck_core::{
    model::Incarnation,
    relay::{
        allowance::Bound,
        config::{Config, Kind, Limits, Pieces, Route, Service, Stage, Target, Team},
        directory::{Change, Entry},
        table::Record,
    },
};
use peatdeck_relay::{
    native,
    server::{self, Listeners, Told},
    settings::Settings,
    surroundings::{self, Page, Store, StoreError, Surroundings, TableName},
};

use crate::link::SlowLink;

/// Whatever a test waits for comes within this time, or never.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A platform's store in memory. Clones share it.
#[derive(Clone, Default)]
pub struct MemoryStore {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    tables: HashMap<TableName, Vec<Record>>,
    expired: HashMap<TableName, u64>,
    is_dark: bool,
    delay: Duration,
}

impl MemoryStore {
    pub fn put(&self, table: TableName, key: &str, value: Vec<u8>) {
        let mut inner = self.inner.lock().unwrap();
        let records = inner.tables.entry(table).or_default();
        let offset = records.len() as u64;
        records.push(Record { key: Arc::from(key), offset, value: Some(value.into()) });
    }

    /// Forgets the log of a table; the newest record of each key stays.
    pub fn compact(&self, table: TableName) {
        let mut inner = self.inner.lock().unwrap();
        let end = inner.tables.get(&table).map_or(0, |records| records.len() as u64);
        inner.expired.insert(table, end);
    }

    pub fn set_dark(&self, is_dark: bool) {
        self.inner.lock().unwrap().is_dark = is_dark;
    }

    /// How long each of its answers is on the way.
    pub fn set_delay(&self, delay: Duration) {
        self.inner.lock().unwrap().delay = delay;
    }

    fn delay(&self) -> Duration {
        self.inner.lock().unwrap().delay
    }

    fn newest(&self, table: TableName) -> Result<Page, StoreError> {
        let inner = self.inner.lock().unwrap();
        if inner.is_dark {
            return Err(StoreError::Refused(503));
        }
        let all = inner.tables.get(&table).cloned().unwrap_or_default();
        let end = all.len() as u64;
        let mut newest = HashMap::new();
        for record in all {
            newest.insert(record.key.clone(), record);
        }
        Ok(Page { records: newest.into_values().collect(), more: None, end })
    }

    fn read(&self, table: TableName, from: u64) -> Result<surroundings::Read, StoreError> {
        let inner = self.inner.lock().unwrap();
        if inner.is_dark {
            return Err(StoreError::Refused(503));
        }
        if inner.expired.get(&table).is_some_and(|kept| from < *kept) {
            return Ok(surroundings::Read::Expired);
        }
        let all = inner.tables.get(&table).cloned().unwrap_or_default();
        let end = all.len() as u64;
        let records = all.into_iter().filter(|record| record.offset >= from).collect();
        Ok(surroundings::Read::Records { records, end, has_more: false })
    }

    fn client(&self) -> Store {
        let (newest, read, announce) = (self.clone(), self.clone(), self.clone());
        Store {
            newest: Rc::new(move |table, _| {
                let (page, delay) = (newest.newest(table), newest.delay());
                Box::pin(async move {
                    tokio::time::sleep(delay).await;
                    page
                })
            }),
            read: Rc::new(move |table, from, wait| {
                let store = read.clone();
                Box::pin(async move {
                    // Looks again at the end of the wait, which is close enough.
                    if let Ok(surroundings::Read::Records { records, .. }) = store.read(table, from)
                        && records.is_empty()
                    {
                        tokio::time::sleep(wait).await;
                    }
                    let read = store.read(table, from);
                    tokio::time::sleep(store.delay()).await;
                    read
                })
            }),
            announce: Rc::new(move |key, value| {
                let store = announce.clone();
                Box::pin(async move {
                    if store.inner.lock().unwrap().is_dark {
                        return Err(StoreError::Refused(503));
                    }
                    store.put(TableName::Instances, &key, value.to_vec());
                    Ok(())
                })
            }),
        }
    }
}

/// A configuration, as the store holds it: a version, and blanks before it
/// that make it large.
fn read_config(record: &Record) -> Result<Option<Config>, String> {
    let Some(value) = &record.value else { return Ok(None) };
    let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
    let version = text.trim_start().parse().map_err(|_| format!("`{text}` is no version"))?;
    Ok(Some(config(version)))
}

fn read_endpoint(record: &Record) -> Result<Change, String> {
    let Some(value) = &record.value else { return Ok(Change::Removed(record.key.clone())) };
    let text = String::from_utf8_lossy(value).into_owned();
    let (service, addr) = text.split_once(' ').ok_or("an entry has a service and an address")?;
    Ok(Change::Put(Entry {
        name: record.key.clone(),
        service: Arc::from(service),
        addr: Arc::from(addr),
        data_centre: Arc::from("east"),
        slots: 4,
        is_leaving: false,
    }))
}

/// The configuration of all tests: a route for each kind, and one with a stage.
fn config(version: u64) -> Config {
    let kinds = [
        ("idempotent", Kind::Idempotent),
        ("once", Kind::Once),
        ("stream", Kind::Stream),
        ("resumable", Kind::Resumable),
        ("staged", Kind::Idempotent),
    ];
    let mut routes: Vec<_> = kinds.into_iter().map(|(name, kind)| route(name, kind)).collect();
    routes.push(route(&format!("since-{version}"), Kind::Idempotent));
    let plain = Service { connections: 800, engine: None, pieces: None };
    let pieces = Pieces {
        slots: 1,
        queue: 2,
        batch: 4,
        call_time: Duration::from_millis(20),
        piece_time: Duration::from_millis(1),
        room: 1 << 20,
        lease: Duration::from_secs(60),
    };
    let maker = Service { pieces: Some(pieces), ..plain.clone() };
    let team = Team { name: Arc::from("markets"), priority: None };
    Config {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: HashMap::from([(Arc::from("desk"), plain), (Arc::from("maker"), maker)]),
        keys: Some(HashMap::from([(Arc::from("key-1"), team)])),
        limits: Limits { body: 1 << 16, idle: Duration::from_secs(15) },
    }
}

fn route(name: &str, kind: Kind) -> Route {
    let is_staged = name == "staged";
    let stage = Stage { service: Arc::from("maker"), after: Vec::new(), bytes: 1000 };
    Route {
        name: Arc::from(name),
        host: Arc::from("fleet.example"),
        prefix: Arc::from(format!("/{name}/")),
        targets: vec![Target { service: Arc::from("desk"), weight: 1 }],
        kind,
        timeout: Duration::from_secs(30),
        objective: Duration::from_secs(5),
        max_attempts: 2,
        priority: 1,
        is_public: false,
        stages: if is_staged { vec![stage] } else { Vec::new() },
    }
}

/// A relay instance on a thread of its own.
pub struct Relay {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    told: UnboundedSender<Told>,
    thread: Option<thread::JoinHandle<()>>,
}

/// How a relay instance is started.
pub struct Starter {
    name: Arc<str>,
    store: MemoryStore,
    seeds: Vec<SocketAddr>,
    policy: Option<Arc<str>>,
    strength: u32,
    link: Option<SlowLink>,
}

impl Starter {
    /// The addresses of peers that it is told of at its start.
    pub fn seeds(self, seeds: &[SocketAddr]) -> Starter {
        Starter { seeds: seeds.to_vec(), ..self }
    }

    /// The file of its policy.
    pub fn policy(self, policy: Arc<str>) -> Starter {
        Starter { policy: Some(policy), ..self }
    }

    /// Its processor's share, in thousandths of a core.
    pub fn strength(self, strength: u32) -> Starter {
        Starter { strength, ..self }
    }

    /// Has its peers reach it over a link.
    pub fn behind(self, link: &SlowLink) -> Starter {
        Starter { link: Some(link.clone()), ..self }
    }

    pub fn start(self) -> Relay {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut settings = Settings {
            name: self.name,
            incarnation: Incarnation(1),
            data_centre: Arc::from("east"),
            front: any,
            ready: any,
            metrics: any,
            peers: any,
            seeds: self.seeds.iter().map(|seed| Arc::from(seed.to_string())).collect(),
            bound: Bound { ratio: 0.2, slack: 1000.0, window: Duration::from_secs(10) },
            instances: 1,
            grace: Duration::from_secs(60),
            body_memory: 1 << 24,
            strength: self.strength,
            policy: self.policy,
            connections: 200,
        };
        let listeners = Listeners::bind(&settings).unwrap();
        settings.front = listeners.front.local_addr().unwrap();
        settings.ready = listeners.ready.local_addr().unwrap();
        settings.metrics = listeners.metrics.local_addr().unwrap();
        settings.peers = listeners.peers.local_addr().unwrap();
        if let Some(link) = &self.link {
            settings.peers = link.to(settings.peers);
        }
        let Settings { front, ready, metrics, peers, .. } = settings.clone();
        let (told, signals) = unbounded();
        let store = self.store;
        let thread = thread::spawn(move || {
            let surroundings = move |_pool| Surroundings {
                dialect: native::dialect(),
                store: store.client(),
                read_config,
                read_endpoint,
                lines_dropped: Rc::new(|| 0),
            };
            let system = ntex::rt::System::new("relay", ntex::rt::DefaultRuntime);
            system.block_on(server::run_on(listeners, settings, signals, surroundings)).unwrap();
        });
        Relay { front, ready, metrics, peers, told, thread: Some(thread) }
    }
}

impl Relay {
    pub fn start(name: &str, store: &MemoryStore, seeds: &[SocketAddr]) -> Relay {
        Relay::with(name, store).seeds(seeds).start()
    }

    /// One that is started once all is said of it.
    pub fn with(name: &str, store: &MemoryStore) -> Starter {
        Starter {
            name: Arc::from(name),
            store: store.clone(),
            seeds: Vec::new(),
            policy: None,
            strength: 250,
            link: None,
        }
    }

    pub fn tell(&self, told: Told) {
        self.told.unbounded_send(told).unwrap();
    }

    pub fn wait_ready(&self) {
        wait_for("the relay is ready", || self.ready_status() == 200);
    }

    pub fn ready_status(&self) -> u16 {
        get(self.ready, "/ready").status
    }

    /// A counter of the instance; 0 if it never counted.
    pub fn counter(&self, name: &str) -> u64 {
        let text = get(self.metrics, "/metrics").body;
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
        line.map_or(0, |value| value.parse().unwrap())
    }

    pub fn join(mut self) {
        self.thread.take().unwrap().join().unwrap();
    }
}

/// A relay with one store, ready to serve.
pub struct Site {
    pub store: MemoryStore,
    pub relay: Relay,
}

impl Site {
    /// Starts with endpoints of the service `desk` that follow these scripts.
    pub fn start(desks: &[Desk]) -> Site {
        let store = MemoryStore::default();
        store.put(TableName::Config, "config", b"1".to_vec());
        for (idx, desk) in desks.iter().enumerate() {
            store.enlist(&format!("desk-{idx}"), "desk", desk.addr);
        }
        let relay = Relay::start("own", &store, &[]);
        relay.wait_ready();
        Site { store, relay }
    }

    pub fn ask(&self, path: &str) -> Reply {
        ask(self.relay.front, path, "")
    }
}

impl MemoryStore {
    pub fn enlist(&self, name: &str, service: &str, addr: SocketAddr) {
        self.put(TableName::Endpoints, name, format!("{service} {addr}").into_bytes());
    }
}

/// An endpoint that hands each connection to a script.
pub struct Desk {
    pub addr: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
}

impl Desk {
    /// `script` gets each connection with its number, from 0.
    pub fn start(script: impl Fn(usize, &mut Conn) + Send + Sync + 'static) -> Desk {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (script, heads) = (Arc::new(script), seen.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (script, heads) = (script.clone(), heads.clone());
                thread::spawn(move || {
                    let mut conn = Conn { stream: stream.unwrap(), buffer: Vec::new(), heads };
                    script(number, &mut conn);
                });
            }
        });
        Desk { addr, seen }
    }

    /// Answers every request with 200 and that body.
    pub fn answering(body: &'static str) -> Desk {
        Desk::start(move |_, conn| {
            while let Some(request) = conn.read_request() {
                conn.write(&whole(&request.id(), 200, body));
            }
        })
    }

    /// The heads of all requests that it got.
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }
}

/// A whole answer to the request with that id.
pub fn whole(id: &str, status: u16, body: &str) -> String {
    let len = body.len();
    format!(
        "HTTP/1.1 {status} X\r\npeatdeck-request: {id}\r\npeatdeck-seal: s\r\ncontent-length: {len}\r\n\r\n{body}"
    )
}

/// The head of a stream for the request with that id.
pub fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\npeatdeck-request: {id}\r\npeatdeck-seal: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )
}

/// An event as a chunk of a body.
pub fn chunk(id: u64) -> String {
    let event = format!("id: {id}\ndata: token-{id}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// A request as an endpoint sees it.
pub struct Seen {
    pub head: String,
    pub body: String,
}

impl Seen {
    pub fn id(&self) -> String {
        self.header("peatdeck-request").unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim().to_owned())
}

/// A connection that speaks raw bytes.
pub struct Conn {
    stream: TcpStream,
    buffer: Vec<u8>,
    heads: Arc<Mutex<Vec<String>>>,
}

impl Conn {
    pub fn open(addr: SocketAddr) -> Conn {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Conn { stream, buffer: Vec::new(), heads: Arc::default() }
    }

    pub fn write(&mut self, text: &str) {
        // A peer that has gone is seen by the next read.
        self.stream.write_all(text.as_bytes()).ok();
    }

    pub fn close(&mut self) {
        self.stream.shutdown(Shutdown::Both).ok();
    }

    /// Reads the head of a request or reply without what follows it.
    pub fn read_head(&mut self) -> Option<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let rest = self.buffer.split_off(end + 4);
                let head = std::mem::replace(&mut self.buffer, rest);
                let head = String::from_utf8(head).unwrap();
                self.heads.lock().unwrap().push(head.clone());
                return Some(head);
            }
            if !self.fill() {
                return None;
            }
        }
    }

    pub fn read_request(&mut self) -> Option<Seen> {
        let head = self.read_head()?;
        let len = header(&head, "content-length").map_or(0, |len| len.parse().unwrap());
        while self.buffer.len() < len {
            if !self.fill() {
                return None;
            }
        }
        let rest = self.buffer.split_off(len);
        let body = std::mem::replace(&mut self.buffer, rest);
        Some(Seen { head, body: String::from_utf8(body).unwrap() })
    }

    /// Reads until that text has come; false if the connection ended before.
    pub fn read_until(&mut self, text: &str) -> bool {
        while find(&self.buffer, text.as_bytes()).is_none() {
            if !self.fill() {
                return false;
            }
        }
        true
    }

    /// Everything that comes until the connection ends.
    pub fn read_to_end(&mut self) -> String {
        while self.fill() {}
        String::from_utf8(std::mem::take(&mut self.buffer)).unwrap()
    }

    fn fill(&mut self) -> bool {
        let mut chunk = [0; 4096];
        match self.stream.read(&mut chunk) {
            Ok(0) => false,
            Ok(len) => {
                self.buffer.extend_from_slice(&chunk[..len]);
                true
            }
            Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
            Err(error) => panic!("nothing came within the test's patience: {error}"),
        }
    }
}

fn find(bytes: &[u8], text: &[u8]) -> Option<usize> {
    bytes.windows(text.len()).position(|window| window == text)
}

/// A reply as a caller sees it.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

/// The head of a request with a new id.
pub fn request(path: &str, more: &str) -> String {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
    let id = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    format!(
        "GET {path} HTTP/1.1\r\nhost: fleet.example\r\npeatdeck-request: r{id}\r\npeatdeck-key: key-1\r\npeatdeck-deadline-ms: 20000\r\n{more}\r\n"
    )
}

/// Sends a request on a connection of its own and reads the reply to the end.
pub fn ask(front: SocketAddr, path: &str, more: &str) -> Reply {
    let mut conn = Conn::open(front);
    conn.write(&request(path, &format!("connection: close\r\n{more}")));
    read_reply(&mut conn)
}

pub fn read_reply(conn: &mut Conn) -> Reply {
    let head = conn.read_head().expect("the connection ended without a reply");
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    Reply { status, head, body: conn.read_to_end() }
}

fn get(addr: SocketAddr, path: &str) -> Reply {
    let mut conn = Conn::open(addr);
    conn.write(&format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"));
    read_reply(&mut conn)
}

/// Waits until something holds.
pub fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let (tx, rx) = mpsc::channel::<()>();
    let pause = Duration::from_millis(10);
    for _ in 0..(PATIENCE.as_millis() / pause.as_millis()) {
        if holds() {
            return;
        }
        rx.recv_timeout(pause).ok();
    }
    drop(tx);
    panic!("it never came about that {what}");
}
