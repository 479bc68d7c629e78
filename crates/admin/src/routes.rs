//! The handlers of the API: each parses the request, runs the operation and
//! writes the response.

use std::{rc::Rc, sync::Arc};

use futures::StreamExt;
use ntex::{
    http::StatusCode,
    web::{self, HttpRequest, HttpResponse, types},
};
use peatdeck_core::record::Offset;
use peatdeck_wire::admin::{CheckBody, DrainBody, EvacuationBody, PublishBody, RestoreBody};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{auth::Operator, context::Context, error::Error, ops};

/// Maximum length of a request body, in bytes: a document, with allowance for
/// JSON escapes and white space.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Default number of entries on a page of the history.
const DEFAULT_PAGE_ENTRIES: usize = 50;
/// Maximum number of entries on a page of the history.
const MAX_PAGE_ENTRIES: usize = 500;

/// Registers the routes of the API.
pub fn configure(cfg: &mut web::ServiceConfig) {
    cfg.service((
        web::resource("/livez").route(web::get().to(live)),
        web::resource("/readyz").route(web::get().to(ready)),
        web::resource("/v1/config").route(web::get().to(config)),
        web::resource("/v1/config/check").route(web::post().to(check)),
        web::resource("/v1/config/publish").route(web::post().to(publish)),
        web::resource("/v1/config/restore").route(web::post().to(restore)),
        web::resource("/v1/config/history").route(web::get().to(history)),
        web::resource("/v1/config/verdict/{id}").route(web::get().to(verdict)),
        web::resource("/v1/endpoints/{name}/drain").route(web::post().to(drain)),
        web::resource("/v1/data-centres/{name}/evacuation").route(web::post().to(evacuate)),
        web::resource("/v1/status").route(web::get().to(status)),
        web::resource("/v1/outcomes").route(web::get().to(outcomes)),
    ));
}

/// Handles requests that no route matches.
///
/// # Errors
/// Always [`Error::NoRoute`].
pub async fn no_route() -> Result<HttpResponse, Error> {
    Err(Error::NoRoute)
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

/// Reports ready once the configuration stream has been read to its end. After
/// that, only the operations that need the log report that it is unavailable.
async fn ready(ctx: types::State<Rc<Context>>) -> HttpResponse {
    let known = ctx.reader.inspect(|state| state.current().is_some());
    if known {
        return HttpResponse::Ok().body("ready\n");
    }
    match ctx.reader.catch_up().await {
        Ok(()) => HttpResponse::Ok().body("ready\n"),
        Err(cause) => HttpResponse::ServiceUnavailable().body(format!("not ready: {cause}\n")),
    }
}

async fn config(operator: Operator) -> Result<HttpResponse, Error> {
    ops::show::config(&operator.ctx).await.map(reply)
}

async fn check(operator: Operator, payload: types::Payload) -> Result<HttpResponse, Error> {
    let body: CheckBody = read(payload).await?;
    Ok(reply(ops::check::check(&operator.ctx, &body.document)))
}

async fn publish(operator: Operator, payload: types::Payload) -> Result<HttpResponse, Error> {
    let body: PublishBody = read(payload).await?;
    ops::publish::publish(&operator.ctx, body).await.map(reply)
}

async fn restore(operator: Operator, payload: types::Payload) -> Result<HttpResponse, Error> {
    let body: RestoreBody = read(payload).await?;
    ops::restore::restore(&operator.ctx, body).await.map(reply)
}

/// Query parameters of `/v1/config/history`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Page {
    #[serde(default)]
    from: Offset,
    limit: Option<usize>,
}

async fn history(operator: Operator, req: HttpRequest) -> Result<HttpResponse, Error> {
    let page: Page = query(&req)?;
    let limit = page.limit.unwrap_or(DEFAULT_PAGE_ENTRIES).clamp(1, MAX_PAGE_ENTRIES);
    ops::show::history(&operator.ctx, page.from, limit).await.map(reply)
}

async fn verdict(operator: Operator, id: types::Path<String>) -> Result<HttpResponse, Error> {
    ops::show::verdict(&operator.ctx, Arc::from(id.into_inner())).await.map(reply)
}

async fn drain(
    operator: Operator,
    name: types::Path<String>,
    payload: types::Payload,
) -> Result<HttpResponse, Error> {
    let body: DrainBody = read(payload).await?;
    ops::drain::drain(&operator.ctx, Arc::from(name.into_inner()), body).await.map(reply)
}

async fn evacuate(
    operator: Operator,
    name: types::Path<String>,
    payload: types::Payload,
) -> Result<HttpResponse, Error> {
    let body: EvacuationBody = read(payload).await?;
    ops::evacuate::evacuate(&operator.ctx, Arc::from(name.into_inner()), body).await.map(reply)
}

async fn status(operator: Operator) -> Result<HttpResponse, Error> {
    ops::status::status(&operator.ctx).await.map(reply)
}

/// Query parameters of `/v1/outcomes`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Since {
    #[serde(default)]
    since: u64,
}

async fn outcomes(operator: Operator, req: HttpRequest) -> Result<HttpResponse, Error> {
    let Since { since } = query(&req)?;
    ops::status::outcomes(&operator.ctx, since).await.map(reply)
}

fn query<T: DeserializeOwned>(req: &HttpRequest) -> Result<T, Error> {
    match types::Query::<T>::from_query(req.query_string()) {
        Ok(query) => Ok(query.into_inner()),
        Err(cause) => Err(Error::Malformed(format!("the query is not readable: {cause}"))),
    }
}

fn reply<T: Serialize>(body: T) -> HttpResponse {
    HttpResponse::build(StatusCode::OK).json(&body)
}

/// Reads and parses a JSON body of at most [`MAX_BODY_BYTES`].
async fn read<T: DeserializeOwned>(mut payload: types::Payload) -> Result<T, Error> {
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk =
            chunk.map_err(|cause| Error::Malformed(format!("the body broke off: {cause}")))?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(Error::TooLarge(MAX_BODY_BYTES));
        }
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body)
        .map_err(|cause| Error::Malformed(format!("the body is not readable: {cause}")))
}
