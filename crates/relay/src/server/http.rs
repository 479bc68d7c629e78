//! Limits of the HTTP server.

use ntex::{
    http::{HttpServiceConfig, KeepAlive},
    io::IoConfig,
    service::cfg::SharedCfg,
    time::Seconds,
};

/// Largest head of a request, in bytes. Above the limit that operators set.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Time limit for a request's head, and for a body that has stalled.
const READ_TIMEOUT: Seconds = Seconds(10);
/// Time limit for a whole body.
const BODY_TIMEOUT: Seconds = Seconds(60);
/// Bytes per second below which a head or a body counts as stalled.
const MIN_RATE: u32 = 64;
/// Time limit for a caller to take the rest of a response that closes its connection.
const CLOSE_TIMEOUT: Seconds = Seconds(60);

/// The configuration of a listener whose idle connections the server closes as stated.
pub(super) fn config(keep_alive: KeepAlive) -> SharedCfg {
    let config = HttpServiceConfig::new()
        .set_max_buf_size(MAX_HEAD_BYTES)
        .set_keepalive(keep_alive)
        .set_client_timeout(READ_TIMEOUT)
        .set_payload_read_rate(READ_TIMEOUT, BODY_TIMEOUT, MIN_RATE);
    let io = IoConfig::new().set_disconnect_timeout(CLOSE_TIMEOUT);
    SharedCfg::new("peatdeck-relay").add(config).add(io).build()
}
