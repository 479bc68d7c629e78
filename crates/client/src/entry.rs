//! Entry instances of ours, as operators' tools reach them.

use std::time::Duration;

use ntex::client;
use peatdeck_wire::admin::EntryStatus;

use crate::http::{self, Error};

/// The longest status that is read, in bytes. Outcomes of six hours by minute
/// at the most rows that an entry keeps take about half of it.
const MAX_STATUS_BYTES: usize = 64 << 20;

/// The status of the entry at `addr`, `ip:port`, with outcomes of slots from
/// `since` on, in seconds of Unix time. It is given up after `limit`.
///
/// # Errors
/// Any [`Error`]; reading has no effect and may be repeated.
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
