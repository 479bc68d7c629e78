//! Callers' requests and the responses to them.

use std::{io, rc::Rc};

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt, future::Either};
use http::{HeaderMap, HeaderName, HeaderValue, header};
use ntex::{
    http::{self as server, Response, ResponseBuilder},
    io::IoRef,
};
use peatdeck_core::relay::model::{Arrival, Refusal};

use crate::{
    driver::{Driver, Reply, ReplyPart, ReplyReceiver, Request},
    memory::{BodyMemory, Reservation},
};

/// Value of `Retry-After`, in seconds, for a request that a stopping instance refuses:
/// the caller should retry at once, at another instance.
const RETRY_AFTER_STOP: f64 = 0.05;
/// The same for an instance that has not read the platform's tables yet: how long that usually
/// takes after a start.
const RETRY_AFTER_START: f64 = 0.5;

/// Why the body of a request was not accepted.
enum BodyError {
    /// It is larger than the configuration allows.
    TooLarge,
    /// The memory for bodies is exhausted.
    NoMemory,
    /// The caller's connection ended within the body.
    Incomplete,
}

/// Serves one request of a caller.
///
/// # Errors
/// Never; the HTTP server requires the type.
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
            return Ok(text_response(&driver, 400, &error.to_string()));
        }
    };
    let mut reservation = memory.reserve();
    let body = match read_body(&driver, &mut req, &mut reservation).await {
        Ok(body) => body,
        Err(error) => return Ok(body_error(&driver, &arrival.id, &error)),
    };
    let target = request_target(req.uri());
    let method = req.method().clone();
    let request = Request { id: arrival.id.clone(), method, target, headers, body };
    if driver.is_refusing() {
        driver.metrics.count("relay.refused.closed", 1);
        tracing::info!(event = "refuse", id = &*request.id, reason = "stopping", status = 503);
        return Ok(refusal_response(&driver, Refusal::Unserved, Some(RETRY_AFTER_STOP)));
    }
    let waited = driver.wait_for_tables().await;
    let deadline = arrival.deadline.map(|deadline| deadline.saturating_sub(waited));
    let arrival = Arrival { deadline, ..arrival };
    let mut receiver = match driver.submit(arrival, request) {
        Ok(receiver) => receiver,
        Err(refusal) => {
            let retry_after = (refusal == Refusal::NotReady).then_some(RETRY_AFTER_START);
            return Ok(refusal_response(&driver, refusal, retry_after));
        }
    };
    let response = match receiver.parts.next().await {
        Some(ReplyPart::Whole(reply)) => whole_response(&driver, reply),
        Some(ReplyPart::Head(head)) => {
            stream_response(&driver, head, receiver, req.io().cloned(), reservation)
        }
        Some(ReplyPart::Refused { refusal, retry_after }) => {
            refusal_response(&driver, refusal, retry_after.map(|after| after.as_secs_f64()))
        }
        Some(ReplyPart::Event(_) | ReplyPart::End | ReplyPart::Broken) | None => {
            refusal_response(&driver, Refusal::Failed, None)
        }
    };
    Ok(response)
}

/// The path and query of a request. A full address may lack the path, and endpoints expect one.
fn request_target(uri: &server::Uri) -> String {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    let root = if target.starts_with('?') { "/" } else { "" };
    format!("{root}{target}")
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
    reservation: &mut Reservation,
) -> Result<Bytes, BodyError> {
    let limit = driver.inspect(|machine| machine.config().map(|config| config.limits.max_body));
    let limit = limit.unwrap_or(reservation.limit());
    let mut body = BytesMut::new();
    while let Some(chunk) = req.payload().next().await {
        let chunk = chunk.map_err(|_| BodyError::Incomplete)?;
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if !reservation.grow(chunk.len()) {
            return Err(BodyError::NoMemory);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn body_error(driver: &Driver, id: &str, error: &BodyError) -> Response {
    let (status, reason) = match error {
        BodyError::TooLarge => (413, "the body is larger than allowed; send less"),
        BodyError::NoMemory => (503, "no memory is left for bodies; nothing ran; send it again"),
        BodyError::Incomplete => (400, "the body ended early; send the request again"),
    };
    driver.metrics.count("relay.bodies_rejected", 1);
    tracing::warn!(event = "body_rejected", id, status);
    let mut response = text_response(driver, status, reason);
    response.head_mut().set_connection_type(server::ConnectionType::Close);
    response
}

fn whole_response(driver: &Driver, reply: Reply) -> Response {
    let mut response = response_with_head(driver, &reply);
    response.body(ntex::util::Bytes::copy_from_slice(&reply.body))
}

fn stream_response(
    driver: &Driver,
    head: Reply,
    receiver: ReplyReceiver,
    io: Option<IoRef>,
    reservation: Reservation,
) -> Response {
    response_with_head(driver, &head).streaming(Box::pin(events(receiver, io, reservation)))
}

/// A stream's events, until it ends or the caller disconnects.
fn events(
    receiver: ReplyReceiver,
    io: Option<IoRef>,
    reservation: Reservation,
) -> impl Stream<Item = Result<ntex::util::Bytes, io::Error>> {
    let state = Some((receiver, io, reservation));
    futures::stream::unfold(state, async |state| {
        let (mut receiver, io, reservation) = state?;
        match next_part(&mut receiver, io.as_ref()).await {
            Some(ReplyPart::Event(bytes)) => {
                receiver.waiting.remove(bytes.len());
                let bytes = ntex::util::Bytes::copy_from_slice(&bytes);
                Some((Ok(bytes), Some((receiver, io, reservation))))
            }
            Some(ReplyPart::End) => None,
            _ => Some((Err(abort_stream(io.as_ref()).await), None)),
        }
    })
}

/// Closes the caller's connection without the terminating chunk of the body. On an error
/// from the stream, the server would write a response of its own into the unfinished one.
async fn abort_stream(io: Option<&IoRef>) -> io::Error {
    match io {
        Some(io) => {
            io.close();
            std::future::pending().await
        }
        None => io::Error::other("the stream is not whole"),
    }
}

/// The next part; `None` if the caller has disconnected. The server itself checks the
/// connection only when it has something to send.
async fn next_part(receiver: &mut ReplyReceiver, io: Option<&IoRef>) -> Option<ReplyPart> {
    let Some(io) = io else { return receiver.parts.next().await };
    let disconnected = io.on_disconnect();
    match futures::future::select(receiver.parts.next(), disconnected).await {
        Either::Left((part, _)) => part,
        Either::Right(_) => None,
    }
}

fn refusal_response(driver: &Driver, refusal: Refusal, retry_after: Option<f64>) -> Response {
    let mut response = response_builder(driver, refusal.status());
    if let Some(seconds) = retry_after {
        response.header(header::RETRY_AFTER.as_str(), format!("{seconds:.3}"));
    }
    response.content_type("text/plain");
    response.body(format!("{}\n", refusal.name()))
}

fn text_response(driver: &Driver, status: u16, text: &str) -> Response {
    let mut response = response_builder(driver, status);
    response.content_type("text/plain");
    response.body(format!("{text}\n"))
}

fn response_with_head(driver: &Driver, reply: &Reply) -> ResponseBuilder {
    let mut response = response_builder(driver, reply.status.as_u16());
    for (name, value) in &reply.headers {
        response.header(name.as_str(), value.as_bytes());
    }
    response
}

fn response_builder(driver: &Driver, status: u16) -> ResponseBuilder {
    let status = server::StatusCode::from_u16(status).expect("statuses are in range");
    let mut response = Response::build(status);
    if driver.is_stopping() {
        response.force_close();
    }
    response
}
