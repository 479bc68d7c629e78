//! A TCP server that sends scripted bytes.

#![allow(clippy::unwrap_used)]

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use futures::channel::oneshot;
use ntex::client::Client;
use peatdeck_client::http;

/// A server for one connection. It sends one reply per request and closes the
/// connection after the last one.
pub struct Server {
    pub addr: String,
    requests: oneshot::Receiver<Vec<String>>,
}

impl Server {
    pub fn start(replies: Vec<Vec<String>>) -> Server {
        Server::spawn(|listener| run_script(&listener, replies, Duration::ZERO))
    }

    /// Sends the parts of each reply with a pause before each.
    pub fn with_pauses(replies: Vec<Vec<String>>, pause: Duration) -> Server {
        Server::spawn(move |listener| run_script(&listener, replies, pause))
    }

    /// Accepts one connection and closes it without reading.
    pub fn closing() -> Server {
        Server::spawn(|listener| {
            drop(listener.accept().unwrap());
            Vec::new()
        })
    }

    /// The bodies of the requests received, then `closed` if the client closed
    /// the connection before the last reply of the script.
    pub async fn requests(self) -> Vec<String> {
        self.requests.await.unwrap()
    }

    fn spawn(serve: impl FnOnce(TcpListener) -> Vec<String> + Send + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        let (tx, requests) = oneshot::channel();
        thread::spawn(move || tx.send(serve(listener)).ok());
        Server { addr, requests }
    }
}

/// An address that nothing listens on.
pub fn unused_addr() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

/// Sends the same reply to every request of every connection; returns the address.
pub fn serve_all(reply: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let reply = reply.clone();
            thread::spawn(move || {
                while read_request(&mut stream).is_some() {
                    stream.write_all(reply.as_bytes()).unwrap();
                }
            });
        }
    });
    addr
}

pub async fn client() -> Client {
    http::client(Duration::from_secs(5)).await.unwrap()
}

/// A response with a `content-length`.
pub fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// A chunked response with status 200: its head, one part per piece, its end.
pub fn chunked(pieces: &[&str]) -> Vec<String> {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
    let pieces = pieces.iter().map(|piece| format!("{:x}\r\n{piece}\r\n", piece.len()));
    [head].into_iter().chain(pieces).chain(["0\r\n\r\n".to_owned()]).collect()
}

fn run_script(listener: &TcpListener, replies: Vec<Vec<String>>, pause: Duration) -> Vec<String> {
    let (mut stream, _) = listener.accept().unwrap();
    stream.set_nodelay(true).unwrap();
    let mut requests = Vec::new();
    for parts in replies {
        let Some(request) = read_request(&mut stream) else {
            requests.push("closed".to_owned());
            return requests;
        };
        requests.push(request);
        for part in parts {
            thread::sleep(pause);
            // If the client closed the connection, the next read detects it.
            stream.write_all(part.as_bytes()).ok();
        }
    }
    requests
}

fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buf = [0; 1024];
    loop {
        let n = stream.read(&mut buf).ok()?;
        if n == 0 {
            return None;
        }
        bytes.extend_from_slice(&buf[..n]);
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
            return Some(body.to_owned());
        }
    }
}
