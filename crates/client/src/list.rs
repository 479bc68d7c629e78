//! Reads the platform's list of instances and endpoints, which lags behind changes.

use std::{sync::Arc, time::Duration};

use ntex::client;
use peatdeck_core::model::Listing;

use crate::http::{self, Error};

/// Maximum length of a list, in bytes. The planned size of 2,000 workers takes
/// about half a megabyte.
const MAX_LIST_BYTES: usize = 8 << 20;
/// Timeout for one read of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the list.
#[derive(Debug, Clone)]
pub struct Client {
    http: client::Client,
    addr: Arc<str>,
}

impl Client {
    /// Creates a client of the list at `addr`, `ip:port`.
    pub fn new(http: client::Client, addr: Arc<str>) -> Client {
        Client { http, addr }
    }

    /// Reads the current list.
    ///
    /// # Errors
    /// Any [`Error`]; reading has no side effect and may be repeated.
    pub async fn read(&self) -> Result<Listing, Error> {
        http::within(&self.addr, READ_TIMEOUT, async {
            let response = http::get(&self.http, &self.addr, "/v1/list").await?;
            http::json(&self.addr, response, MAX_LIST_BYTES).await
        })
        .await
    }
}
