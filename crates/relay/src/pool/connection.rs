//! Opening connections, and how long they may be idle.

use std::{io, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::{AbortHandle, Abortable};
use http::{HeaderMap, header};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use peatdeck_wire::socket;
use tokio::net::TcpStream;

use crate::pool::{
    Error, History,
    closings::{Closings, IdleTime},
    metered::{self, Allowance, Metered},
    unsent,
};

/// Time limit for opening a connection. Data centres are a few milliseconds apart. A
/// lost SYN packet is sent again only after a second; by then another endpoint is the
/// better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an idle connection may be reused if the peer does not state a limit.
pub(super) const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);
/// Longest time that an idle connection may be reused, whatever limit the peer states.
const MAX_IDLE_TIME: Duration = Duration::from_secs(600);
/// A connection is no longer reused this long before the peer closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// An open connection. Dropping it closes it.
pub(super) struct Connection {
    pub(super) sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    pub(super) allowance: Allowance,
    pub(super) idle_time: IdleTime,
    pub(super) history: History,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A connection that carries one exchange. Dropping it closes it.
pub(super) struct Lease {
    pub(super) addr: Arc<str>,
    pub(super) connection: Connection,
    pub(super) max_idle: Duration,
}

/// Opens a TCP connection.
pub(super) async fn open(addr: &str) -> io::Result<TcpStream> {
    let opening = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    opening.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Prepares a TCP connection for exchanges.
///
/// # Errors
/// [`Error::Unsent`].
pub(super) async fn handshake(
    addr: &Arc<str>,
    stream: TcpStream,
    closings: &Rc<Closings>,
) -> Result<Lease, Error> {
    socket::set_dead_peer_detection(&stream).map_err(|error| unsent(addr, error))?;
    let allowance = Allowance::default();
    let stream = Metered::new(stream, allowance.clone());
    let mut builder = http1::Builder::new();
    let handshake = builder.max_buf_size(metered::MAX_READ).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| unsent(addr, error))?;
    let (task, registration) = AbortHandle::new_pair();
    let idle_time = IdleTime::default();
    let history = History::new(closings.now());
    let (closings, own_time, own_addr) = (closings.clone(), idle_time.clone(), addr.clone());
    ntex::rt::spawn(Abortable::new(
        async move {
            // The error also reaches the sender's next request.
            connection.await.ok();
            closings.on_closed(&own_addr, &own_time);
        },
        registration,
    ));
    let connection = Connection { sender, task, allowance, idle_time, history };
    Ok(Lease { addr: addr.clone(), connection, max_idle: Duration::ZERO })
}

/// How long a connection may be idle, by the headers of a reply; zero if it closes.
pub(super) fn keep_alive_time(headers: &HeaderMap) -> Duration {
    let value = |name: &http::HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    if value(&header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return Duration::ZERO;
    }
    let keep_alive = value(&http::HeaderName::from_static("keep-alive")).unwrap_or_default();
    let timeout = keep_alive.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let timeout = timeout.and_then(|seconds| seconds.trim().parse().ok());
    let stated = timeout.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    stated.map_or(DEFAULT_IDLE_TIME, |stated| stated.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME))
}
