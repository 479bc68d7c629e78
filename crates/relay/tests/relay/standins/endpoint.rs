//! Endpoints that follow a script, and connections that send and receive raw bytes.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Barrier, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use socket2::{Domain, SockRef, Socket, Type};

use crate::standins::TIMEOUT;

/// An endpoint that runs a script for each connection.
pub struct ScriptedEndpoint {
    pub addr: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
}

impl ScriptedEndpoint {
    /// Starts an endpoint that calls `script` with each connection and its number, from 0.
    pub fn start(script: impl Fn(usize, &mut Conn) + Send + Sync + 'static) -> ScriptedEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let (script, heads) = (Arc::new(script), received.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (script, heads) = (script.clone(), heads.clone());
                thread::spawn(move || {
                    let mut conn = Conn { stream: stream.unwrap(), buffer: Vec::new(), heads };
                    script(number, &mut conn);
                });
            }
        });
        ScriptedEndpoint { addr, received }
    }

    /// Starts an endpoint that answers every request with 200 and this body.
    pub fn answering(body: &'static str) -> ScriptedEndpoint {
        ScriptedEndpoint::start(move |_, conn| {
            while let Some(request) = conn.read_request() {
                conn.write(&full_reply(&request.id(), 200, body));
            }
        })
    }

    /// Starts an endpoint that answers requests until one has this word in its head. Then it
    /// crashes: it stops listening and closes all its connections.
    pub fn crashing_at(word: &'static str) -> ScriptedEndpoint {
        ScriptedEndpoint::crashing_after(word, |_, _| {})
    }

    /// The same, but `begin` is called with the connection and the request before the crash.
    pub fn crashing_after(
        word: &'static str,
        begin: fn(&mut Conn, &ReceivedRequest),
    ) -> ScriptedEndpoint {
        ScriptedEndpoint::ending_after(word, begin, false)
    }

    /// The same, but it listens again at once, as a new process at the same address would. Requests
    /// with `/warm/` in their heads are answered once two of them have come, on two connections.
    pub fn restarting_after(
        word: &'static str,
        begin: fn(&mut Conn, &ReceivedRequest),
    ) -> ScriptedEndpoint {
        ScriptedEndpoint::ending_after(word, begin, true)
    }

    fn ending_after(
        word: &'static str,
        begin: fn(&mut Conn, &ReceivedRequest),
        listens_again: bool,
    ) -> ScriptedEndpoint {
        let both_warm = Arc::new(Barrier::new(2));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let (heads, mut is_over) = (received.clone(), Arc::new(AtomicBool::new(false)));
        thread::spawn(move || {
            let mut open = Vec::new();
            for stream in listener.incoming() {
                if is_over.load(Ordering::SeqCst) {
                    if !listens_again {
                        break;
                    }
                    close_all(&mut open);
                    drop_waiting(&listener);
                    is_over = Arc::default();
                    continue;
                }
                let stream = stream.unwrap();
                open.push(stream.try_clone().unwrap());
                let (heads, is_over) = (heads.clone(), is_over.clone());
                let both_warm = both_warm.clone();
                thread::spawn(move || {
                    let mut conn = Conn { stream, buffer: Vec::new(), heads };
                    while let Some(request) = conn.read_request() {
                        if request.head.contains(word) {
                            begin(&mut conn, &request);
                            is_over.store(true, Ordering::SeqCst);
                            // Wakes the listening thread.
                            TcpStream::connect(addr).ok();
                            return;
                        }
                        if request.head.contains("/warm/") {
                            both_warm.wait();
                        }
                        // Its connections are closed one after the other.
                        if is_over.load(Ordering::SeqCst) {
                            return;
                        }
                        conn.write(&full_reply(&request.id(), 200, "alive"));
                    }
                });
            }
            drop(listener);
            close_all(&mut open);
        });
        ScriptedEndpoint { addr, received }
    }

    /// The heads of all requests that the endpoint has received.
    pub fn received(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }
}

/// Closes the connections that were not accepted yet, as the end of a process does.
fn drop_waiting(listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    while listener.accept().is_ok() {}
    listener.set_nonblocking(false).unwrap();
}

fn close_all(open: &mut Vec<TcpStream>) {
    for stream in open.drain(..) {
        stream.shutdown(Shutdown::Both).ok();
    }
}

/// A complete reply to the request with this id.
pub fn full_reply(id: &str, status: u16, body: &str) -> String {
    let len = body.len();
    format!(
        "HTTP/1.1 {status} X\r\npeatdeck-request: {id}\r\npeatdeck-seal: s\r\ncontent-length: {len}\r\n\r\n{body}"
    )
}

/// The head of a streamed reply to the request with this id.
pub fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\npeatdeck-request: {id}\r\npeatdeck-seal: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )
}

/// A server-sent event as a chunk of a chunked body.
pub fn event_chunk(id: u64) -> String {
    let event = format!("id: {id}\ndata: token-{id}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// A request as an endpoint receives it.
pub struct ReceivedRequest {
    pub head: String,
    pub body: String,
}

impl ReceivedRequest {
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

/// A connection that sends and receives raw bytes.
pub struct Conn {
    stream: TcpStream,
    buffer: Vec<u8>,
    heads: Arc<Mutex<Vec<String>>>,
}

impl Conn {
    pub fn open(addr: SocketAddr) -> Conn {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Conn { stream, buffer: Vec::new(), heads: Arc::default() }
    }

    /// Opens a connection on which little arrives that is not read: the segments are those of an
    /// Ethernet link, and the window is small.
    pub fn open_narrow(addr: SocketAddr) -> Conn {
        const WINDOW_BYTES: usize = 16 << 10;
        const SEGMENT_BYTES: u32 = 1448;
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(WINDOW_BYTES).unwrap();
        socket.set_tcp_mss(SEGMENT_BYTES).unwrap();
        socket.connect(&addr.into()).unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        Conn { stream: socket.into(), buffer: Vec::new(), heads: Arc::default() }
    }

    pub fn write(&mut self, text: &str) {
        // If the peer has closed the connection, the next read reports it.
        self.stream.write_all(text.as_bytes()).ok();
    }

    /// Writes, and returns whether the connection is still open.
    pub fn try_write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    pub fn close(&mut self) {
        self.stream.shutdown(Shutdown::Both).ok();
    }

    /// Ends the connection with a reset.
    pub fn reset(&mut self) {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        self.stream = socket.into();
    }

    /// Sends no more, and waits until the peer closes the connection.
    pub fn half_close(&mut self) {
        self.stream.shutdown(Shutdown::Write).ok();
        while self.fill() {}
    }

    /// Reads the head of a request or reply, without its body; `None` if the connection ended.
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

    pub fn read_request(&mut self) -> Option<ReceivedRequest> {
        let head = self.read_head()?;
        let len = header(&head, "content-length").map_or(0, |len| len.parse().unwrap());
        while self.buffer.len() < len {
            if !self.fill() {
                return None;
            }
        }
        let rest = self.buffer.split_off(len);
        let body = std::mem::replace(&mut self.buffer, rest);
        Some(ReceivedRequest { head, body: String::from_utf8(body).unwrap() })
    }

    /// Reads until this text has arrived. Returns false if the connection ended before.
    pub fn read_until(&mut self, text: &str) -> bool {
        while find(&self.buffer, text.as_bytes()).is_none() {
            if !self.fill() {
                return false;
            }
        }
        true
    }

    /// Drops what has arrived and was not read as a head.
    pub fn discard(&mut self) {
        self.buffer.clear();
    }

    /// What has arrived and was not read as a head.
    pub fn read_text(&self) -> String {
        String::from_utf8_lossy(&self.buffer).into_owned()
    }

    /// Reads everything until the connection ends.
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
            Err(error) => panic!("nothing arrived before the timeout: {error}"),
        }
    }
}

fn find(bytes: &[u8], text: &[u8]) -> Option<usize> {
    bytes.windows(text.len()).position(|window| window == text)
}

/// A reply as a caller receives it.
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

/// The head of a request with a new id and these additional header lines.
pub fn request_head(path: &str, headers: &str) -> String {
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
    let id = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    format!(
        "GET {path} HTTP/1.1\r\nhost: fleet.example\r\npeatdeck-request: r{id}\r\npeatdeck-key: key-1\r\npeatdeck-deadline-ms: 20000\r\n{headers}\r\n"
    )
}

/// The head of a request that closes its connection, whose caller waits for so long.
pub fn request_within(path: &str, deadline: Duration) -> String {
    let head = request_head(path, "connection: close\r\n");
    head.replace("deadline-ms: 20000", &format!("deadline-ms: {}", deadline.as_millis()))
}

/// Sends a request on a new connection and reads the reply to its end.
pub fn exchange(front: SocketAddr, path: &str, headers: &str) -> Reply {
    let mut conn = Conn::open(front);
    conn.write(&request_head(path, &format!("connection: close\r\n{headers}")));
    read_reply(&mut conn)
}

pub fn read_reply(conn: &mut Conn) -> Reply {
    let head = conn.read_head().expect("the connection ended without a reply");
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    Reply { status, head, body: conn.read_to_end() }
}

pub fn get(addr: SocketAddr, path: &str) -> Reply {
    send(addr, "GET", path)
}

pub fn send(addr: SocketAddr, method: &str, path: &str) -> Reply {
    let mut conn = Conn::open(addr);
    conn.write(&format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"));
    read_reply(&mut conn)
}
