//! The routes that engines and services share.

use std::sync::Arc;

use ntex::{
    http::StatusCode,
    web::{self, HttpResponse, types},
};
use peatdeck_core::{instance::input::RefuseReason, model::Echo};
use peatdeck_macros::message;
use peatdeck_wire::endpoint::{CancelBody, RefusalBody};

use super::Endpoint;
use crate::{faults::EndpointFaults, reply};

/// Adds the routes that engines and services share.
pub fn configure(cfg: &mut web::ServiceConfig, endpoint: Arc<Endpoint>) {
    cfg.state(endpoint)
        .route("/v1/cancel", web::post().to(cancel))
        .route("/v1/load", web::get().to(load))
        .route("/control/faults", web::put().to(set_faults))
        .route("/control/calls", web::get().to(calls))
        .route("/control/state", web::get().to(state));
}

/// The response to the call with this echo, which was refused.
pub fn refusal(endpoint: &Endpoint, echo: Echo, reason: RefuseReason) -> HttpResponse {
    let (echo, load) = (Some(echo), Some(endpoint.reported_load()));
    let body = RefusalBody { echo, ran: false, reason, load };
    reply::json(StatusCode::SERVICE_UNAVAILABLE, &body)
}

#[message]
struct CallsQuery {
    #[serde(default)]
    from: u64,
}

async fn cancel(
    endpoint: types::State<Arc<Endpoint>>,
    body: types::Json<CancelBody>,
) -> HttpResponse {
    endpoint.cancel(&body.echo);
    HttpResponse::Ok().finish()
}

async fn load(endpoint: types::State<Arc<Endpoint>>) -> HttpResponse {
    reply::json(StatusCode::OK, &endpoint.reported_load())
}

async fn set_faults(
    endpoint: types::State<Arc<Endpoint>>,
    body: types::Json<EndpointFaults>,
) -> HttpResponse {
    endpoint.set_faults(body.into_inner());
    HttpResponse::NoContent().finish()
}

async fn calls(
    endpoint: types::State<Arc<Endpoint>>,
    query: types::Query<CallsQuery>,
) -> HttpResponse {
    let body = reply::lock(&endpoint.state).history.body(&endpoint.name, query.from);
    reply::json(StatusCode::OK, &body)
}

async fn state(endpoint: types::State<Arc<Endpoint>>) -> HttpResponse {
    reply::json(StatusCode::OK, &endpoint.state())
}
