//! Puts a document in force again once the log no longer tells what was.
//!
//! If no instance ran for longer than the log keeps records, no reader has a
//! state to start from, and every publish is refused. An operator who knows
//! the newest version then states the next one. It is appended as a snapshot
//! that covers everything up to the newest offset, which is what readers start
//! from.
//!
//! Traps:
//!
//! - A restore while somebody still knows what is in force would start a
//!   second chain of versions. It is refused while the log holds a usable
//!   state and while a listed instance says that it has a version in force.
//! - The log cannot append on a condition, so two restores at once may both
//!   stand. Readers start from the first of those that cover as much, and the
//!   other is told so. If a drain comes between the two, readers may differ on
//!   which one they start from. So one operator restores, once.

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

/// Restores, and waits for the instances to have the version in force.
///
/// # Errors
/// Any [`Error`] but those of publishes and drains.
pub async fn restore(ctx: &Context, body: RestoreBody) -> Result<PublishReply, Error> {
    publish::check_text("id", &body.id)?;
    publish::check_text("author", &body.author)?;
    publish::check_document(ctx, &body.document)?;
    let Some(version) = body.version.checked_add(1) else {
        return Err(Error::Malformed("`version` is the largest number there is".to_owned()));
    };
    ctx.reader.catch_up().await.map_err(|cause| Error::LogUnavailable(cause.to_string()))?;
    let made = match ctx.reader.inspect(|state| is_restored(state, &body.id)) {
        Some(made) => made,
        None => append(ctx, &body, version).await?,
    };
    if !made {
        return Err(ctx.reader.inspect(not_lost_error));
    }
    ctx.metrics.count("admin.restore.accepted", 1);
    tracing::info!(version, restore = &*body.id, author = &*body.author, "restored");
    let rollout = status::wait_in_force(ctx, version).await;
    Ok(PublishReply { id: body.id, version, in_force: rollout.in_force, missing: rollout.missing })
}

/// Appends the snapshot. Whether it is the state that readers start from.
async fn append(ctx: &Context, body: &RestoreBody, version: Version) -> Result<bool, Error> {
    check_version(ctx, body.version)?;
    check_instances(ctx).await?;
    let record = ConfigRecord::Snapshot(Snapshot {
        as_of: ctx.reader.inspect(newest_offset),
        version,
        publish: Some(Arc::clone(&body.id)),
        document: Arc::clone(&body.document),
        drains: Vec::new(),
        // What is known to be evacuated stays so: to send nothing there is the safe side.
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

/// Readers that know a version never go back behind it.
fn check_version(ctx: &Context, given: Version) -> Result<(), Error> {
    let known = ctx.reader.inspect(|state| state.current().map_or(0, |snapshot| snapshot.version));
    if given < known {
        return Err(Error::OldVersion { given, known });
    }
    Ok(())
}

/// An instance that still has a version in force appends its snapshot itself.
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
/// log tells of no state.
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
    Error::NotLost(publish::winner(state, version))
}
