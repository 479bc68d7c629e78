//! HTTP requests to processes under test.

use std::time::Duration;

use ntex::{
    SharedCfg,
    client::{Client, ClientRequest, ClientResponse, Connector},
    http::Method,
    time,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::{Error, Result};

/// Time limit for a request.
const CALL_TIME: Duration = Duration::from_secs(60);
/// More connections than a process can have. The pool's value 0 for "no limit"
/// is not usable: requests that wait for a connection are never woken.
const NO_LIMIT: usize = usize::MAX;
/// Largest reply body that is read, in bytes.
const MAX_BODY: usize = 256 << 20;

/// An HTTP client. It opens a connection for each request, so that a request to a
/// restarted process never uses a connection to its predecessor.
#[derive(Debug, Clone)]
pub struct Http {
    client: Client,
}

/// A reply whose body has been read.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Reply {
    /// The body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON; `None` if it doesn't have the form of `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }

    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

impl Http {
    /// Creates a client for the current thread.
    pub async fn new() -> Http {
        let client = Client::builder()
            .connector::<()>(Connector::new().limit(NO_LIMIT))
            .disable_timeout()
            .disable_redirects()
            .build(SharedCfg::new("test"))
            .await
            .expect("a plain TCP connector needs nothing that could be missing");
        Http { client }
    }

    /// Sends a `GET`; any status is a success.
    ///
    /// # Errors
    /// If no complete reply is received.
    pub async fn get(&self, addr: &str, path: &str) -> Result<Reply> {
        self.send(self.request(Method::GET, addr, path), None, &what("GET", addr, path)).await
    }

    /// Sends a `GET` and decodes the JSON of the reply.
    ///
    /// # Errors
    /// If the status is not a success or the body doesn't have the form of the result.
    pub async fn get_json<T: DeserializeOwned>(&self, addr: &str, path: &str) -> Result<T> {
        let what = what("GET", addr, path);
        parse(&what, &checked(&what, self.get(addr, path).await?)?)
    }

    /// Sends a `POST` with a JSON body; any status is a success.
    ///
    /// # Errors
    /// If no complete reply is received.
    pub async fn post(&self, addr: &str, path: &str, body: &impl Serialize) -> Result<Reply> {
        let request = self.request(Method::POST, addr, path);
        self.send(request, Some(json(body)), &what("POST", addr, path)).await
    }

    /// Sends a `POST` with an unchanged text, and with an operator's token if one is
    /// given; any status is a success.
    ///
    /// # Errors
    /// If no complete reply is received.
    pub async fn post_text(
        &self,
        token: Option<&str>,
        addr: &str,
        path: &str,
        body: String,
    ) -> Result<Reply> {
        let mut request = self.request(Method::POST, addr, path);
        if let Some(token) = token {
            request = request.bearer_auth(token);
        }
        self.send(request, Some(body), &what("POST", addr, path)).await
    }

    /// Sends a `POST` with a JSON body and an operator's token, and decodes the JSON of the
    /// reply.
    ///
    /// # Errors
    /// If the status is not a success or the body doesn't have the form of the result.
    pub async fn post_as<T: DeserializeOwned>(
        &self,
        token: &str,
        addr: &str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T> {
        let what = what("POST", addr, path);
        let request = self.request(Method::POST, addr, path).bearer_auth(token);
        parse(&what, &checked(&what, self.send(request, Some(json(body)), &what).await?)?)
    }

    /// Sends a `PUT` with a JSON body.
    ///
    /// # Errors
    /// If the status is not a success.
    pub async fn put(&self, addr: &str, path: &str, body: &impl Serialize) -> Result<()> {
        let what = what("PUT", addr, path);
        let request = self.request(Method::PUT, addr, path);
        checked(&what, self.send(request, Some(json(body)), &what).await?).map(drop)
    }

    /// Sends a `POST` with a JSON body and returns the response unread, for
    /// streams. Dropping the response closes the connection.
    ///
    /// # Errors
    /// If no reply is received.
    pub async fn open(
        &self,
        addr: &str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<ClientResponse> {
        let request = self.request(Method::POST, addr, path).content_type("application/json");
        let sent = request.send_body(json(body)).await;
        sent.map_err(|err| failed(&what("POST", addr, path), err))
    }

    fn request(&self, method: Method, addr: &str, path: &str) -> ClientRequest {
        self.client.request(method, format!("http://{addr}{path}")).force_close()
    }

    async fn send(
        &self,
        request: ClientRequest,
        body: Option<String>,
        what: &str,
    ) -> Result<Reply> {
        match time::timeout(CALL_TIME, exchange(request, body, what)).await {
            Ok(reply) => reply,
            Err(()) => Err(failed(what, "no whole reply in time")),
        }
    }
}

async fn exchange(request: ClientRequest, body: Option<String>, what: &str) -> Result<Reply> {
    let sent = match body {
        Some(body) => request.content_type("application/json").send_body(body).await,
        None => request.send().await,
    };
    let response = sent.map_err(|err| failed(what, err))?;
    let body = response.body().limit(MAX_BODY).await.map_err(|err| failed(what, err))?;
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    Ok(Reply { status: response.status().as_u16(), retry_after, body: body.to_vec() })
}

fn what(method: &str, addr: &str, path: &str) -> String {
    format!("{method} http://{addr}{path}")
}

fn json(body: &impl Serialize) -> String {
    serde_json::to_string(body).expect("bodies have string keys only")
}

fn checked(what: &str, reply: Reply) -> Result<Reply> {
    if reply.is_success() {
        return Ok(reply);
    }
    Err(Error::Status { what: what.to_owned(), status: reply.status, body: reply.text() })
}

fn parse<T: DeserializeOwned>(what: &str, reply: &Reply) -> Result<T> {
    serde_json::from_slice(&reply.body).map_err(|err| failed(what, err))
}

fn failed(what: &str, cause: impl ToString) -> Error {
    Error::Http { what: what.to_owned(), cause: cause.to_string() }
}
