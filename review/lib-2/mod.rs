//! Shared parts of the scripts of this review: a store, HTTP for workers and clients, and the
//! processes under test. Standard library only.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The outcome of a run, which becomes the exit code.
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken(String),
    /// The case could not run.
    Unrun(String),
}

/// Whether the run includes the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// What was sent, answered and run, written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the record in the case's folder, the first argument of the program.
    pub fn create() -> Record {
        let folder = std::env::args().nth(1).expect("the folder of the case is the first argument");
        let file = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:9.3}  {}", text.as_ref()).ok();
    }

    /// Writes the outcome and returns the exit code.
    pub fn finish(&self, outcome: Outcome) -> i32 {
        let (code, text) = match outcome {
            Outcome::Held => (0, "HELD".to_owned()),
            Outcome::Broken(what) => (1, format!("BROKEN: {what}")),
            Outcome::Unrun(why) => (2, format!("NOT RUN: {why}")),
        };
        self.line(&text);
        println!("{text}");
        code
    }
}

/// An HTTP message: a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body ended as its framing states.
    pub is_whole: bool,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| &**value)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// The path of a request's target.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a line without its end; `None` at the end of the stream.
fn read_line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if from.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads the first line and the headers of a message; `None` at the end of the stream.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first) = read_line(from)? else { return Ok(None) };
    let mut message = Message { first, ..Message::default() };
    while let Some(line) = read_line(from)? {
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

/// Reads one chunk of a chunked body; empty at its end.
pub fn read_chunk(from: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let size = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size];
    from.read_exact(&mut chunk)?;
    read_line(from)?;
    Ok(chunk)
}

/// Reads a whole message. A body that breaks off leaves `is_whole` false.
pub fn read_message(from: &mut impl BufRead, is_response: bool) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else { return Ok(None) };
    if message.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        loop {
            match read_chunk(from) {
                Ok(chunk) if chunk.is_empty() => break,
                Ok(chunk) => message.body.extend(chunk),
                Err(_) => return Ok(Some(message)),
            }
        }
    } else if let Some(len) = message.header("content-length").and_then(|it| it.parse().ok()) {
        let mut limited = from.take(len);
        if limited.read_to_end(&mut message.body).is_err() || message.body.len() as u64 != len {
            return Ok(Some(message));
        }
    } else if is_response {
        from.read_to_end(&mut message.body)?;
    }
    message.is_whole = true;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn write_response(
    to: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (bytes + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)?;
    to.flush()
}

/// Accepts connections, each on a thread of its own. Returns the address.
pub fn serve(ip: Ipv4Addr, handler: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            stream.set_nodelay(true).ok();
            let handler = handler.clone();
            thread::spawn(move || handler(stream));
        }
    });
    addr
}

type Log = Vec<(String, Vec<u8>)>;

/// The platform's store, with keyed topics in memory.
#[derive(Clone, Default)]
pub struct Store {
    logs: Arc<(Mutex<HashMap<String, Log>>, Condvar)>,
    /// Whether it answers no call, keeping the connections open.
    is_silent: Arc<Mutex<bool>>,
}

impl Store {
    /// Appends a record; without a value it removes the key. Returns its offset.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> usize {
        let (logs, changed) = &*self.logs;
        let mut logs = logs.lock().unwrap();
        let log = logs.entry(topic.to_owned()).or_default();
        log.push((key.to_owned(), value.to_vec()));
        changed.notify_all();
        log.len() - 1
    }

    /// The newest value of a key.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let logs = self.logs.0.lock().unwrap();
        let log = logs.get(topic)?;
        log.iter().rev().find(|(known, _)| known == key).map(|(_, value)| value.clone())
    }

    /// Starts to serve. Returns the address.
    pub fn start(&self, ip: Ipv4Addr) -> SocketAddr {
        let store = self.clone();
        serve(ip, move |stream| drop(store.connection(stream)))
    }

    fn connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut to = stream.try_clone()?;
        let mut from = BufReader::new(stream);
        while let Some(request) = read_message(&mut from, false)? {
            let query = request.target().split_once('?').map_or("", |(_, query)| query).to_owned();
            let query: HashMap<_, _> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let topic = query.get("topic").copied().unwrap_or_default().to_owned();
            let number = |name: &str| {
                query.get(name).and_then(|text| text.parse::<usize>().ok()).unwrap_or(0)
            };
            match request.path() {
                "/log-newest" => write_response(&mut to, "200 OK", &[], &self.list(&topic))?,
                "/log-read" => {
                    let wait = Duration::from_millis(number("wait-ms") as u64);
                    let body = self.read(&topic, number("from"), wait);
                    write_response(&mut to, "200 OK", &[], &body)?;
                }
                "/log-append" => {
                    let end = query.get("store-revision").and_then(|text| text.parse().ok());
                    let (status, body) = self.append(&topic, &request.body, end);
                    write_response(&mut to, status, &[], &body)?;
                }
                _ => write_response(&mut to, "404 Not Found", &[], b"")?,
            }
        }
        Ok(())
    }

    fn list(&self, topic: &str) -> Vec<u8> {
        let logs = self.logs.0.lock().unwrap();
        let empty = Vec::new();
        let log = logs.get(topic).unwrap_or(&empty);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in log.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let items: Vec<_> = newest
            .into_iter()
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let (items, end) = (items.join(","), log.len());
        format!(r#"{{"items":[{items}],"more-pages":false,"end":{end}}}"#).into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let (logs, changed) = &*self.logs;
        let mut logs = logs.lock().unwrap();
        while logs.get(topic).map_or(0, Vec::len) <= from {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            logs = changed.wait_timeout(logs, left).unwrap().0;
        }
        let empty = Vec::new();
        let log = logs.get(topic).unwrap_or(&empty);
        let mut body = (log.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in log.iter().skip(from) {
            let len = 1 + key.len() + value.len();
            body.extend_from_slice(&(len as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        body
    }

    fn append(&self, topic: &str, mut body: &[u8], end: Option<usize>) -> (&'static str, Vec<u8>) {
        let mut records = Vec::new();
        while body.len() > 4 {
            let len = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            let record = &body[4..4 + len];
            let key_len = usize::from(record[0]);
            let (key, value) = record[1..].split_at(key_len);
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            body = &body[4 + len..];
        }
        let (logs, changed) = &*self.logs;
        let mut logs = logs.lock().unwrap();
        let log = logs.entry(topic.to_owned()).or_default();
        if end.is_some_and(|end| end != log.len()) {
            let body = format!(r#"{{"end":{}}}"#, log.len());
            return ("412 Precondition Failed", body.into_bytes());
        }
        let offset = log.len();
        log.extend(records);
        changed.notify_all();
        let body = format!(r#"{{"offset":{offset},"end":{}}}"#, log.len());
        ("200 OK", body.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |sum, byte| (sum << 8) | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let is_filled = place <= chunk.len();
            let digit = (group >> (18 - 6 * place)) & 63;
            text.push(if is_filled { ALPHABET[digit as usize] as char } else { '=' });
        }
    }
    text
}

/// A worker's entry in the store.
pub fn entry(service: &str, addr: SocketAddr, zone: &str, slots: u32, sequence: u32) -> String {
    entry_in_state(service, addr, zone, slots, sequence, "ready")
}

/// A worker's entry in the store, with its state.
pub fn entry_in_state(
    service: &str,
    addr: SocketAddr,
    zone: &str,
    slots: u32,
    sequence: u32,
    state: &str,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","cold-left-ms":0,"sequence":{sequence}}}"#
    )
}

/// A process under test.
pub struct Edge {
    /// Its name.
    pub name: String,
    /// Where it takes requests.
    pub front: SocketAddr,
    /// Where it is asked whether it takes requests.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A folder of this run for settings and logs, and loopback addresses that no other run uses.
pub struct Site {
    folder: PathBuf,
    net: (u8, u8),
    next: u8,
}

impl Site {
    /// Creates the folder.
    pub fn create() -> Site {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("peatdeck-review-2-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
        let net = (64 + (pid % 128) as u8, (nanos / 1000 % 250) as u8);
        Site { folder, net, next: 1 }
    }

    /// A loopback address that nothing of this run uses yet.
    pub fn ip(&mut self) -> Ipv4Addr {
        self.next += 1;
        Ipv4Addr::new(127, self.net.0, self.net.1, self.next)
    }

    /// Prepares a process, with the settings of the small sites. `zones` are all zones.
    pub fn edge(&mut self, name: &str, zone: &str, zones: &[&str], store: SocketAddr) -> Edge {
        let ip = self.ip();
        let ports: Vec<_> =
            (0..3).map(|_| TcpListener::bind((ip, 0)).expect("a free port")).collect();
        let ports: Vec<_> = ports.iter().map(|port| port.local_addr().unwrap()).collect();
        let (front, ready, control) = (ports[0], ports[1], ports[2]);
        let zones: Vec<_> = zones.iter().map(|zone| format!(r#""{zone}":"nordmark""#)).collect();
        let zones = zones.join(",");
        let settings = format!(
            r#"{{"node-name":"{name}","role":"edge","machine-class":"edge","serves":["edge","control_plane"],
"ip":"{ip}","zone":"{zone}","region":"nordmark","zones":{{{zones}}},
"listen":{{"front":"{front}","ready":"{ready}","control":"{control}"}},
"internal-ports":[7740,7755],"seed-addrs":[],"bootstrap":true,"in-fault-budget":false,
"limits":{{"cpu-share":0.25,"cpu-cores":1,"memory-mb":260,"max-fds":4100,"link-mbps":1000.0,"disk-mb":0}},
"data-dir":null,"discovery":"platform","entry":"vip","heartbeat-ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"],
"fault-tolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seed-lag-s":3,"addr-reuse-s":2,"stable-window-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,"grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,"rollback-slack-ms":250,"max-skew-ms":5000,"strict-revoke":false,"revoke-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"retry-budget-slack":56,"recovery-s":12,"pass-ms":120,"reuse-window-s":9.1}},
"platform":{{"address":"{store}","form":"log","writes-per-s":400,"reads-per-s":2000,"parts":12,"append-ms":2.0,"part-mb-per-s":20.0,"read-mb-per-s":80.0,"record-bytes":262144,"call-bytes":2097152,"keep_s":300,"part-mb":200,"ttl-min-ms":1000}}}}"#
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings file");
        let log = self.folder.join(format!("{name}.log"));
        Edge { name: name.to_owned(), front, ready, settings: path, log, child: None }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            fs::remove_dir_all(&self.folder).ok();
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

impl Edge {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let deploy = fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
        let run = run.expect("the deploy file has `run`").trim_end_matches('"').to_owned();
        let mut words = run.split(' ');
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new(words.next().unwrap())
            .args(words)
            .env("PEATDECK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program starts; build it first with the deploy file's `build`");
        self.child = Some(child);
    }

    /// Sends the process a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            Command::new("kill").args([&format!("-{name}"), &pid]).status().ok();
        }
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// The exit status, if the process has ended by itself or by a signal.
    pub fn exited(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Whether it says that it takes requests.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(900)))?;
            let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            (&stream).write_all(request)?;
            let answer = read_head(&mut BufReader::new(&stream))?;
            Ok(answer.is_some_and(|answer| answer.status() == 200))
        };
        ask().unwrap_or(false)
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all processes say that they take requests.
pub fn wait_ready(edges: &[Edge]) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if edges.iter().all(Edge::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Sends a request on a new connection and reads its whole answer.
pub fn exchange(to: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Option<Message>> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    (&stream).write_all(request)?;
    read_message(&mut BufReader::new(&stream), true)
}

/// A random number generator with a fixed seed (xorshift).
pub struct Random(pub u64);

impl Random {
    /// The next number.
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// True in this share of the calls.
    pub fn chance(&mut self, share: f64) -> bool {
        ((self.next() >> 11) as f64) < share * (1_u64 << 53) as f64
    }
}
