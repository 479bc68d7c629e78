//! Sends a request once to an entry instance and classifies the reply.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use ntex::{
    client::{
        Client, ClientRequest, ClientResponse,
        error::{ClientError, ConnectError},
    },
    http::StatusCode,
};
use peatdeck_macros::data;
use peatdeck_wire::caller;

use crate::{arrivals::Arrival, events, sample::Ending};

/// Result of one send.
#[data]
pub struct Reply {
    /// How it ended. An answer is [`Ending::Answered`] until its output has been verified.
    pub ending: Ending,
    /// The output of an answer; `None` for any other ending.
    pub output: Option<Arc<str>>,
    /// The stages of an answer; empty for any other ending.
    pub stages: Vec<caller::StageBody>,
    /// Time from the send to the first piece of a streamed answer.
    pub first_token: Option<Duration>,
    /// Delay after which the instance permits a resend, if the reply states one.
    pub retry_after: Option<Duration>,
}

impl Reply {
    /// A reply with this ending and nothing else.
    pub fn ended(ending: Ending) -> Reply {
        Reply { ending, output: None, stages: Vec::new(), first_token: None, retry_after: None }
    }

    fn answered(body: caller::AnswerBody, id: &str) -> Reply {
        if &*body.id != id {
            let other = format!("the answer carries the id {}", body.id);
            return Reply::ended(Ending::Wrong(other.into()));
        }
        Reply { output: Some(body.output), stages: body.stages, ..Reply::ended(Ending::Answered) }
    }

    fn error(body: caller::ErrorBody) -> Reply {
        let ending = match &*body.outcome {
            caller::NOT_RUN => Ending::NotRun(body.code),
            caller::MAY_HAVE_RUN => Ending::MayHaveRun(body.code),
            caller::INVALID => Ending::Invalid(body.code),
            other => Ending::Wrong(format!("unknown outcome {other}").into()),
        };
        let retry_after = body.retry_after_ms.map(Duration::from_millis);
        Reply { retry_after, ..Reply::ended(ending) }
    }
}

/// Sends a request once with `time_left` as its deadline, and waits at most `timeout` for the end.
pub async fn send(
    client: &Client,
    entry: &str,
    arrival: &Arrival,
    time_left: Duration,
    timeout: Duration,
) -> Reply {
    let url = format!("{entry}/v1/pipelines/{}/requests", arrival.pipeline);
    let body = caller::RequestBody {
        id: arrival.id.clone(),
        team: arrival.team.clone(),
        deadline_ms: i64::try_from(time_left.as_millis()).unwrap_or(i64::MAX),
        idempotent: arrival.idempotent,
        repeat: false,
        stream: arrival.stream,
        input: arrival.input.clone(),
    };
    let exchange = exchange(client.post(url), body, &arrival.id);
    match ntex::time::timeout(timeout, exchange).await {
        Ok(reply) => reply,
        Err(()) => Reply::ended(Ending::Silent),
    }
}

async fn exchange(request: ClientRequest, body: caller::RequestBody, id: &str) -> Reply {
    let sent = std::time::Instant::now();
    let stream = body.stream;
    let response = match request.send_json(&body).await {
        Ok(response) => response,
        Err(err) => return Reply::ended(classify_error(&err)),
    };
    if stream && response.status() == StatusCode::OK {
        return read_events(response, id, sent).await;
    }
    read_whole(response, id).await
}

async fn read_whole(response: ClientResponse, id: &str) -> Reply {
    let ok = response.status() == StatusCode::OK;
    let Ok(bytes) = response.body().await else {
        return Reply::ended(Ending::Cut);
    };
    if ok {
        return match serde_json::from_slice(&bytes) {
            Ok(body) => Reply::answered(body, id),
            Err(err) => Reply::ended(Ending::Wrong(err.to_string().into())),
        };
    }
    match serde_json::from_slice(&bytes) {
        Ok(body) => Reply::error(body),
        Err(_) => Reply::ended(Ending::Wrong(format!("status {}", response.status()).into())),
    }
}

async fn read_events(mut response: ClientResponse, id: &str, sent: std::time::Instant) -> Reply {
    let mut parser = events::Parser::default();
    let mut first_token = None;
    let mut text = String::new();
    while let Some(chunk) = response.next().await {
        let Ok(chunk) = chunk else {
            return Reply { first_token, ..Reply::ended(Ending::Cut) };
        };
        for event in parser.feed(&chunk) {
            match &*event.name {
                "text" => {
                    first_token = first_token.or_else(|| Some(sent.elapsed()));
                    match serde_json::from_str::<caller::TextEvent>(&event.data) {
                        Ok(piece) => text.push_str(&piece.text),
                        Err(err) => return Reply::ended(Ending::Wrong(err.to_string().into())),
                    }
                }
                "answer" => return end_of_stream(&event.data, id, &text, first_token),
                "error" => {
                    return match serde_json::from_str(&event.data) {
                        Ok(body) => Reply { first_token, ..Reply::error(body) },
                        Err(err) => Reply::ended(Ending::Wrong(err.to_string().into())),
                    };
                }
                _ => {}
            }
        }
    }
    Reply { first_token, ..Reply::ended(Ending::Cut) }
}

/// Reads the final event. The pieces that preceded it must add up to the answer.
fn end_of_stream(data: &str, id: &str, text: &str, first_token: Option<Duration>) -> Reply {
    let body: caller::AnswerBody = match serde_json::from_str(data) {
        Ok(body) => body,
        Err(err) => return Reply::ended(Ending::Wrong(err.to_string().into())),
    };
    if !text.is_empty() && text != &*body.output {
        return Reply::ended(Ending::Wrong("the streamed pieces differ from the answer".into()));
    }
    Reply { first_token, ..Reply::answered(body, id) }
}

/// Classifies a failed send by whether any part of the request can have been sent.
fn classify_error(err: &ClientError) -> Ending {
    match err {
        ClientError::Connect(ConnectError::Timeout) => Ending::Unreachable,
        ClientError::Connect(ConnectError::Disconnected(Some(err)))
            if err.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            Ending::Unreachable
        }
        _ => Ending::Cut,
    }
}
