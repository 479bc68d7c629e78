//! Callers' requests and their answers.

use std::{cell::Cell, io, rc::Rc};

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt, future::Either};
use http::{HeaderMap, HeaderName, HeaderValue, header};
use ntex::{
    http::{self as server, Response, ResponseBuilder},
    io::IoRef,
};
use peatdeck_core::relay::model::{Arrival, Refusal};

use crate::driver::{Driver, Reply, ReplyPart, ReplyReceiver, Request};

/// When a caller that an instance which stops cannot serve should come back,
/// in seconds: at once, to another instance.
const COME_BACK: f64 = 0.05;

/// Why a body was not taken in.
enum Rejected {
    /// It is larger than allowed.
    TooLarge,
    /// All memory for bodies is taken.
    NoMemory,
    /// The caller broke off.
    Incomplete,
}

/// Bytes of callers' bodies that are held now.
#[derive(Debug, Default)]
pub struct BodyMemory {
    held: Cell<usize>,
}

/// Bytes that one body holds until it is dropped.
struct Held {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl Held {
    fn grow(&mut self, bytes: usize, limit: usize) -> bool {
        let total = self.memory.held.get() + bytes;
        if total > limit {
            return false;
        }
        self.memory.held.set(total);
        self.bytes += bytes;
        true
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.memory.held.set(self.memory.held.get() - self.bytes);
    }
}

/// Answers one request.
///
/// # Errors
/// None; the type is what the server asks for.
pub async fn answer(
    driver: Rc<Driver>,
    memory: Rc<BodyMemory>,
    mut req: server::Request,
) -> Result<Response, io::Error> {
    let headers = read_headers(&req);
    let arrival = match driver.platform.dialect.arrival(req.path(), &headers) {
        Ok(arrival) => arrival,
        Err(error) => {
            driver.metrics.count("relay.malformed", 1);
            tracing::warn!(event = "malformed", error = %error);
            return Ok(plain(&driver, 400, &error.to_string()));
        }
    };
    let mut held = Held { memory, bytes: 0 };
    let body = match read_body(&driver, &mut req, &mut held).await {
        Ok(body) => body,
        Err(rejected) => return Ok(reject(&driver, &arrival.id, &rejected)),
    };
    let target = req.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let method = req.method().clone();
    let request = Request { id: arrival.id.clone(), method, target, headers, body };
    if driver.is_refusing() {
        driver.metrics.count("relay.refused.closed", 1);
        tracing::info!(event = "refuse", id = &*request.id, reason = "stopping", status = 503);
        return Ok(refuse(&driver, Refusal::Unserved, Some(COME_BACK)));
    }
    let waited = driver.wait_for_tables().await;
    let deadline = arrival.deadline.map(|deadline| deadline.saturating_sub(waited));
    let arrival = Arrival { deadline, ..arrival };
    let mut waiter = match driver.submit(arrival, request) {
        Ok(waiter) => waiter,
        Err(refusal) => return Ok(refuse(&driver, refusal, None)),
    };
    let response = match waiter.parts.next().await {
        Some(ReplyPart::Whole(reply)) => whole(&driver, reply),
        Some(ReplyPart::Head(head)) => stream(&driver, head, waiter, req.io().cloned(), held),
        Some(ReplyPart::Refused { refusal, retry_after }) => {
            refuse(&driver, refusal, retry_after.map(|after| after.as_secs_f64()))
        }
        Some(ReplyPart::Event(_) | ReplyPart::End | ReplyPart::Broken) | None => {
            refuse(&driver, Refusal::Failed, None)
        }
    };
    Ok(response)
}

fn read_headers(req: &server::Request) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(req.headers().len());
    for (name, value) in req.headers() {
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name.as_str()), value) {
            headers.append(name, value);
        }
    }
    headers
}

async fn read_body(
    driver: &Driver,
    req: &mut server::Request,
    held: &mut Held,
) -> Result<Bytes, Rejected> {
    let limit = driver.inspect(|machine| machine.config().map(|config| config.limits.max_body));
    let limit = limit.unwrap_or(driver.settings.body_memory);
    let mut body = BytesMut::new();
    while let Some(chunk) = req.payload().next().await {
        let chunk = chunk.map_err(|_| Rejected::Incomplete)?;
        if body.len() + chunk.len() > limit {
            return Err(Rejected::TooLarge);
        }
        if !held.grow(chunk.len(), driver.settings.body_memory) {
            return Err(Rejected::NoMemory);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn reject(driver: &Driver, id: &str, rejected: &Rejected) -> Response {
    let (status, reason) = match rejected {
        Rejected::TooLarge => (413, "the body is larger than allowed; send less"),
        Rejected::NoMemory => (503, "no memory is left for bodies; nothing ran; send it again"),
        Rejected::Incomplete => (400, "the body ended early; send the request again"),
    };
    driver.metrics.count("relay.bodies_rejected", 1);
    tracing::warn!(event = "body_rejected", id, status);
    let mut response = plain(driver, status, reason);
    response.head_mut().set_connection_type(server::ConnectionType::Close);
    response
}

fn whole(driver: &Driver, reply: Reply) -> Response {
    let mut response = begin(driver, &reply);
    response.body(ntex::util::Bytes::copy_from_slice(&reply.body))
}

fn stream(
    driver: &Driver,
    head: Reply,
    waiter: ReplyReceiver,
    io: Option<IoRef>,
    held: Held,
) -> Response {
    begin(driver, &head).streaming(Box::pin(events(waiter, io, held)))
}

/// A stream's events, until it ends or the caller goes.
fn events(
    waiter: ReplyReceiver,
    io: Option<IoRef>,
    held: Held,
) -> impl Stream<Item = Result<ntex::util::Bytes, io::Error>> {
    let state = Some((waiter, io, held));
    futures::stream::unfold(state, async |state| {
        let (mut waiter, io, held) = state?;
        match next_part(&mut waiter, io.as_ref()).await {
            Some(ReplyPart::Event(bytes)) => {
                let bytes = ntex::util::Bytes::copy_from_slice(&bytes);
                Some((Ok(bytes), Some((waiter, io, held))))
            }
            Some(ReplyPart::End) => None,
            _ => Some((Err(break_off(io.as_ref()).await), None)),
        }
    })
}

/// Closes the caller's connection without the mark that ends a body. If the
/// server saw an error instead, it would write an answer of its own into the
/// unfinished one.
async fn break_off(io: Option<&IoRef>) -> io::Error {
    match io {
        Some(io) => {
            io.close();
            std::future::pending().await
        }
        None => io::Error::other("the stream is not whole"),
    }
}

/// The next part; `None` if the caller has gone. The server itself would look
/// at the connection only when there is something to send.
async fn next_part(waiter: &mut ReplyReceiver, io: Option<&IoRef>) -> Option<ReplyPart> {
    let Some(io) = io else { return waiter.parts.next().await };
    let gone = io.on_disconnect();
    match futures::future::select(waiter.parts.next(), gone).await {
        Either::Left((part, _)) => part,
        Either::Right(_) => None,
    }
}

fn refuse(driver: &Driver, refusal: Refusal, retry_after: Option<f64>) -> Response {
    let mut response = start(driver, refusal.status());
    if let Some(seconds) = retry_after {
        response.header(header::RETRY_AFTER.as_str(), format!("{seconds:.3}"));
    }
    response.content_type("text/plain");
    response.body(format!("{}\n", refusal.name()))
}

fn plain(driver: &Driver, status: u16, text: &str) -> Response {
    let mut response = start(driver, status);
    response.content_type("text/plain");
    response.body(format!("{text}\n"))
}

fn begin(driver: &Driver, reply: &Reply) -> ResponseBuilder {
    let mut response = start(driver, reply.status.as_u16());
    for (name, value) in &reply.headers {
        response.header(name.as_str(), value.as_bytes());
    }
    response
}

fn start(driver: &Driver, status: u16) -> ResponseBuilder {
    let status = server::StatusCode::from_u16(status).expect("statuses are in range");
    let mut response = Response::build(status);
    if driver.is_stopping() {
        response.force_close();
    }
    response
}
