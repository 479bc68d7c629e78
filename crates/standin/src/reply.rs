//! Replies, right and broken ones.

use std::sync::{Mutex, MutexGuard, PoisonError};

use ntex::{
    http::StatusCode,
    io::IoRef,
    web::{HttpRequest, HttpResponse},
};
use serde::Serialize;

/// A JSON reply.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> HttpResponse {
    HttpResponse::build(status).json(body)
}

/// An answer of a service that is out.
pub fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("outage")
}

/// Sends what was written so far and closes the connection. The server drops
/// the future that waits here as soon as it sees the connection gone.
pub async fn abort_connection<T>(io: Option<&IoRef>) -> T {
    if let Some(io) = io {
        io.send_buf().ok();
        io.terminate();
    }
    std::future::pending().await
}

/// Closes the connection without an answer.
pub async fn close_unanswered(req: &HttpRequest) -> HttpResponse {
    abort_connection(req.io()).await
}

/// Writes `text` as it is and closes the connection behind it. The server's
/// own reply never follows.
pub async fn send_and_close(req: &HttpRequest, text: &str) -> HttpResponse {
    if let Some(io) = req.io() {
        io.encode_slice(text.as_bytes()).ok();
    }
    abort_connection(req.io()).await
}

/// One whole JSON response as it stands on the connection.
pub fn raw_json(body: &str) -> String {
    let length = body.len();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length:";
    format!("{head} {length}\r\n\r\n{body}")
}

/// Locks; what a panicking holder left behind is used as it is.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
