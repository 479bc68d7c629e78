//! What relay instances hold back, asked at the metrics address of one of them.

use ntex::http::{Method, StatusCode};
use peatdeck_wire::operators::{QUARANTINE, QuarantinedContent};

use crate::{
    error::Error,
    ops::relay::{self, ask, refused},
};

/// What an instance holds back.
///
/// # Errors
/// [`Error::Instance`], [`Error::Unreadable`].
pub async fn list(instance: &str) -> Result<Vec<QuarantinedContent>, Error> {
    relay::list(instance, QUARANTINE).await
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
