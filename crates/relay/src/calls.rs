//! Calls to endpoints and their results.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, header};
use peatdeck_core::{
    model::{EndpointName, Load},
    relay::{
        events::Splitter,
        model::{
            BodyEnd, Call, CallKey, EndpointKey, Failure, Handle, Piece, PieceResult, ProbeResult,
            ReplyContent, ReplyHead,
        },
        paths::Detour,
    },
};

use crate::{
    call_error,
    correlation::Correlation,
    decisions,
    dialect::PostRequest,
    driver::{self, Driver, Reply},
    outgoing, step,
};

/// Largest whole reply that is forwarded to a caller, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;
/// Largest reply to a call that the relay makes itself, as for pieces, in bytes.
const MAX_OWN_REPLY_BYTES: usize = 1 << 20;
/// Time limit of a call for pieces. An endpoint that is five times slower than usual
/// is still worth waiting for.
const PIECES_TIMEOUT: Duration = Duration::from_secs(6);
/// Time limit for an engine to list its prompt parts. A later list is of little use.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of a call that frees results.
const FREE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call got no complete reply.
struct Failed {
    failure: Failure,
    cause: String,
    /// Whether a peer did not make the call, for a reason that does not concern the endpoint.
    is_detour_refused: bool,
}

impl Failed {
    fn new(failure: Failure, cause: impl ToString) -> Failed {
        Failed { failure, cause: cause.to_string(), is_detour_refused: false }
    }
}

impl From<call_error::Error> for Failed {
    fn from(error: call_error::Error) -> Failed {
        let is_detour_refused = error.is_detour_refused();
        Failed { is_detour_refused, ..Failed::new(error.failure(), error) }
    }
}

/// Makes a call for an exchange and reports the outcome to the machine.
pub async fn run(driver: Rc<Driver>, call: Call) {
    let Some(request) = driver.request_of(call.exchange) else { return };
    let started = driver.now();
    let outcome = call_endpoint(&driver, &call, &request).await;
    let Err(failed) = outcome else { return };
    let took = driver.now().saturating_sub(started).as_millis() as u64;
    let Failed { failure, cause, is_detour_refused } = failed;
    decisions::log_failure(&request.id, &call.endpoint, failure, &cause, took);
    driver.metrics.count("relay.calls_failed", 1);
    if failure == Failure::Foreign {
        driver.metrics.count("relay.replies_foreign", 1);
    }
    driver.on_call_failure(call.key, failure, is_detour_refused);
}

/// Probes whether an endpoint that cut calls has crashed or only its connections broke.
pub async fn probe(driver: Rc<Driver>, endpoint: EndpointKey, addr: Arc<str>) {
    let probed = driver.pool.probe(&addr).await;
    driver.metrics.count("relay.endpoints_probed", 1);
    tracing::info!(event = "endpoint_probed", addr = &*addr, probed = ?probed);
    driver.feed(|machine, now| machine.on_probe(now, endpoint, probed));
}

/// Tries whether a new connection to an endpoint can be opened again, and with `is_silent`
/// whether an answer comes on it.
pub async fn check_path(
    driver: Rc<Driver>,
    endpoint: EndpointKey,
    addr: Arc<str>,
    is_silent: bool,
) {
    let is_open = match is_silent {
        true => step::has_answer(&driver, &addr).await,
        false => driver.pool.probe(&addr).await == ProbeResult::There,
    };
    driver.feed(|machine, now| machine.on_path_check(now, endpoint, is_open));
}

/// Checks whether an endpoint from which nothing has come for a while answers.
pub async fn check_answer(driver: Rc<Driver>, endpoint: EndpointKey, addr: Arc<str>) {
    let has_answered = step::has_answer(&driver, &addr).await;
    driver.metrics.count("relay.silences_checked", 1);
    driver.feed(|machine, now| machine.on_answer_check(now, endpoint, has_answered));
}

async fn call_endpoint(
    driver: &Rc<Driver>,
    call: &Call,
    request: &driver::Request,
) -> Result<(), Failed> {
    let started = driver.now();
    let request_out = outgoing_request(driver, call, request);
    let request_out = request_out.map_err(|error| Failed::new(Failure::Unsent, error))?;
    let via = call.via.as_ref();
    let dialect = &driver.platform.dialect;
    let sent = outgoing::send(driver, &call.addr, via, dialect.correlation(), request_out).await;
    let (parts, mut body) = sent?;
    let head = dialect.reply_head(parts.status, &parts.headers);
    let took = driver.now().saturating_sub(started);
    driver.metrics.time("relay.first_byte", took);
    if head.is_not_run {
        driver.metrics.count("relay.replies_not_run", 1);
    }
    let connection = body.connection_use();
    decisions::log_reply(&request.id, call, &head, connection, took.as_millis() as u64);
    let headers = dialect.reply_headers(parts.headers);
    let mut reply = Reply { status: parts.status, headers, body: Bytes::new() };
    if driver.feed(|machine, now| machine.on_reply_head(now, call.key, &head)) {
        driver.store_head(call.key, reply);
        return forward_stream(driver, call, body).await;
    }
    let whole = body.read_whole(MAX_REPLY_BYTES, &driver.reply_memory).await;
    reply.body = whole.map_err(|cause| Failed::new(Failure::Cut, cause))?;
    let is_empty = parts.status.is_success() && reply.body.is_empty();
    let content = if is_empty { ReplyContent::EmptySuccess } else { ReplyContent::Whole };
    ensure_whole(driver, call, &mut body, content).await?;
    body.release(&driver.pool);
    driver.on_reply(call.key, &head, reply);
    Ok(())
}

/// Forwards a stream's events to the caller, one by one.
async fn forward_stream(
    driver: &Rc<Driver>,
    call: &Call,
    mut body: outgoing::Body,
) -> Result<(), Failed> {
    let mut splitter = Splitter::default();
    let mut events = 0;
    while let Some(data) = body.next_data().await {
        let data = data.map_err(|cause| Failed::new(Failure::Cut, cause))?;
        splitter.push(&data);
        let next = |splitter: &mut Splitter| {
            splitter.next_event().map_err(|error| Failed::new(Failure::Foreign, error))
        };
        while let Some(event) = next(&mut splitter)? {
            if driver.feed(|machine, now| machine.on_stream_event(now, call.key, event.id)) {
                events += 1;
                driver.send_event(call.exchange, event.bytes);
            }
        }
        driver.wait_for_caller(call.exchange).await;
    }
    if !splitter.incomplete().is_empty() {
        return Err(Failed::new(Failure::Cut, "the stream ended in the middle of an event"));
    }
    ensure_whole(driver, call, &mut body, ReplyContent::Events(events)).await?;
    body.release(&driver.pool);
    driver.forget_call(call.key);
    driver.feed(|machine, now| machine.on_stream_end(now, call.key));
    Ok(())
}

/// Fails unless a reply that has ended is whole.
async fn ensure_whole(
    driver: &Rc<Driver>,
    call: &Call,
    body: &mut outgoing::Body,
    content: ReplyContent,
) -> Result<(), Failed> {
    let end = body.check_end(driver).await;
    let is_whole = driver.inspect(|machine| machine.is_whole(call.exchange, end, content));
    if !is_whole || !matches!(end, BodyEnd::Framed | BodyEnd::Outlived) {
        driver.metrics.count("relay.ends_doubted", 1);
        tracing::info!(event = "end_doubted", endpoint = &*call.endpoint, end = ?end, content = ?content, is_whole);
    }
    match is_whole {
        true => Ok(()),
        false => Err(Failed::new(Failure::Cut, "the reply has no length and may not be whole")),
    }
}

/// Calls an endpoint to run pieces and reports the outcome to the machine.
pub async fn run_pieces(
    driver: Rc<Driver>,
    call: CallKey,
    endpoint: EndpointName,
    addr: Arc<str>,
    via: Option<Detour>,
    pieces: Vec<Piece>,
) {
    let dialect = &driver.platform.dialect;
    let request = (dialect.encode_pieces)(&pieces, driver.now());
    let started = driver.now();
    let posted =
        post(&driver, &addr, via.as_ref(), dialect.correlation(), Some(&endpoint), request);
    let reply = match tokio::time::timeout(PIECES_TIMEOUT, posted).await {
        Ok(reply) => reply,
        Err(_) => Err(Failed::new(Failure::Cut, "no reply in time")),
    };
    let took = driver.now().saturating_sub(started).as_millis() as u64;
    driver.forget_call(call);
    if let Ok((head, _)) = &reply {
        driver.feed(|machine, now| machine.on_reply_terms(now, call, head));
    }
    match reply {
        Err(Failed { failure, cause, is_detour_refused }) => {
            tracing::warn!(event = "make_failed", call = ?call, endpoint = &*endpoint, failure = ?failure, cause, took_ms = took);
            driver.feed(|machine, now| match is_detour_refused {
                true => machine.on_detour_refused(now, call),
                false => machine.on_pieces_failure(now, call, failure, false),
            });
        }
        Ok((head, _)) if head.is_not_run => {
            tracing::info!(event = "make_refused", call = ?call, endpoint = &*endpoint, status = head.status, took_ms = took);
            driver.feed(|machine, now| machine.on_pieces_failure(now, call, Failure::Cut, true));
        }
        Ok((head, body)) => handle_results(&driver, call, &endpoint, &pieces, head, &body, took),
    }
}

fn handle_results(
    driver: &Rc<Driver>,
    call: CallKey,
    endpoint: &str,
    pieces: &[Piece],
    head: ReplyHead,
    body: &[u8],
    took_ms: u64,
) {
    let results = (driver.platform.dialect.decode_results)(body);
    let results = results.filter(|results| results.len() == pieces.len());
    let Some(results) = results else {
        let status = head.status;
        tracing::warn!(event = "make_unreadable", call = ?call, endpoint, status, took_ms);
        driver.feed(|machine, now| machine.on_pieces_failure(now, call, Failure::Foreign, false));
        return;
    };
    log_results(call, endpoint, &results, head.load, took_ms);
    driver.metrics.time("relay.piece_call", Duration::from_millis(took_ms));
    driver.feed(|machine, now| machine.on_pieces_made(now, call, results, head.load));
}

fn log_results(
    call: CallKey,
    endpoint: &str,
    results: &[PieceResult],
    load: Option<Load>,
    took_ms: u64,
) {
    let failures: Vec<_> = results.iter().filter_map(|result| result.as_ref().err()).collect();
    let count = results.len();
    let load = load.map(|load| format!("{},{},{}", load.running, load.queued, load.places));
    tracing::info!(event = "made", call = ?call, endpoint, count, failures = ?failures, load, took_ms);
}

/// Frees results at an endpoint. A failure is not retried, since results expire.
pub async fn free_results(driver: Rc<Driver>, addr: Arc<str>, handles: Vec<Handle>) {
    let request = (driver.platform.dialect.encode_free)(&handles);
    let via = driver.feed(|machine, now| machine.detour_to_addr(now, &addr));
    let posted = post(&driver, &addr, via.as_ref(), Correlation::Ignored, None, request);
    if !matches!(tokio::time::timeout(FREE_TIMEOUT, posted).await, Ok(Ok(_))) {
        driver.metrics.count("relay.frees_failed", 1);
    }
}

/// Asks an engine which parts of prompts it holds. An engine that does not answer is
/// assumed to hold none.
pub async fn list_parts(driver: Rc<Driver>, endpoint: EndpointKey, addr: Arc<str>) {
    let path = driver.platform.dialect.parts_path;
    let request = Request::get(path).header(header::HOST, &*addr).body(Bytes::new());
    let listed = async {
        let request = request.map_err(|error| Failed::new(Failure::Unsent, error))?;
        fetch(&driver, &addr, None, driver.platform.dialect.correlation(), request).await
    };
    let listed = match tokio::time::timeout(LIST_TIMEOUT, listed).await {
        Ok(Ok((head, body))) if head.status == 200 => (driver.platform.dialect.decode_parts)(&body),
        _ => None,
    };
    let count = listed.as_ref().map(|listed| listed.parts.len());
    tracing::debug!(event = "parts_listed", addr = &*addr, count);
    match listed {
        Some(listed) => driver.feed(|machine, now| machine.on_parts_listed(now, endpoint, &listed)),
        None => driver.metrics.count("relay.lists_failed", 1),
    }
}

async fn post(
    driver: &Rc<Driver>,
    addr: &Arc<str>,
    via: Option<&Detour>,
    correlation: Correlation<'_>,
    endpoint: Option<&str>,
    post_request: PostRequest,
) -> Result<(ReplyHead, Bytes), Failed> {
    let names = &driver.platform.dialect.names;
    let mut request = Request::post(post_request.path)
        .header(header::HOST, &**addr)
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(endpoint) = endpoint {
        request = request.header(&names.endpoint, endpoint);
    }
    let request = request.body(post_request.body);
    let request = request.map_err(|error| Failed::new(Failure::Unsent, error))?;
    fetch(driver, addr, via, correlation, request).await
}

/// Makes a call of the relay's own, for no caller, and reads its whole reply.
async fn fetch(
    driver: &Rc<Driver>,
    addr: &Arc<str>,
    via: Option<&Detour>,
    correlation: Correlation<'_>,
    request: Request<Bytes>,
) -> Result<(ReplyHead, Bytes), Failed> {
    let dialect = &driver.platform.dialect;
    let (parts, mut body) = outgoing::send(driver, addr, via, correlation, request).await?;
    let whole = body.read_whole(MAX_OWN_REPLY_BYTES, &driver.reply_memory).await;
    let whole = whole.map_err(|cause| Failed::new(Failure::Cut, cause))?;
    body.release(&driver.pool);
    Ok((dialect.reply_head(parts.status, &parts.headers), whole))
}

fn outgoing_request(
    driver: &Driver,
    call: &Call,
    request: &driver::Request,
) -> Result<Request<Bytes>, http::uri::InvalidUri> {
    let mut outgoing = Request::new(request.body.clone());
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.parse()?;
    *outgoing.headers_mut() = driver.platform.dialect.call_headers(call, &request.headers);
    Ok(outgoing)
}
