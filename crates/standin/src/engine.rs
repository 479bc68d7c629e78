//! A model engine: concurrent calls, tokens streamed as lines of JSON.
//!
//! A call waits for a slot, prefills its prompt (faster if the prefix is
//! cached), then sends one token at a time. Each further running call slows
//! down the tokens of all, as in a continuous batch. A call stops as soon as it
//! is cancelled or its connection is closed.

use std::{convert::Infallible, sync::Arc};

use futures::{Stream, stream};
use ntex::{
    io::IoRef,
    util::Bytes,
    web::{self, HttpRequest, HttpResponse, types},
};
use peatdeck_core::model::Echo;
use peatdeck_wire::endpoint::{CallBody, EngineLine};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    answer,
    calls::CallState,
    endpoint::{self, AcceptedCall, Call, Endpoint},
    places::Ticket,
    reply,
};

/// Share of the prefill time that remains if the prompt's prefix is cached.
const CACHED_PROMPT_SHARE: f64 = 0.2;

/// An item of a reply's body.
type Line = Result<Bytes, Cut>;
type Lines = mpsc::UnboundedSender<Line>;

/// Ends the stream without its last line.
struct Cut;

/// Adds the routes of an engine.
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
    let (tx, rx) = mpsc::unbounded_channel();
    let io = req.io().cloned();
    ntex::rt::spawn(run(Arc::clone(&endpoint), accepted, tx, io.clone()));
    HttpResponse::Ok().content_type("application/x-ndjson").streaming(stream_body(rx, io))
}

/// The reply's body. [`Cut`] closes the connection after the lines sent before
/// it, without the final chunk that ends a complete HTTP body.
fn stream_body(
    lines: mpsc::UnboundedReceiver<Line>,
    io: Option<IoRef>,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Unpin {
    let body = stream::unfold((lines, io), async |(mut lines, io)| match lines.recv().await? {
        Ok(line) => Some((Ok(line), (lines, io))),
        Err(Cut) => reply::abort_connection(io.as_ref()).await,
    });
    Box::pin(body)
}

async fn run(endpoint: Arc<Endpoint>, accepted: AcceptedCall, lines: Lines, io: Option<IoRef>) {
    let AcceptedCall { call, ticket, cancelled } = accepted;
    let work = generate(&endpoint, call, ticket, &lines);
    tokio::select! {
        () = work => {}
        () = caller_disconnected(&lines, io.as_ref()) => {}
        () = call_cancelled(cancelled) => {
            lines.send(Err(Cut)).ok();
        }
    }
}

/// Resolves when the caller's connection is closed.
async fn caller_disconnected(lines: &Lines, io: Option<&IoRef>) {
    let Some(io) = io else { return lines.closed().await };
    tokio::select! {
        () = lines.closed() => {}
        () = io.on_disconnect() => {}
    }
}

/// Resolves when the call is cancelled, not when it ends.
async fn call_cancelled(cancelled: oneshot::Receiver<()>) {
    if cancelled.await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn generate(endpoint: &Endpoint, mut call: Call, ticket: Ticket, lines: &Lines) {
    let slot = ticket.slot().await;
    call.start(slot);
    prefill(endpoint, &call).await;
    if call.faults.hang {
        std::future::pending::<()>().await;
    }
    let tokens = output_tokens(&call);
    let total = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
    let resumed = u32::try_from(call.body.resume.len()).unwrap_or(u32::MAX);
    let mut sender = LineSender::new(&call, lines);
    for (idx, token) in (0..total).zip(tokens).skip(resumed as usize) {
        if idx > resumed {
            time::sleep(token_time(endpoint, &call)).await;
        }
        call.count_token();
        if sender.chunk(idx, token).is_err() {
            call.end(CallState::Cut);
            return;
        }
    }
    sender.flush();
    if sender.is_cut() {
        lines.send(Err(Cut)).ok();
        call.end(CallState::Cut);
        return;
    }
    let echo = sender.echo.clone();
    let is_duplicated = call.faults.duplicate;
    call.end(CallState::Finished);
    let load = Some(endpoint.reported_load());
    let done = EngineLine::Done { echo, done: true, tokens: total, load };
    send(lines, &done, is_duplicated);
}

async fn prefill(endpoint: &Endpoint, call: &Call) {
    let is_cached = endpoint.touch_prefix(&call.body.input);
    let share = if is_cached { CACHED_PROMPT_SHARE } else { 1.0 };
    let prompt = call.scaled(endpoint.settings.call_ms * share);
    time::sleep(call.delay() + prompt).await;
}

fn token_time(endpoint: &Endpoint, call: &Call) -> time::Duration {
    let others = f64::from(endpoint.running().saturating_sub(1));
    let batch = 1.0 + endpoint.settings.batch_cost * others;
    call.scaled(endpoint.settings.token_ms * batch)
}

fn output_tokens(call: &Call) -> Vec<String> {
    let body = &call.body;
    answer::tokens(&body.stage, &call.output_request(), &body.input, body.max_tokens)
}

/// Sends chunks, with the faults applied that are set for the call.
struct LineSender<'a> {
    lines: &'a Lines,
    echo: Echo,
    is_duplicated: bool,
    is_reordered: bool,
    chunks_left: Option<u32>,
    delayed: Option<EngineLine>,
}

impl<'a> LineSender<'a> {
    fn new(call: &Call, lines: &'a Lines) -> LineSender<'a> {
        LineSender {
            lines,
            echo: call.reply_echo(),
            is_duplicated: call.faults.duplicate,
            is_reordered: call.faults.reorder,
            chunks_left: call.faults.cut_after,
            delayed: None,
        }
    }

    fn is_cut(&self) -> bool {
        self.chunks_left == Some(0)
    }

    fn chunk(&mut self, index: u32, text: String) -> Result<(), Cut> {
        if self.is_cut() {
            self.lines.send(Err(Cut)).ok();
            return Err(Cut);
        }
        self.chunks_left = self.chunks_left.map(|left| left - 1);
        let line = EngineLine::Chunk { echo: self.echo.clone(), index, text: text.into() };
        if self.is_reordered && self.delayed.is_none() {
            self.delayed = Some(line);
            return Ok(());
        }
        self.send(&line);
        self.flush();
        Ok(())
    }

    fn flush(&mut self) {
        if let Some(line) = self.delayed.take() {
            self.send(&line);
        }
    }

    fn send(&self, line: &EngineLine) {
        send(self.lines, line, self.is_duplicated);
    }
}

fn send(lines: &Lines, line: &EngineLine, is_duplicated: bool) {
    let mut text = serde_json::to_string(line).expect("a line has string keys only");
    text.push('\n');
    let copies = if is_duplicated { 2 } else { 1 };
    for _ in 0..copies {
        lines.send(Ok(Bytes::from(text.clone()))).ok();
    }
}
