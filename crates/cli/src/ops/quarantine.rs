//! What relay instances hold back, asked at the metrics address of one of them.

use std::time::Duration;

use futures::StreamExt;
use ntex::http::{Method, StatusCode};
use peatdeck_client::http;
use peatdeck_wire::operators::{Held, QUARANTINE};

use crate::error::Error;

/// Time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for a whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest answer that is read, in bytes: a thousand contents take 150 KB.
const MAX_ANSWER: usize = 1 << 20;

/// What an instance holds back.
///
/// # Errors
/// [`Error::Instance`], [`Error::Unreadable`].
pub async fn list(instance: &str) -> Result<Vec<Held>, Error> {
    let (status, body) = ask(instance, Method::GET, QUARANTINE).await?;
    if status != StatusCode::OK {
        return Err(refused(instance, status, &body));
    }
    serde_json::from_slice(&body).map_err(|cause| Error::Unreadable { cause: cause.to_string() })
}

/// Releases a content at all instances, by one that holds it back.
///
/// # Errors
/// [`Error::Instance`]; [`Error::NotHeld`] if that one does not hold it back.
pub async fn release(instance: &str, content: &str) -> Result<(), Error> {
    let path = format!("{QUARANTINE}/{content}");
    let (status, body) = ask(instance, Method::DELETE, &path).await?;
    match status {
        StatusCode::ACCEPTED => Ok(()),
        StatusCode::NOT_FOUND => Err(Error::NotHeld { content: content.to_owned() }),
        _ => Err(refused(instance, status, &body)),
    }
}

async fn ask(instance: &str, method: Method, path: &str) -> Result<(StatusCode, Vec<u8>), Error> {
    let failed = |cause: String| Error::Instance { instance: instance.to_owned(), cause };
    let client = http::client(CONNECT_TIMEOUT).await.map_err(|error| failed(error.to_string()))?;
    let exchange = async {
        let request = client.request(method, format!("{instance}{path}"));
        let mut response = request.send().await.map_err(|error| failed(error.to_string()))?;
        let mut body = Vec::new();
        while let Some(chunk) = response.next().await {
            body.extend_from_slice(&chunk.map_err(|error| failed(error.to_string()))?);
            if body.len() > MAX_ANSWER {
                return Err(failed(format!("the answer takes over {MAX_ANSWER} bytes")));
            }
        }
        Ok((response.status(), body))
    };
    let late = |_| failed(format!("no answer for {} s", ANSWER_TIMEOUT.as_secs()));
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.map_err(late)?
}

fn refused(instance: &str, status: StatusCode, body: &[u8]) -> Error {
    let said = String::from_utf8_lossy(body).trim().to_owned();
    let cause = format!("status {}, {said}", status.as_u16());
    Error::Instance { instance: instance.to_owned(), cause }
}
