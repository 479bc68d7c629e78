//! The callers of an instance: their requests, and the parts of the responses to them.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::channel::mpsc;
use http::{HeaderMap, Method, StatusCode};
use peatdeck_core::relay::{
    fingerprint::Fingerprint,
    model::{ExchangeKey, Refusal},
};

use crate::{driver::Driver, memory::WaitingEvents};

/// A caller's request, as it is forwarded to endpoints.
#[derive(Debug)]
pub struct Request {
    /// The id that the caller gave it.
    pub id: Arc<str>,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The headers, as the caller sent them.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Request {
    pub(super) fn content(&self, host: &str) -> Fingerprint {
        Fingerprint::of(self.method.as_str(), host, &self.target, &self.body)
    }
}

/// A part of the response to a caller.
#[derive(Debug)]
pub enum ReplyPart {
    /// An endpoint's complete reply.
    Whole(Reply),
    /// The head of a stream.
    Head(Reply),
    /// One complete event of a stream.
    Event(Bytes),
    /// The stream ended after its last event.
    End,
    /// The stream ended early.
    Broken,
    /// The request is refused; no reply of an endpoint follows.
    Refused {
        /// The reason.
        refusal: Refusal,
        /// How long the caller should wait before it retries.
        retry_after: Option<Duration>,
    },
}

/// An endpoint's reply. The body is empty if the reply is a stream, whose events follow.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers that the caller may see.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

pub(super) struct Caller {
    pub(super) request: Rc<Request>,
    pub(super) parts: mpsc::UnboundedSender<ReplyPart>,
    pub(super) waiting: Rc<WaitingEvents>,
    pub(super) arrived: Duration,
}

impl Driver {
    /// The request of an exchange; `None` if its caller has disconnected or been answered.
    pub fn request_of(&self, exchange: ExchangeKey) -> Option<Rc<Request>> {
        self.callers.borrow().get(exchange).map(|caller| caller.request.clone())
    }

    /// Sends the caller of an exchange one event of its stream.
    pub fn send_event(&self, exchange: ExchangeKey, bytes: Bytes) {
        if let Some(caller) = self.callers.borrow().get(exchange) {
            caller.waiting.add(bytes.len());
        }
        self.send(exchange, ReplyPart::Event(bytes));
    }

    /// Waits until the caller of an exchange has taken most events that were sent to it, so that
    /// one that reads slowly does not fill the memory.
    pub async fn wait_for_caller(&self, exchange: ExchangeKey) {
        let waiting = self.callers.borrow().get(exchange).map(|caller| caller.waiting.clone());
        let Some(waiting) = waiting.filter(|waiting| waiting.is_full()) else { return };
        self.metrics.count("relay.streams_paused", 1);
        waiting.wait_for_room().await;
    }

    pub(super) fn send(&self, exchange: ExchangeKey, part: ReplyPart) {
        if let Some(caller) = self.callers.borrow().get(exchange) {
            // The caller's guard notices a disconnect.
            caller.parts.unbounded_send(part).ok();
        }
    }

    /// Sends the last part of a response and removes the caller.
    pub(super) fn end(&self, exchange: ExchangeKey, part: ReplyPart) {
        let Some(caller) = self.callers.borrow_mut().remove(exchange) else { return };
        let took = self.now().saturating_sub(caller.arrived);
        self.metrics.time("relay.exchange", took);
        caller.parts.unbounded_send(part).ok();
    }

    fn on_caller_gone(self: &Rc<Self>, key: ExchangeKey) {
        let Some(caller) = self.callers.borrow_mut().remove(key) else { return };
        self.metrics.count("relay.callers_gone", 1);
        tracing::info!(event = "caller_gone", id = &*caller.request.id);
        self.feed(|machine, now| machine.on_caller_disconnect(now, key));
    }
}

/// Receives the parts of the response to one caller. Dropping it before the last
/// part reports to the machine that the caller has disconnected.
pub struct ReplyReceiver {
    /// The parts, in order; closed after the last one.
    pub parts: mpsc::UnboundedReceiver<ReplyPart>,
    /// The events that are in `parts`.
    pub waiting: Rc<WaitingEvents>,
    /// Reports the disconnect when it is dropped.
    pub guard: DisconnectGuard,
}

/// Reports to the machine, when it is dropped, that the caller has disconnected.
pub struct DisconnectGuard {
    pub(super) driver: Rc<Driver>,
    pub(super) key: ExchangeKey,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        self.driver.on_caller_gone(self.key);
    }
}
