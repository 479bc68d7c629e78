//! The HTTP interface, for callers and operators.

use std::rc::Rc;

use futures::StreamExt;
use ntex::{
    http::{StatusCode, header},
    util::BytesMut,
    web::{self, HttpRequest, HttpResponse, types},
};
use peatdeck_core::{
    instance::input::Identity,
    model::{Outcome, Request},
};
use peatdeck_macros::data;
use serde::{Deserialize, Serialize};

use crate::{
    callers::ReplyPart,
    driver::Driver,
    events,
    flush::{self, FlushTracker},
    intake,
    outcome::{self, Failure},
    report,
};

/// Up to this many times the body limit is read and discarded, so that the
/// connection is not reset before the caller has read the error.
const DISCARD_FACTOR: usize = 8;

/// State shared by the handlers.
#[derive(Clone)]
pub struct App {
    /// Drives the state machine.
    pub driver: Rc<Driver>,
    /// Name, incarnation and data centre of this instance.
    pub identity: Rc<Identity>,
    /// Tracks responses that have not been written in full.
    pub flush: Rc<FlushTracker>,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
}

/// Registers all routes.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .service(
            web::resource("/v1/pipelines/{pipeline}/requests")
                .route(web::post().to(submit))
                .route(web::to(wrong_method)),
        )
        .service(
            web::resource("/v1/status").route(web::get().to(status)).route(web::to(wrong_method)),
        )
        .service(web::resource("/livez").route(web::get().to(live)))
        .service(web::resource("/readyz").route(web::get().to(ready)));
}

/// Responds with 404 to a path that does not exist.
pub async fn not_found(
    app: types::State<App>,
    http: HttpRequest,
    payload: types::Payload,
) -> HttpResponse {
    let failure = Failure::invalid(
        StatusCode::NOT_FOUND,
        "not_found",
        "there is nothing at this path; nothing ran",
        "send requests to /v1/pipelines/{pipeline}/requests",
    );
    refuse(&app, &http, payload, &failure).await
}

async fn wrong_method(
    app: types::State<App>,
    http: HttpRequest,
    payload: types::Payload,
) -> HttpResponse {
    let failure = Failure::invalid(
        StatusCode::METHOD_NOT_ALLOWED,
        "wrong_method",
        "this path does not take this method; nothing ran",
        "send requests with POST, ask for the status with GET",
    );
    refuse(&app, &http, payload, &failure).await
}

/// Sends an error after reading the body: a connection that is closed with its
/// body unread may lose the response.
async fn refuse(
    app: &App,
    http: &HttpRequest,
    payload: types::Payload,
    failure: &Failure,
) -> HttpResponse {
    read_body(http, payload, app.max_body).await.ok();
    error_response(failure)
}

async fn submit(
    http: HttpRequest,
    app: types::State<App>,
    pipeline: types::Path<String>,
    payload: types::Payload,
) -> HttpResponse {
    let response = app.flush.track(http.io().cloned());
    let request = match read_request(&app, &http, &pipeline, payload).await {
        Ok(request) => request,
        Err(failure) => {
            app.driver.counts.rejected_requests.increment();
            return error_response(&failure);
        }
    };
    match request.stream {
        true => answer_stream(&app, request, response).await,
        false => answer_whole(&app, request).await,
    }
}

async fn answer_whole(app: &App, request: Request) -> HttpResponse {
    let id = request.id.id.clone();
    let mut receiver = app.driver.submit(request);
    loop {
        match receiver.parts().next().await {
            Some(ReplyPart::Text(_)) => {}
            Some(ReplyPart::End(outcome)) => return end_response(&id, outcome),
            None => return lost_response(),
        }
    }
}

/// Streams an answer. A request that ends without an answer before its first
/// text gets a plain error response with its own status instead.
async fn answer_stream(
    app: &App,
    request: Request,
    response: flush::PendingResponse,
) -> HttpResponse {
    let id = request.id.id.clone();
    let mut receiver = app.driver.submit(request);
    let first = match receiver.parts().next().await {
        Some(ReplyPart::End(outcome)) if !matches!(outcome, Outcome::Answered(_)) => {
            return end_response(&id, outcome);
        }
        Some(part) => part,
        None => return lost_response(),
    };
    let state = events::StreamState { id, receiver, first_part: Some(first) };
    let events = events::stream(state).map(move |event| {
        // Keeps the response tracked until the stream is dropped, after its last event.
        let _ = &response;
        event
    });
    HttpResponse::Ok()
        .header(header::CONTENT_TYPE, "text/event-stream")
        .header(header::CACHE_CONTROL, "no-store")
        .streaming(Box::pin(events))
}

async fn read_request(
    app: &App,
    http: &HttpRequest,
    pipeline: &str,
    payload: types::Payload,
) -> Result<Request, Failure> {
    let body = read_body(http, payload, app.max_body).await?;
    intake::parse(pipeline, &body)
}

/// Reads a body to its end, even when it is discarded: a response that is sent
/// before the body has been read closes the connection, and a caller that is
/// still writing may never receive it.
async fn read_body(
    http: &HttpRequest,
    mut payload: types::Payload,
    limit: usize,
) -> Result<BytesMut, Failure> {
    let length = content_length(http);
    if length.is_some_and(|length| length > limit.saturating_mul(DISCARD_FACTOR)) {
        return Err(intake::too_large(limit));
    }
    let mut body = BytesMut::new();
    let mut total = 0_usize;
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|error| intake::unreadable(&error))?;
        total += chunk.len();
        if total > limit.saturating_mul(DISCARD_FACTOR) {
            break;
        }
        if total <= limit {
            body.extend_from_slice(&chunk);
        }
    }
    match total > limit {
        true => Err(intake::too_large(limit)),
        false => Ok(body),
    }
}

fn content_length(http: &HttpRequest) -> Option<usize> {
    http.headers().get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn end_response(id: &std::sync::Arc<str>, outcome: Outcome) -> HttpResponse {
    match outcome::render(id, outcome) {
        Ok(body) => HttpResponse::Ok().json(&body),
        Err(failure) => error_response(&failure),
    }
}

fn error_response(failure: &Failure) -> HttpResponse {
    let mut response = HttpResponse::build(failure.status);
    if let Some(seconds) = failure.retry_after() {
        response.header(header::RETRY_AFTER, seconds);
    }
    response.json(&failure.body)
}

/// The response when the channel closed without an outcome. That cannot happen
/// while the process runs; if it does, the caller gets a 500, not an answer.
fn lost_response() -> HttpResponse {
    HttpResponse::InternalServerError().finish()
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body("live\n")
}

/// Body of `/readyz`: whether the instance accepts requests, and if not, why.
#[derive(Serialize)]
struct Readiness {
    ready: bool,
    reasons: Vec<std::sync::Arc<str>>,
}

async fn ready(app: types::State<App>) -> HttpResponse {
    let reasons = app.driver.with_machine(|machine| machine.unready_reasons());
    let readiness = Readiness { ready: reasons.is_empty(), reasons };
    let status = match readiness.ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    HttpResponse::build(status).json(&readiness)
}

/// Query parameters of `/v1/status`.
#[data]
#[derive(Deserialize)]
struct StatusQuery {
    /// Start of the oldest slot whose outcomes are returned, in seconds of Unix
    /// time; one hour ago by default.
    since: Option<u64>,
}

async fn status(app: types::State<App>, query: types::Query<StatusQuery>) -> HttpResponse {
    let since = query.since.unwrap_or_else(|| report::last_hour(&app.driver));
    HttpResponse::Ok().json(&report::status(&app.driver, &app.identity, since))
}
