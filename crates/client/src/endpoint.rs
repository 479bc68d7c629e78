//! Calls to engines and services.
//!
//! [`Client::call`] runs one call and reports its progress as [`CallEvent`]s:
//! any number of chunks, then exactly one reply, refusal or failure. To abandon
//! a call, drop the future, which closes the connection, and call
//! [`Client::cancel`].

use std::time::Duration;

use futures::StreamExt;
use ntex::{
    client::{self, ClientResponse},
    http::StatusCode,
};
use peatdeck_core::{
    instance::{
        action::Call,
        input::{CallEvent, CallFailure},
    },
    model::{Echo, Load},
};
use peatdeck_wire::endpoint::{CallBody, CancelBody, EngineLine, RefusalBody, ReplyBody};

use crate::{
    http::{self, Error},
    lines::Lines,
};

/// Maximum length of a line of an engine's stream, in bytes.
pub const MAX_LINE_BYTES: usize = 256 << 10;
/// Maximum length of a service's reply, in bytes.
pub const MAX_REPLY_BYTES: usize = 16 << 20;
/// Maximum length of a short response body, such as a refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 << 10;
/// How long to wait for the end of the response after the last line of a
/// stream; the connection is reused only if the end arrives.
const STREAM_END_TIMEOUT: Duration = Duration::from_millis(50);
/// Timeout for cancelling a call.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for reading an endpoint's load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of endpoints; the address is given with each request.
#[derive(Debug, Clone)]
pub struct Client {
    http: client::Client,
}

impl Client {
    /// Creates a client on top of an HTTP client.
    pub fn new(http: client::Client) -> Client {
        Client { http }
    }

    /// Runs one call. `on_event` receives any chunks and then exactly one final
    /// event.
    pub async fn call(&self, call: &Call, mut on_event: impl FnMut(CallEvent)) {
        let sent = http::post(&self.http, &call.addr, "/v1/call", &call_body(call)).await;
        let response = match sent {
            Ok(response) => response,
            Err(error) => return on_event(CallEvent::Failed(failure(&error))),
        };
        match response.status() {
            StatusCode::OK if call.engine => stream(&call.addr, response, on_event).await,
            StatusCode::OK => on_event(reply(&call.addr, response).await),
            StatusCode::SERVICE_UNAVAILABLE => on_event(refusal(call, response).await),
            _ => on_event(CallEvent::Failed(CallFailure::Malformed)),
        }
    }

    /// Requests that an endpoint stop a call.
    ///
    /// # Errors
    /// Any [`Error`]; the call may then continue, and its reply is discarded.
    pub async fn cancel(&self, addr: &str, echo: Echo) -> Result<(), Error> {
        http::within(addr, CANCEL_TIMEOUT, async {
            let body = CancelBody { echo };
            let mut response = http::post(&self.http, addr, "/v1/cancel", &body).await?;
            http::body(addr, &mut response, MAX_REFUSAL_BYTES).await?;
            Ok(())
        })
        .await
    }

    /// Reads an endpoint's load.
    ///
    /// # Errors
    /// Any [`Error`].
    pub async fn load(&self, addr: &str) -> Result<Load, Error> {
        http::within(addr, LOAD_TIMEOUT, async {
            let response = http::get(&self.http, addr, "/v1/load").await?;
            http::json(addr, response, MAX_REFUSAL_BYTES).await
        })
        .await
    }
}

fn call_body(call: &Call) -> CallBody {
    CallBody {
        echo: call.echo.clone(),
        stage: call.stage.clone(),
        input: call.input.clone(),
        deadline_ms: u64::try_from(call.deadline.as_millis()).unwrap_or(u64::MAX),
        max_tokens: call.max_tokens,
        resume: call.resume.clone(),
    }
}

fn failure(error: &Error) -> CallFailure {
    match error {
        Error::Unreachable { .. } => CallFailure::NotSent,
        Error::Cut { .. } | Error::TimedOut { .. } => CallFailure::Cut,
        Error::Refused { .. } | Error::Malformed { .. } => CallFailure::Malformed,
    }
}

async fn reply(addr: &str, response: ClientResponse) -> CallEvent {
    match http::json::<ReplyBody>(addr, response, MAX_REPLY_BYTES).await {
        Ok(body) => CallEvent::Reply {
            echo: body.echo,
            output: Some(body.output),
            tokens: None,
            load: body.load,
        },
        Err(error) => CallEvent::Failed(failure(&error)),
    }
}

/// Reads a response with status 503. Only a body with the call's echo and `ran: false` proves that
/// nothing ran; any other 503 may come from an intermediary, or be of an earlier call.
async fn refusal(call: &Call, mut response: ClientResponse) -> CallEvent {
    let body = match http::body(&call.addr, &mut response, MAX_REFUSAL_BYTES).await {
        Ok(body) => body,
        Err(error) => return CallEvent::Failed(failure(&error)),
    };
    match serde_json::from_slice::<RefusalBody>(&body) {
        Ok(body) if !body.ran && body.echo.as_ref() == Some(&call.echo) => {
            CallEvent::Refused { reason: body.reason, load: body.load }
        }
        _ => CallEvent::Failed(CallFailure::Malformed),
    }
}

async fn stream(addr: &str, mut response: ClientResponse, mut on_event: impl FnMut(CallEvent)) {
    let end = read_lines(&mut response, &mut on_event).await;
    let is_complete = matches!(end, CallEvent::Reply { .. });
    on_event(end);
    if is_complete {
        read_to_end(addr, response).await;
    }
}

/// Reports the chunks of a stream and returns its final event.
async fn read_lines(
    response: &mut ClientResponse,
    on_event: &mut impl FnMut(CallEvent),
) -> CallEvent {
    let mut lines = Lines::new(MAX_LINE_BYTES);
    while let Some(bytes) = response.next().await {
        let Ok(bytes) = bytes else { return CallEvent::Failed(CallFailure::Cut) };
        lines.push(&bytes);
        loop {
            let line = match lines.next_line() {
                Ok(Some(line)) => line,
                Ok(None) => break,
                Err(_) => return CallEvent::Failed(CallFailure::Malformed),
            };
            match parse_line(line) {
                Some(event @ CallEvent::Chunk { .. }) => on_event(event),
                Some(end) => return end,
                None => return CallEvent::Failed(CallFailure::Malformed),
            }
        }
    }
    CallEvent::Failed(CallFailure::Cut)
}

/// Parses one line of an engine's stream; `None` if the line is invalid.
pub fn parse_line(line: &[u8]) -> Option<CallEvent> {
    match serde_json::from_slice(line).ok()? {
        EngineLine::Chunk { echo, index, text } => Some(CallEvent::Chunk { echo, index, text }),
        EngineLine::Done { echo, done: true, tokens, load } => {
            Some(CallEvent::Reply { echo, output: None, tokens: Some(tokens), load })
        }
        EngineLine::Done { done: false, .. } => None,
    }
}

/// Reads to the end of a complete stream, so that its connection can be reused.
async fn read_to_end(addr: &str, mut response: ClientResponse) {
    tokio::time::timeout(STREAM_END_TIMEOUT, http::body(addr, &mut response, MAX_LINE_BYTES))
        .await
        .ok();
}
