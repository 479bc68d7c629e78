//! Tells by new connections whether a process listens at an address.

use std::{io, sync::Arc, time::Duration};

use peatdeck_core::relay::model::ProbeResult;

use crate::pool::{
    Pool,
    connection::{DEFAULT_IDLE_TIME, Lease, handshake, open},
};

/// A process that exits closes its connections within this time.
pub(super) const PROBE_PAUSE: Duration = Duration::from_millis(100);

impl Pool {
    /// Checks by a new connection whether a process listens at an address. The connection
    /// is kept for the next call. A process that is exiting may still have accepted it, so
    /// if it is closed at once, a second connection is tried.
    pub async fn probe(&self, addr: &Arc<str>) -> ProbeResult {
        let stream = match open(addr).await {
            Ok(stream) => stream,
            Err(error) => return probe_failure(&error),
        };
        let Ok(mut lease) = handshake(addr, stream, &self.closings).await else {
            return ProbeResult::Unknown;
        };
        tokio::time::sleep(PROBE_PAUSE).await;
        if lease.connection.sender.is_closed() {
            let stream = match open(addr).await {
                Ok(stream) => stream,
                Err(error) => return probe_failure(&error),
            };
            let Ok(again) = handshake(addr, stream, &self.closings).await else {
                return ProbeResult::Unknown;
            };
            lease = again;
            tokio::time::sleep(PROBE_PAUSE).await;
            if lease.connection.sender.is_closed() {
                return ProbeResult::Unknown;
            }
        }
        self.count(true);
        self.put_back(Lease { max_idle: DEFAULT_IDLE_TIME, ..lease });
        ProbeResult::There
    }

    /// Whether a connection to an address can be opened. It is kept for the next call.
    pub async fn can_open(&self, addr: &Arc<str>) -> bool {
        let Ok(stream) = open(addr).await else { return false };
        let Ok(lease) = handshake(addr, stream, &self.closings).await else { return false };
        self.count(true);
        self.put_back(Lease { max_idle: DEFAULT_IDLE_TIME, ..lease });
        true
    }
}

/// The probe result for a failed connection attempt.
fn probe_failure(error: &io::Error) -> ProbeResult {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => ProbeResult::Gone,
        _ => ProbeResult::Unknown,
    }
}
