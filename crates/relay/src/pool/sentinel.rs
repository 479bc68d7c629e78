//! Tells whether a process has outlived the end of a reply that it sent without a length.
//!
//! Such a reply ends with its connection. The operating system closes the connections of a
//! process that ends, too, so the end alone does not say whether the reply is whole, and a
//! process that listens at the same address afterwards may be another one. A second connection,
//! which was open while the reply still came in, tells them apart: only the same process can
//! answer on it after the end.

use std::{cell::RefCell, pin::pin, rc::Rc, sync::Arc, task::Poll, time::Duration};

use bytes::Bytes;
use futures::{
    channel::oneshot,
    future::{self, Either},
};
use http::Request;
use http_body_util::Full;
use hyper::body::Body as _;
use peatdeck_core::relay::model::{BodyEnd, ProbeResult};
use peatdeck_util::clock::Clock;

use crate::{
    correlation::{Correlation, Echo},
    pool::{
        Body, Counts, Pool,
        closings::Closings,
        connection::{Lease, handshake, keep_alive_time, open},
        probe::PROBE_PAUSE,
    },
};

/// Time limit for an answer on the second connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection that is opened this long after the head of a reply may lead to another process.
const OPENING_LIMIT: Duration = Duration::from_millis(100);
/// What has arrived is read within this time.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// A second connection to the process that sends a reply without a length.
pub(super) struct Sentinel {
    opener: Opener,
    state: State,
    /// Whether the connection was open before the reply began, or while the next part of it had
    /// not arrived yet, so that it leads to the same process.
    is_confirmed: bool,
    /// Whether a confirmed connection was closed, and none has been confirmed since.
    is_lost: bool,
}

enum State {
    Closed,
    Opening(oneshot::Receiver<Opened>),
    Open(Opened),
}

/// Opens connections to an address and counts them.
#[derive(Clone)]
pub(super) struct Opener {
    pub(super) addr: Arc<str>,
    pub(super) clock: Rc<dyn Clock>,
    pub(super) counts: Rc<RefCell<Counts>>,
    pub(super) closings: Rc<Closings>,
}

impl Opener {
    /// Opens a connection in the background.
    fn begin(&self) -> State {
        let Opener { addr, clock, counts, closings } = self.clone();
        let (tx, rx) = oneshot::channel();
        let started = clock.now();
        ntex::rt::spawn(async move {
            let Ok(stream) = open(&addr).await else { return };
            let Ok(lease) = handshake(&addr, stream, &closings).await else { return };
            counts.borrow_mut().opened += 1;
            let took = clock.now().saturating_sub(started);
            // The reply may have been dropped.
            tx.send(Opened { lease, took }).ok();
        });
        State::Opening(rx)
    }
}

/// An open connection, and how long it took to open.
struct Opened {
    lease: Lease,
    took: Duration,
}

impl Sentinel {
    /// Uses a connection that was open before the reply began.
    pub(super) fn with(lease: Lease, opener: Opener) -> Sentinel {
        let state = State::Open(Opened { lease, took: Duration::ZERO });
        Sentinel { opener, state, is_confirmed: true, is_lost: false }
    }

    /// Opens a connection in the background. `was_closed` tells whether another one was closed
    /// before the reply began.
    pub(super) fn open(opener: Opener, was_closed: bool) -> Sentinel {
        let state = opener.begin();
        Sentinel { opener, state, is_confirmed: false, is_lost: was_closed }
    }

    /// Waits for the next part of the reply, and keeps a connection open meanwhile.
    pub(super) async fn watch<T>(&mut self, next: impl Future<Output = T>) -> T {
        let mut next = pin!(next);
        if let Poll::Ready(part) = futures::poll!(&mut next) {
            return part;
        }
        if self.is_closed() {
            self.is_lost |= std::mem::take(&mut self.is_confirmed);
            self.state = self.opener.begin();
        }
        if let State::Opening(opening) = &mut self.state {
            match future::select(&mut next, opening).await {
                Either::Left((part, _)) => return part,
                Either::Right((opened, _)) => {
                    self.state = opened.map_or(State::Closed, State::Open)
                }
            }
        }
        let is_open = matches!(self.state, State::Open(_));
        let started = self.opener.clock.now();
        let part = next.await;
        if is_open && self.opener.clock.now() >= started + MIN_WAIT {
            // The process that sends the reply is the one that has accepted the connection.
            self.is_confirmed = true;
            self.is_lost = false;
        }
        part
    }

    fn is_closed(&self) -> bool {
        match &self.state {
            State::Closed => true,
            State::Opening(_) => false,
            State::Open(opened) => opened.lease.connection.sender.is_closed(),
        }
    }

    /// Sends a request that is refused at once. `None` if no connection could be opened.
    async fn ask(
        self,
        request: Request<Full<Bytes>>,
        correlation: Correlation<'_>,
    ) -> Option<Witness> {
        let Sentinel { state, is_confirmed, is_lost, .. } = self;
        if is_lost {
            return Some(Witness { answer: Answer::Broke, is_confirmed: true, is_prompt: false });
        }
        let Opened { lease, took } = match state {
            State::Open(opened) => opened,
            State::Opening(opening) => opening.await.ok()?,
            State::Closed => return None,
        };
        let answered =
            tokio::time::timeout(ANSWER_TIMEOUT, exchange(lease, request, correlation)).await;
        let answer = match answered {
            Ok(Ok(Some(connection))) => stays(connection).await,
            Ok(Ok(None)) | Err(_) => Answer::Missing,
            Ok(Err(_)) => Answer::Broke,
        };
        Some(Witness { answer, is_confirmed, is_prompt: took < OPENING_LIMIT })
    }
}

/// What a second connection shows.
struct Witness {
    answer: Answer,
    is_confirmed: bool,
    /// Whether it was open right after the head of the reply had come.
    is_prompt: bool,
}

impl Witness {
    /// What is known of the reply; `None` if the connection says nothing.
    fn end(&self) -> Option<BodyEnd> {
        match self.answer {
            Answer::Came if self.is_confirmed => Some(BodyEnd::Outlived),
            Answer::Came if self.is_prompt => Some(BodyEnd::Likely),
            Answer::Broke if self.is_confirmed => Some(BodyEnd::Cut),
            Answer::Came | Answer::Broke | Answer::Missing => None,
        }
    }
}

/// What came of the question whether a process still runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Came,
    /// The connection has ended.
    Broke,
    Missing,
}

/// The connection on which an answer came.
struct Answered {
    /// `None` if the answer announces its end.
    lease: Option<Lease>,
}

/// Whether a connection on which an answer came stays open: a process that is exiting may still
/// answer.
async fn stays(answered: Answered) -> Answer {
    tokio::time::sleep(PROBE_PAUSE).await;
    match answered.lease {
        Some(lease) if lease.connection.sender.is_closed() => Answer::Broke,
        _ => Answer::Came,
    }
}

/// Sends a request on a connection. `None` if what came is not its reply.
async fn exchange(
    mut lease: Lease,
    request: Request<Full<Bytes>>,
    correlation: Correlation<'_>,
) -> Result<Option<Answered>, hyper::Error> {
    lease.connection.allowance.reset();
    lease.connection.sender.ready().await?;
    let id = correlation.id(request.headers()).map(str::to_owned);
    let response = lease.connection.sender.send_request(request).await?;
    if correlation.compare(id.as_deref(), response.headers()) != Echo::Own {
        return Ok(None);
    }
    let may_stay =
        response.body().is_end_stream() && !keep_alive_time(response.headers()).is_zero();
    Ok(Some(Answered { lease: may_stay.then_some(lease) }))
}

impl Pool {
    /// Whether a body that has ended is whole. `request` is one that every endpoint refuses at
    /// once; it is sent if the body has no length, as the last one on its connection.
    pub async fn check_end(
        &self,
        body: &mut Body,
        request: Request<Full<Bytes>>,
        correlation: Correlation<'_>,
    ) -> BodyEnd {
        let Some(sentinel) = body.sentinel.take() else { return BodyEnd::Framed };
        let witness = sentinel.ask(request, correlation).await;
        match witness.and_then(|witness| witness.end()) {
            Some(end) => end,
            None => match self.probe(&body.lease.addr).await {
                ProbeResult::Gone => BodyEnd::Cut,
                ProbeResult::There | ProbeResult::Unknown => BodyEnd::Unknown,
            },
        }
    }
}
