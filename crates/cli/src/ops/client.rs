//! Client of the administration API.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use ntex::{
    client::{ClientRequest, ClientResponse},
    http::{Method, StatusCode},
};
use peatdeck_client::http;
use peatdeck_core::record::Offset;
use peatdeck_util::secret::Secret;
use peatdeck_wire::admin::{
    ApiError, ConfigReply, DrainBody, DrainReply, EvacuationBody, EvacuationReply, HistoryReply,
    OutcomesReply, PublishBody, PublishReply, RestoreBody, StatusReply, VerdictReply,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::Error;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for a response. A publish may wait up to a minute for the instances.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum length of a response, in bytes: the status of several hundred instances.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Maximum number of attempts to send a change while no response arrives. The change
/// takes effect once nevertheless.
const ATTEMPTS: u32 = 3;

/// Address and credentials of the API.
#[derive(Debug, Clone)]
pub struct Remote {
    /// URL of peatdeck-admin, `http://ip:port`.
    pub admin: String,
    /// The operators' token.
    pub token: Secret,
}

/// A client of the API.
#[derive(Debug, Clone)]
pub struct Client {
    http: ntex::client::Client,
    remote: Remote,
}

/// Why an exchange produced no response of the API.
enum Failure {
    /// No byte was written.
    NotSent(String),
    /// No complete response arrived.
    NoAnswer(String),
}

/// Why one attempt at a change failed.
enum PostError {
    /// The attempt had no effect, or the API has reported what is known.
    Refused(Error),
    /// The attempt may have taken effect.
    NoAnswer(String),
}

impl Client {
    /// Creates a client without connecting.
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

    /// Returns the configuration in force.
    ///
    /// # Errors
    /// Any [`Error`] of the API.
    pub async fn config(&self) -> Result<ConfigReply, Error> {
        self.get("/v1/config").await
    }

    /// Returns the verdict on a publish.
    ///
    /// # Errors
    /// Any [`Error`] of the API.
    pub async fn verdict(&self, id: &str) -> Result<VerdictReply, Error> {
        self.get(&format!("/v1/config/verdict/{}", encode(id))).await
    }

    /// Returns one page of the history.
    ///
    /// # Errors
    /// Any [`Error`] of the API.
    pub async fn history(&self, from: Offset, limit: usize) -> Result<HistoryReply, Error> {
        self.get(&format!("/v1/config/history?from={from}&limit={limit}")).await
    }

    /// Returns the status of all instances.
    ///
    /// # Errors
    /// Any [`Error`] of the API.
    pub async fn status(&self) -> Result<StatusReply, Error> {
        self.get("/v1/status").await
    }

    /// Returns the outcomes of all instances from `since` on, in seconds of Unix time.
    ///
    /// # Errors
    /// Any [`Error`] of the API.
    pub async fn outcomes(&self, since: u64) -> Result<OutcomesReply, Error> {
        self.get(&format!("/v1/outcomes?since={since}")).await
    }

    /// Publishes a document. Repeated with the same id if no response arrives.
    ///
    /// # Errors
    /// Any [`Error`] of the API; [`Error::NoAnswer`] if it may have taken effect.
    pub async fn publish(&self, body: &PublishBody) -> Result<PublishReply, Error> {
        let remedy = format!(
            "it may have taken effect: publish the same file again with --id {} --base {}; it takes effect once",
            body.id, body.base
        );
        self.post_with_retries("/v1/config/publish", body, &remedy).await
    }

    /// Restores a document. Repeated with the same id if no response arrives.
    ///
    /// # Errors
    /// Any [`Error`] of the API; [`Error::NoAnswer`] if it may have taken effect.
    pub async fn restore(&self, body: &RestoreBody) -> Result<PublishReply, Error> {
        let remedy = format!(
            "it may have taken effect: restore the same file again with --id {}; it takes effect once",
            body.id
        );
        self.post_with_retries("/v1/config/restore", body, &remedy).await
    }

    /// Drains an endpoint. Repeated if no response arrives; it takes effect once.
    ///
    /// # Errors
    /// Any [`Error`] of the API; [`Error::NoAnswer`] if it may have taken effect.
    pub async fn drain(&self, endpoint: &str, body: &DrainBody) -> Result<DrainReply, Error> {
        let path = format!("/v1/endpoints/{}/drain", encode(endpoint));
        self.post_with_retries(
            &path,
            body,
            "it may have taken effect: drain again; it takes effect once",
        )
        .await
    }

    /// Evacuates a data centre, or ends its evacuation. Repeated if no response arrives; it
    /// takes effect once.
    ///
    /// # Errors
    /// Any [`Error`] of the API; [`Error::NoAnswer`] if it may have taken effect.
    pub async fn evacuate(
        &self,
        data_centre: &str,
        body: &EvacuationBody,
    ) -> Result<EvacuationReply, Error> {
        let path = format!("/v1/data-centres/{}/evacuation", encode(data_centre));
        self.post_with_retries(
            &path,
            body,
            "it may have taken effect: send it again; it takes effect once",
        )
        .await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let request = self.request(Method::GET, path);
        match exchange(request, Vec::new()).await {
            Ok((status, body)) => read(status, &body),
            Err(Failure::NotSent(cause)) => Err(self.unreachable(cause)),
            Err(Failure::NoAnswer(cause)) => {
                Err(self.no_answer(cause, "nothing was changed: run the command again", false))
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
                Err(PostError::Refused(error))
                    if last_cause.is_none() || settles_earlier_attempts(&error) =>
                {
                    return Err(error);
                }
                Err(PostError::Refused(_)) => {}
                Err(PostError::NoAnswer(cause)) => last_cause = Some(cause),
            }
        }
        Err(self.no_answer(last_cause.unwrap_or_default(), remedy, true))
    }

    /// Makes one attempt at a change.
    async fn post<T: DeserializeOwned>(&self, path: &str, body: Vec<u8>) -> Result<T, PostError> {
        let (status, body) = match exchange(self.request(Method::POST, path), body).await {
            Ok(answer) => answer,
            Err(Failure::NotSent(err)) => return Err(PostError::Refused(self.unreachable(err))),
            Err(Failure::NoAnswer(cause)) => return Err(PostError::NoAnswer(cause)),
        };
        read(status, &body).map_err(|error| match error {
            Error::Unreadable { cause } => {
                PostError::NoAnswer(format!("status {}, {cause}", status.as_u16()))
            }
            error => PostError::Refused(error),
        })
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        self.http
            .request(method, format!("{}{path}", self.remote.admin))
            .bearer_auth(self.remote.token.expose())
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

async fn exchange(request: ClientRequest, body: Vec<u8>) -> Result<(StatusCode, Vec<u8>), Failure> {
    let whole = async {
        let response =
            request.send_body(body).await.map_err(|error| {
                match http::Error::from_client("it", error) {
                    http::Error::Unreachable { cause, .. } => Failure::NotSent(cause),
                    other => Failure::NoAnswer(other.to_string()),
                }
            })?;
        let status = response.status();
        Ok((status, read_body(response).await?))
    };
    let on_timeout =
        |_| Failure::NoAnswer(format!("no response for {} s", ANSWER_TIMEOUT.as_secs()));
    tokio::time::timeout(ANSWER_TIMEOUT, whole).await.map_err(on_timeout)?
}

async fn read_body(mut response: ClientResponse) -> Result<Vec<u8>, Failure> {
    let mut body = Vec::new();
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|cause| Failure::NoAnswer(cause.to_string()))?;
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(Failure::NoAnswer(format!(
                "the response exceeds {MAX_ANSWER_BYTES} bytes"
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

/// Whether a refusal also proves that earlier attempts without a response were
/// not accepted, since they had the same id and base.
fn settles_earlier_attempts(error: &Error) -> bool {
    let Error::Api(error) = error else { return false };
    matches!(&*error.code, "conflict" | "not_lost" | "invalid_document" | "id_reused" | "malformed")
}

/// Percent-encodes a name as one segment of a path.
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
