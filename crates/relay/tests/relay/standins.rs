//! Test doubles: a store in memory, endpoints that follow a script, callers that
//! write and read raw bytes.

mod clock;
mod cut;
mod endpoint;
mod rollout;
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
        region::RegionMap,
        table::Record,
    },
};
use peatdeck_relay::{
    native,
    server::{self, Control, Listeners},
    settings::{DEFAULT_LINK_MBPS, Settings},
    surroundings::{CommandError, Platform, TableName},
};
use peatdeck_util::clock::Clock;

use crate::link::SlowLink;

pub use clock::JumpingClock;
pub use cut::{Cut, EndpointLinks};
pub use endpoint::{
    Conn, ReceivedRequest, Reply, ScriptedEndpoint, event_chunk, exchange, full_reply, get,
    read_reply, request_head, request_within, send, stream_head,
};
pub use store::MemoryStore;

/// How long tests wait for something before they fail.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Reads a record of the operators. A key under `evacuate/` names a data centre, one under
/// `rollout/` a service; any other record is a configuration, whose value is the version after any number of blanks as padding.
fn read_command(record: &Record) -> Result<Option<OperatorCommand>, CommandError> {
    if let Some(order) = rollout::read_order(record) {
        return order.map(Some);
    }
    if let Some(name) = record.key.strip_prefix("evacuate/") {
        let name = Arc::from(name);
        let command = if record.value.is_some() {
            OperatorCommand::Evacuate(name)
        } else {
            OperatorCommand::Restore(name)
        };
        return Ok(Some(command));
    }
    let Some(value) = &record.value else { return Ok(None) };
    let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
    let version = text.trim_start().parse().map_err(|_| format!("`{text}` is not a version"))?;
    Ok(Some(OperatorCommand::Configure(config(version))))
}

fn read_endpoint(record: &Record) -> Result<Change, String> {
    let Some(value) = &record.value else { return Ok(Change::Removed(record.key.clone())) };
    let text = String::from_utf8_lossy(value).into_owned();
    let mut words = text.split(' ');
    let mut word = || words.next().ok_or("the entry lacks a service, an address or a version");
    let (service, addr, version) = (word()?, word()?, word()?);
    Ok(Change::Put(Entry {
        name: record.key.clone(),
        incarnation: Incarnation(1),
        number: 1,
        service: Arc::from(service),
        addr: Arc::from(addr),
        data_centre: Arc::from("east"),
        version: Arc::from(version),
        slots: 4,
        is_leaving: false,
        cold_left: None,
    }))
}

/// The configuration of all tests. It has a route for each kind, one with a stage, and one that
/// is unique to the version.
pub fn config(version: u64) -> Config {
    let kinds = [
        ("idempotent", RequestKind::Idempotent),
        ("once", RequestKind::Once),
        ("stream", RequestKind::Stream),
        ("resumable", RequestKind::Resumable),
        ("staged", RequestKind::Idempotent),
    ];
    let mut routes: Vec<_> = kinds.into_iter().map(|(name, kind)| route(name, kind)).collect();
    routes.push(route(&format!("since-{version}"), RequestKind::Idempotent));
    let (host, prefix) = (Arc::from("all.example"), Arc::from("/"));
    routes.push(Route { host, prefix, ..route("all", RequestKind::Idempotent) });
    let request_service =
        Service { connections: 800, engine: None, pieces: None, cold_interval: None };
    let pieces = Pieces {
        slots: 1,
        queue: 2,
        batch: 4,
        call_time: Duration::from_millis(20),
        piece_time: Duration::from_millis(1),
        room: 1 << 20,
        lease: Duration::from_secs(60),
    };
    let piece_service = Service { pieces: Some(pieces), ..request_service.clone() };
    let team = Team { name: Arc::from("markets"), priority: None, allowed_regions: None };
    Config {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: HashMap::from([
            (Arc::from("desk"), request_service),
            (Arc::from("maker"), piece_service),
        ]),
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
        allowed_regions: None,
        stages: if is_staged { vec![stage] } else { Vec::new() },
    }
}

/// The platform of all tests.
pub fn platform(store: &MemoryStore) -> Platform {
    Platform {
        dialect: native::dialect(),
        store: store.client(),
        read_command,
        read_endpoint: Rc::new(read_endpoint),
        read_rollout: rollout::read_status,
        encode_rollout: rollout::encode_status,
        dropped_lines: Rc::new(|| 0),
    }
}

/// A relay instance that runs on its own thread.
pub struct Relay {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    control: UnboundedSender<Control>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Configures and starts a relay instance.
pub struct RelayBuilder {
    name: Arc<str>,
    store: MemoryStore,
    seeds: Vec<SocketAddr>,
    policy: Option<Arc<str>>,
    data_centre: Arc<str>,
    regions: RegionMap,
    millicores: u32,
    link: Option<SlowLink>,
    clock: JumpingClock,
    rollout: Option<rollout::Limits>,
    endpoint_links: Option<EndpointLinks>,
}

impl RelayBuilder {
    /// Makes the instance reach its endpoints over links that the test can cut.
    pub fn endpoint_links(self, links: &EndpointLinks) -> RelayBuilder {
        RelayBuilder { endpoint_links: Some(links.clone()), ..self }
    }

    /// Turns rollouts on.
    pub fn rollouts(self) -> RelayBuilder {
        RelayBuilder { rollout: Some(rollout::LIMITS), ..self }
    }

    /// Sets a clock that the test can advance.
    pub fn clock(self, clock: &JumpingClock) -> RelayBuilder {
        RelayBuilder { clock: clock.clone(), ..self }
    }

    /// Sets the addresses of peers that the instance contacts at its start.
    pub fn seeds(self, seeds: &[SocketAddr]) -> RelayBuilder {
        RelayBuilder { seeds: seeds.to_vec(), ..self }
    }

    /// Sets the path of the policy script.
    pub fn policy(self, policy: Arc<str>) -> RelayBuilder {
        RelayBuilder { policy: Some(policy), ..self }
    }

    /// Sets the CPU share in thousandths of a core.
    pub fn millicores(self, millicores: u32) -> RelayBuilder {
        RelayBuilder { millicores, ..self }
    }

    /// Sets the data centre, in a deployment where `east` and `west` are different regions.
    pub fn in_region_of(self, data_centre: &str) -> RelayBuilder {
        let regions = [("east", "r"), ("west", "s")];
        let regions = regions.map(|(centre, region)| (Arc::from(centre), Arc::from(region)));
        let regions = RegionMap::new(regions.into());
        RelayBuilder { data_centre: Arc::from(data_centre), regions, ..self }
    }

    /// Makes peers reach the instance over a link.
    pub fn behind_link(self, link: &SlowLink) -> RelayBuilder {
        RelayBuilder { link: Some(link.clone()), ..self }
    }

    /// The settings of the instance, whose addresses have no ports yet.
    pub fn settings(&self) -> Settings {
        let any = SocketAddr::from((self.store.host(), 0));
        Settings {
            name: self.name.clone(),
            incarnation: Incarnation(1),
            data_centre: self.data_centre.clone(),
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
            millicores: self.millicores,
            regions: self.regions.clone(),
            link_mbps: DEFAULT_LINK_MBPS,
            rollout: self.rollout,
            entry_interval: Duration::from_millis(1200),
            policy: self.policy.clone(),
            connections: 200,
        }
    }

    pub fn start(self) -> Relay {
        let mut settings = self.settings();
        let listeners = Listeners::bind(&settings).unwrap();
        settings.front = listeners.front.local_addr().unwrap();
        settings.ready = listeners.ready.local_addr().unwrap();
        settings.metrics = listeners.metrics.local_addr().unwrap();
        settings.peers = listeners.peers.local_addr().unwrap();
        if let Some(link) = &self.link {
            settings.peers = link.listen_for(settings.peers);
        }
        let Settings { front, ready, metrics, peers, .. } = settings.clone();
        let (control, signals) = unbounded();
        let (store, clock, links) = (self.store, self.clock, self.endpoint_links);
        let thread = thread::spawn(move || {
            let surroundings = move |_pool| match links {
                Some(links) => Platform {
                    read_endpoint: Rc::new(move |record| links.redirect(read_endpoint(record))),
                    ..platform(&store)
                },
                None => platform(&store),
            };
            let system = ntex::rt::System::new("relay", ntex::rt::DefaultRuntime);
            let clock = move || -> Rc<dyn Clock> { Rc::new(clock) };
            let run = server::run_on(listeners, settings, signals, surroundings, clock);
            system.block_on(run).unwrap();
        });
        Relay { front, ready, metrics, peers, control, thread: Some(thread) }
    }
}

impl Relay {
    pub fn start(name: &str, store: &MemoryStore, seeds: &[SocketAddr]) -> Relay {
        Relay::builder(name, store).seeds(seeds).start()
    }

    /// Configures an instance that [`RelayBuilder::start`] then starts.
    pub fn builder(name: &str, store: &MemoryStore) -> RelayBuilder {
        RelayBuilder {
            name: Arc::from(name),
            store: store.clone(),
            seeds: Vec::new(),
            policy: None,
            millicores: 250,
            data_centre: Arc::from("east"),
            regions: RegionMap::default(),
            link: None,
            clock: JumpingClock::default(),
            rollout: None,
            endpoint_links: None,
        }
    }

    pub fn send_control(&self, control: Control) {
        self.control.unbounded_send(control).unwrap();
    }

    pub fn wait_ready(&self) {
        wait_for("the relay is ready", || self.ready_status() == 200);
    }

    pub fn ready_status(&self) -> u16 {
        endpoint::get(self.ready, "/ready").status
    }

    /// Value of a counter of the instance; 0 if it was never incremented.
    pub fn counter(&self, name: &str) -> u64 {
        let text = endpoint::get(self.metrics, "/metrics").body;
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
        line.map_or(0, |value| value.parse().unwrap())
    }

    /// Whether the instance has ended.
    pub fn has_stopped(&self) -> bool {
        self.thread.as_ref().is_some_and(thread::JoinHandle::is_finished)
    }

    pub fn join(mut self) {
        self.thread.take().unwrap().join().unwrap();
    }
}

/// A ready relay instance and its store.
pub struct Site {
    pub store: MemoryStore,
    pub relay: Relay,
}

impl Site {
    /// Starts an instance with these endpoints of the service `desk`.
    pub fn start(endpoints: &[ScriptedEndpoint]) -> Site {
        let store = MemoryStore::default();
        store.put(TableName::Config, "config", b"1".to_vec());
        for (idx, endpoint) in endpoints.iter().enumerate() {
            store.add_endpoint(&format!("desk-{idx}"), "desk", endpoint.addr);
        }
        let relay = Relay::start("own", &store, &[]);
        relay.wait_ready();
        Site { store, relay }
    }

    pub fn exchange(&self, path: &str) -> Reply {
        exchange(self.relay.front, path, "")
    }
}

/// Waits until a condition holds. Panics after [`TIMEOUT`].
pub fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let (tx, rx) = mpsc::channel::<()>();
    let pause = Duration::from_millis(10);
    for _ in 0..(TIMEOUT.as_millis() / pause.as_millis()) {
        if holds() {
            return;
        }
        rx.recv_timeout(pause).ok();
    }
    drop(tx);
    panic!("timed out waiting until {what}");
}
