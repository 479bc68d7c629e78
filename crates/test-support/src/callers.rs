//! Callers that record their responses, so that a test can check them.
//!
//! Every request of a test is sent by [`Callers::send`]. At the end of the test
//! [`Callers::check`] compares all responses with the records of the stand-ins:
//!
//! - an answer has the only correct output for that request and input;
//! - after the response "not run", no call of the request has run. If the request
//!   was marked as a repeat, this holds for earlier requests with its id too;
//! - a request that is not idempotent ran at most once.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashSet},
    fmt,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use ntex::rt;
use peatdeck_core::document::Document;
use peatdeck_standin::{answer, calls::CallRecord};
use peatdeck_wire::caller::{AnswerBody, ErrorBody, NOT_RUN, RequestBody};

use crate::{error::Result, fixture, http::Http, processes::System};

/// A response as its caller received it, or its absence.
#[derive(Debug, Clone)]
pub struct CallerResponse {
    /// The HTTP status; 0 if no complete response was received.
    pub status: u16,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// The decoded body.
    pub content: ResponseContent,
    /// Time from sending the request to the end of the response.
    pub elapsed: Duration,
}

/// The body of a response.
#[derive(Debug, Clone)]
pub enum ResponseContent {
    /// A complete answer.
    Answered(AnswerBody),
    /// Any other outcome.
    Failed(ErrorBody),
    /// No complete response was received, or its body has an unknown form; the text says which.
    Lost(String),
}

impl CallerResponse {
    /// The output of a complete answer.
    pub fn output(&self) -> Option<&str> {
        match &self.content {
            ResponseContent::Answered(body) => Some(&body.output),
            ResponseContent::Failed(_) | ResponseContent::Lost(_) => None,
        }
    }

    /// The endpoint that ran a stage, if the request was answered.
    pub fn endpoint(&self, stage: &str) -> Option<&str> {
        let ResponseContent::Answered(body) = &self.content else { return None };
        let line = body.stages.iter().find(|line| &*line.stage == stage)?;
        Some(&line.endpoint)
    }

    /// The remedy given with any other outcome.
    pub fn remedy(&self) -> Option<&str> {
        match &self.content {
            ResponseContent::Failed(body) => Some(&body.remedy),
            ResponseContent::Answered(_) | ResponseContent::Lost(_) => None,
        }
    }

    /// Whether the response says that nothing ran.
    pub fn is_not_run(&self) -> bool {
        matches!(&self.content, ResponseContent::Failed(body) if &*body.outcome == NOT_RUN)
    }
}

/// Formats a summary such as `200 answered`, `503 not_run/claim_unknown` or `lost`.
impl fmt::Display for CallerResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.content {
            ResponseContent::Answered(_) => write!(f, "{} answered", self.status),
            ResponseContent::Failed(body) => {
                write!(f, "{} {}/{}", self.status, body.outcome, body.code)
            }
            ResponseContent::Lost(_) => write!(f, "lost"),
        }
    }
}

/// A request that was sent once, with its response.
#[derive(Debug)]
struct Sent {
    body: RequestBody,
    expected: Option<String>,
    at_ms: u64,
    response: Option<(u64, CallerResponse)>,
}

/// All callers of a test.
#[derive(Debug)]
pub struct Callers {
    caller: Caller,
}

/// Sends requests to any address; its responses are checked with those of all callers.
#[derive(Debug, Clone)]
pub struct Caller {
    http: Http,
    document: Rc<Document>,
    sent: Rc<RefCell<Vec<Sent>>>,
}

/// A request whose response may not have been received yet.
#[derive(Debug)]
pub struct Pending(rt::JoinHandle<CallerResponse>);

impl Pending {
    /// Waits for the response.
    pub async fn response(self) -> CallerResponse {
        self.0.await.expect("the task is only ended by its own end")
    }

    /// Closes the connection without waiting for the response.
    pub fn disconnect(self) {
        self.0.cancel();
    }

    /// Whether the response has been received.
    pub fn is_complete(&self) -> bool {
        self.0.is_finished()
    }
}

impl Caller {
    /// Sends a request to an address in the background.
    pub fn send(&self, addr: &str, pipeline: &str, body: &RequestBody) -> Pending {
        let expected = self.expected(pipeline, body);
        let sent = Sent { body: body.clone(), expected, at_ms: now_ms(), response: None };
        let idx = self.sent.borrow().len();
        self.sent.borrow_mut().push(sent);
        let (caller, addr, body) = (self.clone(), addr.to_owned(), body.clone());
        let path = format!("/v1/pipelines/{pipeline}/requests");
        Pending(rt::spawn(async move {
            let response = exchange(&caller.http, &addr, &path, &body).await;
            caller.sent.borrow_mut()[idx].response = Some((now_ms(), response.clone()));
            response
        }))
    }

    /// The only correct output, computed from the document that was published first.
    /// Pipelines that a test adds have the same stages as its first pipeline.
    fn expected(&self, pipeline: &str, body: &RequestBody) -> Option<String> {
        let document = &self.document;
        let pipeline = document.pipeline(pipeline).or(document.pipelines.first())?;
        answer::expected_output(document, pipeline, &fixture::key(&body.id), &body.input)
    }
}

impl Callers {
    /// Creates the callers of a system.
    pub fn new(system: &System) -> Callers {
        let document = Rc::new(system.document.clone());
        Callers { caller: Caller { http: system.http.clone(), document, sent: Rc::default() } }
    }

    /// A caller that a task can own.
    pub fn caller(&self) -> Caller {
        self.caller.clone()
    }

    /// Sends a request to an entry in the background.
    ///
    /// # Errors
    /// If there is no such entry.
    pub fn send(
        &self,
        system: &System,
        entry: &str,
        pipeline: &str,
        body: &RequestBody,
    ) -> Result<Pending> {
        Ok(self.caller.send(system.addr(entry)?, pipeline, body))
    }

    /// Number of received responses that match.
    pub fn count(&self, matches: impl Fn(&CallerResponse) -> bool) -> usize {
        let sent = self.caller.sent.borrow();
        sent.iter()
            .filter(|one| one.response.as_ref().is_some_and(|(_, response)| matches(response)))
            .count()
    }

    /// Number of requests for each summary of a response; `nothing` while there is none.
    pub fn tally(&self) -> BTreeMap<String, usize> {
        let mut tally = BTreeMap::new();
        for one in self.caller.sent.borrow().iter() {
            let response = one
                .response
                .as_ref()
                .map_or("nothing".to_owned(), |(_, response)| response.to_string());
            *tally.entry(response).or_default() += 1;
        }
        tally
    }

    /// Describes each response that contradicts the records of the system's
    /// endpoints.
    ///
    /// # Errors
    /// If an endpoint's records cannot be read.
    pub async fn check(&self, system: &System) -> Result<Vec<String>> {
        let runs = runs(system).await?;
        let sent = self.caller.sent.borrow();
        let mut by_id: BTreeMap<&Arc<str>, Vec<&Sent>> = BTreeMap::new();
        for one in sent.iter() {
            by_id.entry(&one.body.id).or_default().push(one);
        }
        let mut wrong = Vec::new();
        for (id, sent) in by_id {
            let runs = runs.get(id).map_or(&[][..], Vec::as_slice);
            wrong.extend(wrong_answers(id, &sent));
            wrong.extend(false_not_run(id, &sent, runs));
            wrong.extend(ran_twice(system, id, &sent, runs));
        }
        Ok(wrong)
    }
}

/// The endpoint and the record of a call that ran.
type Run = (String, CallRecord);

/// All calls that ran, by the request's id.
async fn runs(system: &System) -> Result<BTreeMap<Arc<str>, Vec<Run>>> {
    let mut runs: BTreeMap<Arc<str>, Vec<Run>> = BTreeMap::new();
    for (endpoint, call) in system.all_calls().await? {
        if call.has_run() {
            runs.entry(call.echo.request.id.clone()).or_default().push((endpoint, call));
        }
    }
    Ok(runs)
}

fn wrong_answers(id: &str, sent: &[&Sent]) -> Vec<String> {
    let answered = sent.iter().filter_map(|one| {
        let output = one.response.as_ref()?.1.output()?;
        let is_right = Some(output) == one.expected.as_deref();
        (!is_right).then(|| format!("{id}: answered `{output}`, not `{:?}`", one.expected))
    });
    answered.collect()
}

fn false_not_run(id: &str, sent: &[&Sent], runs: &[Run]) -> Vec<String> {
    let mut wrong = Vec::new();
    for one in sent {
        let Some((received_ms, response)) =
            one.response.as_ref().filter(|(_, response)| response.is_not_run())
        else {
            continue;
        };
        for (endpoint, call) in runs {
            let started_ms = call.started_ms.unwrap_or_default();
            let is_earlier = one.body.repeat && started_ms < *received_ms;
            let is_own = !sent.iter().any(|other| other.may_have_started(started_ms));
            if is_earlier || is_own {
                wrong.push(format!(
                    "{id}: response {response}, but stage {} ran at {endpoint}",
                    call.stage
                ));
            }
        }
    }
    wrong
}

impl Sent {
    /// Whether a call that started at `started_ms` may belong to this request.
    fn may_have_started(&self, started_ms: u64) -> bool {
        let is_not_run = self.response.as_ref().is_some_and(|(_, response)| response.is_not_run());
        !is_not_run && self.at_ms <= started_ms
    }
}

/// Reports calls that ran twice: each attempt of a stage may run once, and a stage
/// that is not repeatable may run once in all.
fn ran_twice(system: &System, id: &str, sent: &[&Sent], runs: &[Run]) -> Vec<String> {
    if sent.iter().any(|one| one.body.idempotent) {
        return Vec::new();
    }
    let mut seen = HashSet::new();
    let mut wrong = Vec::new();
    for (endpoint, call) in runs {
        let attempt = if system.is_repeatable(&call.stage) { call.echo.attempt } else { 0 };
        if !seen.insert((call.stage.clone(), attempt)) {
            wrong.push(format!("{id}: stage {} ran again at {endpoint}", call.stage));
        }
    }
    wrong
}

async fn exchange(http: &Http, addr: &str, path: &str, body: &RequestBody) -> CallerResponse {
    let start = Instant::now();
    let reply = http.post(addr, path, body).await;
    let elapsed = start.elapsed();
    let reply = match reply {
        Ok(reply) => reply,
        Err(error) => {
            let content = ResponseContent::Lost(error.to_string());
            return CallerResponse { status: 0, retry_after: None, content, elapsed };
        }
    };
    let answer = reply.json().map(ResponseContent::Answered).filter(|_| reply.status == 200);
    let other = || reply.json().map(ResponseContent::Failed).filter(|_| reply.status != 200);
    let content = answer.or_else(other).unwrap_or_else(|| ResponseContent::Lost(reply.text()));
    CallerResponse { status: reply.status, retry_after: reply.retry_after, content, elapsed }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
