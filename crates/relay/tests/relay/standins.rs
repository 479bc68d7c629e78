//! Stand-ins: a store in memory, endpoints that follow a script, callers that
//! write and read raw bytes.

mod clock;
mod endpoint;
mod store;

use std::{
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use futures::channel::mpsc::{UnboundedSender, unbounded};
use peatdeck_core::{
    model::Incarnation,
    relay::{
        allowance::RetryBudgetConfig,
        config::{Config, Limits, Pieces, RequestKind, Route, Service, Stage, Target, Team},
        directory::{Change, Entry},
        operator::OperatorCommand,
        table::Record,
    },
};
use peatdeck_relay::{
    native,
    server::{self, Control, Listeners},
    settings::Settings,
    surroundings::{Platform, TableName},
};
use peatdeck_util::clock::Clock;

use crate::link::SlowLink;

pub use clock::LeapingClock;
pub use endpoint::{
    Conn, Desk, Reply, ask, chunk, get, read_reply, request, send, stream_head, whole,
};
pub use store::MemoryStore;

/// Whatever a test waits for comes within this time, or never.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// What operators ordered, as the store holds it: under `evacuate/` a data centre;
/// else a configuration, a version with blanks before it that make it large.
fn read_act(record: &Record) -> Result<Option<OperatorCommand>, String> {
    if let Some(name) = record.key.strip_prefix("evacuate/") {
        let name = Arc::from(name);
        let act = if record.value.is_some() {
            OperatorCommand::Evacuate(name)
        } else {
            OperatorCommand::Restore(name)
        };
        return Ok(Some(act));
    }
    let Some(value) = &record.value else { return Ok(None) };
    let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
    let version = text.trim_start().parse().map_err(|_| format!("`{text}` is no version"))?;
    Ok(Some(OperatorCommand::Configure(config(version))))
}

fn read_endpoint(record: &Record) -> Result<Change, String> {
    let Some(value) = &record.value else { return Ok(Change::Removed(record.key.clone())) };
    let text = String::from_utf8_lossy(value).into_owned();
    let (service, addr) = text.split_once(' ').ok_or("an entry has a service and an address")?;
    Ok(Change::Put(Entry {
        name: record.key.clone(),
        incarnation: Incarnation(1),
        service: Arc::from(service),
        addr: Arc::from(addr),
        data_centre: Arc::from("east"),
        slots: 4,
        is_leaving: false,
        cold_left: None,
    }))
}

/// The configuration of all tests: a route for each kind, and one with a stage.
fn config(version: u64) -> Config {
    let kinds = [
        ("idempotent", RequestKind::Idempotent),
        ("once", RequestKind::Once),
        ("stream", RequestKind::Stream),
        ("resumable", RequestKind::Resumable),
        ("staged", RequestKind::Idempotent),
    ];
    let mut routes: Vec<_> = kinds.into_iter().map(|(name, kind)| route(name, kind)).collect();
    routes.push(route(&format!("since-{version}"), RequestKind::Idempotent));
    let plain = Service { connections: 800, engine: None, pieces: None, cold_interval: None };
    let pieces = Pieces {
        slots: 1,
        queue: 2,
        batch: 4,
        call_time: Duration::from_millis(20),
        piece_time: Duration::from_millis(1),
        room: 1 << 20,
        lease: Duration::from_secs(60),
    };
    let maker = Service { pieces: Some(pieces), ..plain.clone() };
    let team = Team { name: Arc::from("markets"), priority: None };
    Config {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: HashMap::from([(Arc::from("desk"), plain), (Arc::from("maker"), maker)]),
        keys: Some(HashMap::from([(Arc::from("key-1"), team)])),
        limits: Limits { max_body: 1 << 16, idle_timeout: Duration::from_secs(15) },
    }
}

fn route(name: &str, kind: RequestKind) -> Route {
    let is_staged = name == "staged";
    let stage = Stage { service: Arc::from("maker"), after: Vec::new(), bytes: 1000 };
    Route {
        name: Arc::from(name),
        host: Arc::from("fleet.example"),
        prefix: Arc::from(format!("/{name}/")),
        targets: vec![Target { service: Arc::from("desk"), weight: 1 }],
        kind,
        timeout: Duration::from_secs(30),
        objective: Duration::from_secs(5),
        max_attempts: 2,
        priority: 1,
        is_public: false,
        stages: if is_staged { vec![stage] } else { Vec::new() },
    }
}

/// A relay instance on a thread of its own.
pub struct Relay {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    told: UnboundedSender<Control>,
    thread: Option<thread::JoinHandle<()>>,
}

/// How a relay instance is started.
pub struct Starter {
    name: Arc<str>,
    store: MemoryStore,
    seeds: Vec<SocketAddr>,
    policy: Option<Arc<str>>,
    strength: u32,
    link: Option<SlowLink>,
    clock: LeapingClock,
}

impl Starter {
    /// A clock that the test has leap.
    pub fn clock(self, clock: &LeapingClock) -> Starter {
        Starter { clock: clock.clone(), ..self }
    }

    /// The addresses of peers that it is told of at its start.
    pub fn seeds(self, seeds: &[SocketAddr]) -> Starter {
        Starter { seeds: seeds.to_vec(), ..self }
    }

    /// The file of its policy.
    pub fn policy(self, policy: Arc<str>) -> Starter {
        Starter { policy: Some(policy), ..self }
    }

    /// Its processor's share, in thousandths of a core.
    pub fn strength(self, strength: u32) -> Starter {
        Starter { strength, ..self }
    }

    /// Has its peers reach it over a link.
    pub fn behind(self, link: &SlowLink) -> Starter {
        Starter { link: Some(link.clone()), ..self }
    }

    pub fn start(self) -> Relay {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut settings = Settings {
            name: self.name,
            incarnation: Incarnation(1),
            data_centre: Arc::from("east"),
            front: any,
            ready: any,
            metrics: any,
            peers: any,
            seeds: self.seeds.iter().map(|seed| Arc::from(seed.to_string())).collect(),
            retry_budget: RetryBudgetConfig {
                ratio: 0.2,
                slack: 1000.0,
                window: Duration::from_secs(10),
            },
            min_instances: 1,
            grace: Duration::from_secs(60),
            body_memory: 1 << 24,
            millicores: self.strength,
            policy: self.policy,
            connections: 200,
        };
        let listeners = Listeners::bind(&settings).unwrap();
        settings.front = listeners.front.local_addr().unwrap();
        settings.ready = listeners.ready.local_addr().unwrap();
        settings.metrics = listeners.metrics.local_addr().unwrap();
        settings.peers = listeners.peers.local_addr().unwrap();
        if let Some(link) = &self.link {
            settings.peers = link.to(settings.peers);
        }
        let Settings { front, ready, metrics, peers, .. } = settings.clone();
        let (told, signals) = unbounded();
        let (store, clock) = (self.store, self.clock);
        let thread = thread::spawn(move || {
            let surroundings = move |_pool| Platform {
                dialect: native::dialect(),
                store: store.client(),
                read_command: read_act,
                read_endpoint,
                dropped_lines: Rc::new(|| 0),
            };
            let system = ntex::rt::System::new("relay", ntex::rt::DefaultRuntime);
            let clock = move || -> Rc<dyn Clock> { Rc::new(clock) };
            let run = server::run_on(listeners, settings, signals, surroundings, clock);
            system.block_on(run).unwrap();
        });
        Relay { front, ready, metrics, peers, told, thread: Some(thread) }
    }
}

impl Relay {
    pub fn start(name: &str, store: &MemoryStore, seeds: &[SocketAddr]) -> Relay {
        Relay::with(name, store).seeds(seeds).start()
    }

    /// One that is started once all is said of it.
    pub fn with(name: &str, store: &MemoryStore) -> Starter {
        Starter {
            name: Arc::from(name),
            store: store.clone(),
            seeds: Vec::new(),
            policy: None,
            strength: 250,
            link: None,
            clock: LeapingClock::default(),
        }
    }

    pub fn tell(&self, told: Control) {
        self.told.unbounded_send(told).unwrap();
    }

    pub fn wait_ready(&self) {
        wait_for("the relay is ready", || self.ready_status() == 200);
    }

    pub fn ready_status(&self) -> u16 {
        endpoint::get(self.ready, "/ready").status
    }

    /// A counter of the instance; 0 if it never counted.
    pub fn counter(&self, name: &str) -> u64 {
        let text = endpoint::get(self.metrics, "/metrics").body;
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
        line.map_or(0, |value| value.parse().unwrap())
    }

    pub fn join(mut self) {
        self.thread.take().unwrap().join().unwrap();
    }
}

/// A relay with one store, ready to serve.
pub struct Site {
    pub store: MemoryStore,
    pub relay: Relay,
}

impl Site {
    /// Starts with endpoints of the service `desk` that follow these scripts.
    pub fn start(desks: &[Desk]) -> Site {
        let store = MemoryStore::default();
        store.put(TableName::Config, "config", b"1".to_vec());
        for (idx, desk) in desks.iter().enumerate() {
            store.enlist(&format!("desk-{idx}"), "desk", desk.addr);
        }
        let relay = Relay::start("own", &store, &[]);
        relay.wait_ready();
        Site { store, relay }
    }

    pub fn ask(&self, path: &str) -> Reply {
        ask(self.relay.front, path, "")
    }
}

/// Waits until something holds.
pub fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let (tx, rx) = mpsc::channel::<()>();
    let pause = Duration::from_millis(10);
    for _ in 0..(PATIENCE.as_millis() / pause.as_millis()) {
        if holds() {
            return;
        }
        rx.recv_timeout(pause).ok();
    }
    drop(tx);
    panic!("it never came about that {what}");
}
