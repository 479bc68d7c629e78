//! A worker is taken away: its entry is removed, and it serves on for a while. An earlier heartbeat of
//! it, which the store did not answer, is executed seconds later.

#[path = "../lib-2/mod.rs"]
mod lib;

use std::{
    io::{self, BufReader},
    net::{SocketAddr, TcpStream},
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
const SERVICE: &str = "queue-api";
/// `heartbeat-ms`.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// `drain-ms`.
const DRAIN: Duration = Duration::from_millis(2000);
/// `stable-window-ms`.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// The store loses answers for so long (`for_s` of `platform_lost`), from the start of traffic.
const LOST_FOR: Duration = Duration::from_millis(4500);
/// By how much the unanswered write is late (`how = "late"`: done 1 to 6 s later).
const LATE: Duration = Duration::from_millis(5800);
/// When the worker is taken away, and until when it serves on.
const TAKEN_AT: Duration = Duration::from_millis(8000);
const RUN: Duration = Duration::from_secs(18);
/// Requests per second: the sheet's for the service.
const RATE: usize = 16;

/// The worker that is taken away.
const TAKEN: usize = 0;

#[derive(Default)]
struct Seen {
    /// When the store acknowledged that the worker is gone.
    gone_at: Mutex<Option<Instant>>,
    /// Requests that reached it later than `drain-ms` after that.
    late: Mutex<Vec<String>>,
    sent: AtomicUsize,
    served: AtomicUsize,
    is_over: AtomicBool,
}

fn worker(
    record: &Record,
    seen: &Seen,
    name: &str,
    is_taken: bool,
    stream: TcpStream,
) -> io::Result<()> {
    let mut to = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    while let Some(request) = lib::read_message(&mut from, false)? {
        let id = request.header("x-peatdeck-attempt-id").unwrap_or_default().to_owned();
        let echo = ("X-Peatdeck-Attempt-Id", &*id);
        if request.header("x-peatdeck-expect-instance").is_some_and(|it| it != name) {
            lib::write_response(&mut to, "421 Misdirected Request", &[echo], b"")?;
            continue;
        }
        let gone_at = seen.gone_at.lock().unwrap().filter(|_| is_taken);
        if let Some(since) = gone_at.map(|at| at.elapsed()) {
            let ms = since.as_millis();
            record.line(format!("{id} reaches {name}, {ms} ms after the removal was acknowledged"));
            if since > DRAIN {
                seen.late.lock().unwrap().push(format!("{id} after {ms} ms"));
            }
        } else {
            record.line(format!("{name} runs {id}"));
        }
        thread::sleep(Duration::from_millis(60));
        let seal = format!("seal-{id}");
        let headers = [echo, ("X-Peatdeck-Server-Seal", &*seal), ("Keep-Alive", "timeout=10")];
        lib::write_response(&mut to, "200 OK", &headers, &[b'x'; 800])?;
    }
    Ok(())
}

fn request(record: &Record, front: SocketAddr, number: usize, seen: &Seen) {
    let id = format!("9c41d07b{number:08x}");
    let text = format!(
        "POST /bobo563/{number} HTTP/1.1\r\nHost: jepu9.example\r\nX-Peatdeck-Attempt-Id: {id}\r\n\
         X-Peatdeck-Deadline-Ms: 3000\r\nApi-Key: 9dnn2ctnfzs989anu6ws\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    let answer = lib::exchange(front, text.as_bytes(), Duration::from_secs(4));
    let status = match &answer {
        Ok(Some(answer)) => answer.status(),
        _ => 0,
    };
    record.line(format!("{id} at {front} gets {status}"));
    seen.sent.fetch_add(1, Ordering::Relaxed);
    seen.served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
}

fn config() -> &'static str {
    r#"{"version":7,"routes":[{"name":"r-non","host":"jepu9.example","path-prefix":"/bobo563/","kind":"non_idempotent","timeout-ms":1500,"target-latency-ms":300,"priority":2,"service":"queue-api","max-attempts":1,"stages":[],"public":false,"sticky":false,"resumable":false}],"services":[{"name":"queue-api","health-path":"/health","max-conns":51,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"]}]}"#
}

/// The workers' heartbeats, and what the platform does with their entries.
fn beat(
    record: &Record,
    store: &Store,
    workers: &[(String, SocketAddr, &'static str)],
    seen: &Seen,
    traffic: &Mutex<Option<Instant>>,
) {
    let mut late: Option<(Instant, String)> = None;
    let mut next = Instant::now();
    let mut sequence = 0;
    let (mut is_taken, mut expires) = (false, None::<Instant>);
    let put = |name: &str, entry: &str| {
        let offset = store.put("keyed.servers", name, entry.as_bytes());
        record.line(format!("store: servers/{name} at {offset}: {entry}"));
    };
    while !seen.is_over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(5));
        let at = traffic.lock().unwrap().map_or(Duration::ZERO, |start| start.elapsed());
        if Instant::now() >= next {
            next += HEARTBEAT;
            sequence += 1;
            for (number, (name, addr, zone)) in workers.iter().enumerate() {
                if number == TAKEN && is_taken {
                    continue;
                }
                let entry = lib::entry(SERVICE, *addr, zone, 6, sequence);
                // One write of the last heartbeats within the time gets no answer.
                let is_last = at < LOST_FOR && at + HEARTBEAT >= LOST_FOR;
                if number == TAKEN && lib::has_trouble() && is_last && late.is_none() {
                    record.line(format!("store: no answer to servers/{name}: {entry}"));
                    late = Some((Instant::now() + LATE, entry));
                    continue;
                }
                put(name, &entry);
            }
        }
        if !is_taken && at >= TAKEN_AT {
            is_taken = true;
            put(&workers[TAKEN].0, "");
            *seen.gone_at.lock().unwrap() = Some(Instant::now());
            record.line(format!("{} is taken away and serves on for a while", workers[TAKEN].0));
        }
        if late.as_ref().is_some_and(|(due, _)| Instant::now() >= *due) {
            let (_, entry) = late.take().expect("it was there");
            record.line("store: the unanswered write is executed");
            put(&workers[TAKEN].0, &entry);
            late = Some((Instant::now() + Duration::from_secs(3600), String::new()));
            expires = is_taken.then(|| Instant::now() + 3 * HEARTBEAT);
        }
        if expires.is_some_and(|at| Instant::now() >= at) {
            expires = None;
            record.line("store: the entry expires after three heartbeats of silence");
            put(&workers[TAKEN].0, "");
        }
    }
}

fn run(record: &Record) -> Outcome {
    assert!(TAKEN_AT >= LOST_FOR + STABLE_WINDOW, "the removal is acknowledged by a stable store");
    let mut site = Site::create();
    let store = Store::default();
    let store_addr = store.start(site.ip());
    store.put("keyed.op", "config", config().as_bytes());
    let seen = Arc::new(Seen::default());
    let workers: Vec<_> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let name = format!("i-7f3a91c{number}");
            let (record, seen, own) = (record.clone(), seen.clone(), name.clone());
            let is_taken = number == TAKEN;
            let addr = lib::serve(site.ip(), move |stream| {
                drop(worker(&record, &seen, &own, is_taken, stream));
            });
            (name, addr, *zone)
        })
        .collect();
    let traffic: Arc<Mutex<Option<Instant>>> = Arc::default();
    {
        let (record, store, seen) = (record.clone(), store.clone(), seen.clone());
        let traffic = traffic.clone();
        thread::spawn(move || beat(&record, &store, &workers, &seen, &traffic));
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
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    *traffic.lock().unwrap() = Some(started);
    let mut open = Vec::new();
    for sent in 1.. {
        if started.elapsed() >= RUN {
            break;
        }
        let (record, seen) = (record.clone(), seen.clone());
        let front = edges[sent % edges.len()].front;
        open.push(thread::spawn(move || request(&record, front, sent, &seen)));
        let due = Duration::from_secs_f64(sent as f64 / RATE as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    for request in open {
        request.join().ok();
    }
    seen.is_over.store(true, Ordering::Relaxed);
    let (sent, served) = (seen.sent.load(Ordering::Relaxed), seen.served.load(Ordering::Relaxed));
    record.line(format!("{sent} requests, {served} served"));
    if served == 0 {
        return Outcome::Unrun("no request was served".to_owned());
    }
    let late = seen.late.lock().unwrap();
    match late.first() {
        None => Outcome::Held,
        Some(first) => Outcome::Broken(format!(
            "{} requests reach a worker later than drain-ms after its removal was acknowledged; \
             first: {first}",
            late.len()
        )),
    }
}

fn main() {
    let record = Record::create();
    let outcome = run(&record);
    exit(record.finish(outcome));
}
