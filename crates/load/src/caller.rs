//! One send of a request to an entry instance, and how it ended.

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

/// What one send came to.
#[data]
pub struct Reply {
    /// How it ended. An answer is [`Ending::Answered`] before its content was compared.
    pub ending: Ending,
    /// The answer's output.
    pub output: Option<Arc<str>>,
    /// The answer's stages.
    pub stages: Vec<caller::StageBody>,
    /// From the send to the first piece of a streamed answer.
    pub first_token: Option<Duration>,
    /// When the instance says that the request may be sent again.
    pub retry_after: Option<Duration>,
}

impl Reply {
    /// A send that ended without any answer.
    pub fn bare(ending: Ending) -> Reply {
        Reply { ending, output: None, stages: Vec::new(), first_token: None, retry_after: None }
    }

    fn answered(body: caller::AnswerBody, id: &str) -> Reply {
        if &*body.id != id {
            let other = format!("the answer carries the id {}", body.id);
            return Reply::bare(Ending::Wrong(other.into()));
        }
        Reply { output: Some(body.output), stages: body.stages, ..Reply::bare(Ending::Answered) }
    }

    fn error(body: caller::ErrorBody) -> Reply {
        let ending = match &*body.outcome {
            caller::NOT_RUN => Ending::NotRun(body.code),
            caller::MAY_HAVE_RUN => Ending::MayHaveRun(body.code),
            caller::INVALID => Ending::Invalid(body.code),
            other => Ending::Wrong(format!("unknown outcome {other}").into()),
        };
        let retry_after = body.retry_after_ms.map(Duration::from_millis);
        Reply { retry_after, ..Reply::bare(ending) }
    }
}

/// Sends a request once, and waits for its end at most `patience` long.
pub async fn send(
    client: &Client,
    entry: &str,
    arrival: &Arrival,
    left: Duration,
    patience: Duration,
) -> Reply {
    let url = format!("{entry}/v1/pipelines/{}/requests", arrival.pipeline);
    let body = caller::RequestBody {
        id: arrival.id.clone(),
        team: arrival.team.clone(),
        deadline_ms: i64::try_from(left.as_millis()).unwrap_or(i64::MAX),
        idempotent: arrival.idempotent,
        repeat: false,
        stream: arrival.stream,
        input: arrival.input.clone(),
    };
    let exchange = exchange(client.post(url), body, &arrival.id);
    match ntex::time::timeout(patience, exchange).await {
        Ok(reply) => reply,
        Err(()) => Reply::bare(Ending::Silent),
    }
}

async fn exchange(request: ClientRequest, body: caller::RequestBody, id: &str) -> Reply {
    let sent = std::time::Instant::now();
    let stream = body.stream;
    let response = match request.send_json(&body).await {
        Ok(response) => response,
        Err(err) => return Reply::bare(failure(&err)),
    };
    if stream && response.status() == StatusCode::OK {
        return read_events(response, id, sent).await;
    }
    read_whole(response, id).await
}

async fn read_whole(response: ClientResponse, id: &str) -> Reply {
    let ok = response.status() == StatusCode::OK;
    let Ok(bytes) = response.body().await else {
        return Reply::bare(Ending::Cut);
    };
    if ok {
        return match serde_json::from_slice(&bytes) {
            Ok(body) => Reply::answered(body, id),
            Err(err) => Reply::bare(Ending::Wrong(err.to_string().into())),
        };
    }
    match serde_json::from_slice(&bytes) {
        Ok(body) => Reply::error(body),
        Err(_) => Reply::bare(Ending::Wrong(format!("status {}", response.status()).into())),
    }
}

async fn read_events(mut response: ClientResponse, id: &str, sent: std::time::Instant) -> Reply {
    let mut parser = events::Parser::default();
    let mut first_token = None;
    let mut text = String::new();
    while let Some(chunk) = response.next().await {
        let Ok(chunk) = chunk else {
            return Reply { first_token, ..Reply::bare(Ending::Cut) };
        };
        for event in parser.feed(&chunk) {
            match &*event.name {
                "text" => {
                    first_token = first_token.or_else(|| Some(sent.elapsed()));
                    match serde_json::from_str::<caller::TextEvent>(&event.data) {
                        Ok(piece) => text.push_str(&piece.text),
                        Err(err) => return Reply::bare(Ending::Wrong(err.to_string().into())),
                    }
                }
                "answer" => return end_of_stream(&event.data, id, &text, first_token),
                "error" => {
                    return match serde_json::from_str(&event.data) {
                        Ok(body) => Reply { first_token, ..Reply::error(body) },
                        Err(err) => Reply::bare(Ending::Wrong(err.to_string().into())),
                    };
                }
                _ => {}
            }
        }
    }
    Reply { first_token, ..Reply::bare(Ending::Cut) }
}

/// The pieces that came before the end mark must be the answer.
fn end_of_stream(data: &str, id: &str, text: &str, first_token: Option<Duration>) -> Reply {
    let body: caller::AnswerBody = match serde_json::from_str(data) {
        Ok(body) => body,
        Err(err) => return Reply::bare(Ending::Wrong(err.to_string().into())),
    };
    if !text.is_empty() && text != &*body.output {
        return Reply::bare(Ending::Wrong("the streamed pieces are not the answer".into()));
    }
    Reply { first_token, ..Reply::answered(body, id) }
}

/// Whether anything can have been sent, from a failed send.
fn failure(err: &ClientError) -> Ending {
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
