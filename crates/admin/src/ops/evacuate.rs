//! Evacuates a data centre: its endpoints receive no new work until the evacuation ends.

use std::sync::Arc;

use peatdeck_core::{
    model::DataCentre,
    record::{ConfigRecord, Evacuation},
};
use peatdeck_wire::admin::{EvacuationBody, EvacuationReply};

use crate::{
    context::Context,
    error::Error,
    ops::{
        publish,
        settle::{self, Failure},
    },
    reader::State,
};

/// Evacuates the data centre, or ends its evacuation. An order that is already in force is
/// not appended again. A data centre without listed endpoints is accepted too, since
/// endpoints may be added to it later.
///
/// # Errors
/// Any [`Error`] except those of publishes.
pub async fn evacuate(
    ctx: &Context,
    data_centre: DataCentre,
    body: EvacuationBody,
) -> Result<EvacuationReply, Error> {
    publish::check_text("data centre", &data_centre)?;
    if data_centre.trim().is_empty() {
        return Err(Error::Malformed("the data centre's name has only blanks".to_owned()));
    }
    publish::check_text("author", &body.author)?;
    let order = Evacuation { data_centre, is_over: body.is_over, author: body.author };
    ctx.reader.catch_up().await.map_err(|cause| Error::LogUnavailable(cause.to_string()))?;
    if !ctx.reader.inspect(|state| is_in_force(state, &order)) {
        append(ctx, &order).await?;
    }
    ctx.metrics.count("admin.evacuation.accepted", 1);
    let Evacuation { data_centre, is_over, author } = order;
    tracing::info!(data_centre = &*data_centre, is_over, author = &*author, "evacuation");
    let endpoints = endpoints_in(ctx, &data_centre).await;
    Ok(EvacuationReply { data_centre, is_evacuated: !is_over, endpoints })
}

async fn append(ctx: &Context, order: &Evacuation) -> Result<(), Error> {
    let record = ConfigRecord::Evacuation(order.clone());
    let is_confirmed = |state: &State| is_in_force(state, order).then_some(());
    settle::append_and_confirm(ctx, &record, is_confirmed).await.map_err(|failure| match failure {
        Failure::NotAppended(cause) => Error::LogUnavailable(cause.to_string()),
        Failure::Unknown => Error::EvacuationUnknown(Arc::clone(&order.data_centre)),
    })
}

/// Whether the order is in force.
fn is_in_force(state: &State, order: &Evacuation) -> bool {
    let evacuated = state.current().map_or(&[][..], |snapshot| &snapshot.evacuated);
    let is_evacuated = evacuated.iter().any(|known| known.data_centre == order.data_centre);
    state.current().is_some() && is_evacuated != order.is_over
}

/// The number of listed endpoints in the data centre, which reveals a mistyped name; `None` if
/// the list is unavailable.
async fn endpoints_in(ctx: &Context, data_centre: &str) -> Option<usize> {
    match ctx.list.read().await {
        Ok(listing) => {
            let there = listing.endpoints.iter().filter(|it| *it.data_centre == *data_centre);
            Some(there.count())
        }
        Err(cause) => {
            tracing::warn!(error = %cause, "could not read the list to count the evacuated endpoints");
            None
        }
    }
}
