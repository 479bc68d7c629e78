//! Binds the sockets, starts the event loop, and shuts it down.

mod http;

use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use futures::{
    StreamExt,
    channel::{mpsc, oneshot},
};
use miette::{IntoDiagnostic, WrapErr, miette};
use ntex::{
    http::{HttpService, KeepAlive, Request, Response},
    time::Seconds,
};
use peatdeck_core::relay::{self, Relay};
use peatdeck_util::{
    clock::{Clock, SystemClock},
    metrics::{Metrics, Registry},
};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{
    connections::Connections,
    driver::{Components, Driver, SharedState},
    follow, front,
    memory::BodyMemory,
    operators::{self, Query},
    peers, policy,
    pool::Pool,
    repair,
    settings::Settings,
    surroundings::{Platform, TABLES},
};

/// Minimum time that an instance keeps running after it was told to stop: the
/// balancer needs three readiness checks to notice; the rest is margin.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3500);
/// An instance exits this long before it would be killed.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// Interval at which a stopping instance checks whether all requests have finished.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the refusals of requests that were still active to leave the process.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Time limit for the HTTP server to stop its threads.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a caller's connection may be idle while no limit is configured.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(75);
/// How long a connection for readiness checks or metrics may be idle.
const KEEP_ALIVE: Seconds = Seconds(75);
/// Interval at which idle connections are pruned.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// What the event loop's thread starts with. It is taken only once: a second start
/// would run under the same incarnation as the first.
struct Setup {
    settings: Settings,
    platform: Box<dyn FnOnce(Rc<Pool>) -> Platform + Send>,
    clock: Box<dyn FnOnce() -> Rc<dyn Clock> + Send>,
    peers: TcpListener,
    signals: mpsc::UnboundedReceiver<Control>,
    queries: mpsc::UnboundedReceiver<Query>,
    exited: oneshot::Sender<()>,
    metrics: Arc<Registry>,
    shared: Arc<SharedState>,
}

/// A control message to a running instance.
#[derive(Debug, Clone, Copy)]
pub enum Control {
    /// Finish the active requests, then exit.
    Stop,
    /// Read the operators' policy again.
    Reload,
}

/// The sockets that an instance listens on.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts callers' requests.
    pub front: TcpListener,
    /// Accepts the balancer's readiness checks.
    pub ready: TcpListener,
    /// Accepts requests for metrics and those of operators.
    pub metrics: TcpListener,
    /// Accepts connections of peers.
    pub peers: TcpListener,
}

impl Listeners {
    /// Listens on the addresses of the settings.
    ///
    /// # Errors
    /// The first address that cannot be bound.
    pub fn bind(settings: &Settings) -> miette::Result<Listeners> {
        Ok(Listeners {
            front: bind("callers", settings.front)?,
            ready: bind("readiness", settings.ready)?,
            metrics: bind("metrics", settings.metrics)?,
            peers: bind("peers", settings.peers)?,
        })
    }
}

/// How long an instance that has just started waits for its list of peers: the time
/// of one read of the table, or of a few rounds of gossip.
const PEERS_TIMEOUT: Duration = Duration::from_millis(1500);

/// Runs a relay instance until a signal tells it to stop and its active requests have
/// finished. `platform` is called on the event loop's thread.
///
/// # Errors
/// If the policy is unusable, an address cannot be bound, or a signal handler cannot
/// be installed.
pub async fn run(
    settings: Settings,
    platform: impl FnOnce(Rc<Pool>) -> Platform + Send + 'static,
) -> miette::Result<()> {
    if let Some(path) = &settings.policy {
        // Reports an invalid policy before anything starts.
        policy::load(path)?;
    }
    let listeners = Listeners::bind(&settings)?;
    let (sender, signals) = mpsc::unbounded();
    watch(SignalKind::terminate(), Control::Stop, &sender)?;
    watch(SignalKind::interrupt(), Control::Stop, &sender)?;
    watch(SignalKind::hangup(), Control::Reload, &sender)?;
    log_start(&settings);
    run_on(listeners, settings, signals, platform, SystemClock::shared).await
}

/// Runs a relay instance on sockets that are already listening, with control messages
/// from a channel. `platform` and `clock` are called on the event loop's thread.
///
/// # Errors
/// If the server cannot be started.
pub async fn run_on(
    listeners: Listeners,
    settings: Settings,
    signals: mpsc::UnboundedReceiver<Control>,
    platform: impl FnOnce(Rc<Pool>) -> Platform + Send + 'static,
    clock: impl FnOnce() -> Rc<dyn Clock> + Send + 'static,
) -> miette::Result<()> {
    let Listeners { front, ready, metrics: metrics_listener, peers } = listeners;
    let (exited, on_exit) = oneshot::channel();
    let (query_sender, queries) = mpsc::unbounded();
    let metrics = Registry::new();
    let shared = Arc::new(SharedState::default());
    let connections = settings.connections;
    let setup = Setup {
        settings,
        platform: Box::new(platform),
        clock: Box::new(clock),
        peers,
        signals,
        queries,
        exited,
        metrics: metrics.clone(),
        shared: shared.clone(),
    };
    let setup = Arc::new(Mutex::new(Some(setup)));
    // The event loop itself closes idle connections of callers, by a limit that may change.
    let front_config = http::config(KeepAlive::Os);
    let config = http::config(KeepAlive::Timeout(KEEP_ALIVE));
    let server = ntex::server::build()
        .workers(1)
        .maxconn(connections)
        .disable_signals()
        .shutdown_timeout(Seconds(1))
        .listen("front", front, async move |_| {
            let setup = setup.lock().ok().and_then(|mut setup| setup.take());
            let setup = setup.expect("the event loop is started once");
            let (driver, connections) = start(setup);
            let memory = BodyMemory::new(driver.settings.body_memory);
            let tracked = connections.clone();
            tracked.track(HttpService::h1(move |req: Request| {
                front::answer(driver.clone(), memory.clone(), connections.clone(), req)
            }))
        })
        .into_diagnostic()?
        .listen("ready", ready, async move |_| {
            let shared = shared.clone();
            HttpService::h1(move |req: Request| {
                let status = readiness(&shared, &req);
                async move { Ok::<_, std::io::Error>(Response::new(status)) }
            })
        })
        .into_diagnostic()?
        .listen("metrics", metrics_listener, async move |_| {
            let (metrics, query_sender) = (metrics.clone(), query_sender.clone());
            HttpService::h1(move |req: Request| {
                operators::answer(metrics.clone(), query_sender.clone(), req)
            })
        })
        .into_diagnostic()?
        .config("front", front_config)
        .config("ready", config.clone())
        .config("metrics", config)
        .run();

    on_exit.await.map_err(|_| miette!("the event loop ended without a signal to stop"))?;
    if tokio::time::timeout(SHUTDOWN_TIMEOUT, server.stop(false)).await.is_err() {
        tracing::warn!(event = "shutdown_cut", limit_ms = SHUTDOWN_TIMEOUT.as_millis() as u64);
    }
    tracing::info!(event = "stopped");
    Ok(())
}

fn readiness(shared: &SharedState, req: &Request) -> ntex::http::StatusCode {
    use ntex::http::StatusCode;
    match (req.path(), shared.is_ready.load(Ordering::Relaxed)) {
        ("/ready", true) => StatusCode::OK,
        ("/ready", false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    }
}

/// Starts the event loop on the current thread.
fn start(setup: Setup) -> (Rc<Driver>, Rc<Connections>) {
    let Setup { settings, platform, clock, peers, signals, queries, exited, metrics, shared } =
        setup;
    let clock = clock();
    let pool = Pool::new(clock.clone());
    let connections = Connections::new(clock.clone(), settings.connections);
    let machine = Relay::new(
        relay::Settings {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            retry_budget: settings.retry_budget,
            min_instances: settings.min_instances,
            millicores: settings.millicores,
            regions: settings.regions.clone(),
            rollout: settings.rollout,
            entry_interval: settings.entry_interval,
        },
        rand::random(),
    );
    let driver = Driver::new(Components {
        machine,
        clock,
        platform: platform(pool.clone()),
        settings,
        pool,
        metrics: Metrics::into_registry(&metrics),
        shared,
    });
    load_policy(&driver);
    for table in TABLES {
        ntex::rt::spawn(follow::run(driver.clone(), table));
    }
    ntex::rt::spawn(driver.clone().run_timer());
    driver.feed(|machine, now| machine.hold_for_peers(now + PEERS_TIMEOUT));
    ntex::rt::spawn(repair::announce(driver.clone()));
    ntex::rt::spawn(repair::run(driver.clone()));
    ntex::rt::spawn(peers::gossip::run(driver.clone()));
    ntex::rt::spawn(peers::learn::run(driver.clone()));
    ntex::rt::spawn(peers::serve(driver.clone(), into_tokio(peers)));
    ntex::rt::spawn(prune(driver.clone(), connections.clone()));
    ntex::rt::spawn(operators::serve(driver.clone(), queries));
    ntex::rt::spawn(handle_signals(driver.clone(), connections.clone(), signals, exited));
    (driver, connections)
}

async fn handle_signals(
    driver: Rc<Driver>,
    connections: Rc<Connections>,
    mut signals: mpsc::UnboundedReceiver<Control>,
    exited: oneshot::Sender<()>,
) {
    while let Some(control) = signals.next().await {
        match control {
            Control::Reload => {
                tracing::info!(event = "reload");
                load_policy(&driver);
            }
            Control::Stop => break,
        }
    }
    let open = driver.inspect(Relay::open_exchanges);
    tracing::info!(event = "stopping", open);
    driver.stop();
    drain(&driver, &connections).await;
    driver.feed(Relay::end_all_exchanges);
    tokio::time::sleep(FLUSH_TIME).await;
    // The receiver exists for as long as the process runs.
    exited.send(()).ok();
}

/// Loads the operators' policy. If the file is unusable, the previous policy stays in
/// force.
fn load_policy(driver: &Rc<Driver>) {
    let Some(path) = &driver.settings.policy else { return };
    match policy::load(path) {
        Ok(program) => {
            let functions = program.functions().join(" ");
            tracing::info!(event = "policy", path = &**path, functions);
            driver.feed(|machine, _| machine.set_policy(program));
        }
        Err(error) => {
            driver.metrics.count("relay.policy_unusable", 1);
            tracing::error!(event = "policy_unusable", path = &**path, error = %error);
        }
    }
}

/// Waits until no request is active any more and callers have taken all responses, or until
/// shortly before the process would be killed.
async fn drain(driver: &Driver, connections: &Connections) {
    let started = driver.now();
    let limit = driver.settings.grace.saturating_sub(EXIT_MARGIN);
    loop {
        let waited = driver.now().saturating_sub(started);
        let held = driver.inspect(|machine| machine.open_exchanges() + machine.open_tickets());
        let answering = connections.answering();
        if waited >= limit || (held + answering == 0 && waited >= MIN_DRAIN_TIME) {
            let waited_ms = waited.as_millis() as u64;
            tracing::info!(event = "finished", held, answering, waited_ms);
            break;
        }
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
}

async fn prune(driver: Rc<Driver>, connections: Rc<Connections>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        driver.pool.prune();
        let idle_time = driver.inspect(|machine| Some(machine.config()?.limits.idle_timeout));
        connections.close_idle(idle_time.unwrap_or(DEFAULT_IDLE_TIME));
        let counts = driver.pool.counts();
        driver.metrics.gauge("relay.connections_opened", counts.opened);
        driver.metrics.gauge("relay.connections_reused", counts.reused);
        driver.metrics.gauge("relay.policy_errors", driver.inspect(Relay::policy_failures));
        driver.metrics.gauge("relay.log_lines_dropped", (driver.platform.dropped_lines)());
    }
}

fn watch(
    kind: SignalKind,
    control: Control,
    to: &mpsc::UnboundedSender<Control>,
) -> miette::Result<()> {
    let signals = signal(kind).into_diagnostic().wrap_err("cannot install a signal handler")?;
    ntex::rt::spawn(forward(signals, control, to.clone()));
    Ok(())
}

async fn forward(mut signals: Signal, control: Control, to: mpsc::UnboundedSender<Control>) {
    while signals.recv().await.is_some() {
        // The event loop receives them for as long as the process runs.
        to.unbounded_send(control).ok();
    }
}

fn bind(what: &str, addr: SocketAddr) -> miette::Result<TcpListener> {
    TcpListener::bind(addr).map_err(|error| {
        miette!(
            help = "stop the process that listens there, or set another address",
            "cannot listen for {what} on {addr}: {error}"
        )
    })
}

fn into_tokio(listener: TcpListener) -> tokio::net::TcpListener {
    listener.set_nonblocking(true).expect("a listening socket can be made non-blocking");
    tokio::net::TcpListener::from_std(listener).expect("the event loop runs on this thread")
}

fn log_start(settings: &Settings) {
    tracing::info!(
        event = "start",
        name = &*settings.name,
        incarnation = settings.incarnation.0,
        data_centre = &*settings.data_centre,
        front = %settings.front,
        peers = %settings.peers,
        version = env!("CARGO_PKG_VERSION"),
    );
}
