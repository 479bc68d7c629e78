//! Replies, right and broken ones.

use std::sync::{Mutex, MutexGuard, PoisonError};

use ntex::{
    http::StatusCode,
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

/// Closes the connection without an answer. The server drops the handler's
/// future as soon as it sees the connection gone.
pub async fn hang_up(req: &HttpRequest) -> HttpResponse {
    if let Some(io) = req.io() {
        io.terminate();
    }
    std::future::pending().await
}

/// Locks; what a panicking holder left behind is used as it is.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
