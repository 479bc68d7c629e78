//! Questions to a relay instance, at its metrics address.

use std::time::Duration;

use futures::StreamExt;
use ntex::http::{Method, StatusCode};
use peatdeck_client::http;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for a whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest answer that is read, in bytes: a thousand contents take 150 KB.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// What an instance lists at a path.
///
/// # Errors
/// [`Error::Instance`], [`Error::Unreadable`].
pub async fn list<T: DeserializeOwned>(instance: &str, path: &str) -> Result<Vec<T>, Error> {
    let (status, body) = send(instance, Method::GET, path).await?;
    if status != StatusCode::OK {
        return Err(unexpected_status(instance, status, &body));
    }
    serde_json::from_slice(&body).map_err(|cause| Error::Unreadable { cause: cause.to_string() })
}

/// Asks an instance.
///
/// # Errors
/// [`Error::Instance`] if it gives no whole answer in time.
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
                return Err(failed(format!("the answer takes over {MAX_ANSWER_BYTES} bytes")));
            }
        }
        Ok((response.status(), body))
    };
    let on_timeout = |_| failed(format!("no answer for {} s", ANSWER_TIMEOUT.as_secs()));
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.map_err(on_timeout)?
}

/// The error of an answer with a status that was not expected.
pub fn unexpected_status(instance: &str, status: StatusCode, body: &[u8]) -> Error {
    let said = String::from_utf8_lossy(body).trim().to_owned();
    let cause = format!("status {}, {said}", status.as_u16());
    Error::Instance { instance: instance.to_owned(), cause }
}
