//! Callers that remember what they were told, and whether it was true.
//!
//! Every request of a test goes through [`Callers::send`]. At the test's end
//! [`Callers::check`] compares what all of them were told with what the
//! stand-ins recorded:
//!
//! - an answer is the one right answer of that request and input;
//! - of a request that was told "not run", nothing ran. A caller that sends an
//!   id again and marks it as a repeat is told so of the earlier attempts too;
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

/// What a caller was told, and when.
#[derive(Debug, Clone)]
pub struct CallerResponse {
    /// The status; 0 where no whole response came.
    pub status: u16,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// The response.
    pub content: ResponseContent,
    /// Time from the sending to the end of the response.
    pub elapsed: Duration,
}

/// A response.
#[derive(Debug, Clone)]
pub enum ResponseContent {
    /// A whole answer.
    Answered(AnswerBody),
    /// Any other outcome.
    Failed(ErrorBody),
    /// No whole response, or one of no known form.
    Lost(String),
}

impl CallerResponse {
    /// The output of a whole answer.
    pub fn output(&self) -> Option<&str> {
        match &self.content {
            ResponseContent::Answered(body) => Some(&body.output),
            ResponseContent::Failed(_) | ResponseContent::Lost(_) => None,
        }
    }

    /// The endpoint that ran a stage of a whole answer.
    pub fn endpoint(&self, stage: &str) -> Option<&str> {
        let ResponseContent::Answered(body) = &self.content else { return None };
        let line = body.stages.iter().find(|line| &*line.stage == stage)?;
        Some(&line.endpoint)
    }

    /// The remedy of any other outcome.
    pub fn remedy(&self) -> Option<&str> {
        match &self.content {
            ResponseContent::Failed(body) => Some(&body.remedy),
            ResponseContent::Answered(_) | ResponseContent::Lost(_) => None,
        }
    }

    /// Whether the caller was told that nothing ran.
    pub fn is_not_run(&self) -> bool {
        matches!(&self.content, ResponseContent::Failed(body) if &*body.outcome == NOT_RUN)
    }
}

/// `200 answered`, `503 not_run/claim_unknown` or `lost`.
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

/// One sending of a request.
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

/// Sends requests to any address; what it is told counts with the others'.
#[derive(Debug, Clone)]
pub struct Caller {
    http: Http,
    document: Rc<Document>,
    sent: Rc<RefCell<Vec<Sent>>>,
}

/// A request on its way.
#[derive(Debug)]
pub struct Pending(rt::JoinHandle<CallerResponse>);

impl Pending {
    /// Waits for what the caller is told.
    pub async fn response(self) -> CallerResponse {
        self.0.await.expect("the task is only ended by its own end")
    }

    /// Goes away: closes the connection without waiting for an answer.
    pub fn disconnect(self) {
        self.0.cancel();
    }

    /// Whether the caller was told already.
    pub fn is_complete(&self) -> bool {
        self.0.is_finished()
    }
}

impl Caller {
    /// Sends a request to an address. It goes on by itself.
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

    /// The one right output, by the document that was published first. A
    /// pipeline that came later has the stages of the first one.
    fn expected(&self, pipeline: &str, body: &RequestBody) -> Option<String> {
        let document = &self.document;
        let pipeline = document.pipeline(pipeline).or(document.pipelines.first())?;
        answer::expected(document, pipeline, &fixture::key(&body.id), &body.input)
    }
}

impl Callers {
    /// Callers of a system that have sent nothing yet.
    pub fn new(system: &System) -> Callers {
        let document = Rc::new(system.document.clone());
        Callers { caller: Caller { http: system.http.clone(), document, sent: Rc::default() } }
    }

    /// One of them, to be moved into a task.
    pub fn caller(&self) -> Caller {
        self.caller.clone()
    }

    /// Sends a request to an entry. It goes on by itself.
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

    /// How many were told something that `is_so` holds of.
    pub fn count(&self, matches: impl Fn(&CallerResponse) -> bool) -> usize {
        let sent = self.caller.sent.borrow();
        sent.iter()
            .filter(|one| one.response.as_ref().is_some_and(|(_, response)| matches(response)))
            .count()
    }

    /// How many were told what, over all of them.
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

    /// Everything that callers were told and that was not true, by the
    /// records of every endpoint of the system.
    ///
    /// # Errors
    /// If a record cannot be had.
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

/// A call that ran: where, and its record.
type Run = (String, CallRecord);

/// Calls that ran, by the request's id.
async fn runs(system: &System) -> Result<BTreeMap<Arc<str>, Vec<Run>>> {
    let mut runs: BTreeMap<Arc<str>, Vec<Run>> = BTreeMap::new();
    for (endpoint, call) in system.all_calls().await? {
        if call.ran() {
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
    /// Whether a call that started then may be one of this sending.
    fn may_have_started(&self, started_ms: u64) -> bool {
        let is_not_run = self.response.as_ref().is_some_and(|(_, response)| response.is_not_run());
        !is_not_run && self.at_ms <= started_ms
    }
}

/// Each attempt of a stage at most once, and a stage that may not be repeated
/// once altogether.
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
