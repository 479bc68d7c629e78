//! A plain service: one reply a call.
//!
//! The work goes on when the connection is lost, as it does in a service that
//! has effects of its own; only a cancel stops it.

use std::sync::Arc;

use futures::channel::oneshot;
use ntex::{
    http::StatusCode,
    web::{self, HttpRequest, HttpResponse, types},
};
use peatdeck_wire::endpoint::{CallBody, ReplyBody};
use tokio::time;

use crate::{
    answer,
    calls::CallState,
    endpoint::{self, Call, Endpoint, Taken},
    places::Ticket,
    reply,
};

/// The work is done and this is what to send.
struct Done {
    body: ReplyBody,
    cut_after: Option<u32>,
    is_doubled: bool,
}

/// Adds a service's resources.
pub fn configure(cfg: &mut web::ServiceConfig, endpoint: Arc<Endpoint>) {
    endpoint::configure(cfg, endpoint);
    cfg.route("/v1/call", web::post().to(call));
}

async fn call(
    req: HttpRequest,
    endpoint: types::State<Arc<Endpoint>>,
    body: types::Json<CallBody>,
) -> HttpResponse {
    let taken = match endpoint.take(body.into_inner()) {
        Ok(taken) => taken,
        Err(reason) => return endpoint::refusal(&endpoint, reason),
    };
    let (tx, rx) = oneshot::channel();
    let worker = Arc::clone(&endpoint);
    ntex::rt::spawn(async move {
        if let Some(done) = run(&worker, taken).await {
            tx.send(done).ok();
        }
    });
    match rx.await {
        Ok(done) => send(&req, done).await,
        Err(oneshot::Canceled) => reply::hang_up(&req).await,
    }
}

/// The reply; `None` when the call was cancelled.
async fn run(endpoint: &Endpoint, taken: Taken) -> Option<Done> {
    let Taken { call, ticket, cancelled } = taken;
    tokio::select! {
        done = work(endpoint, call, ticket) => Some(done),
        Ok(()) = cancelled => None,
    }
}

async fn work(endpoint: &Endpoint, mut call: Call, ticket: Ticket) -> Done {
    let place = ticket.place().await;
    call.start(place);
    time::sleep(call.delay() + call.stretched(endpoint.settings.call_ms)).await;
    if call.faults.hang {
        std::future::pending::<()>().await;
    }
    let output = answer::service_output(&call.body.stage, &call.answered(), &call.body.input);
    let echo = call.echoed();
    let cut_after = call.faults.cut_after;
    let is_doubled = call.faults.duplicate;
    let state = if cut_after.is_some() { CallState::Cut } else { CallState::Finished };
    call.end(state);
    let body = ReplyBody { echo, output: output.into(), load: Some(endpoint.reported()) };
    Done { body, cut_after, is_doubled }
}

async fn send(req: &HttpRequest, done: Done) -> HttpResponse {
    let text = serde_json::to_string(&done.body).expect("a reply has string keys only");
    if done.is_doubled {
        send_early_copy(req, &text);
    }
    match done.cut_after {
        None => reply::json(StatusCode::OK, &done.body),
        Some(0) => reply::hang_up(req).await,
        Some(bytes) => reply::cut(req, &cut_response(&text, bytes as usize)).await,
    }
}

/// Writes one whole response ahead of the one that the server will write, so
/// that a second response stands on the connection, unasked for.
fn send_early_copy(req: &HttpRequest, text: &str) {
    let Some(io) = req.io() else { return };
    io.encode_slice(reply::raw_json(text).as_bytes()).ok();
}

/// The response without the end of its body; `bytes` of the body remain.
fn cut_response(text: &str, bytes: usize) -> String {
    let whole = reply::raw_json(text);
    let head = whole.len() - text.len();
    let kept = bytes.min(text.len().saturating_sub(1));
    whole[..head + kept].to_owned()
}
