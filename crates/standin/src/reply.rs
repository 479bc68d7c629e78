//! HTTP responses, correct and broken ones.

use std::sync::{Mutex, MutexGuard, PoisonError};

use ntex::{
    http::StatusCode,
    io::IoRef,
    web::{HttpRequest, HttpResponse},
};
use serde::Serialize;

/// A JSON response.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> HttpResponse {
    HttpResponse::build(status).json(body)
}

/// The response to a request that an outage fault rejects.
pub fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("outage")
}

/// Sends what was written so far and closes the connection. This future never
/// resolves; the server drops it once it detects that the connection is closed.
pub async fn abort_connection<T>(io: Option<&IoRef>) -> T {
    if let Some(io) = io {
        io.send_buf().ok();
        io.terminate();
    }
    std::future::pending().await
}

/// Closes the connection without a response.
pub async fn close_unanswered(req: &HttpRequest) -> HttpResponse {
    abort_connection(req.io()).await
}

/// Writes `text` unchanged and closes the connection after it, so that the
/// server's own response never follows.
pub async fn send_and_close(req: &HttpRequest, text: &str) -> HttpResponse {
    if let Some(io) = req.io() {
        io.encode_slice(text.as_bytes()).ok();
    }
    abort_connection(req.io()).await
}

/// A complete JSON response as bytes on the connection.
pub fn raw_json(body: &str) -> String {
    let length = body.len();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length:";
    format!("{head} {length}\r\n\r\n{body}")
}

/// Locks a mutex, even if a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
