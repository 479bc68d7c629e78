//! What operators can ask an instance, at its metrics address.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /quarantine` | what is held back here, as JSON ([`QuarantinedContent`]) |
//! | `DELETE /quarantine/FINGERPRINT` | releases that content at all instances |
//! | `GET /evacuations` | data centres that are evacuated, as JSON ([`EvacuatedDataCentre`]) |
//! | `GET /terms` | what endpoints say of themselves, as JSON ([`EndpointTerms`]) |
//! | anything else | counters and timings, as text |
//!
//! The server may answer on another thread than that of the event loop, so questions
//! go there by a channel.

use std::{io, rc::Rc, sync::Arc};

use futures::{
    StreamExt,
    channel::{mpsc, oneshot},
};
use ntex::http::{Method, Request, Response, StatusCode};
use peatdeck_core::relay::{directory::Endpoint, fingerprint::Fingerprint, terms::Rate};
use peatdeck_util::metrics::Registry;
use peatdeck_wire::operators::{
    EVACUATIONS, EndpointTerms, EvacuatedDataCentre, QUARANTINE, QuarantinedContent, TERMS,
};
use serde::Serialize;

use crate::{driver::Driver, records};

/// What an operator asks the event loop.
#[derive(Debug)]
pub enum Question {
    /// What is held back?
    Held(oneshot::Sender<Vec<QuarantinedContent>>),
    /// Which data centres are evacuated?
    Evacuated(oneshot::Sender<Vec<EvacuatedDataCentre>>),
    /// What do endpoints say of themselves?
    Terms(oneshot::Sender<Vec<EndpointTerms>>),
    /// Release this content. The answer says whether it was held back.
    Release(Fingerprint, oneshot::Sender<bool>),
}

/// Answers one request.
///
/// # Errors
/// None; the type is what the server asks for.
pub async fn answer(
    metrics: Arc<Registry>,
    asked: mpsc::UnboundedSender<Question>,
    req: Request,
) -> Result<Response, io::Error> {
    if req.path() == EVACUATIONS {
        return Ok(show(&asked, Question::Evacuated).await);
    }
    if req.path() == TERMS {
        return Ok(show(&asked, Question::Terms).await);
    }
    let Some(rest) = req.path().strip_prefix(QUARANTINE) else {
        return Ok(Response::Ok().body(metrics.render()));
    };
    let response = match (req.method(), rest.strip_prefix('/')) {
        (&Method::GET, None) => show(&asked, Question::Held).await,
        (&Method::DELETE, Some(name)) => release(&asked, name).await,
        _ => plain(StatusCode::NOT_FOUND, "ask GET /quarantine, or DELETE /quarantine/FINGERPRINT"),
    };
    Ok(response)
}

/// Answers with what the event loop lists.
async fn show<T: Serialize>(
    asked: &mpsc::UnboundedSender<Question>,
    question: impl Fn(oneshot::Sender<Vec<T>>) -> Question,
) -> Response {
    let (tx, rx) = oneshot::channel();
    // Without an event loop there is no answer either.
    asked.unbounded_send(question(tx)).ok();
    match rx.await {
        Ok(listed) => {
            let text = serde_json::to_string(&listed).expect("names and numbers are JSON");
            Response::Ok().content_type("application/json").body(text)
        }
        Err(_) => stopping(),
    }
}

async fn release(asked: &mpsc::UnboundedSender<Question>, name: &str) -> Response {
    let Some(content) = Fingerprint::parse(name) else {
        let help = "that is no fingerprint; take one from GET /quarantine";
        return plain(StatusCode::BAD_REQUEST, help);
    };
    let (tx, rx) = oneshot::channel();
    // Without an event loop there is no answer either.
    asked.unbounded_send(Question::Release(content, tx)).ok();
    match rx.await {
        Ok(true) => plain(StatusCode::ACCEPTED, "released here; the others follow in seconds"),
        Ok(false) => plain(StatusCode::NOT_FOUND, "it is not held back here"),
        Err(_) => stopping(),
    }
}

fn stopping() -> Response {
    plain(StatusCode::SERVICE_UNAVAILABLE, "the instance is stopping; ask another one")
}

fn plain(status: StatusCode, text: &str) -> Response {
    Response::build(status).content_type("text/plain").body(format!("{text}\n"))
}

/// Answers operators' questions for as long as the process runs.
pub async fn serve(driver: Rc<Driver>, mut questions: mpsc::UnboundedReceiver<Question>) {
    while let Some(question) = questions.next().await {
        // Whoever asked may have gone.
        match question {
            Question::Held(answer) => {
                answer.send(records::list(&driver)).ok();
            }
            Question::Evacuated(answer) => {
                answer.send(evacuated(&driver)).ok();
            }
            Question::Terms(answer) => {
                answer.send(terms(&driver)).ok();
            }
            Question::Release(content, answer) => {
                let was_held = driver.feed(|machine, _| machine.release_content(content));
                tracing::warn!(event = "quarantine_lifted", %content, was_held);
                answer.send(was_held).ok();
            }
        }
    }
}

fn evacuated(driver: &Driver) -> Vec<EvacuatedDataCentre> {
    driver.look(|machine| {
        let directory = machine.directory();
        let listed = directory.evacuated().map(|name| EvacuatedDataCentre {
            data_centre: name.clone(),
            endpoints: directory.ready_count_in(name),
        });
        listed.collect()
    })
}

fn terms(driver: &Driver) -> Vec<EndpointTerms> {
    let now = driver.now();
    let says = |endpoint: &Endpoint| {
        let terms = EndpointTerms {
            endpoint: endpoint.entry.name.clone(),
            service: endpoint.entry.service.clone(),
            limit: endpoint.limit().map(Rate::calls),
            rest_ms: endpoint.hold_left(now).as_millis() as u64,
            is_leaving: endpoint.has_announced_leaving(),
        };
        let says_any = terms.limit.is_some() || terms.rest_ms > 0 || terms.is_leaving;
        says_any.then_some(terms)
    };
    driver.look(|machine| machine.directory().all().filter_map(says).collect())
}
