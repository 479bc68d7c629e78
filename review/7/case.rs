//! Workers of two versions serve side by side, and all machines are killed once. Requesters then take
//! their streams up again.

#[path = "../lib-2/mod.rs"]
mod lib;

use std::{
    collections::BTreeSet,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::exit,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use lib::{Outcome, Record, Site, Store};

const ZONES: [&str; 4] = ["hall-a", "hall-b", "hall-c", "hall-d"];
/// `heartbeat-ms`.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// All machines are killed, and are back after this time (`down_s` of `kill_all` in the site file).
const KILL_AT: Duration = Duration::from_millis(5600);
const DOWN: Duration = Duration::from_millis(1500);
/// `stable-window-ms`: from so long after the processes are back they are in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
const RUN: Duration = Duration::from_secs(22);
/// Streams that are taken up, and streams that begin while the others are taken up.
const STREAMS: usize = 20;
const NEW_STREAMS: usize = 20;
/// A stream: 120 events in 12 s.
const EVENTS: u64 = 120;
const EVENT_GAP: Duration = Duration::from_millis(100);
const DEADLINE_MS: u64 = 15_000;
/// The pause after a requester attempt, and until when a requester tries, from its first attempt.
const PAUSE: Duration = Duration::from_millis(1900);
const TRIES_UNTIL: Duration = Duration::from_secs(14);
/// The rule counts from so many streams on.
const COUNTED_FROM: usize = 12;

struct Worker {
    name: String,
    addr: SocketAddr,
    zone: &'static str,
    version: &'static str,
}

impl Worker {
    fn entry(&self, sequence: u32) -> String {
        let entry = lib::entry("reviewer-pool", self.addr, self.zone, 128, sequence);
        entry.replace(r#""version":"v1""#, &format!(r#""version":"{}""#, self.version))
    }
}

fn serve(
    record: &Record,
    name: &str,
    version: &str,
    stream: TcpStream,
) -> io::Result<()> {
    let mut to = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    while let Some(request) = lib::read_message(&mut from, false)? {
        let id = request.header("x-peatdeck-attempt-id").unwrap_or_default().to_owned();
        if request.path() == "/kv-list" {
            let body = br#"{"epoch":1,"next":0,"held":[]}"#;
            lib::write_response(&mut to, "200 OK", &[("Keep-Alive", "timeout=10")], body)?;
            continue;
        }
        if request.header("x-peatdeck-expect-instance").is_some_and(|it| it != name) {
            let headers = [("X-Peatdeck-Attempt-Id", &*id), ("X-Peatdeck-Instance-Id", name)];
            lib::write_response(&mut to, "421 Misdirected Request", &headers, b"")?;
            continue;
        }
        let last = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        record.line(format!("{name} ({version}) runs {id}, after event {last}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Keep-Alive: timeout=10\r\nX-Peatdeck-Attempt-Id: {id}\r\n\
             X-Peatdeck-Server-Seal: seal-{id}\r\n\r\n"
        );
        thread::sleep(Duration::from_millis(64));
        to.write_all(head.as_bytes())?;
        for number in last + 1..=EVENTS {
            let event = format!("id: {number}\ndata: {version}\n\n");
            to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(EVENT_GAP);
        }
        to.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// What a requester has of its stream.
#[derive(Default)]
struct Received {
    last: u64,
    versions: BTreeSet<String>,
    /// The requester attempt that brought the first event.
    first: Option<String>,
    is_complete: bool,
    /// Whether it was taken up at a machine in touch, and whether it went on then.
    was_counted: bool,
    went_on: bool,
}

/// The moments of a run.
#[derive(Clone, Copy)]
struct Times {
    started: Instant,
    /// When the processes are back and in touch, and new streams begin.
    in_touch: Instant,
    /// From when on a stream that is taken up counts: without a kill the machines are in touch
    /// all the while.
    counted: Instant,
}

/// One requester attempt: reads events until the stream ends or breaks off.
/// A requester leaves its first attempt at `until`.
fn attempt(
    front: SocketAddr,
    id: &str,
    received: &mut Received,
    until: Option<Instant>,
) -> io::Result<u16> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let resumed = match &received.first {
        Some(first) => format!("Last-Event-Id: {}\r\nResumes: {first}\r\n", received.last),
        None => String::new(),
    };
    let body = "prompt";
    let request = format!(
        "POST /puxa400/2f HTTP/1.1\r\nHost: pule25.example\r\nX-Peatdeck-Attempt-Id: {id}\r\n\
         {resumed}X-Peatdeck-Model: m\r\nX-Peatdeck-Token-Counts: 715,80\r\n\
         X-Peatdeck-Prompt-Prefix: 5c1e07a2:172,{id}:543\r\nX-Peatdeck-Deadline-Ms: {DEADLINE_MS}\r\n\
         Api-Key: 9dnn2ctnfzs989anu6ws\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    (&stream).write_all(request.as_bytes())?;
    let mut from = BufReader::new(&stream);
    let head = lib::read_head(&mut from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 {
        return Ok(head.status());
    }
    let mut text = Vec::new();
    loop {
        if until.is_some_and(|until| Instant::now() >= until) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let chunk = lib::read_chunk(&mut from)?;
        if chunk.is_empty() {
            received.is_complete = true;
            return Ok(200);
        }
        text.extend(chunk);
        while let Some(end) = text.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = text.drain(..end + 2).collect();
            for line in event.lines().map_while(Result::ok) {
                if let Some(number) = line.strip_prefix("id: ") {
                    received.last = number.parse().unwrap_or(received.last);
                } else if let Some(version) = line.strip_prefix("data: ") {
                    received.versions.insert(version.to_owned());
                }
            }
            received.first.get_or_insert_with(|| id.to_owned());
        }
    }
}

/// A requester whose channel breaks at `KILL_AT` (with the kill, or since it leaves), and that takes
/// its stream up.
fn requester(record: &Record, fronts: &[SocketAddr], number: usize, times: Times) -> Received {
    let mut received = Received::default();
    let begun = Instant::now();
    let leaves = times.started + KILL_AT;
    for tried in 0.. {
        let id = format!("{:08x}{tried:08x}", 0x9c41_d07b_u32 + number as u32);
        let before = received.last;
        let until = (tried == 0).then_some(leaves);
        let is_counted = tried > 0 && before > 0 && Instant::now() >= times.counted;
        let ended = attempt(fronts[(number + tried) % fronts.len()], &id, &mut received, until);
        let (last, versions) = (received.last, received.versions.clone());
        received.was_counted |= is_counted;
        received.went_on |= is_counted && last > before;
        record.line(format!(
            "requester {number}, {id}: {ended:?}, events {} to {last}, versions {versions:?}{}",
            before + 1,
            if is_counted { ", counted" } else { "" }
        ));
        if received.is_complete || begun.elapsed() >= TRIES_UNTIL {
            break;
        }
        thread::sleep(PAUSE);
    }
    received
}

fn config() -> &'static str {
    r#"{"version":7,"routes":[{"name":"r-chat","host":"pule25.example","path-prefix":"/puxa400/","kind":"streaming","timeout-ms":15000,"target-latency-ms":2700,"priority":2,"service":"reviewer-pool","max-attempts":2,"stages":[],"public":false,"sticky":true,"resumable":true,"gap-aim-ms":500}],"services":[{"name":"reviewer-pool","health-path":"/health","max-conns":500,"protocol":"h1","tls":false,"engine":{"slots":128,"kv-capacity":244943,"kv-token-bytes":131072,"link-mbps":130000.0,"moves":true,"backups":true,"stride":3,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"]}]}"#
}

fn run(record: &Record) -> Outcome {
    let mut site = Site::create();
    let store = Store::default();
    let store_addr = store.start(site.ip());
    store.put("keyed.op", "config", config().as_bytes());
    let mut workers = Vec::new();
    for (number, version) in ["v1", "v1", "v1.1", "v1.1"].into_iter().enumerate() {
        let name = format!("i-7f3a91c{number}");
        let (record, own) = (record.clone(), name.clone());
        let addr =
            lib::serve(site.ip(), move |stream| drop(serve(&record, &own, version, stream)));
        workers.push(Worker { name, addr, zone: ZONES[number], version });
    }
    let is_over = Arc::new(AtomicBool::new(false));
    {
        let (record, store, is_over) = (record.clone(), store.clone(), is_over.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                for worker in &workers {
                    let entry = worker.entry(sequence);
                    let offset = store.put("keyed.servers", &worker.name, entry.as_bytes());
                    record.line(format!("servers/{} at {offset}: {entry}", worker.name));
                }
                thread::sleep(HEARTBEAT);
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
            }
        });
    }
    thread::sleep(Duration::from_millis(100));
    let mut edges: Vec<_> = ZONES[..2]
        .iter()
        .map(|zone| site.edge(&format!("edge-{zone}-1"), zone, &ZONES, store_addr))
        .collect();
    edges.iter_mut().for_each(lib::Edge::start);
    if !lib::wait_ready(&edges) {
        return Outcome::Unrun("the processes were not ready within 15 s".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let started = Instant::now();
    let down = if lib::has_trouble() { DOWN + Duration::from_millis(100) } else { Duration::ZERO };
    let in_touch = started + KILL_AT + down + STABLE_WINDOW;
    let counted = if lib::has_trouble() { in_touch } else { started };
    let times = Times { started, in_touch, counted };
    let fronts: Vec<_> = edges.iter().map(|edge| edge.front).collect();
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, fronts) = (record.clone(), fronts.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(100 * number as u64));
                requester(&record, &fronts, number, times)
            })
        })
        .collect();
    let begun = Arc::new(AtomicUsize::new(0));
    let new_streams: Vec<_> = (0..NEW_STREAMS)
        .map(|number| {
            let (record, fronts, begun) = (record.clone(), fronts.clone(), begun.clone());
            thread::spawn(move || {
                let at = times.in_touch + Duration::from_millis(150 * number as u64);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let id = format!("{:016x}", 0x7b00 + number);
                let mut received = Received::default();
                let until = Some(Instant::now() + Duration::from_secs(1));
                let front = fronts[number % fronts.len()];
                let ended = attempt(front, &id, &mut received, until);
                record.line(format!("new stream {id}: {ended:?}, {} events", received.last));
                begun.fetch_add(usize::from(received.last > 0), Ordering::Relaxed);
            })
        })
        .collect();
    if lib::has_trouble() {
        thread::sleep(KILL_AT.saturating_sub(started.elapsed()));
        record.line("all processes are killed");
        edges.iter_mut().for_each(lib::Edge::kill);
        thread::sleep(DOWN);
        edges.iter_mut().for_each(lib::Edge::start);
        record.line("the processes are back");
    }
    thread::sleep(RUN.saturating_sub(started.elapsed()));
    let streams: Vec<_> = streams.into_iter().filter_map(|it| it.join().ok()).collect();
    new_streams.into_iter().for_each(|it| drop(it.join()));
    is_over.store(true, Ordering::Relaxed);
    let counted = streams.iter().filter(|it| it.was_counted).count();
    let went_on = streams.iter().filter(|it| it.went_on).count();
    let mixed = streams.iter().filter(|it| it.versions.len() > 1).count();
    let begun = begun.load(Ordering::Relaxed);
    let whole = streams.iter().filter(|it| it.is_complete).count();
    record.line(format!(
        "of {STREAMS} streams {whole} complete, {mixed} with two versions; {counted} taken up at \
         machines in touch, {went_on} of these went on; of {NEW_STREAMS} new streams {begun} began"
    ));
    if begun == 0 || counted < COUNTED_FROM {
        return Outcome::Unrun("too few streams began or were taken up".to_owned());
    }
    let share = went_on as f64 / counted.max(1) as f64;
    let usual = begun as f64 / NEW_STREAMS as f64;
    match share < usual / 2.0 {
        true => Outcome::Broken(format!(
            "of {counted} streams taken up at machines in touch {went_on} go on; of {NEW_STREAMS} \
             new ones {begun} begin"
        )),
        false => Outcome::Held,
    }
}

fn main() {
    let record = Record::create();
    let outcome = run(&record);
    exit(record.finish(outcome));
}
