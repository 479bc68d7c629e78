//! Lists and releases quarantined contents at the metrics address of a relay instance.

use ntex::http::{Method, StatusCode};
use peatdeck_wire::operators::{QUARANTINE, QuarantinedContent};

use crate::{
    error::Error,
    ops::relay::{self, send, unexpected_status},
};

/// Lists the contents that an instance has quarantined.
///
/// # Errors
/// [`Error::Instance`] if the request fails, [`Error::Unreadable`] if the response is
/// invalid.
pub async fn list(instance: &str) -> Result<Vec<QuarantinedContent>, Error> {
    relay::list(instance, QUARANTINE).await
}

/// Releases a content at all instances, through one that has quarantined it.
///
/// # Errors
/// [`Error::Instance`] if the request fails; [`Error::NotQuarantined`] if this instance has
/// not quarantined the content.
pub async fn release(instance: &str, content: &str) -> Result<(), Error> {
    let path = format!("{QUARANTINE}/{content}");
    let (status, body) = send(instance, Method::DELETE, &path).await?;
    match status {
        StatusCode::ACCEPTED => Ok(()),
        StatusCode::NOT_FOUND => Err(Error::NotQuarantined { content: content.to_owned() }),
        _ => Err(unexpected_status(instance, status, &body)),
    }
}
