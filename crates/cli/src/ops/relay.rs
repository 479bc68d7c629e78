//! Sends requests to a relay instance at its metrics address.

use std::time::Duration;

use futures::StreamExt;
use ntex::http::{Method, StatusCode};
use peatdeck_client::http;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for a complete response.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of a response, in bytes; a thousand contents take 150 KB.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Reads the list that an instance serves at a path.
///
/// # Errors
/// [`Error::Instance`] if the request fails, [`Error::Unreadable`] if the response is
/// invalid.
pub async fn list<T: DeserializeOwned>(instance: &str, path: &str) -> Result<Vec<T>, Error> {
    let (status, body) = send(instance, Method::GET, path).await?;
    if status != StatusCode::OK {
        return Err(unexpected_status(instance, status, &body));
    }
    serde_json::from_slice(&body).map_err(|cause| Error::Unreadable { cause: cause.to_string() })
}

/// Sends a request without a body and returns the status and body of the response.
///
/// # Errors
/// [`Error::Instance`] if no complete response arrives in time.
pub async fn send(
    instance: &str,
    method: Method,
    path: &str,
) -> Result<(StatusCode, Vec<u8>), Error> {
    let failed = |cause: String| Error::Instance { instance: instance.to_owned(), cause };
    let client = http::client(CONNECT_TIMEOUT).await.map_err(|error| failed(error.to_string()))?;
    let exchange = async {
        let request = client.request(method, format!("{instance}{path}"));
        let mut response = request.send().await.map_err(|error| failed(error.to_string()))?;
        let mut body = Vec::new();
        while let Some(chunk) = response.next().await {
            body.extend_from_slice(&chunk.map_err(|error| failed(error.to_string()))?);
            if body.len() > MAX_ANSWER_BYTES {
                return Err(failed(format!("the response exceeds {MAX_ANSWER_BYTES} bytes")));
            }
        }
        Ok((response.status(), body))
    };
    let on_timeout = |_| failed(format!("no response for {} s", ANSWER_TIMEOUT.as_secs()));
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.map_err(on_timeout)?
}

/// The error for a response with an unexpected status.
pub fn unexpected_status(instance: &str, status: StatusCode, body: &[u8]) -> Error {
    let text = String::from_utf8_lossy(body).trim().to_owned();
    let cause = format!("status {}, {text}", status.as_u16());
    Error::Instance { instance: instance.to_owned(), cause }
}
