//! A machine gets SIGTERM while clients on slow links still read answers that their workers have
//! given in full.

#[path = "../lib-2/mod.rs"]
mod lib;

use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::AsRawFd,
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use lib::{Outcome, Record, Site, Store};

const ZONES: [&str; 2] = ["hall-a", "hall-b"];
/// Size of an answer.
const ANSWER_BYTES: usize = 12 << 20;
/// What a client's link carries: 13 Mbit/s, so that an answer takes 7.9 s.
const CLIENT_BYTES_PER_S: usize = 1_600_000;
/// Requests under way when SIGTERM comes.
const CLIENTS: usize = 6;
/// SIGTERM comes this long after the requests were sent.
const TERM_AFTER: Duration = Duration::from_millis(500);
/// `grace-s`.
const GRACE: Duration = Duration::from_secs(8);
const ROUNDS: usize = 3;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Gives a client's socket a small window, as a slow link has.
fn set_small_window(stream: &TcpStream) {
    let (sol_socket, so_rcvbuf, bytes) = (1, 8, 64 << 10);
    // SAFETY: the descriptor is open and the value outlives the call.
    unsafe { setsockopt(stream.as_raw_fd(), sol_socket, so_rcvbuf, &bytes, 4) };
}

fn worker(record: &Record, name: &str, stream: TcpStream) -> io::Result<()> {
    let mut to = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    while let Some(request) = lib::read_message(&mut from, false)? {
        let id = request.header("x-peatdeck-attempt-id").unwrap_or_default().to_owned();
        if request.header("x-peatdeck-expect-instance").is_some_and(|it| it != name) {
            lib::write_response(&mut to, "421 Misdirected Request", &[], b"")?;
            continue;
        }
        record.line(format!("{name} runs {id}"));
        thread::sleep(Duration::from_millis(60));
        let seal = format!("seal-{id}");
        let headers = [
            ("X-Peatdeck-Attempt-Id", &*id),
            ("X-Peatdeck-Server-Seal", &*seal),
            ("Keep-Alive", "timeout=10"),
        ];
        let body: Vec<u8> = id.bytes().cycle().take(ANSWER_BYTES).collect();
        lib::write_response(&mut to, "200 OK", &headers, &body)?;
        record.line(format!("{name} has answered {id} in full"));
    }
    Ok(())
}

/// Sends a request on a new channel and reads its answer at the rate of the link. Returns the
/// status and how many bytes of the body came.
fn slow_client(front: SocketAddr, id: &str) -> io::Result<(u16, usize)> {
    let stream = TcpStream::connect(front)?;
    set_small_window(&stream);
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    let body = "receipt";
    let request = format!(
        "POST /bobo563/lo7/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Peatdeck-Attempt-Id: {id}\r\n\
         X-Peatdeck-Deadline-Ms: 20000\r\nApi-Key: 9dnn2ctnfzs989anu6ws\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    (&stream).write_all(request.as_bytes())?;
    let mut from = BufReader::with_capacity(8 << 10, &stream);
    let head = lib::read_head(&mut from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let len = head.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let (started, mut got) = (Instant::now(), 0);
    let mut piece = vec![0; 15_000];
    while got < len {
        match from.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(count) => got += count,
        }
        let due = Duration::from_secs_f64(got as f64 / CLIENT_BYTES_PER_S as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    Ok((head.status(), got))
}

fn config() -> &'static str {
    r#"{"version":7,"routes":[{"name":"r-non","host":"jepu9.example","path-prefix":"/bobo563/","kind":"non_idempotent","timeout-ms":20000,"target-latency-ms":8000,"priority":2,"service":"queue-api","max-attempts":1,"stages":[],"public":false,"sticky":false,"resumable":false}],"services":[{"name":"queue-api","health-path":"/health","max-conns":51,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":10000},"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"]}]}"#
}

fn run(record: &Record) -> Outcome {
    let mut site = Site::create();
    let store = Store::default();
    let store_addr = store.start(site.ip());
    store.put("keyed.op", "config", config().as_bytes());
    for (number, zone) in ZONES.iter().cycle().take(4).enumerate() {
        let name = format!("i-queue-api-{number}");
        let (record, own) = (record.clone(), name.clone());
        let addr = lib::serve(site.ip(), move |stream| drop(worker(&record, &own, stream)));
        store.put("keyed.servers", &name, lib::entry("queue-api", addr, zone, 6, 1).as_bytes());
    }
    let mut edges: Vec<_> = ZONES
        .iter()
        .map(|zone| site.edge(&format!("edge-{zone}-1"), zone, &ZONES, store_addr))
        .collect();
    edges.iter_mut().for_each(lib::Edge::start);
    let cut = Arc::new(Mutex::new(Vec::new()));
    let mut whole = 0;
    for round in 0..ROUNDS {
        if !lib::wait_ready(&edges) {
            return Outcome::Unrun("the processes were not ready within 15 s".to_owned());
        }
        thread::sleep(Duration::from_secs(1));
        let front = edges[0].front;
        let started = Instant::now();
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let (record, cut) = (record.clone(), cut.clone());
                thread::spawn(move || {
                    let id = format!("9c41d07be2a3{round:02x}{number:02x}");
                    let (status, got) = slow_client(front, &id).unwrap_or_default();
                    let took = started.elapsed().as_millis();
                    record.line(format!(
                        "client {number}: {id} gets {status} and {got} of {ANSWER_BYTES} bytes, \
                         {took} ms after it was sent"
                    ));
                    let is_whole = status == 200 && got == ANSWER_BYTES;
                    if status == 200 && !is_whole {
                        cut.lock().unwrap().push(format!("{id} ({got} bytes)"));
                    }
                    is_whole
                })
            })
            .collect();
        if lib::has_trouble() {
            thread::sleep(TERM_AFTER);
            record.line("SIGTERM to edge-hall-a-1");
            edges[0].signal("TERM");
            let termed = Instant::now();
            let status = loop {
                if let Some(status) = edges[0].exited() {
                    break status;
                }
                if termed.elapsed() > GRACE {
                    edges[0].kill();
                    break "SIGKILL after the grace".to_owned();
                }
                thread::sleep(Duration::from_millis(20));
            };
            let took = termed.elapsed().as_millis();
            record.line(format!("edge-hall-a-1 ended {took} ms after SIGTERM: {status}"));
        }
        whole += clients.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count();
        if lib::has_trouble() {
            edges[0].start();
        }
    }
    record.line(format!("{} requests, {whole} answers came whole", ROUNDS * CLIENTS));
    let cut = cut.lock().unwrap();
    match cut.first() {
        Some(first) => Outcome::Broken(format!(
            "{} answers were cut around SIGTERM, while their workers had given them in full; \
             first: {first}",
            cut.len()
        )),
        None if whole > 0 => Outcome::Held,
        None => Outcome::Unrun("no request was served".to_owned()),
    }
}

fn main() {
    let record = Record::create();
    let outcome = run(&record);
    exit(record.finish(outcome));
}
