//! When an open connection counts as dead.
//!
//! A connection may go silent for good without a reset, while new ones work.
//! The kernel finds that out where bytes stay unacknowledged; where none are
//! under way, probes are sent. A peer that lives acknowledges both however long
//! it takes to answer, so a slow answer or a stream that pauses is not cut.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Silence after which bytes that were not acknowledged mean a dead peer. A
/// packet that was lost is sent again several times within it.
const ACK_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause before and between probes of a silent connection; the kernel counts
/// in seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Has the kernel end a connection that has gone silent, and send small
/// messages at once.
///
/// # Errors
/// If the system does not know an option.
pub fn set_dead_peer_detection(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes)
}
