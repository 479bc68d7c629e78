//! Connections to endpoints and to the platform.
//!
//! A connection carries one exchange at a time and returns to the pool only when the
//! reply was read whole and no bytes followed it. It carries no second call whose reply an earlier
//! one that comes again could be taken for (`history`). While a connection is idle, the
//! pool polls it, and unsolicited bytes close it. A connection that is dropped instead
//! of being returned is closed at once, which is how a call is cancelled.
//!
//! What a peer may send besides the body of a reply is bounded (`metered`); how much of a body is
//! read is up to the caller. Whether a body without a length is whole is found out by a second
//! connection (`sentinel`).

mod closings;
mod connection;
mod error;
mod history;
mod metered;
mod probe;
mod repeaters;
mod sentinel;

pub use closings::{ConnectionEvent, ConnectionObserver};
pub use error::Error;
pub use history::{ConnectionUse, History};

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Request, Response, Version, header, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use peatdeck_util::clock::Clock;

use crate::{
    correlation::{Correlation, Echo},
    pool::{
        closings::Closings,
        connection::{Connection, Lease, handshake, keep_alive_time, open},
        repeaters::Repeaters,
        sentinel::{Opener, Sentinel},
    },
};

/// Time without any bytes after which the store counts as unreachable. Its answers
/// take milliseconds, and fifty times as long when it is slow.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Most idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The body of a reply. Dropping it closes the connection.
pub struct Body {
    incoming: Incoming,
    lease: Lease,
    connection_use: ConnectionUse,
    /// Shows whether the process that sends it still runs, if only the end of the connection ends
    /// it.
    sentinel: Option<Box<Sentinel>>,
}

impl Body {
    /// The address that it comes from.
    pub fn addr(&self) -> &Arc<str> {
        &self.lease.addr
    }

    /// What its connection had carried before.
    pub fn connection_use(&self) -> ConnectionUse {
        self.connection_use
    }

    /// Whether only the end of the connection ends it.
    pub fn is_unframed(&self) -> bool {
        self.sentinel.is_some()
    }

    /// The next bytes; `None` once the reply is whole.
    pub async fn next_data(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            let next = self.incoming.frame();
            let frame = match &mut self.sentinel {
                Some(sentinel) => sentinel.watch(next).await,
                None => next.await,
            };
            match frame?.map(|frame| frame.into_data()) {
                Ok(Ok(data)) => {
                    self.lease.connection.allowance.restore(data.len());
                    return Some(Ok(data));
                }
                // Trailers.
                Ok(Err(_)) => {}
                Err(error) => return Some(Err(error)),
            }
        }
    }
}

struct Idle {
    connection: Connection,
    until: Duration,
}

impl Idle {
    fn is_usable(&self, now: Duration) -> bool {
        now < self.until && !self.connection.sender.is_closed()
    }
}

/// Counters of a pool since its creation.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Connections opened.
    pub opened: u64,
    /// Exchanges that reused an open connection.
    pub reused: u64,
}

/// A pool of idle connections, by address.
pub struct Pool {
    clock: Rc<dyn Clock>,
    closings: Rc<Closings>,
    repeaters: Repeaters,
    idle: RefCell<HashMap<Arc<str>, Vec<Idle>>>,
    counts: Rc<RefCell<Counts>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(clock: Rc<dyn Clock>) -> Rc<Pool> {
        let closings = Closings::new(clock.clone());
        Rc::new(Pool {
            clock,
            closings,
            repeaters: Repeaters::default(),
            idle: RefCell::default(),
            counts: Rc::default(),
        })
    }

    /// Sets what is called with what happens to connections. Only the first call has an effect.
    pub fn observe(&self, observer: ConnectionObserver) {
        self.closings.observe(observer);
    }

    /// The counters so far.
    pub fn counts(&self) -> Counts {
        *self.counts.borrow()
    }

    /// Sends a request that the peer may hold for up to `wait`, and reads the whole reply.
    ///
    /// The total time is not limited: a large reply takes long on a narrow link, and if
    /// it were aborted there, its retry would compete with the bytes still in transit.
    ///
    /// # Errors
    /// Any [`Error`]; [`Error::Silent`] if the peer stops sending.
    pub async fn fetch(
        &self,
        addr: &Arc<str>,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let sent = with_silence_timeout(
            addr,
            wait + SILENCE_TIMEOUT,
            self.send(addr, Correlation::Place, request),
        )
        .await?;
        let (parts, mut body) = sent?;
        let mut bytes = BytesMut::new();
        while let Some(data) = with_silence_timeout(addr, SILENCE_TIMEOUT, body.next_data()).await?
        {
            bytes.extend_from_slice(&data.map_err(|error| cut(addr, error))?);
        }
        self.release(body);
        Ok(Response::from_parts(parts, bytes.freeze()))
    }

    /// Sends a request and waits for the head of its reply.
    ///
    /// # Errors
    /// Any [`Error`] but [`Error::Silent`]; [`Error::Unsent`] only if certainly nothing was sent;
    /// [`Error::Foreign`] if what came is not the reply to this request.
    pub async fn send(
        &self,
        addr: &Arc<str>,
        correlation: Correlation<'_>,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(response::Parts, Body), Error> {
        let id = correlation.id(request.headers()).map(str::to_owned);
        let id = id.as_deref();
        let may_carry = |history: &History| history.may_carry(correlation, id);
        loop {
            let (mut lease, is_fresh) = match self.take_idle(addr, may_carry) {
                Some(lease) => (lease, false),
                None => (self.connect(addr).await?, true),
            };
            self.count(is_fresh);
            lease.connection.allowance.reset();
            if lease.connection.sender.ready().await.is_err() {
                if is_fresh {
                    return Err(unsent(addr, "closed as soon as it was opened"));
                }
                continue;
            }
            let now = self.clock.now();
            let connection_use = lease.connection.history.record(now, correlation, id);
            match lease.connection.sender.try_send_request(request).await {
                Ok(response) => {
                    if is_fresh {
                        self.closings.notify(addr, ConnectionEvent::Served);
                    }
                    let echo = correlation.compare(id, response.headers());
                    return self.accept(lease, connection_use, echo, response);
                }
                Err(mut error) => {
                    let Some(unused) = error.take_message() else {
                        return Err(cut(addr, error.into_error()));
                    };
                    if is_fresh {
                        return Err(unsent(addr, error.into_error()));
                    }
                    request = unused;
                }
            }
        }
    }

    /// Takes in the head of a reply, if it is the one to the call that its connection carried.
    fn accept(
        &self,
        mut lease: Lease,
        connection_use: ConnectionUse,
        echo: Echo,
        response: Response<Incoming>,
    ) -> Result<(response::Parts, Body), Error> {
        lease.max_idle = keep_alive_time(response.headers());
        let (parts, incoming) = response.into_parts();
        let addr = lease.addr.clone();
        if echo != Echo::Own {
            self.repeaters.mark(&addr, self.clock.now());
            self.disconnect(&addr);
            let status = parts.status.as_u16();
            return Err(Error::Foreign { addr, status, echo, connection_use });
        }
        let is_unframed = !incoming.is_end_stream() && !has_length(&parts);
        let sentinel = is_unframed.then(|| Box::new(self.sentinel(&addr)));
        Ok((parts, Body { incoming, lease, connection_use, sentinel }))
    }

    /// Returns the connection of a body that was read whole to the pool.
    pub fn release(&self, body: Body) {
        self.put_back(body.lease);
    }

    fn put_back(&self, lease: Lease) {
        let Lease { connection, max_idle, .. } = &lease;
        let is_reusable = connection.history.is_reusable() && !connection.sender.is_closed();
        let now = self.clock.now();
        if max_idle.is_zero() || !is_reusable || !self.repeaters.may_share(&lease.addr, now) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(lease.addr.clone()).or_default();
        list.retain(|idle| idle.is_usable(now));
        if list.len() < MAX_IDLE_CONNECTIONS {
            let Lease { connection, max_idle, .. } = lease;
            connection.idle_time.begin(now + max_idle);
            list.push(Idle { connection, until: now + max_idle });
        }
    }

    /// Closes the idle connections to an address.
    pub fn disconnect(&self, addr: &str) {
        self.idle.borrow_mut().remove(addr);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes idle connections that may no longer be reused.
    pub fn prune(&self) {
        let now = self.clock.now();
        self.repeaters.prune(now);
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| idle.is_usable(now));
            !list.is_empty()
        });
    }

    /// Takes the most recently used connection whose history suits, so that surplus ones expire.
    fn take_idle(&self, addr: &Arc<str>, suits: impl Fn(&History) -> bool) -> Option<Lease> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(addr)?;
        let now = self.clock.now();
        list.retain(|idle| idle.is_usable(now));
        let newest = list.iter().rposition(|idle| suits(&idle.connection.history))?;
        let Idle { connection, .. } = list.remove(newest);
        connection.idle_time.end();
        Some(Lease { addr: addr.clone(), connection, max_idle: Duration::ZERO })
    }

    /// A second connection to an address, besides one that carries a reply without a length.
    fn sentinel(&self, addr: &Arc<str>) -> Sentinel {
        // Those that were closed before the request was sent have been removed then.
        let was_closed = self.idle.borrow().get(addr).is_some_and(|list| {
            let now = self.clock.now();
            list.iter().any(|idle| now < idle.until && !idle.is_usable(now))
        });
        let (clock, counts) = (self.clock.clone(), self.counts.clone());
        let closings = self.closings.clone();
        let opener = Opener { addr: addr.clone(), clock, counts, closings };
        match self.take_idle(addr, History::has_only_ids) {
            Some(lease) => Sentinel::with(lease, opener),
            None => Sentinel::open(opener, was_closed),
        }
    }

    async fn connect(&self, addr: &Arc<str>) -> Result<Lease, Error> {
        let opened = open(addr).await;
        if opened.is_err() {
            self.closings.notify(addr, ConnectionEvent::Unopened);
        }
        handshake(addr, opened.map_err(|error| unsent(addr, error))?, &self.closings).await
    }

    fn count(&self, is_fresh: bool) {
        let mut counts = self.counts.borrow_mut();
        match is_fresh {
            true => counts.opened += 1,
            false => counts.reused += 1,
        }
    }
}

/// Whether a reply with a body states where the body ends. Of the codings only chunks do, and
/// versions before 1.1 have none.
pub fn has_length(head: &response::Parts) -> bool {
    let coding = head.headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    match coding.filter(|_| head.version >= Version::HTTP_11) {
        Some(coding) => coding.as_bytes().to_ascii_lowercase().ends_with(b"chunked"),
        None => head.headers.contains_key(header::CONTENT_LENGTH),
    }
}

async fn with_silence_timeout<T>(
    addr: &Arc<str>,
    limit: Duration,
    next: impl Future<Output = T>,
) -> Result<T, Error> {
    tokio::time::timeout(limit, next).await.map_err(|_| Error::Silent { addr: addr.clone() })
}

fn cut(addr: &Arc<str>, cause: impl ToString) -> Error {
    Error::Cut { addr: addr.clone(), cause: cause.to_string() }
}

fn unsent(addr: &Arc<str>, cause: impl ToString) -> Error {
    Error::Unsent { addr: addr.clone(), cause: cause.to_string() }
}
