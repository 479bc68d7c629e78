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

/// How many times the limit of a body is read and thrown away, so that the
/// caller is not reset before it has read the error.
const DISCARD_FACTOR: usize = 8;

/// What the handlers share.
#[derive(Clone)]
pub struct App {
    /// The driver.
    pub driver: Rc<Driver>,
    /// Who this instance is.
    pub identity: Rc<Identity>,
    /// Responses on their way.
    pub flush: Rc<FlushTracker>,
    /// The longest body that is accepted, in bytes.
    pub max_body: usize,
}

/// Adds all routes.
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

/// Answers a path that does not exist.
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

/// Reads the body before the error is sent: a connection that is closed with
/// its body unread may lose the response.
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
    let mut waiter = app.driver.submit(request);
    loop {
        match waiter.parts().next().await {
            Some(ReplyPart::Text(_)) => {}
            Some(ReplyPart::End(outcome)) => return end_response(&id, outcome),
            None => return lost_response(),
        }
    }
}

/// A request that ends before any text came gets its plain status; only from
/// the first text on the response is a stream.
async fn answer_stream(
    app: &App,
    request: Request,
    response: flush::PendingResponse,
) -> HttpResponse {
    let id = request.id.id.clone();
    let mut waiter = app.driver.submit(request);
    let first = match waiter.parts().next().await {
        Some(ReplyPart::End(outcome)) if !matches!(outcome, Outcome::Answered(_)) => {
            return end_response(&id, outcome);
        }
        Some(part) => part,
        None => return lost_response(),
    };
    let state = events::StreamState { id, waiter, first_part: Some(first) };
    let events = events::stream(state).map(move |event| {
        // Held until the stream is dropped, behind its last event.
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

/// Reads a body to its end, also where it is of no use: a response that
/// overtakes the body closes the connection, and a caller that still writes
/// may never see it.
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

/// The machine ended without an outcome. It cannot happen while the process
/// runs; a caller must still not take it for an answer.
fn lost_response() -> HttpResponse {
    HttpResponse::InternalServerError().finish()
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body("live\n")
}

/// Whether the instance takes requests, and why not.
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

/// Parameters of the status.
#[data]
#[derive(Deserialize)]
struct StatusQuery {
    /// Only outcomes of slots from this second of Unix time on; the last hour
    /// unless given.
    since: Option<u64>,
}

async fn status(app: types::State<App>, query: types::Query<StatusQuery>) -> HttpResponse {
    let since = query.since.unwrap_or_else(|| report::last_hour(&app.driver));
    HttpResponse::Ok().json(&report::status(&app.driver, &app.identity, since))
}
