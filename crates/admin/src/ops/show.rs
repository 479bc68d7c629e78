//! Shows the configuration in force, the history and the verdict on a publish.

use std::sync::Arc;

use peatdeck_core::{document::Document, record::Offset};
use peatdeck_wire::admin::{ConfigReply, HistoryReply, OperatorAction, VerdictReply};

use crate::{context::Context, error::Error, reader::State};

/// The configuration in force. While the log is unavailable, the newest one that
/// was read, marked as not confirmed: versions never go back, but a later one may
/// exist.
///
/// # Errors
/// [`Error::LogUnavailable`] if nothing has been read yet, [`Error::NoState`] if
/// the log no longer determines a configuration.
pub async fn config(ctx: &Context) -> Result<ConfigReply, Error> {
    let read = ctx.reader.catch_up().await;
    let confirmed = read.is_ok();
    match (ctx.reader.inspect(|state| reply(state, confirmed)), read) {
        (Some(reply), _) => Ok(reply),
        (None, Err(cause)) => Err(Error::LogUnavailable(cause.to_string())),
        (None, Ok(())) => Err(Error::NoState),
    }
}

/// One page of the history.
///
/// # Errors
/// [`Error::LogUnavailable`].
pub async fn history(ctx: &Context, from: Offset, limit: usize) -> Result<HistoryReply, Error> {
    ctx.reader.catch_up().await.map_err(|cause| Error::LogUnavailable(cause.to_string()))?;
    Ok(ctx.reader.inspect(|state| state.history.page(from, limit)))
}

/// The verdict on a publish.
///
/// # Errors
/// [`Error::LogUnavailable`] or [`Error::UnknownPublish`].
pub async fn verdict(ctx: &Context, id: Arc<str>) -> Result<VerdictReply, Error> {
    ctx.reader.catch_up().await.map_err(|cause| Error::LogUnavailable(cause.to_string()))?;
    let entry = ctx.reader.inspect(|state| state.history.entry(&id).cloned());
    match entry.map(|entry| (entry.author, entry.what)) {
        Some((author, OperatorAction::Publish { verdict, .. })) => {
            Ok(VerdictReply { id, author, verdict })
        }
        _ => Err(Error::UnknownPublish(id)),
    }
}

fn reply(state: &State, confirmed: bool) -> Option<ConfigReply> {
    let snapshot = state.current()?;
    let confirmed = confirmed && !state.config.is_gapped();
    let maker = state.history.origin(snapshot.version).map(|(_, author)| author);
    let author = maker.or_else(|| snapshot.restorer.clone());
    Some(ConfigReply {
        version: snapshot.version,
        publish: snapshot.publish.clone(),
        author,
        confirmed,
        document: Arc::<Document>::clone(&snapshot.document),
        drains: snapshot.drains.clone(),
        evacuated: snapshot.evacuated.clone(),
    })
}
