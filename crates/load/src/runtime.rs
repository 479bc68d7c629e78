//! Event loops: one a thread, started and ended by the tool itself.

use std::{future::Future, time::Duration};

use ntex::{
    SharedCfg,
    client::{Client, Connector},
    rt,
    time::Millis,
};

/// Connections that one event loop may hold at once.
const CONNECTIONS: usize = 100_000;
/// How long an unused connection is kept, in seconds. Shorter than what
/// servers keep, so that a request is not sent on one that just closes.
const KEEP_ALIVE: u16 = 2;
/// The largest reply that is read, in bytes.
const REPLY_BYTES: usize = 256 * 1024 * 1024;
/// How long a control call may take.
const CONTROL_TIME: Duration = Duration::from_secs(20);

/// Runs a future on an event loop of its own, on this thread.
pub fn block_on<F>(future: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    rt::System::build().testing().build(rt::DefaultRuntime).block_on(future)
}

/// An HTTP client of this thread.
pub async fn client() -> Client {
    let connector = Connector::new().limit(CONNECTIONS).keep_alive(ntex::time::Seconds(KEEP_ALIVE));
    Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .response_payload_limit(REPLY_BYTES)
        .response_payload_timeout(Millis::ZERO)
        .build(SharedCfg::new("load"))
        .await
        .expect("a plain TCP connector needs nothing that could be missing")
}

/// Gets a URL once, on an event loop of its own. `None` if there is no 200.
pub fn get(url: &str) -> Option<Vec<u8>> {
    let url = url.to_owned();
    block_on(async move {
        let client = client().await;
        fetch(&client, &url, CONTROL_TIME).await
    })
}

/// Gets a URL. `None` if there is no 200 in time.
pub async fn fetch(client: &Client, url: &str, within: Duration) -> Option<Vec<u8>> {
    let reply = async {
        let reply = client.get(url).send().await.ok()?;
        if !reply.status().is_success() {
            return None;
        }
        let body = reply.body().limit(REPLY_BYTES).await.ok()?;
        Some(body.to_vec())
    };
    ntex::time::timeout(within, reply).await.ok().flatten()
}
