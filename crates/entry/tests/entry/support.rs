//! Entry processes, and stand-ins within the test's process.

use std::{
    io::{BufRead, BufReader},
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    sync::Arc,
    time::Duration,
};

use ntex::{
    client::{Client, ClientResponse},
    web::{self, App, test::TestServer},
};
use peatdeck_client::{http, log};
use peatdeck_core::{
    document::{Document, Pipeline},
    model::{EndpointEntry, Incarnation, InstanceEntry, Listing, Presence, RequestId},
    record::{ConfigRecord, Publish, Stream},
};
use peatdeck_standin::{answer, calls::CallsBody, cli, cli::Role, endpoint, engine, list, service};
use peatdeck_wire::admin::EntryStatus;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Interval at which [`eventually`] checks the state that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A test that waits longer fails.
const LIMIT: Duration = Duration::from_secs(60);

const DOCUMENT: &str = r#"
    pool = [{ name = "services", kind = "service" }, { name = "engines", kind = "engine" }]
    team = [{ name = "t" }]

    [[pipeline]]
    name = "two"
    max_deadline_ms = 60000
    stage = [
        { name = "encode", pool = "services", repeatable = true },
        { name = "generate", pool = "engines", repeatable = true, max_tokens = 40 },
    ]
"#;

/// A log, a list, one service and one engine, on which tests start entries.
pub struct Bench {
    pub client: Client,
    pub document: Document,
    log: TestServer,
    list: TestServer,
    service: TestServer,
    engine: TestServer,
}

impl Bench {
    /// Starts the stand-ins, the engine with these flags, and publishes a configuration.
    pub async fn start(engine: &[&str]) -> Bench {
        let bench = Bench {
            client: http::client(Duration::from_secs(5)).await.unwrap(),
            document: toml::from_str(DOCUMENT).unwrap(),
            log: standin(&["log"]).await,
            list: standin(&["list"]).await,
            service: standin(&["service"]).await,
            engine: standin(&[&["engine"], engine].concat()).await,
        };
        bench.publish().await;
        bench.list_instances(&[]).await;
        bench
    }

    /// Starts an entry and waits until it is ready.
    pub async fn entry(&self, name: &str) -> Entry {
        self.entry_with(name, &[]).await
    }

    /// Starts an entry with additional flags and waits until it is ready.
    pub async fn entry_with(&self, name: &str, flags: &[&str]) -> Entry {
        let entry = self.unready_entry(name, flags);
        let url = format!("http://{}/readyz", entry.addr);
        eventually(async || self.client.get(&url).send().await.unwrap().status() == 200).await;
        entry
    }

    fn unready_entry(&self, name: &str, flags: &[&str]) -> Entry {
        let (log, list) = (self.log.addr().to_string(), self.list.addr().to_string());
        let args = ["--name", name, "--data-centre", "d", "--log", &log, "--list", &list];
        Entry::start(&[&args, flags].concat())
    }

    /// Sets the list to the endpoints and these entries.
    pub async fn list_instances(&self, entries: &[&Entry]) {
        let endpoints = [("s1", "services", &self.service), ("g1", "engines", &self.engine)];
        let listing = Listing {
            instances: entries.iter().map(|entry| entry.instance_entry()).collect(),
            endpoints: endpoints
                .map(|(name, pool, server)| endpoint_entry(name, pool, server))
                .into(),
        };
        let url = format!("http://{}/control/list", self.list.addr());
        let response = self.client.put(url).send_json(&listing).await.unwrap();
        assert!(response.status().is_success(), "{response:?}");
    }

    pub async fn send(&self, entry: &Entry, id: &str, stream: bool) -> ClientResponse {
        let url = format!("http://{}/v1/pipelines/two/requests", entry.addr);
        self.client.post(url).send_json(&body(id, stream)).await.unwrap()
    }

    /// Posts a body to any path; returns the status and the JSON body.
    pub async fn post(&self, entry: &Entry, path: &str, body: &Value) -> (u16, Value) {
        let url = format!("http://{}{path}", entry.addr);
        read(self.client.post(url).send_json(body).await.unwrap()).await
    }

    /// The correct output for the request.
    pub fn expected_output(&self, id: &str) -> String {
        let pipeline: &Pipeline = self.document.pipeline("two").unwrap();
        let request = RequestId { team: Arc::from("t"), id: Arc::from(id) };
        answer::expected_output(&self.document, pipeline, &request, "input").unwrap()
    }

    pub async fn engine_faults(&self, faults: Value) {
        let url = format!("http://{}/control/faults", self.engine.addr());
        let response = self.client.put(url).send_json(&faults).await.unwrap();
        assert!(response.status().is_success(), "{response:?}");
    }

    /// Records of the calls of the engine.
    pub async fn engine_calls(&self) -> CallsBody {
        self.get(&format!("{}/control/calls", self.engine.addr())).await
    }

    /// Records of the calls of the service.
    pub async fn service_calls(&self) -> CallsBody {
        self.get(&format!("{}/control/calls", self.service.addr())).await
    }

    pub async fn status(&self, entry: &Entry) -> EntryStatus {
        self.get(&format!("{}/v1/status", entry.addr)).await
    }

    async fn get<T: DeserializeOwned>(&self, url: &str) -> T {
        let response = self.client.get(format!("http://{url}")).send().await.unwrap();
        serde_json::from_slice(&response.body().await.unwrap()).unwrap()
    }

    async fn publish(&self) {
        let publish = Publish {
            id: Arc::from("p1"),
            base: 0,
            author: Arc::from("test"),
            document: Arc::new(self.document.clone()),
        };
        let log = log::Client::new(self.client.clone(), self.log.addr().to_string().into());
        log.append(Stream::Config, &ConfigRecord::Publish(publish), LIMIT).await.unwrap();
    }
}

/// An entry process; dropping it kills the process.
pub struct Entry {
    pub addr: String,
    name: String,
    peer_addr: String,
    child: Child,
    _stdout: BufReader<ChildStdout>,
}

impl Entry {
    /// Starts a process; returns when it has printed its addresses.
    pub fn start(args: &[&str]) -> Entry {
        let mut child = command()
            .args([
                "--listen",
                "127.0.0.1:0",
                "--peer-listen",
                "127.0.0.1:0",
                "--grace",
                "50",
                "--log-filter",
                "error",
            ])
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        let addr = read_value(&mut stdout, "listening ");
        let peer_addr = read_value(&mut stdout, "peers ");
        Entry { addr, name: args[1].to_owned(), peer_addr, child, _stdout: stdout }
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    }

    /// Waits for the end of the process.
    pub async fn exit(mut self) -> ExitStatus {
        let mut status = None;
        eventually(async || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        })
        .await;
        status.unwrap()
    }

    fn instance_entry(&self) -> InstanceEntry {
        InstanceEntry {
            name: Arc::from(&*self.name),
            peer_addr: Arc::from(&*self.peer_addr),
            http_addr: Arc::from(&*self.addr),
            data_centre: Arc::from("d"),
            presence: Presence::Live,
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// A command for the binary, with an empty environment.
pub fn command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_peatdeck-entry"));
    command.env_clear();
    command
}

/// Body of a request of team `t`.
pub fn body(id: &str, stream: bool) -> Value {
    json!({
        "id": id, "team": "t", "deadline_ms": 30_000, "idempotent": true, "stream": stream,
        "input": "input",
    })
}

/// Status and JSON body of a response.
pub async fn read(response: ClientResponse) -> (u16, Value) {
    let body = response.body().await.unwrap();
    (response.status().as_u16(), serde_json::from_slice(&body).unwrap())
}

/// Waits until `is_reached` returns `true`; panics after [`LIMIT`].
pub async fn eventually(mut is_reached: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !is_reached().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(LIMIT, wait).await.expect("the state is reached");
}

async fn standin(args: &[&str]) -> TestServer {
    let role = cli::options().run_inner(args).unwrap();
    web::test::server(async move || {
        let role = role.clone();
        App::new().configure(move |cfg| configure(cfg, role))
    })
    .await
}

fn configure(cfg: &mut web::ServiceConfig, role: Role) {
    match role {
        Role::Log { settings, .. } => {
            let log = peatdeck_standin::log::Log::new(&settings);
            peatdeck_standin::log::configure(cfg, log);
        }
        Role::List { settings, .. } => list::configure(cfg, list::List::new(settings)),
        Role::Engine { settings, .. } => {
            engine::configure(cfg, endpoint::Endpoint::new(settings));
        }
        Role::Service { settings, .. } => {
            service::configure(cfg, endpoint::Endpoint::new(settings));
        }
    }
}

fn endpoint_entry(name: &str, pool: &str, server: &TestServer) -> EndpointEntry {
    EndpointEntry {
        name: Arc::from(name),
        pool: Arc::from(pool),
        addr: Arc::from(server.addr().to_string()),
        data_centre: Arc::from("d"),
        incarnation: Incarnation(1),
        presence: Presence::Live,
        software: Arc::default(),
    }
}

fn read_value(stdout: &mut BufReader<ChildStdout>, prefix: &str) -> String {
    let mut line = String::new();
    stdout.read_line(&mut line).unwrap();
    line.trim().strip_prefix(prefix).unwrap().to_owned()
}
