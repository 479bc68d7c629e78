//! Publishes a document as the next version.
//!
//! The phases are: check the request and the document, look up the id and the
//! base in the log, append the record and read it back, and wait until the
//! instances have the version in force. A conflict that is found before the
//! append writes nothing to the log.

use std::sync::Arc;

use peatdeck_core::{
    check,
    document::Document,
    model::MAX_ID_BYTES,
    record::{ConfigRecord, Publish, Version},
};
use peatdeck_wire::admin::{PublishBody, PublishReply, PublishVerdict, VersionInForce};

use crate::{
    context::Context,
    error::Error,
    ops::{
        settle::{self, Failure},
        status,
    },
    reader::State,
};

/// Publishes a document and waits until the instances have it in force.
///
/// # Errors
/// Any [`Error`] except those of drains.
pub async fn publish(ctx: &Context, body: PublishBody) -> Result<PublishReply, Error> {
    check_form(&body)?;
    check_document(ctx, &body.document)?;
    let publish =
        Publish { id: body.id, base: body.base, author: body.author, document: body.document };
    let verdict = append_or_find(ctx, &publish).await?;
    let version = accepted_version(ctx, &publish, verdict)?;
    ctx.metrics.count("admin.publish.accepted", 1);
    tracing::info!(version, publish = &*publish.id, author = &*publish.author, "accepted");
    let rollout = status::wait_in_force(ctx, version).await;
    Ok(PublishReply {
        id: publish.id,
        version,
        in_force: rollout.in_force,
        missing: rollout.missing,
    })
}

/// Checks the length and characters of a name or id in a request.
///
/// # Errors
/// [`Error::Malformed`].
pub fn check_text(what: &str, text: &str) -> Result<(), Error> {
    if text.is_empty() || text.len() > MAX_ID_BYTES || text.chars().any(char::is_control) {
        let cause = format!("`{what}` must have 1 to {MAX_ID_BYTES} bytes, all printable");
        return Err(Error::Malformed(cause));
    }
    Ok(())
}

fn check_form(body: &PublishBody) -> Result<(), Error> {
    check_text("id", &body.id)?;
    check_text("author", &body.author)
}

/// Checks a document before it is published or restored.
///
/// # Errors
/// [`Error::Invalid`].
pub fn check_document(ctx: &Context, document: &Document) -> Result<(), Error> {
    let problems = check::check(document, ctx.compile);
    if problems.is_empty() {
        return Ok(());
    }
    ctx.metrics.count("admin.publish.invalid", 1);
    Err(Error::Invalid(problems))
}

/// Returns the verdict on the publish; appends the publish if the log does not
/// contain it yet.
async fn append_or_find(ctx: &Context, publish: &Publish) -> Result<PublishVerdict, Error> {
    ctx.reader.catch_up().await.map_err(|cause| Error::LogUnavailable(cause.to_string()))?;
    match ctx.reader.inspect(|state| state.history.is_same(publish)) {
        Some(true) => {
            let verdict = ctx.reader.inspect(|state| state.history.verdict(&publish.id));
            return verdict.ok_or_else(|| Error::Unknown(Arc::clone(&publish.id)));
        }
        Some(false) => return Err(Error::IdReused(Arc::clone(&publish.id))),
        None => {}
    }
    let current = ctx.reader.inspect(current_version).ok_or(Error::NoState)?;
    if current != publish.base {
        return Ok(PublishVerdict::Conflict { current });
    }
    let record = ConfigRecord::Publish(publish.clone());
    let settled =
        settle::append_and_confirm(ctx, &record, |state| state.history.verdict(&publish.id));
    settled.await.map_err(|failure| match failure {
        Failure::NotAppended(cause) => Error::LogUnavailable(cause.to_string()),
        Failure::Unknown => Error::Unknown(Arc::clone(&publish.id)),
    })
}

fn accepted_version(
    ctx: &Context,
    publish: &Publish,
    verdict: PublishVerdict,
) -> Result<Version, Error> {
    match verdict {
        PublishVerdict::Accepted { version } => Ok(version),
        PublishVerdict::Conflict { current } => {
            ctx.metrics.count("admin.publish.conflict", 1);
            let in_force = ctx.reader.inspect(|state| version_in_force(state, current));
            Err(Error::Conflict { base: publish.base, in_force })
        }
        PublishVerdict::Forgotten => Err(Error::Unknown(Arc::clone(&publish.id))),
    }
}

/// The version in force; `None` if records needed to determine it have expired.
fn current_version(state: &State) -> Option<Version> {
    if state.config.is_gapped() {
        return None;
    }
    state.current().map(|snapshot| snapshot.version)
}

/// A version with the id and author of the change that created it, for errors.
pub fn version_in_force(state: &State, version: Version) -> VersionInForce {
    let (publish, author) = state.history.origin(version).unzip();
    VersionInForce { version, publish, author }
}
