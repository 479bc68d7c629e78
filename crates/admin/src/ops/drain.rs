//! Drains an endpoint: its current incarnation receives no new work.

use std::sync::Arc;

use peatdeck_core::{
    model::{EndpointName, Incarnation},
    record::{ConfigRecord, Drain},
};
use peatdeck_wire::admin::{DrainBody, DrainReply};

use crate::{
    context::Context,
    error::Error,
    ops::{
        publish,
        settle::{self, Failure},
    },
    reader::State,
};

/// Drains the endpoint. A drain that is already in force is not appended again.
///
/// # Errors
/// Any [`Error`] except those of publishes.
pub async fn drain(
    ctx: &Context,
    endpoint: EndpointName,
    body: DrainBody,
) -> Result<DrainReply, Error> {
    publish::check_text("endpoint", &endpoint)?;
    publish::check_text("author", &body.author)?;
    let incarnation = incarnation_of(ctx, &endpoint, body.incarnation).await?;
    let drain = Drain { endpoint, incarnation, author: body.author };
    ctx.reader.catch_up().await.map_err(|cause| Error::LogUnavailable(cause.to_string()))?;
    if !ctx.reader.inspect(|state| is_in_force(state, &drain)) {
        append(ctx, &drain).await?;
    }
    ctx.metrics.count("admin.drain.accepted", 1);
    tracing::info!(
        endpoint = &*drain.endpoint,
        incarnation = incarnation.0,
        author = &*drain.author,
        "drained"
    );
    Ok(DrainReply { endpoint: drain.endpoint, incarnation })
}

async fn append(ctx: &Context, drain: &Drain) -> Result<(), Error> {
    let record = ConfigRecord::Drain(drain.clone());
    let is_confirmed = |state: &State| is_in_force(state, drain).then_some(());
    settle::append_and_confirm(ctx, &record, is_confirmed).await.map_err(|failure| match failure {
        Failure::NotAppended(cause) => Error::LogUnavailable(cause.to_string()),
        Failure::Unknown => Error::DrainUnknown(Arc::clone(&drain.endpoint)),
    })
}

/// The incarnation to drain: the given one unless the list has a later one, by
/// default the listed one.
async fn incarnation_of(
    ctx: &Context,
    endpoint: &EndpointName,
    given: Option<Incarnation>,
) -> Result<Incarnation, Error> {
    let listing =
        ctx.list.read().await.map_err(|cause| Error::ListUnavailable(cause.to_string()))?;
    let entry = listing.endpoints.iter().find(|entry| entry.name == *endpoint);
    let listed = entry.ok_or_else(|| Error::UnknownEndpoint(Arc::clone(endpoint)))?.incarnation;
    match given {
        Some(given) if given < listed => {
            Err(Error::OutdatedIncarnation { endpoint: Arc::clone(endpoint), listed, given })
        }
        Some(given) => Ok(given),
        None => Ok(listed),
    }
}

/// Whether a drain of this or a later incarnation is in force.
fn is_in_force(state: &State, wanted: &Drain) -> bool {
    let drains = state.current().map(|snapshot| snapshot.drains.as_slice()).unwrap_or_default();
    drains
        .iter()
        .any(|drain| drain.endpoint == wanted.endpoint && drain.incarnation >= wanted.incarnation)
}
