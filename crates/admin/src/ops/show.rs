//! What is in force, who did what, and what became of one publish.

use std::sync::Arc;

use peatdeck_core::{document::Document, record::Offset};
use peatdeck_wire::admin::{ConfigReply, HistoryReply, OperatorAction, VerdictReply};

use crate::{context::Context, error::Error, reader::State};

/// The configuration in force. While the log is out, the newest one that was
/// read, marked so: versions never go back, but a later one may exist.
///
/// # Errors
/// [`Error::LogOut`] if nothing was ever read, [`Error::NoState`] if the log
/// no longer tells.
pub async fn config(ctx: &Context) -> Result<ConfigReply, Error> {
    let read = ctx.reader.catch_up().await;
    let confirmed = read.is_ok();
    match (ctx.reader.look(|state| reply(state, confirmed)), read) {
        (Some(reply), _) => Ok(reply),
        (None, Err(cause)) => Err(Error::LogOut(cause.to_string())),
        (None, Ok(())) => Err(Error::NoState),
    }
}

/// One page of the history.
///
/// # Errors
/// [`Error::LogOut`].
pub async fn history(ctx: &Context, from: Offset, limit: usize) -> Result<HistoryReply, Error> {
    ctx.reader.catch_up().await.map_err(|cause| Error::LogOut(cause.to_string()))?;
    Ok(ctx.reader.look(|state| state.history.page(from, limit)))
}

/// What became of a publish.
///
/// # Errors
/// [`Error::LogOut`] or [`Error::UnknownPublish`].
pub async fn verdict(ctx: &Context, id: Arc<str>) -> Result<VerdictReply, Error> {
    ctx.reader.catch_up().await.map_err(|cause| Error::LogOut(cause.to_string()))?;
    let act = ctx.reader.look(|state| state.history.act(&id).cloned());
    match act.map(|act| (act.author, act.what)) {
        Some((author, OperatorAction::Publish { verdict, .. })) => {
            Ok(VerdictReply { id, author, verdict })
        }
        _ => Err(Error::UnknownPublish(id)),
    }
}

fn reply(state: &State, confirmed: bool) -> Option<ConfigReply> {
    let snapshot = state.current()?;
    let confirmed = confirmed && !state.fold.is_gapped();
    let maker = state.history.maker(snapshot.version).map(|(_, author)| author);
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
