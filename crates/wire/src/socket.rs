//! Socket options that detect dead connections.
//!
//! A connection may stop working without a reset while new connections work. The
//! kernel detects this by bytes that stay unacknowledged, or by keep-alive probes
//! when none are in flight. The kernel of a live peer acknowledges both however
//! long the peer takes to answer, so a slow answer or a paused stream is not cut.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time after which unacknowledged bytes mean that the connection is dead. A lost
/// packet is retransmitted several times within it, and a peer that is silent for a
/// second or so goes on. It also ends the keep-alive probes, whatever their number.
const ACK_TIMEOUT: Duration = Duration::from_millis(2200);
/// Delay before and between keep-alive probes of an idle connection; the kernel's
/// resolution is one second.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes the kernel close a dead connection, and disables Nagle's algorithm so that
/// small messages are sent at once.
///
/// # Errors
/// If the system does not support an option.
pub fn set_dead_peer_detection(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes)
}
