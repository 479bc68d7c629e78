//! An administration API on a simulated platform, one for each test.

#![allow(clippy::unwrap_used)]

use std::{net::TcpListener, time::Duration};

use ntex::{
    client::{Client, ClientRequest},
    http::Method,
};
use peatdeck_admin::{
    context::Timeouts,
    server,
    settings::{self, Settings},
};
use peatdeck_core::document::Document;
use peatdeck_test_support::platform::Platform;
use serde_json::{Value, json};

pub const TOKEN: &str = "a token of the test's own";

/// A running API and the platform that it uses.
pub struct Bench {
    pub platform: Platform,
    url: String,
    client: Client,
}

impl Bench {
    /// An API on an empty platform.
    pub async fn start() -> Bench {
        let platform = Platform::default();
        let served = platform.serve();
        let url = start_admin(settings(&served.addr().to_string()));
        Bench { platform, url, client: Client::new().await }
    }

    /// Another API on the same platform.
    pub async fn another_api(&self) -> Bench {
        let served = self.platform.serve();
        let url = start_admin(settings(&served.addr().to_string()));
        let platform = self.platform.clone();
        Bench { platform, url, client: Client::new().await }
    }

    pub async fn get(&self, path: &str) -> String {
        send(self.request(Method::GET, path), None).await
    }

    pub async fn post(&self, path: &str, body: Value) -> String {
        send(self.request(Method::POST, path), Some(body.to_string())).await
    }

    pub async fn publish(&self, id: &str, base: u64, source: &str) -> String {
        let document: Document = toml::from_str(source).expect("valid TOML");
        let body = json!({"id": id, "base": base, "author": "mair", "document": document});
        self.post("/v1/config/publish", body).await
    }

    pub fn request(&self, method: Method, path: &str) -> ClientRequest {
        self.request_without_token(method, path).bearer_auth(TOKEN)
    }

    pub fn request_without_token(&self, method: Method, path: &str) -> ClientRequest {
        self.client.request(method, format!("{}{path}", self.url)).timeout(Duration::from_secs(30))
    }
}

/// Sends a request; returns the status, Retry-After if there is one, and the body.
pub async fn send(request: ClientRequest, body: Option<String>) -> String {
    let response = request.send_body(body.unwrap_or_default()).await.expect("a response");
    let retry =
        response.header("retry-after").map(|value| value.to_str().unwrap_or("?").to_owned());
    let retry = retry.map(|after| format!("Retry-After: {after}\n")).unwrap_or_default();
    let body = response.body().await.expect("a complete response");
    let body = match serde_json::from_slice::<Value>(&body) {
        Ok(json) => json.to_string(),
        Err(_) => String::from_utf8_lossy(&body).trim_end().to_owned(),
    };
    format!("{}\n{retry}{}\n", response.status().as_u16(), body)
}

fn settings(platform: &str) -> Settings {
    let args = ["--listen", "127.0.0.1:0", "--log", platform, "--list", platform];
    let flags = settings::options().run_inner(&args[..]).expect("valid settings");
    let mut settings = settings::check(&flags, Some(TOKEN.to_owned())).expect("valid settings");
    settings.timeouts = Timeouts {
        append: Duration::from_millis(500),
        confirm: Duration::from_millis(1500),
        in_force: Duration::from_millis(200),
        // Instances of these tests respond or refuse the connection: no test waits so long.
        status: Duration::from_secs(20),
    };
    settings
}

fn start_admin(settings: Settings) -> String {
    let listener: TcpListener = server::bind(settings.listen).expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("a bound address"));
    ntex::rt::spawn(server::start(listener, settings).expect("a server"));
    url
}
