//! Blocking calls to the control paths of stand-ins, entries and the
//! administration API.

use std::time::Duration;

use ntex::{client::ClientRequest, http::Method};
use serde::{Serialize, de::DeserializeOwned};

use crate::{error, runtime};

/// How long a call may take.
const CALL_TIME: Duration = Duration::from_secs(20);

/// A call to make.
#[derive(Debug, Clone)]
pub struct Request {
    method: Method,
    url: String,
    token: Option<String>,
    body: Option<String>,
}

impl Request {
    /// A `GET`.
    pub fn get(url: impl Into<String>) -> Request {
        Request { method: Method::GET, url: url.into(), token: None, body: None }
    }

    /// A `PUT` of JSON.
    pub fn put(url: impl Into<String>, body: &impl Serialize) -> Request {
        Request { method: Method::PUT, body: Some(json(body)), ..Request::get(url) }
    }

    /// A `POST` of JSON.
    pub fn post(url: impl Into<String>, body: &impl Serialize) -> Request {
        Request { method: Method::POST, body: Some(json(body)), ..Request::get(url) }
    }

    /// The same with an operator's token.
    #[must_use]
    pub fn token(self, token: &str) -> Request {
        Request { token: Some(token.to_owned()), ..self }
    }

    /// Makes the call; any status but a success is an error.
    ///
    /// # Errors
    /// If there is no success in time.
    pub fn send(self) -> error::Result<Vec<u8>> {
        let what = format!("{} {}", self.method, self.url);
        runtime::block_on(async move {
            let client = runtime::client().await;
            let request = client.request(self.method.clone(), self.url.as_str());
            let exchange = self.exchange(request);
            match ntex::time::timeout(CALL_TIME, exchange).await {
                Ok(done) => done,
                Err(()) => Err("no answer in time".to_owned()),
            }
        })
        .map_err(|message| error::Error::Control { what, message })
    }

    /// Makes the call and reads JSON from the answer.
    ///
    /// # Errors
    /// If there is no success in time, or it is not that JSON.
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
