//! A plain service: one reply per call.
//!
//! The work continues when the connection is lost, as in a service with side
//! effects; only a cancel request stops it.

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
    endpoint::{self, AcceptedCall, Call, Endpoint},
    places::Ticket,
    reply,
};

/// A call whose work is done, and how to send its reply.
struct FinishedCall {
    body: ReplyBody,
    cut_after: Option<u32>,
    is_duplicated: bool,
}

/// Adds the routes of a service.
pub fn configure(cfg: &mut web::ServiceConfig, endpoint: Arc<Endpoint>) {
    endpoint::configure(cfg, endpoint);
    cfg.route("/v1/call", web::post().to(call));
}

async fn call(
    req: HttpRequest,
    endpoint: types::State<Arc<Endpoint>>,
    body: types::Json<CallBody>,
) -> HttpResponse {
    let body = body.into_inner();
    let echo = body.echo.clone();
    let accepted = match endpoint.accept(body) {
        Ok(accepted) => accepted,
        Err(reason) => return endpoint::refusal(&endpoint, echo, reason),
    };
    let (tx, rx) = oneshot::channel();
    let worker = Arc::clone(&endpoint);
    ntex::rt::spawn(async move {
        if let Some(finished) = run(&worker, accepted).await {
            tx.send(finished).ok();
        }
    });
    match rx.await {
        Ok(finished) => send(&req, finished).await,
        Err(oneshot::Canceled) => reply::close_unanswered(&req).await,
    }
}

/// Runs the call; `None` if it was cancelled.
async fn run(endpoint: &Endpoint, accepted: AcceptedCall) -> Option<FinishedCall> {
    let AcceptedCall { call, ticket, cancelled } = accepted;
    tokio::select! {
        finished = work(endpoint, call, ticket) => Some(finished),
        Ok(()) = cancelled => None,
    }
}

async fn work(endpoint: &Endpoint, mut call: Call, ticket: Ticket) -> FinishedCall {
    let slot = ticket.slot().await;
    call.start(slot);
    time::sleep(call.delay() + call.scaled(endpoint.settings.call_ms)).await;
    if call.faults.hang {
        std::future::pending::<()>().await;
    }
    let output = answer::service_output(&call.body.stage, &call.output_request(), &call.body.input);
    let echo = call.reply_echo();
    let cut_after = call.faults.cut_after;
    let is_duplicated = call.faults.duplicate;
    let state = if cut_after.is_some() { CallState::Cut } else { CallState::Finished };
    call.end(state);
    let body = ReplyBody { echo, output: output.into(), load: Some(endpoint.reported_load()) };
    FinishedCall { body, cut_after, is_duplicated }
}

async fn send(req: &HttpRequest, finished: FinishedCall) -> HttpResponse {
    let text = serde_json::to_string(&finished.body).expect("a reply has string keys only");
    if finished.is_duplicated {
        send_early_copy(req, &text);
    }
    match finished.cut_after {
        None => reply::json(StatusCode::OK, &finished.body),
        Some(0) => reply::close_unanswered(req).await,
        Some(bytes) => reply::send_and_close(req, &cut_response(&text, bytes as usize)).await,
    }
}

/// Writes a complete response before the one that the server writes, so that
/// the caller receives a second response to one request.
fn send_early_copy(req: &HttpRequest, text: &str) {
    let Some(io) = req.io() else { return };
    io.encode_slice(reply::raw_json(text).as_bytes()).ok();
}

/// A response truncated after `bytes` of its body, and before the body's end.
fn cut_response(text: &str, bytes: usize) -> String {
    let whole = reply::raw_json(text);
    let head = whole.len() - text.len();
    let kept = bytes.min(text.len().saturating_sub(1));
    whole[..head + kept].to_owned()
}
