//! Reads the status of entry instances for operators' tools.

use std::time::Duration;

use ntex::client;
use peatdeck_wire::admin::EntryStatus;

use crate::http::{self, Error};

/// Maximum length of a status, in bytes. With the maximum number of rows that an
/// instance keeps, the outcomes of six hours by minute take about half of it.
const MAX_STATUS_BYTES: usize = 64 << 20;

/// Reads the status of the entry instance at `addr`, `ip:port`, with the outcomes of
/// slots from `since` on, in seconds of Unix time. Fails after `limit`.
///
/// # Errors
/// Any [`Error`]; reading has no side effect and may be repeated.
pub async fn status(
    client: &client::Client,
    addr: &str,
    since: u64,
    limit: Duration,
) -> Result<EntryStatus, Error> {
    http::within(addr, limit, async {
        let path = format!("/v1/status?since={since}");
        let response = http::get(client, addr, &path).await?;
        http::json(addr, response, MAX_STATUS_BYTES).await
    })
    .await
}
