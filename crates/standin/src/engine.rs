//! A model engine: many calls at once, tokens streamed as lines of JSON.
//!
//! A call waits for a place, reads its prompt (faster where the prefix is
//! cached), then sends a token at a time. Each further running call slows the
//! tokens of all, as in a continuous batch. A call stops as soon as it is
//! cancelled or its connection is closed.

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
    endpoint::{self, Call, Endpoint, Taken},
    places::Ticket,
    reply,
};

/// What a cached prefix leaves of the prompt's time.
const CACHED_SHARE: f64 = 0.2;

/// What goes into the body of a reply.
type Line = Result<Bytes, Cut>;
type Lines = mpsc::UnboundedSender<Line>;

/// The stream ends here, without its last line.
struct Cut;

/// Adds an engine's resources.
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
    let (tx, rx) = mpsc::unbounded_channel();
    let io = req.io().cloned();
    ntex::rt::spawn(run(Arc::clone(&endpoint), taken, tx, io.clone()));
    HttpResponse::Ok().content_type("application/x-ndjson").streaming(stream_body(rx, io))
}

/// The reply's body. A cut closes the connection behind what was sent before
/// it, without the mark that ends a whole body.
fn stream_body(
    lines: mpsc::UnboundedReceiver<Line>,
    io: Option<IoRef>,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Unpin {
    let body = stream::unfold((lines, io), async |(mut lines, io)| match lines.recv().await? {
        Ok(line) => Some((Ok(line), (lines, io))),
        Err(Cut) => reply::break_off(io.as_ref()).await,
    });
    Box::pin(body)
}

async fn run(endpoint: Arc<Endpoint>, taken: Taken, lines: Lines, io: Option<IoRef>) {
    let Taken { call, ticket, cancelled } = taken;
    let work = generate(&endpoint, call, ticket, &lines);
    tokio::select! {
        () = work => {}
        () = gone(&lines, io.as_ref()) => {}
        () = stopped(cancelled) => {
            lines.send(Err(Cut)).ok();
        }
    }
}

/// Resolves when the caller's connection is closed.
async fn gone(lines: &Lines, io: Option<&IoRef>) {
    let Some(io) = io else { return lines.closed().await };
    tokio::select! {
        () = lines.closed() => {}
        () = io.on_disconnect() => {}
    }
}

/// Resolves when the call is cancelled, not when it ends.
async fn stopped(cancelled: oneshot::Receiver<()>) {
    if cancelled.await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn generate(endpoint: &Endpoint, mut call: Call, ticket: Ticket, lines: &Lines) {
    let place = ticket.place().await;
    call.start(place);
    read_prompt(endpoint, &call).await;
    if call.faults.hang {
        std::future::pending::<()>().await;
    }
    let pieces = pieces(&call);
    let total = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
    let held = u32::try_from(call.body.resume.len()).unwrap_or(u32::MAX);
    let mut sender = Sender::new(&call, lines);
    for (idx, piece) in (0..total).zip(pieces).skip(held as usize) {
        if idx > held {
            time::sleep(token_time(endpoint, &call)).await;
        }
        call.count_token();
        if sender.chunk(idx, piece).is_err() {
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
    let is_doubled = call.faults.duplicate;
    call.end(CallState::Finished);
    let load = Some(endpoint.reported());
    let done = EngineLine::Done { echo, done: true, tokens: total, load };
    send(lines, &done, is_doubled);
}

async fn read_prompt(endpoint: &Endpoint, call: &Call) {
    let is_cached = endpoint.touch_prefix(&call.body.input);
    let share = if is_cached { CACHED_SHARE } else { 1.0 };
    let prompt = call.stretched(endpoint.settings.call_ms * share);
    time::sleep(call.delay() + prompt).await;
}

fn token_time(endpoint: &Endpoint, call: &Call) -> time::Duration {
    let others = f64::from(endpoint.running().saturating_sub(1));
    let batch = 1.0 + endpoint.settings.batch_cost * others;
    call.stretched(endpoint.settings.token_ms * batch)
}

fn pieces(call: &Call) -> Vec<String> {
    let body = &call.body;
    answer::tokens(&body.stage, &call.answered(), &body.input, body.max_tokens)
}

/// Sends chunks, and breaks them as the faults ask for.
struct Sender<'a> {
    lines: &'a Lines,
    echo: Echo,
    is_doubled: bool,
    is_reordered: bool,
    left: Option<u32>,
    kept_back: Option<EngineLine>,
}

impl<'a> Sender<'a> {
    fn new(call: &Call, lines: &'a Lines) -> Sender<'a> {
        Sender {
            lines,
            echo: call.echoed(),
            is_doubled: call.faults.duplicate,
            is_reordered: call.faults.reorder,
            left: call.faults.cut_after,
            kept_back: None,
        }
    }

    fn is_cut(&self) -> bool {
        self.left == Some(0)
    }

    fn chunk(&mut self, index: u32, text: String) -> Result<(), Cut> {
        if self.is_cut() {
            self.lines.send(Err(Cut)).ok();
            return Err(Cut);
        }
        self.left = self.left.map(|left| left - 1);
        let line = EngineLine::Chunk { echo: self.echo.clone(), index, text: text.into() };
        if self.is_reordered && self.kept_back.is_none() {
            self.kept_back = Some(line);
            return Ok(());
        }
        self.send(&line);
        self.flush();
        Ok(())
    }

    fn flush(&mut self) {
        if let Some(line) = self.kept_back.take() {
            self.send(&line);
        }
    }

    fn send(&self, line: &EngineLine) {
        send(self.lines, line, self.is_doubled);
    }
}

fn send(lines: &Lines, line: &EngineLine, is_doubled: bool) {
    let mut text = serde_json::to_string(line).expect("a line has string keys only");
    text.push('\n');
    let copies = if is_doubled { 2 } else { 1 };
    for _ in 0..copies {
        lines.send(Ok(Bytes::from(text.clone()))).ok();
    }
}
