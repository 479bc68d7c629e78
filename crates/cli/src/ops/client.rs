//! The administration API, as the commands call it.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use ntex::{
    client::{ClientRequest, ClientResponse},
    http::{Method, StatusCode},
};
use peatdeck_client::http;
use peatdeck_core::record::Offset;
use peatdeck_wire::admin::{
    ApiError, ConfigReply, DrainBody, DrainReply, EvacuationBody, EvacuationReply, HistoryReply,
    OutcomesReply, PublishBody, PublishReply, RestoreBody, StatusReply, VerdictReply,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::Error;

/// Time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for an answer. A publish may wait a minute for the instances.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(90);
/// The longest answer that is read, in bytes: the status of several hundred instances.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Times that a change is sent when no answer comes. It counts once all the same.
const ATTEMPTS: u32 = 3;

/// Where the API is and how to get in.
#[derive(Debug, Clone)]
pub struct Remote {
    /// `http://ip:port`.
    pub admin: String,
    /// The operators' token.
    pub token: String,
}

/// A client of the API.
#[derive(Debug, Clone)]
pub struct Client {
    http: ntex::client::Client,
    remote: Remote,
}

/// How an exchange failed below the API.
enum ExchangeError {
    /// Not a byte was written.
    NotSent(String),
    /// No whole answer came.
    NoAnswer(String),
}

/// How one attempt at an operation failed.
enum AttemptError {
    /// This attempt had no effect, or the API itself says what is known.
    Refused(Error),
    /// It may have had an effect.
    NoAnswer(String),
}

impl Client {
    /// A client; nothing is connected yet.
    ///
    /// # Errors
    /// [`Error::Unreachable`] if ntex cannot build its connector.
    pub async fn new(remote: Remote) -> Result<Client, Error> {
        let http = http::client(CONNECT_TIMEOUT).await.map_err(|cause| Error::Unreachable {
            admin: remote.admin.clone(),
            cause: cause.to_string(),
        })?;
        Ok(Client { http, remote })
    }

    /// The configuration in force.
    ///
    /// # Errors
    /// Any [`Error`] of the API.
    pub async fn config(&self) -> Result<ConfigReply, Error> {
        self.get("/v1/config").await
    }

    /// What became of a publish.
    ///
    /// # Errors
    /// Any [`Error`] of the API.
    pub async fn verdict(&self, id: &str) -> Result<VerdictReply, Error> {
        self.get(&format!("/v1/config/verdict/{}", encode(id))).await
    }

    /// One page of the history.
    ///
    /// # Errors
    /// Any [`Error`] of the API.
    pub async fn history(&self, from: Offset, limit: usize) -> Result<HistoryReply, Error> {
        self.get(&format!("/v1/config/history?from={from}&limit={limit}")).await
    }

    /// The status of all instances.
    ///
    /// # Errors
    /// Any [`Error`] of the API.
    pub async fn status(&self) -> Result<StatusReply, Error> {
        self.get("/v1/status").await
    }

    /// Outcomes of all instances from `since` on, in seconds of Unix time.
    ///
    /// # Errors
    /// Any [`Error`] of the API.
    pub async fn outcomes(&self, since: u64) -> Result<OutcomesReply, Error> {
        self.get(&format!("/v1/outcomes?since={since}")).await
    }

    /// Publishes. Sent again where no answer comes, under the same id.
    ///
    /// # Errors
    /// Any [`Error`] of the API; [`Error::NoAnswer`] where it may have taken effect.
    pub async fn publish(&self, body: &PublishBody) -> Result<PublishReply, Error> {
        let remedy = format!(
            "it may have taken effect: publish the same file again with --id {} --base {}, it counts once",
            body.id, body.base
        );
        self.post_with_retries("/v1/config/publish", body, &remedy).await
    }

    /// Restores. Sent again where no answer comes, under the same id.
    ///
    /// # Errors
    /// Any [`Error`] of the API; [`Error::NoAnswer`] where it may have taken effect.
    pub async fn restore(&self, body: &RestoreBody) -> Result<PublishReply, Error> {
        let remedy = format!(
            "it may have taken effect: restore the same file again with --id {}, it counts once",
            body.id
        );
        self.post_with_retries("/v1/config/restore", body, &remedy).await
    }

    /// Drains an endpoint. Sent again where no answer comes; it counts once.
    ///
    /// # Errors
    /// Any [`Error`] of the API; [`Error::NoAnswer`] where it may have taken effect.
    pub async fn drain(&self, endpoint: &str, body: &DrainBody) -> Result<DrainReply, Error> {
        let path = format!("/v1/endpoints/{}/drain", encode(endpoint));
        self.post_with_retries(&path, body, "it may have taken effect: drain again, it counts once")
            .await
    }

    /// Evacuates a data centre, or takes that back. Sent again where no answer comes; it
    /// counts once.
    ///
    /// # Errors
    /// Any [`Error`] of the API; [`Error::NoAnswer`] where it may have taken effect.
    pub async fn evacuate(
        &self,
        data_centre: &str,
        body: &EvacuationBody,
    ) -> Result<EvacuationReply, Error> {
        let path = format!("/v1/data-centres/{}/evacuation", encode(data_centre));
        self.post_with_retries(
            &path,
            body,
            "it may have taken effect: send it again, it counts once",
        )
        .await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let request = self.request(Method::GET, path);
        match exchange(request, Vec::new()).await {
            Ok((status, body)) => read(status, &body),
            Err(ExchangeError::NotSent(cause)) => Err(self.unreachable(cause)),
            Err(ExchangeError::NoAnswer(cause)) => {
                Err(self.no_answer(cause, "nothing was changed: ask again", false))
            }
        }
    }

    async fn post_with_retries<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
        remedy: &str,
    ) -> Result<T, Error> {
        let json = serde_json::to_vec(body)
            .map_err(|cause| Error::Unreadable { cause: cause.to_string() })?;
        let mut last_cause = None;
        for _ in 0..ATTEMPTS {
            match self.post(path, json.clone()).await {
                Ok(reply) => return Ok(reply),
                Err(AttemptError::Refused(error))
                    if last_cause.is_none() || settles_earlier_attempts(&error) =>
                {
                    return Err(error);
                }
                Err(AttemptError::Refused(_)) => {}
                Err(AttemptError::NoAnswer(cause)) => last_cause = Some(cause),
            }
        }
        Err(self.no_answer(last_cause.unwrap_or_default(), remedy, true))
    }

    /// One attempt at an operation that changes something.
    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, AttemptError> {
        let (status, body) = match exchange(self.request(Method::POST, path), body).await {
            Ok(answer) => answer,
            Err(ExchangeError::NotSent(cause)) => {
                return Err(AttemptError::Refused(self.unreachable(cause)));
            }
            Err(ExchangeError::NoAnswer(cause)) => return Err(AttemptError::NoAnswer(cause)),
        };
        read(status, &body).map_err(|error| match error {
            Error::Unreadable { cause } => {
                AttemptError::NoAnswer(format!("status {}, {cause}", status.as_u16()))
            }
            error => AttemptError::Refused(error),
        })
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        self.http
            .request(method, format!("{}{path}", self.remote.admin))
            .bearer_auth(&self.remote.token)
            .content_type("application/json")
    }

    fn unreachable(&self, cause: String) -> Error {
        Error::Unreachable { admin: self.remote.admin.clone(), cause }
    }

    fn no_answer(&self, cause: String, remedy: &str, is_uncertain: bool) -> Error {
        let admin = self.remote.admin.clone();
        Error::NoAnswer { admin, cause, remedy: remedy.to_owned(), is_uncertain }
    }
}

async fn exchange(
    request: ClientRequest,
    body: Vec<u8>,
) -> Result<(StatusCode, Vec<u8>), ExchangeError> {
    let whole = async {
        let response =
            request.send_body(body).await.map_err(|error| {
                match http::Error::from_client("it", error) {
                    http::Error::Unreachable { cause, .. } => ExchangeError::NotSent(cause),
                    other => ExchangeError::NoAnswer(other.to_string()),
                }
            })?;
        let status = response.status();
        Ok((status, read_body(response).await?))
    };
    let on_timeout =
        |_| ExchangeError::NoAnswer(format!("nothing for {} s", ANSWER_TIMEOUT.as_secs()));
    tokio::time::timeout(ANSWER_TIMEOUT, whole).await.map_err(on_timeout)?
}

async fn read_body(mut response: ClientResponse) -> Result<Vec<u8>, ExchangeError> {
    let mut body = Vec::new();
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|cause| ExchangeError::NoAnswer(cause.to_string()))?;
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(ExchangeError::NoAnswer(format!(
                "the answer takes over {MAX_ANSWER_BYTES} bytes"
            )));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

fn read<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Error> {
    let unreadable = |cause: serde_json::Error| Error::Unreadable { cause: cause.to_string() };
    if status == StatusCode::OK {
        return serde_json::from_slice(body).map_err(unreadable);
    }
    let error: ApiError = serde_json::from_slice(body).map_err(unreadable)?;
    Err(Error::Api(Box::new(error)))
}

/// Whether a refusal also settles earlier attempts that got no answer: under
/// the same id and base, they too can't have been accepted.
fn settles_earlier_attempts(error: &Error) -> bool {
    let Error::Api(error) = error else { return false };
    matches!(&*error.code, "conflict" | "not_lost" | "invalid_document" | "id_reused" | "malformed")
}

/// A name as one segment of a path.
fn encode(name: &str) -> Arc<str> {
    let mut text = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~') {
            text.push(char::from(byte));
        } else {
            text.push_str(&format!("%{byte:02X}"));
        }
    }
    text.into()
}
