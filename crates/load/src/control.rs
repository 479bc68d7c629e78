//! Blocking HTTP requests to the control paths of stand-ins, to entries and to
//! the administration API.

use std::time::Duration;

use ntex::{client::ClientRequest, http::Method};
use serde::{Serialize, de::DeserializeOwned};

use crate::{error, runtime};

/// Time limit of a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A request to send.
#[derive(Debug, Clone)]
pub struct Request {
    method: Method,
    url: String,
    token: Option<String>,
    body: Option<String>,
}

impl Request {
    /// A `GET` request.
    pub fn get(url: impl Into<String>) -> Request {
        Request { method: Method::GET, url: url.into(), token: None, body: None }
    }

    /// A `PUT` request with a JSON body.
    pub fn put(url: impl Into<String>, body: &impl Serialize) -> Request {
        Request { method: Method::PUT, body: Some(json(body)), ..Request::get(url) }
    }

    /// A `POST` request with a JSON body.
    pub fn post(url: impl Into<String>, body: &impl Serialize) -> Request {
        Request { method: Method::POST, body: Some(json(body)), ..Request::get(url) }
    }

    /// Adds an operator's bearer token.
    #[must_use]
    pub fn token(self, token: &str) -> Request {
        Request { token: Some(token.to_owned()), ..self }
    }

    /// Sends the request and returns the body of the reply.
    ///
    /// # Errors
    /// If there is no reply in time, or its status is not a success.
    pub fn send(self) -> error::Result<Vec<u8>> {
        let what = format!("{} {}", self.method, self.url);
        runtime::block_on(async move {
            let client = runtime::client().await;
            let request = client.request(self.method.clone(), self.url.as_str());
            let exchange = self.exchange(request);
            match ntex::time::timeout(CALL_TIMEOUT, exchange).await {
                Ok(reply) => reply,
                Err(()) => Err("no answer in time".to_owned()),
            }
        })
        .map_err(|message| error::Error::Control { what, message })
    }

    /// Sends the request and parses the reply as JSON.
    ///
    /// # Errors
    /// If [`send`](Request::send) fails, or the reply is not the expected JSON.
    pub fn json<T: DeserializeOwned>(self) -> error::Result<T> {
        let what = format!("{} {}", self.method, self.url);
        let bytes = self.send()?;
        serde_json::from_slice(&bytes)
            .map_err(|err| error::Error::Control { what, message: err.to_string() })
    }

    async fn exchange(self, mut request: ClientRequest) -> Result<Vec<u8>, String> {
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let sent = match self.body {
            Some(body) => request.content_type("application/json").send_body(body).await,
            None => request.send().await,
        };
        let response = sent.map_err(|err| err.to_string())?;
        let body = response.body().await.map_err(|err| err.to_string())?;
        if !response.status().is_success() {
            let text = String::from_utf8_lossy(&body);
            return Err(format!("status {}: {text}", response.status()));
        }
        Ok(body.to_vec())
    }
}

fn json(body: &impl Serialize) -> String {
    serde_json::to_string(body).expect("control bodies have string keys only")
}
