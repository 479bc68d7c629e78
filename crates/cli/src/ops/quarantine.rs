//! What relay instances hold back, asked at the metrics address of one of them.

use ntex::http::{Method, StatusCode};
use peatdeck_wire::operators::{Held, QUARANTINE};

use crate::{
    error::Error,
    ops::relay::{self, send, unexpected_status},
};

/// What an instance holds back.
///
/// # Errors
/// [`Error::Instance`], [`Error::Unreadable`].
pub async fn list(instance: &str) -> Result<Vec<Held>, Error> {
    relay::list(instance, QUARANTINE).await
}

/// Releases a content at all instances, by one that holds it back.
///
/// # Errors
/// [`Error::Instance`]; [`Error::NotQuarantined`] if that one does not hold it back.
pub async fn release(instance: &str, content: &str) -> Result<(), Error> {
    let path = format!("{QUARANTINE}/{content}");
    let (status, body) = send(instance, Method::DELETE, &path).await?;
    match status {
        StatusCode::ACCEPTED => Ok(()),
        StatusCode::NOT_FOUND => Err(Error::NotQuarantined { content: content.to_owned() }),
        _ => Err(unexpected_status(instance, status, &body)),
    }
}
