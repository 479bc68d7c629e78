//! The shared HTTP client and its errors.
//!
//! ntex's client reports a connection that closes before the response with
//! the same error kind as a failed connect. [`Error::from_client`]
//! distinguishes the two by the source of the error: only if the connector
//! returned an I/O error, timed out or failed to resolve the name is it certain
//! that nothing was written.

use std::time::Duration;

use futures::StreamExt;
use ntex::{
    client::{self, Client, ClientResponse, Connector, error::ClientError, error::ConnectError},
    http::StatusCode,
    io::IoConfig,
    service::cfg::SharedCfg,
    time::{Millis, Seconds},
};
use serde::{Serialize, de::DeserializeOwned};

/// Pooled connections that have been idle for longer are closed. The value is
/// below the usual idle timeout of servers, so that a request is rarely written
/// to a connection that the server is closing.
const IDLE_TIMEOUT: Seconds = Seconds(3);
/// Pooled connections that are older are closed.
const MAX_CONNECTION_AGE: Seconds = Seconds(300);

/// A connection limit that no process reaches. The pool's own value for "no
/// limit", 0, has a bug: requests that wait while another request connects to
/// the same address are never woken.
const UNLIMITED: usize = usize::MAX;

/// Why an HTTP exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be established; no byte was written.
    #[error("no connection to {addr}: {cause}; check the address and that the service runs")]
    Unreachable {
        /// The address.
        addr: String,
        /// The connector's error.
        cause: String,
    },
    /// The connection was closed during the request or the response.
    #[error("the connection to {addr} was cut: {cause}; the request may have taken effect")]
    Cut {
        /// The address.
        addr: String,
        /// The connection's error.
        cause: String,
    },
    /// No complete response arrived in time.
    #[error("{addr} gave no whole response in time; the request may have taken effect")]
    TimedOut {
        /// The address.
        addr: String,
    },
    /// The response has a status other than 200.
    #[error("{addr} refused with status {status}; try again later")]
    Refused {
        /// The address.
        addr: String,
        /// The response's status.
        status: u16,
    },
    /// The response does not conform to the interface, or the request body could
    /// not be serialised.
    #[error("{addr} answered with something unreadable: {cause}; check both sides' versions")]
    Malformed {
        /// The address.
        addr: String,
        /// The violation, such as the parser's error.
        cause: String,
    },
}

impl Error {
    /// Whether it is certain that no byte of the request was written.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Unreachable { .. })
    }

    /// Converts an error of ntex's client in an exchange with `addr`.
    pub fn from_client(addr: &str, error: ClientError) -> Error {
        let addr = addr.to_owned();
        match error {
            ClientError::Connect(cause) if is_connector_failure(&cause) => {
                Error::Unreachable { addr, cause: describe_connect(&cause) }
            }
            ClientError::Timeout => Error::TimedOut { addr },
            ClientError::Response(cause) => Error::Malformed { addr, cause: cause.to_string() },
            other => Error::Cut { addr, cause: other.to_string() },
        }
    }

    pub(crate) fn malformed(addr: &str, cause: impl ToString) -> Error {
        Error::Malformed { addr: addr.to_owned(), cause: cause.to_string() }
    }

    fn cut(addr: &str, cause: impl ToString) -> Error {
        Error::Cut { addr: addr.to_owned(), cause: cause.to_string() }
    }
}

/// Whether the error can only come from the connector. The client also reports
/// `Disconnected` without a source when the peer closes the connection instead
/// of responding.
fn is_connector_failure(error: &ConnectError) -> bool {
    match error {
        ConnectError::Disconnected(source) => source.is_some(),
        _ => true,
    }
}

fn describe_connect(error: &ConnectError) -> String {
    match error {
        ConnectError::Disconnected(Some(source)) => source.to_string(),
        other => other.to_string(),
    }
}

/// Creates a client. `connect` is the timeout for connecting; there is no other
/// timeout and no limit on connections.
///
/// # Errors
/// If ntex cannot build its connector.
pub async fn client(connect: Duration) -> Result<Client, client::error::ClientBuilderError> {
    let connector =
        Connector::new().limit(UNLIMITED).keep_alive(IDLE_TIMEOUT).lifetime(MAX_CONNECTION_AGE);
    let config = IoConfig::new().set_connect_timeout(millis(connect));
    Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects()
        .build(SharedCfg::new("peatdeck-client").add(config))
        .await
}

/// Sends a POST request with a JSON body and returns the head of the response.
pub(crate) async fn post<B: Serialize>(
    client: &Client,
    addr: &str,
    path: &str,
    body: &B,
) -> Result<ClientResponse, Error> {
    let json = serde_json::to_vec(body).map_err(|cause| Error::malformed(addr, cause))?;
    client
        .post(format!("http://{addr}{path}"))
        .content_type("application/json")
        .send_body(json)
        .await
        .map_err(|error| Error::from_client(addr, error))
}

/// Sends a GET request and returns the head of the response.
pub(crate) async fn get(client: &Client, addr: &str, path: &str) -> Result<ClientResponse, Error> {
    client
        .get(format!("http://{addr}{path}"))
        .send()
        .await
        .map_err(|error| Error::from_client(addr, error))
}

/// Reads a body of at most `limit` bytes.
pub(crate) async fn body(
    addr: &str,
    response: &mut ClientResponse,
    limit: usize,
) -> Result<Vec<u8>, Error> {
    let mut body = Vec::new();
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|cause| Error::cut(addr, cause))?;
        append(addr, &mut body, &chunk, limit)?;
    }
    Ok(body)
}

/// Reads a large body of at most `limit` bytes. There is no limit on the total
/// time, only on the gap between two chunks: on a slow link, a limit on the total
/// would abort the transfer, which would then start again from the beginning.
async fn large_body(
    addr: &str,
    response: &mut ClientResponse,
    limit: usize,
    max_gap: Duration,
) -> Result<Vec<u8>, Error> {
    let mut body = Vec::new();
    while let Some(chunk) = within(addr, max_gap, async { Ok(response.next().await) }).await? {
        let chunk = chunk.map_err(|cause| Error::cut(addr, cause))?;
        append(addr, &mut body, &chunk, limit)?;
    }
    Ok(body)
}

fn append(addr: &str, body: &mut Vec<u8>, chunk: &[u8], limit: usize) -> Result<(), Error> {
    if body.len() + chunk.len() > limit {
        return Err(Error::malformed(addr, format!("a body over {limit} bytes")));
    }
    body.extend_from_slice(chunk);
    Ok(())
}

/// Parses the JSON body of a response with status 200; any other status is
/// [`Error::Refused`].
pub(crate) async fn json<T: DeserializeOwned>(
    addr: &str,
    mut response: ClientResponse,
    limit: usize,
) -> Result<T, Error> {
    check_ok(addr, &response)?;
    let body = body(addr, &mut response, limit).await?;
    serde_json::from_slice(&body).map_err(|cause| Error::malformed(addr, cause))
}

/// Parses a JSON body as [`json`] does, reading it with [`large_body`].
pub(crate) async fn large_json<T: DeserializeOwned>(
    addr: &str,
    mut response: ClientResponse,
    limit: usize,
    max_gap: Duration,
) -> Result<T, Error> {
    check_ok(addr, &response)?;
    let body = large_body(addr, &mut response, limit, max_gap).await?;
    serde_json::from_slice(&body).map_err(|cause| Error::malformed(addr, cause))
}

fn check_ok(addr: &str, response: &ClientResponse) -> Result<(), Error> {
    match response.status() {
        StatusCode::OK => Ok(()),
        status => Err(Error::Refused { addr: addr.to_owned(), status: status.as_u16() }),
    }
}

/// Runs an exchange; fails with [`Error::TimedOut`] after `limit`.
pub(crate) async fn within<T>(
    addr: &str,
    limit: Duration,
    exchange: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    match tokio::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) => Err(Error::TimedOut { addr: addr.to_owned() }),
    }
}

fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX).max(1))
}
