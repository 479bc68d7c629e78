//! Direct calls to endpoints.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, header, response};
use http_body_util::Full;
use peatdeck_core::relay::model::BodyEnd;

use crate::{
    correlation::Correlation,
    driver::Driver,
    pool::{self, ConnectionUse, Pool},
};

/// The name of no endpoint.
const NOBODY: &str = "nobody";
/// Time limit for an endpoint to refuse a request that is addressed to no endpoint.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The body of a reply that comes from the endpoint itself. Dropping it closes the connection.
pub struct Direct {
    body: pool::Body,
}

impl Direct {
    /// The next bytes; `None` once the reply is whole.
    pub async fn next_data(&mut self) -> Option<Result<Bytes, String>> {
        let data = self.body.next_data().await?;
        Some(data.map_err(|error| error.to_string()))
    }

    /// What its connection had carried before.
    pub fn connection_use(&self) -> ConnectionUse {
        self.body.connection_use()
    }

    /// Whether only the end of the connection ends it.
    pub fn is_unframed(&self) -> bool {
        self.body.is_unframed()
    }

    /// What is known of it after its end.
    pub async fn check_end(&mut self, driver: &Driver) -> BodyEnd {
        let Some(request) = refused_request(driver, self.body.addr()) else {
            return BodyEnd::Unknown;
        };
        let correlation = driver.platform.dialect.correlation();
        driver.pool.check_end(&mut self.body, request.map(Full::new), correlation).await
    }

    /// Returns the connection to the pool after the reply was read whole.
    pub fn release(self, pool: &Pool) {
        pool.release(self.body);
    }
}

/// Sends a request to an endpoint and waits for the head of its reply.
///
/// # Errors
/// As for [`Pool::send`].
pub async fn send(
    driver: &Rc<Driver>,
    addr: &Arc<str>,
    correlation: Correlation<'_>,
    request: Request<Bytes>,
) -> Result<(response::Parts, Direct), pool::Error> {
    let (head, body) = driver.pool.send(addr, correlation, request.map(Full::new)).await?;
    Ok((head, Direct { body }))
}

/// Whether anything answers at an address, on a new connection.
pub async fn has_answer(driver: &Rc<Driver>, addr: &Arc<str>) -> bool {
    let Some(request) = refused_request(driver, addr) else { return false };
    driver.pool.disconnect(addr);
    let sent = send(driver, addr, driver.platform.dialect.correlation(), request);
    matches!(tokio::time::timeout(ANSWER_TIMEOUT, sent).await, Ok(Ok(_)))
}

/// A request that is addressed to no endpoint, so that each one refuses it at once without running
/// it. `None` if the address is none that a header can state.
fn refused_request(driver: &Driver, addr: &str) -> Option<Request<Bytes>> {
    let request = Request::get("/")
        .header(header::HOST, addr)
        .header(&driver.platform.dialect.names.endpoint, NOBODY);
    request.body(Bytes::new()).ok()
}
