//! Event loops, one per thread, and HTTP clients on them.

use std::{future::Future, time::Duration};

use ntex::{
    SharedCfg,
    client::{Client, Connector},
    rt,
    time::Millis,
};

/// Most concurrent connections of one event loop.
const MAX_CONNECTIONS: usize = 100_000;
/// How long an idle connection is kept, in seconds. Shorter than the timeout of
/// the servers, so that no request is sent on a connection that a server closes.
const KEEP_ALIVE_SECONDS: u16 = 2;
/// Largest reply that is read, in bytes.
const MAX_REPLY_BYTES: usize = 256 * 1024 * 1024;
/// Time limit of [`get`].
const CONTROL_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a future on a new event loop on this thread.
pub fn block_on<F>(future: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    rt::System::build().testing().build(rt::DefaultRuntime).block_on(future)
}

/// Creates an HTTP client for the event loop of this thread.
pub async fn client() -> Client {
    let connector =
        Connector::new().limit(MAX_CONNECTIONS).keep_alive(ntex::time::Seconds(KEEP_ALIVE_SECONDS));
    Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .response_payload_limit(MAX_REPLY_BYTES)
        .response_payload_timeout(Millis::ZERO)
        .build(SharedCfg::new("load"))
        .await
        .expect("a plain TCP connector has no dependencies that can fail")
}

/// Fetches a URL on a new event loop. `None` if there is no success status in time.
pub fn get(url: &str) -> Option<Vec<u8>> {
    let url = url.to_owned();
    block_on(async move {
        let client = client().await;
        fetch(&client, &url, CONTROL_TIMEOUT).await
    })
}

/// Fetches a URL. `None` if there is no success status within `timeout`.
pub async fn fetch(client: &Client, url: &str, timeout: Duration) -> Option<Vec<u8>> {
    let reply = async {
        let reply = client.get(url).send().await.ok()?;
        if !reply.status().is_success() {
            return None;
        }
        let body = reply.body().limit(MAX_REPLY_BYTES).await.ok()?;
        Some(body.to_vec())
    };
    ntex::time::timeout(timeout, reply).await.ok().flatten()
}
