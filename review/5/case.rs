//! A release takes away the last workers of an old version while all machines are down. Requesters then
//! take their streams up again.

#[path = "../lib-2/mod.rs"]
mod lib;

use std::{
    collections::BTreeSet,
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use lib::{Outcome, Record, Site, Store};

const ZONES: [&str; 4] = ["hall-a", "hall-b", "hall-c", "hall-d"];
/// Workers of each of the two versions that serve side by side.
const EACH: usize = 2;
/// `heartbeat-ms`.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// `drain-ms` and a little longer: how long a worker serves on after it has reported `draining`.
const SERVES_ON: Duration = Duration::from_millis(2300);
/// The release replaces the workers of the old version one after the other, from this time on and
/// with this gap; the new one starts first.
const RELEASE_AT: Duration = Duration::from_millis(3000);
const RELEASE_GAP: Duration = Duration::from_millis(800);
/// All machines are killed, and are back after this time (`down_s` of `kill_all` in the site file).
const KILL_AT: Duration = Duration::from_millis(5600);
const DOWN: Duration = Duration::from_millis(1500);
const RUN: Duration = Duration::from_secs(18);
const STREAMS: usize = 16;
/// A stream: 90 events in 9 s.
const EVENTS: u64 = 90;
const EVENT_GAP: Duration = Duration::from_millis(100);
const DEADLINE_MS: u64 = 15_000;
/// Tries of a requester, each after this pause.
const TRIES: usize = 5;
const PAUSE: Duration = Duration::from_millis(700);
/// The rule allows two.
const ALLOWED: usize = 2;

struct Worker {
    name: String,
    addr: SocketAddr,
    zone: &'static str,
    version: &'static str,
    state: Mutex<&'static str>,
    has_exited: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
}

impl Worker {
    fn entry(&self, sequence: u32) -> String {
        let state = *self.state.lock().unwrap();
        let entry =
            lib::entry_in_state("reviewer-pool", self.addr, self.zone, 128, sequence, state);
        entry.replace(r#""version":"v1""#, &format!(r#""version":"{}""#, self.version))
    }

    fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        for channel in self.channels.lock().unwrap().drain(..) {
            channel.shutdown(Shutdown::Both).ok();
        }
    }
}

fn serve(
    record: &Record,
    name: &str,
    version: &str,
    has_exited: &AtomicBool,
    stream: TcpStream,
) -> io::Result<()> {
    let mut to = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    while let Some(request) = lib::read_message(&mut from, false)? {
        if has_exited.load(Ordering::SeqCst) {
            return Ok(());
        }
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
}

/// One requester attempt: reads events until the stream ends or breaks off.
fn attempt(front: SocketAddr, id: &str, received: &mut Received) -> io::Result<u16> {
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

fn requester(record: &Record, fronts: &[SocketAddr], number: usize) -> Received {
    let mut received = Received::default();
    for tried in 0..TRIES {
        let id = format!("{:08x}{tried:08x}", 0x9c41_d07b_u32 + number as u32);
        let before = received.last;
        let ended = attempt(fronts[(number + tried) % fronts.len()], &id, &mut received);
        let (last, versions) = (received.last, &received.versions);
        record.line(format!(
            "requester {number}, {id}: {ended:?}, events {} to {last}, versions so far {versions:?}",
            before + 1
        ));
        if received.is_complete {
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
    let next = AtomicUsize::new(0);
    let start_worker = |version: &'static str, ip| {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let name = format!("i-7f3a91c{number}");
        let has_exited = Arc::new(AtomicBool::new(false));
        let channels: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (record, own) = (record.clone(), name.clone());
        let (exited, open) = (has_exited.clone(), channels.clone());
        let addr = lib::serve(ip, move |stream| {
            if exited.load(Ordering::SeqCst) {
                return;
            }
            open.lock().unwrap().extend(stream.try_clone());
            serve(&record, &own, version, &exited, stream).ok();
        });
        let zone = ZONES[number % ZONES.len()];
        Arc::new(Worker { name, addr, zone, version, state: Mutex::new("ready"), has_exited, channels })
    };
    let workers: Arc<Mutex<Vec<Arc<Worker>>>> = Arc::default();
    for version in ["v1", "v1.1"] {
        for _ in 0..EACH {
            workers.lock().unwrap().push(start_worker(version, site.ip()));
        }
    }
    let write = {
        let (record, store) = (record.clone(), store.clone());
        move |worker: &Worker, sequence| {
            let entry = worker.entry(sequence);
            let offset = store.put("keyed.servers", &worker.name, entry.as_bytes());
            record.line(format!("servers/{} at {offset}: {entry}", worker.name));
        }
    };
    let is_over = Arc::new(AtomicBool::new(false));
    {
        let (workers, write, is_over) = (workers.clone(), write.clone(), is_over.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                for worker in workers.lock().unwrap().iter() {
                    if !worker.has_exited.load(Ordering::SeqCst) {
                        write(worker, sequence);
                    }
                }
                thread::sleep(HEARTBEAT);
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
            }
        });
    }
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
    let fronts: Vec<_> = edges.iter().map(|edge| edge.front).collect();
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, fronts) = (record.clone(), fronts.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(150 * number as u64));
                requester(&record, &fronts, number)
            })
        })
        .collect();
    // The release: for each old worker a new one starts, the old one reports `draining` 0.4 s later,
    // serves on, and exits.
    let old: Vec<_> = workers.lock().unwrap()[..EACH].to_vec();
    let mut replaced = 0;
    let mut draining: Vec<(Instant, Arc<Worker>)> = Vec::new();
    let (mut killed, mut is_back) = (None::<Instant>, false);
    while started.elapsed() < RUN {
        thread::sleep(Duration::from_millis(5));
        let at = started.elapsed();
        if replaced < EACH && at >= RELEASE_AT + RELEASE_GAP * replaced as u32 {
            let new = start_worker("v1.1", site.ip());
            write(&new, 1);
            workers.lock().unwrap().push(new);
            let leaving = old[replaced].clone();
            *leaving.state.lock().unwrap() = "draining";
            write(&leaving, 1000);
            draining.push((Instant::now() + SERVES_ON, leaving));
            replaced += 1;
        }
        draining.retain(|(until, worker)| {
            if Instant::now() < *until {
                return true;
            }
            worker.exit();
            let offset = store.put("keyed.servers", &worker.name, b"");
            record.line(format!("{} exits, and its entry is removed at {offset}", worker.name));
            false
        });
        if lib::has_trouble() && killed.is_none() && at >= KILL_AT {
            record.line("all processes are killed");
            edges.iter_mut().for_each(lib::Edge::kill);
            killed = Some(Instant::now());
        }
        if !is_back && killed.is_some_and(|at| at.elapsed() >= DOWN) {
            is_back = true;
            edges.iter_mut().for_each(lib::Edge::start);
            record.line("the processes are back");
        }
    }
    is_over.store(true, Ordering::Relaxed);
    let streams: Vec<_> = streams.into_iter().filter_map(|it| it.join().ok()).collect();
    let mixed = streams.iter().filter(|it| it.versions.len() > 1).count();
    let whole = streams.iter().filter(|it| it.is_complete).count();
    record.line(format!(
        "{} streams, {whole} complete, {mixed} with events of two versions",
        streams.len()
    ));
    if whole == 0 {
        return Outcome::Unrun("no stream was complete".to_owned());
    }
    match mixed > ALLOWED {
        true => Outcome::Broken(format!("{mixed} streams hold events of two versions")),
        false => Outcome::Held,
    }
}

fn main() {
    let record = Record::create();
    let outcome = run(&record);
    exit(record.finish(outcome));
}
