//! Entry instances of ours, as operators' tools reach them.

use std::time::Duration;

use ntex::client;
use peatdeck_wire::admin::EntryStatus;

use crate::http::{self, Error};

/// The longest status that is read, in bytes.
const MAX_STATUS: usize = 8 << 20;

/// The status of the entry at `addr`, `ip:port`. It is given up after `limit`.
///
/// # Errors
/// Any [`Error`]; reading has no effect and may be repeated.
pub async fn status(
    client: &client::Client,
    addr: &str,
    limit: Duration,
) -> Result<EntryStatus, Error> {
    http::within(addr, limit, async {
        let response = http::get(client, addr, "/v1/status").await?;
        http::json(addr, response, MAX_STATUS).await
    })
    .await
}
