//! Restores a document after the log has lost the configuration in force.
//!
//! If no instance has run for longer than the log keeps records, no reader has
//! a state to start from, and every publish is refused. An operator who knows
//! the newest version then provides the next one. It is appended as a snapshot
//! that covers all records up to the newest offset; readers start from it.
//!
//! Limits:
//!
//! - A restore while an instance still has a version in force would start a
//!   second sequence of versions. It is therefore refused while the log holds a
//!   usable state or a listed instance reports a version in force.
//! - The log has no conditional append, so two concurrent restores may both be
//!   appended. Readers start from the first of those that cover the same
//!   records, and the other restore fails with [`Error::NotLost`]. If a drain is
//!   appended between the two, readers may start from different ones. Only one
//!   operator should therefore restore, and only once.

use std::sync::Arc;

use peatdeck_core::record::{ConfigRecord, Evacuated, Offset, Snapshot, Version};
use peatdeck_wire::admin::{PublishReply, RestoreBody};

use crate::{
    context::Context,
    error::Error,
    ops::{
        publish,
        settle::{self, Failure},
        status,
    },
    reader::State,
};

/// Restores a document and waits until the instances have it in force.
///
/// # Errors
/// Any [`Error`] except those of publishes and drains.
pub async fn restore(ctx: &Context, body: RestoreBody) -> Result<PublishReply, Error> {
    publish::check_text("id", &body.id)?;
    publish::check_text("author", &body.author)?;
    publish::check_document(ctx, &body.document)?;
    let Some(version) = body.version.checked_add(1) else {
        return Err(Error::Malformed("`version` is the largest number there is".to_owned()));
    };
    ctx.reader.catch_up().await.map_err(|cause| Error::LogUnavailable(cause.to_string()))?;
    let is_effective = match ctx.reader.inspect(|state| is_restored(state, &body.id)) {
        Some(is_effective) => is_effective,
        None => append(ctx, &body, version).await?,
    };
    if !is_effective {
        return Err(ctx.reader.inspect(not_lost_error));
    }
    ctx.metrics.count("admin.restore.accepted", 1);
    tracing::info!(version, restore = &*body.id, author = &*body.author, "restored");
    let rollout = status::wait_in_force(ctx, version).await;
    Ok(PublishReply { id: body.id, version, in_force: rollout.in_force, missing: rollout.missing })
}

/// Appends the snapshot. Returns whether readers start from it, rather than from
/// another restore.
async fn append(ctx: &Context, body: &RestoreBody, version: Version) -> Result<bool, Error> {
    check_version(ctx, body.version)?;
    check_instances(ctx).await?;
    let record = ConfigRecord::Snapshot(Snapshot {
        as_of: ctx.reader.inspect(newest_offset),
        version,
        publish: Some(Arc::clone(&body.id)),
        document: Arc::clone(&body.document),
        drains: Vec::new(),
        // Known evacuations stay in force: sending nothing to those data centres is safe.
        evacuated: ctx.reader.inspect(evacuated),
        restorer: Some(Arc::clone(&body.author)),
    });
    let settled = settle::append_and_confirm(ctx, &record, |state| is_restored(state, &body.id));
    settled.await.map_err(|failure| match failure {
        Failure::NotAppended(cause) => Error::LogUnavailable(cause.to_string()),
        Failure::Unknown => Error::RestoreUnknown(Arc::clone(&body.id)),
    })
}

fn evacuated(state: &State) -> Vec<Evacuated> {
    state.current().map(|snapshot| snapshot.evacuated.clone()).unwrap_or_default()
}

/// Refuses a version older than the newest one read: readers never go back to an
/// older version.
fn check_version(ctx: &Context, given: Version) -> Result<(), Error> {
    let known = ctx.reader.inspect(|state| state.current().map_or(0, |snapshot| snapshot.version));
    if given < known {
        return Err(Error::OldVersion { given, known });
    }
    Ok(())
}

/// Refuses the restore while an instance has a version in force, since that
/// instance appends a snapshot itself.
async fn check_instances(ctx: &Context) -> Result<(), Error> {
    let reply = status::status(ctx).await?;
    match reply.entries.into_iter().find(|entry| entry.version > 0) {
        Some(entry) => {
            Err(Error::StillInForce { instance: entry.instance, version: entry.version })
        }
        None => Ok(()),
    }
}

/// Whether the state in force is the one that `id` restored; `None` while the
/// log determines no state.
fn is_restored(state: &State, id: &str) -> Option<bool> {
    if state.config.is_gapped() {
        return None;
    }
    let snapshot = state.current()?;
    Some(snapshot.restorer.is_some() && snapshot.publish.as_deref() == Some(id))
}

fn newest_offset(state: &State) -> Option<Offset> {
    state.config.next_offset().checked_sub(1)
}

fn not_lost_error(state: &State) -> Error {
    let version = state.current().map_or(0, |snapshot| snapshot.version);
    Error::NotLost(publish::version_in_force(state, version))
}
