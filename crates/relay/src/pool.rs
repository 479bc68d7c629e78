//! Connections to endpoints and to the platform.
//!
//! A connection carries one exchange at a time and goes back to the pool only
//! when its reply was whole and nothing followed it. It is watched while it is
//! idle, so that bytes which nobody asked for end it. A connection that is
//! dropped instead of given back is closed at once, which is how a call is
//! cancelled.

use std::{cell::RefCell, collections::HashMap, io, rc::Rc, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::future::{AbortHandle, Abortable};
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use peatdeck_core::relay::model::ProbeResult;
use peatdeck_util::clock::Clock;
use peatdeck_wire::socket;
use tokio::net::TcpStream;

/// Time to make a connection. Data centres are a few milliseconds apart; an
/// opening packet that is lost is sent again after a second, and another
/// endpoint is the better choice by then.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// An idle connection is used again within this time where the peer does not
/// say for how long it keeps it.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// An idle connection is not used again after this time, whatever the peer says.
const LONGEST_IDLE: Duration = Duration::from_secs(600);
/// A connection is not used any more so long before the peer closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// A store that lives and can be reached answers, or sends on, within this
/// time: its answers take milliseconds, and fifty times as long when it is slow.
const SILENCE: Duration = Duration::from_millis(1500);
/// A process that ends closes what it has within this time.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Idle connections to one address at the most.
const MAX_IDLE: usize = 64;

/// Why a request brought no reply.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Not a byte was sent.
    #[error("no connection to {addr}: {cause}; check that it runs and can be reached")]
    Unsent {
        /// The address.
        addr: Arc<str>,
        /// What the system said.
        cause: String,
    },
    /// Nothing came for too long.
    #[error("nothing came from {addr} for too long; check that it runs and can be reached")]
    Silent {
        /// The address.
        addr: Arc<str>,
    },
    /// The connection ended after bytes were sent.
    #[error("the connection to {addr} ended without a reply: {cause}; the request may have run")]
    Cut {
        /// The address.
        addr: Arc<str>,
        /// What the connection said.
        cause: String,
    },
}

impl Error {
    /// Whether certainly not a byte was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Unsent { .. })
    }
}

type Sender = http1::SendRequest<Full<Bytes>>;

/// An open connection. Dropping it closes it.
struct Connection {
    sender: Sender,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection that carries one exchange. Dropping it closes it.
pub struct Lease {
    addr: Arc<str>,
    connection: Connection,
    keep: Duration,
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

/// What a pool has done.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Connections made.
    pub opened: u64,
    /// Exchanges on a connection that was there.
    pub reused: u64,
}

/// Idle connections by address.
pub struct Pool {
    clock: Rc<dyn Clock>,
    idle: RefCell<HashMap<Arc<str>, Vec<Idle>>>,
    counts: RefCell<Counts>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(clock: Rc<dyn Clock>) -> Rc<Pool> {
        Rc::new(Pool { clock, idle: RefCell::default(), counts: RefCell::default() })
    }

    /// What it has done so far.
    pub fn counts(&self) -> Counts {
        *self.counts.borrow()
    }

    /// Sends a request that may be waited for, and reads the whole reply.
    ///
    /// There is no limit on the whole: a large reply takes long on a narrow
    /// link, and one that is cut off there is asked for again, beside whatever
    /// is still on the way.
    ///
    /// # Errors
    /// Any [`Error`]; [`Error::Silent`] if nothing comes any more.
    pub async fn fetch(
        &self,
        addr: &Arc<str>,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let sent = unless_silent(addr, wait + SILENCE, self.send(addr, request)).await?;
        let (response, lease) = sent?;
        let (parts, mut body) = response.into_parts();
        let mut bytes = BytesMut::new();
        while let Some(frame) = unless_silent(addr, SILENCE, body.frame()).await? {
            let frame = frame.map_err(|error| cut(addr, error))?;
            bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        self.keep(lease);
        Ok(Response::from_parts(parts, bytes.freeze()))
    }

    /// Sends a request and waits for the head of its reply.
    ///
    /// # Errors
    /// Any [`Error`]; [`Error::Unsent`] is certain.
    pub async fn send(
        &self,
        addr: &Arc<str>,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Lease), Error> {
        loop {
            let (mut lease, is_fresh) = match self.take_idle(addr) {
                Some(lease) => (lease, false),
                None => (connect(addr).await?, true),
            };
            self.count(is_fresh);
            let sender = &mut lease.connection.sender;
            if sender.ready().await.is_err() {
                if is_fresh {
                    return Err(unsent(addr, "closed as soon as it was made"));
                }
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => {
                    lease.keep = keep_time(response.headers());
                    return Ok((response, lease));
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

    /// Whether anything listens at an address, by a new connection. One that is
    /// made is kept, since a call will need it. A process that is about to end may
    /// still have taken it in: one that is closed at once is looked at again.
    pub async fn probe(&self, addr: &Arc<str>) -> ProbeResult {
        let stream = match open(addr).await {
            Ok(stream) => stream,
            Err(error) => return absence(&error),
        };
        let Ok(lease) = begin(addr, stream).await else { return ProbeResult::Unknown };
        tokio::time::sleep(PROBE_PAUSE).await;
        if lease.connection.sender.is_closed() {
            let again = open(addr).await;
            return again.map_or_else(|error| absence(&error), |_| ProbeResult::There);
        }
        self.count(true);
        self.keep(Lease { keep: DEFAULT_IDLE, ..lease });
        ProbeResult::There
    }

    /// Gives a connection back whose reply was read whole.
    pub fn keep(&self, lease: Lease) {
        if lease.keep.is_zero() || lease.connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(lease.addr.clone()).or_default();
        let now = self.clock.now();
        list.retain(|idle| idle.is_usable(now));
        if list.len() < MAX_IDLE {
            list.push(Idle { connection: lease.connection, until: now + lease.keep });
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

    /// Closes idle connections that will not be used again.
    pub fn prune(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| idle.is_usable(now));
            !list.is_empty()
        });
    }

    /// The connection that was used last is taken first, so that few stay.
    fn take_idle(&self, addr: &Arc<str>) -> Option<Lease> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(addr)?;
        let now = self.clock.now();
        list.retain(|idle| idle.is_usable(now));
        let Idle { connection, .. } = list.pop()?;
        Some(Lease { addr: addr.clone(), connection, keep: Duration::ZERO })
    }

    fn count(&self, is_fresh: bool) {
        let mut counts = self.counts.borrow_mut();
        match is_fresh {
            true => counts.opened += 1,
            false => counts.reused += 1,
        }
    }
}

async fn connect(addr: &Arc<str>) -> Result<Lease, Error> {
    let stream = open(addr).await.map_err(|error| unsent(addr, error))?;
    begin(addr, stream).await
}

async fn open(addr: &str) -> io::Result<TcpStream> {
    let opening = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    opening.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn begin(addr: &Arc<str>, stream: TcpStream) -> Result<Lease, Error> {
    socket::set_dead_peer_detection(&stream).map_err(|error| unsent(addr, error))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| unsent(addr, error))?;
    let (task, registration) = AbortHandle::new_pair();
    ntex::rt::spawn(Abortable::new(
        async move {
            // What ended it is seen by whoever uses it.
            connection.await.ok();
        },
        registration,
    ));
    let connection = Connection { sender, task };
    Ok(Lease { addr: addr.clone(), connection, keep: Duration::ZERO })
}

/// What a connection that was not made says of a process.
fn absence(error: &io::Error) -> ProbeResult {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => ProbeResult::Gone,
        _ => ProbeResult::Unknown,
    }
}

/// How long a connection may be idle, as its peer says.
fn keep_time(headers: &HeaderMap) -> Duration {
    let value = |name: &http::HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    if value(&header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return Duration::ZERO;
    }
    let keep_alive = value(&http::HeaderName::from_static("keep-alive")).unwrap_or_default();
    let timeout = keep_alive.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let timeout = timeout.and_then(|seconds| seconds.trim().parse().ok());
    let stated = timeout.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    stated.map_or(DEFAULT_IDLE, |stated| stated.saturating_sub(IDLE_MARGIN).min(LONGEST_IDLE))
}

async fn unless_silent<T>(
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
