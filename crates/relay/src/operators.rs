//! The operators' HTTP interface of an instance, at its metrics address.
//!
//! | request | response |
//! | --- | --- |
//! | `GET /quarantine` | the contents quarantined here, as JSON ([`QuarantinedContent`]) |
//! | `DELETE /quarantine/FINGERPRINT` | releases that content at all instances |
//! | `GET /evacuations` | the evacuated data centres, as JSON ([`EvacuatedDataCentre`]) |
//! | `GET /terms` | the terms that endpoints have stated, as JSON ([`EndpointTerms`]) |
//! | `GET /rollouts` | the last rollout of each service, as JSON ([`RolloutOverview`]) |
//! | anything else | counters and timings, as text |
//!
//! The HTTP server may run on another thread than the event loop, so queries go to the
//! event loop through a channel.

use std::{io, rc::Rc, sync::Arc};

use futures::{
    StreamExt,
    channel::{mpsc, oneshot},
};
use ntex::http::{Method, Request, Response, StatusCode};
use peatdeck_core::relay::{directory::Endpoint, fingerprint::Fingerprint, terms::Rate};
use peatdeck_util::metrics::Registry;
use peatdeck_wire::operators::{
    EVACUATIONS, EndpointTerms, EvacuatedDataCentre, QUARANTINE, QuarantinedContent, ROLLOUTS,
    RolloutOverview, TERMS,
};
use serde::Serialize;

use crate::{driver::Driver, records, rollouts};

/// An operator's query to the event loop, with the channel for the result.
#[derive(Debug)]
pub enum Query {
    /// Lists the quarantined contents.
    Quarantined(oneshot::Sender<Vec<QuarantinedContent>>),
    /// Lists the evacuated data centres.
    Evacuated(oneshot::Sender<Vec<EvacuatedDataCentre>>),
    /// Lists the terms that endpoints have stated.
    Terms(oneshot::Sender<Vec<EndpointTerms>>),
    /// Lists the last rollout of each service.
    Rollouts(oneshot::Sender<Vec<RolloutOverview>>),
    /// Releases a content. The result is whether it was quarantined here.
    Release(Fingerprint, oneshot::Sender<bool>),
}

/// Serves one request of an operator, or for the metrics.
///
/// # Errors
/// Never; the HTTP server requires the type.
pub async fn answer(
    metrics: Arc<Registry>,
    queries: mpsc::UnboundedSender<Query>,
    req: Request,
) -> Result<Response, io::Error> {
    if req.path() == EVACUATIONS {
        return Ok(query_list(&queries, Query::Evacuated).await);
    }
    if req.path() == TERMS {
        return Ok(query_list(&queries, Query::Terms).await);
    }
    if req.path() == ROLLOUTS {
        return Ok(query_list(&queries, Query::Rollouts).await);
    }
    let Some(rest) = req.path().strip_prefix(QUARANTINE) else {
        return Ok(Response::Ok().body(metrics.render()));
    };
    let response = match (req.method(), rest.strip_prefix('/')) {
        (&Method::GET, None) => query_list(&queries, Query::Quarantined).await,
        (&Method::DELETE, Some(name)) => release(&queries, name).await,
        _ => text_response(
            StatusCode::NOT_FOUND,
            "ask GET /quarantine, or DELETE /quarantine/FINGERPRINT",
        ),
    };
    Ok(response)
}

/// Responds with the list that the event loop returns for a query, as JSON.
async fn query_list<T: Serialize>(
    queries: &mpsc::UnboundedSender<Query>,
    query: impl Fn(oneshot::Sender<Vec<T>>) -> Query,
) -> Response {
    let (tx, rx) = oneshot::channel();
    // If the event loop has ended, `rx` returns an error.
    queries.unbounded_send(query(tx)).ok();
    match rx.await {
        Ok(listed) => {
            let text = serde_json::to_string(&listed).expect("names and numbers are JSON");
            Response::Ok().content_type("application/json").body(text)
        }
        Err(_) => stopping_response(),
    }
}

async fn release(queries: &mpsc::UnboundedSender<Query>, name: &str) -> Response {
    let Some(content) = Fingerprint::parse(name) else {
        let help = "that is no fingerprint; take one from GET /quarantine";
        return text_response(StatusCode::BAD_REQUEST, help);
    };
    let (tx, rx) = oneshot::channel();
    // If the event loop has ended, `rx` returns an error.
    queries.unbounded_send(Query::Release(content, tx)).ok();
    match rx.await {
        Ok(true) => {
            text_response(StatusCode::ACCEPTED, "released here; the others follow in seconds")
        }
        Ok(false) => text_response(StatusCode::NOT_FOUND, "it is not held back here"),
        Err(_) => stopping_response(),
    }
}

fn stopping_response() -> Response {
    text_response(StatusCode::SERVICE_UNAVAILABLE, "the instance is stopping; ask another one")
}

fn text_response(status: StatusCode, text: &str) -> Response {
    Response::build(status).content_type("text/plain").body(format!("{text}\n"))
}

/// Answers operators' queries on the event loop for as long as the process runs.
pub async fn serve(driver: Rc<Driver>, mut queries: mpsc::UnboundedReceiver<Query>) {
    while let Some(query) = queries.next().await {
        // The operator may have disconnected, so failed sends are ignored.
        match query {
            Query::Quarantined(answer) => {
                answer.send(records::list(&driver)).ok();
            }
            Query::Evacuated(answer) => {
                answer.send(list_evacuated(&driver)).ok();
            }
            Query::Terms(answer) => {
                answer.send(list_terms(&driver)).ok();
            }
            Query::Rollouts(answer) => {
                answer.send(rollouts::list(&driver)).ok();
            }
            Query::Release(content, answer) => {
                let was_held = driver.feed(|machine, _| machine.release_content(content));
                tracing::warn!(event = "quarantine_lifted", %content, was_held);
                answer.send(was_held).ok();
            }
        }
    }
}

fn list_evacuated(driver: &Driver) -> Vec<EvacuatedDataCentre> {
    driver.inspect(|machine| {
        let directory = machine.directory();
        let listed = directory.evacuated().map(|name| EvacuatedDataCentre {
            data_centre: name.clone(),
            endpoints: directory.ready_count_in(name),
        });
        listed.collect()
    })
}

fn list_terms(driver: &Driver) -> Vec<EndpointTerms> {
    let now = driver.now();
    let stated_terms = |endpoint: &Endpoint| {
        let terms = EndpointTerms {
            endpoint: endpoint.entry.name.clone(),
            service: endpoint.entry.service.clone(),
            limit: endpoint.limit().map(Rate::calls),
            rest_ms: endpoint.hold_left(now).as_millis() as u64,
            is_leaving: endpoint.has_announced_leaving(),
        };
        let has_any = terms.limit.is_some() || terms.rest_ms > 0 || terms.is_leaving;
        has_any.then_some(terms)
    };
    driver.inspect(|machine| machine.directory().all().filter_map(stated_terms).collect())
}
