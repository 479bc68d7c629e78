//! Calls to endpoints that this instance cannot connect to: a peer makes them.
//!
//! The reply of the endpoint comes back piece by piece. It is whole only if the peer says so
//! in the end, since a connection that just ends may have been cut on either way.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{
    SinkExt, StreamExt,
    channel::mpsc,
    future::{self, AbortHandle, Abortable, Either},
};
use http::{Method, Request, Response, StatusCode, header, response};
use peatdeck_core::{
    model::InstanceName,
    relay::{
        model::{BodyEnd, EndpointId, EndpointKey, ProbeResult},
        paths::{Detour, Reach},
    },
};
use peatdeck_wire::{
    detour as wire,
    relay_capnp::{DetourEnd, relay, reply_sink},
};

use crate::{
    call_error, decisions,
    driver::Driver,
    peers::{EXCHANGE_TIMEOUT, Peers, remote::Kind, work},
    pool, step,
};

/// Time limit for a peer to answer whether it reaches an endpoint: it tries to connect to two.
const REACH_TIMEOUT: Duration = Duration::from_millis(900);
/// Parts of a reply that wait here before the peer has to wait too.
const MAX_WAITING_PARTS: usize = 4;
/// Longest call. Callers' deadlines are shorter, and end a call by themselves.
const CALL_TIMEOUT: Duration = Duration::from_secs(600);

/// A part of a reply that comes through a peer.
enum Part {
    Head(response::Parts),
    Data(Bytes),
    End(Result<(), call_error::Error>),
}

/// The body of a reply that comes through a peer. Dropping it cancels the call.
pub struct Body {
    parts: mpsc::Receiver<Part>,
    task: AbortHandle,
    is_framed: bool,
}

impl Drop for Body {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Body {
    /// What is known of it after its end, which the peer has checked.
    pub fn end(&self) -> BodyEnd {
        if self.is_framed { BodyEnd::Framed } else { BodyEnd::Outlived }
    }

    /// The next bytes; `None` once the reply is whole.
    pub async fn next_data(&mut self) -> Option<Result<Bytes, String>> {
        match self.parts.next().await {
            Some(Part::Data(data)) => Some(Ok(data)),
            Some(Part::End(Ok(()))) => None,
            Some(Part::End(Err(error))) => Some(Err(error.to_string())),
            Some(Part::Head(_)) | None => Some(Err("the peer's reply broke off".to_owned())),
        }
    }
}

/// Has a peer send a request to an endpoint, and waits for the head of the reply.
///
/// # Errors
/// Any [`call_error::Error`].
pub async fn send(
    driver: &Rc<Driver>,
    detour: &Detour,
    request: Request<Bytes>,
) -> Result<(response::Parts, Body), call_error::Error> {
    let (tx, parts) = mpsc::channel(MAX_WAITING_PARTS);
    let (task, registration) = AbortHandle::new_pair();
    let mut body = Body { parts, task, is_framed: false };
    let method = request.method().clone();
    let call = run_call(driver.clone(), detour.clone(), request, tx);
    ntex::rt::spawn(Abortable::new(call, registration));
    driver.metrics.count("relay.detours", 1);
    match body.parts.next().await {
        Some(Part::Head(head)) => {
            body.is_framed = is_framed(&method, &head);
            Ok((head, body))
        }
        Some(Part::End(Err(error))) => Err(error),
        _ => Err(call_error::Error::Cut("the peer sent no reply".to_owned())),
    }
}

async fn run_call(
    driver: Rc<Driver>,
    detour: Detour,
    request: Request<Bytes>,
    mut parts: mpsc::Sender<Part>,
) {
    let end = call(&driver, &detour, &request, &parts).await;
    // The receiver is gone if the call was cancelled.
    parts.send(Part::End(end)).await.ok();
}

async fn call(
    driver: &Rc<Driver>,
    detour: &Detour,
    request: &Request<Bytes>,
    parts: &mpsc::Sender<Part>,
) -> Result<(), call_error::Error> {
    let refused = |cause: String| call_error::Error::NoDetour(detour.peer.clone(), cause);
    let addr = driver.peers.members.borrow().addr(&detour.peer);
    let addr = addr.ok_or_else(|| refused("its address is not known".to_owned()))?;
    let is_sent = std::cell::Cell::new(false);
    let exchange = async |client: relay::Client| {
        let mut message = client.detour_request();
        message.get().set_endpoint(&*detour.endpoint.name);
        message.get().set_incarnation(detour.endpoint.incarnation.0);
        wire::write_request(request, message.get().init_request());
        message.get().set_sink(capnp_rpc::new_client(Sink { parts: parts.clone() }));
        is_sent.set(true);
        let mut reply = message.send().promise;
        loop {
            let pause = Box::pin(tokio::time::sleep(work::PING_INTERVAL));
            match future::select(reply, pause).await {
                Either::Left((response, _)) => {
                    let response = response?;
                    let response = response.get()?;
                    let end = response.get_end().map_err(capnp::Error::from)?;
                    let cause =
                        response.get_cause()?.to_str().map_err(capnp::Error::from)?.to_owned();
                    return Ok((end, cause));
                }
                Either::Right((_, unfinished)) => reply = unfinished,
            }
            work::ping(&client).await?;
        }
    };
    match driver.peers.links.exchange(&addr, CALL_TIMEOUT, exchange).await {
        Ok((DetourEnd::Whole, _)) => Ok(()),
        Ok((DetourEnd::Refused, cause)) => Err(refused(cause)),
        Ok((DetourEnd::Unsent, cause)) => Err(call_error::Error::Unsent(cause)),
        Ok((DetourEnd::Cut, cause)) => Err(call_error::Error::Cut(cause)),
        Err(error) if is_sent.get() => Err(call_error::Error::Cut(error.to_string())),
        Err(error) => Err(refused(error.to_string())),
    }
}

/// Receives the reply of an endpoint from a peer.
struct Sink {
    parts: mpsc::Sender<Part>,
}

impl reply_sink::Server for Sink {
    async fn head(
        self: Rc<Self>,
        params: reply_sink::HeadParams,
        _results: reply_sink::HeadResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let status = StatusCode::from_u16(params.get_status()).map_err(to_capnp_error)?;
        let (mut head, ()) = Response::new(()).into_parts();
        head.status = status;
        head.headers = wire::read_headers(params.get_headers()?).map_err(to_capnp_error)?;
        self.parts.clone().send(Part::Head(head)).await.map_err(to_capnp_error)
    }

    async fn data(
        self: Rc<Self>,
        params: reply_sink::DataParams,
        _results: reply_sink::DataResults,
    ) -> Result<(), capnp::Error> {
        let data = Bytes::copy_from_slice(params.get()?.get_bytes()?);
        self.parts.clone().send(Part::Data(data)).await.map_err(to_capnp_error)
    }
}

/// Makes a call to an endpoint for a peer. Returns how it ended and why.
pub async fn serve(
    driver: &Rc<Driver>,
    endpoint: &EndpointId,
    request: Request<Bytes>,
    sink: &reply_sink::Client,
) -> (DetourEnd, String) {
    let addr = driver.inspect(|machine| machine.detour_target(driver.now(), endpoint));
    let Some(addr) = addr else {
        return (DetourEnd::Refused, "the peer does not reach the endpoint".to_owned());
    };
    driver.metrics.count("relay.detours_served", 1);
    let correlation = driver.platform.dialect.correlation();
    let id = correlation.id(request.headers()).map(str::to_owned);
    let (mut head, mut body) = match step::send(driver, &addr, correlation, request).await {
        Ok(sent) => sent,
        Err(error) if error.is_unsent() => return (DetourEnd::Unsent, error.to_string()),
        Err(error) => return (DetourEnd::Cut, error.to_string()),
    };
    let is_stream = is_event_stream(&head);
    let (status, connection) = (head.status.as_u16(), body.connection_use());
    decisions::log_detour_reply(id.as_deref(), &endpoint.name, status, connection);
    if body.is_unframed() {
        // The instance that asked for the call does not know the version of the protocol.
        head.headers.remove(header::TRANSFER_ENCODING);
    }
    if let Err(cause) = forward(head, &mut body, sink).await {
        return (DetourEnd::Cut, cause);
    }
    // Only the peer knows whether the request may be repeated; streams mostly are.
    let is_whole = match body.check_end(driver).await {
        BodyEnd::Framed | BodyEnd::Outlived => true,
        BodyEnd::Cut => false,
        BodyEnd::Likely | BodyEnd::Unknown => !is_stream,
    };
    if !is_whole {
        return (DetourEnd::Cut, "the endpoint ended, and the reply has no length".to_owned());
    }
    body.release(&driver.pool);
    (DetourEnd::Whole, String::new())
}

/// Whether a reply states where it ends, or has no body.
fn is_framed(method: &Method, head: &response::Parts) -> bool {
    let has_body = method != Method::HEAD
        && !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    !has_body || pool::has_length(head)
}

fn is_event_stream(head: &response::Parts) -> bool {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let text = content_type.and_then(|value| value.to_str().ok());
    text.is_some_and(|text| text.starts_with("text/event-stream"))
}

async fn forward(
    head: response::Parts,
    body: &mut step::Direct,
    sink: &reply_sink::Client,
) -> Result<(), String> {
    let mut message = sink.head_request();
    message.get().set_status(head.status.as_u16());
    wire::write_headers(&head.headers, message.get().init_headers(head.headers.len() as u32));
    message.send().promise.await.map_err(|error| error.to_string())?;
    while let Some(data) = body.next_data().await {
        let data = data?;
        let mut message = sink.data_request();
        message.get().set_bytes(&data);
        message.send().promise.await.map_err(|error| error.to_string())?;
    }
    Ok(())
}

/// Answers a peer whether this instance can connect to an endpoint.
pub async fn reach(driver: &Rc<Driver>, endpoint: &EndpointId) -> Reach {
    if driver.inspect(|machine| machine.is_cut_off()) {
        return Reach::CutOff;
    }
    let addr = driver.inspect(|machine| machine.detour_target(driver.now(), endpoint));
    let Some(addr) = addr else { return Reach::Unknown };
    if try_connect(driver, &addr).await {
        return Reach::Reached;
    }
    let other = driver.feed(|machine, _| machine.another_endpoint(&addr));
    match other {
        Some(other) if driver.pool.can_open(&other).await => Reach::Unreached,
        _ => Reach::CutOff,
    }
}

/// Answers a peer whether an endpoint answers this instance.
pub async fn has_answer(driver: &Rc<Driver>, endpoint: &EndpointId) -> Reach {
    let addr = driver.inspect(|machine| machine.detour_target(driver.now(), endpoint));
    let Some(addr) = addr else { return Reach::Unknown };
    match step::has_answer(driver, &addr).await {
        true => Reach::Answered,
        false => Reach::Unknown,
    }
}

async fn try_connect(driver: &Rc<Driver>, addr: &Arc<str>) -> bool {
    let is_open = driver.pool.probe(addr).await == ProbeResult::There;
    driver.feed(|machine, now| machine.on_connect(now, addr, is_open));
    is_open
}

impl Peers {
    /// Asks peers whether they can connect to an endpoint, and passes the answers to the
    /// machine. The first peer that can is enough.
    pub fn ask_reach(
        &self,
        driver: &Rc<Driver>,
        endpoint: EndpointKey,
        id: EndpointId,
        own: ProbeResult,
        peers: Vec<InstanceName>,
    ) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            let questions = peers.iter().map(|peer| Box::pin(ask(&driver, peer, &id, false)));
            let mut open: futures::stream::FuturesUnordered<_> = questions.collect();
            let mut answers = Vec::new();
            while let Some((peer, reach)) = open.next().await {
                answers.push((peer, reach));
                if reach == Reach::Reached {
                    break;
                }
            }
            drop(open);
            tracing::info!(event = "path_asked", endpoint = &*id.name, answers = ?answers);
            driver.feed(|machine, now| machine.on_path_answers(now, endpoint, own, &answers));
        });
    }
}

impl Peers {
    /// Asks peers whether an endpoint answers them, and passes those that it answered to the
    /// machine.
    pub fn ask_answered(
        &self,
        driver: &Rc<Driver>,
        endpoint: EndpointKey,
        id: EndpointId,
        peers: Vec<InstanceName>,
    ) {
        let driver = driver.clone();
        ntex::rt::spawn(async move {
            let questions = peers.iter().map(|peer| ask(&driver, peer, &id, true));
            let answers = future::join_all(questions).await;
            let witnesses = answers.into_iter().filter(|(_, reach)| *reach == Reach::Answered);
            let witnesses: Vec<_> = witnesses.map(|(peer, _)| peer).collect();
            let (asked, answered) = (peers.len(), witnesses.len());
            tracing::info!(event = "silence_asked", endpoint = &*id.name, asked, answered);
            driver.feed(|machine, now| machine.on_silence_answers(now, endpoint, &witnesses));
        });
    }
}

/// A peer's answer to the question whether it can connect to an endpoint or, with `is_silent`,
/// whether the endpoint answers it.
async fn ask(
    driver: &Rc<Driver>,
    peer: &InstanceName,
    id: &EndpointId,
    is_silent: bool,
) -> (InstanceName, Reach) {
    let Some(addr) = driver.peers.members.borrow().addr(peer) else {
        return (peer.clone(), Reach::Unknown);
    };
    let exchange = async |client: relay::Client| {
        let mut request = client.reach_request();
        request.get().set_endpoint(&*id.name);
        request.get().set_incarnation(id.incarnation.0);
        request.get().set_is_silent(is_silent);
        let size = || request.get().into_reader().total_size();
        driver.peers.count_request(driver, &addr, Kind::Others, size);
        let response = request.send().promise.await?;
        let reach = response.get()?.get_answer().map_err(capnp::Error::from)?;
        Ok(wire::read_reach(reach))
    };
    // As with placements, a slow reply must not close the connection.
    let asked = driver.peers.links.exchange(&addr, EXCHANGE_TIMEOUT, exchange);
    let answer = tokio::time::timeout(REACH_TIMEOUT, asked).await;
    (peer.clone(), answer.map_or(Reach::Unknown, |answer| answer.unwrap_or(Reach::Unknown)))
}

fn to_capnp_error(error: impl ToString) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}
