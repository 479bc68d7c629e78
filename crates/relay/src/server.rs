//! Binds, starts the event loop, and stops it whole.

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
    http::{HttpService, HttpServiceConfig, Request, Response},
    service::cfg::SharedCfg,
    time::Seconds,
};
use peatdeck_core::relay::{self, Relay};
use peatdeck_util::{
    clock::{Clock, SystemClock},
    metrics::{Metrics, Registry},
};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{
    driver::{Driver, Parts, Shared},
    follow,
    front::{self, BodyMemory},
    operators::{self, Question},
    peers, policy,
    pool::Pool,
    repair,
    settings::Settings,
    surroundings::{Surroundings, TABLES},
};

/// After being told to stop, an instance serves new callers for so long: the
/// balancer needs three questions to notice, and a moment more.
const LINGER: Duration = Duration::from_millis(3500);
/// An instance has ended so long before it would be killed.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// Pause between two looks at whether all is finished.
const FINISH_PAUSE: Duration = Duration::from_millis(50);
/// Time for the last responses to leave the process.
const FLUSH: Duration = Duration::from_millis(100);
/// Time for the server to end its threads.
const SHUTDOWN: Duration = Duration::from_millis(200);
/// Largest head of a request, in bytes. Above what the operators allow.
const MAX_HEAD: usize = 64 << 10;
/// How long a caller's connection may be idle. Above what the operators state,
/// so that a connection which they call reusable is there.
const IDLE: u16 = 75;
/// Time for a head or a stalled body.
const READ_TIMEOUT: Seconds = Seconds(10);
/// Time for a whole body.
const BODY_TIMEOUT: Seconds = Seconds(60);
/// Bytes a second below which a head or a body counts as stalled.
const MIN_RATE: u32 = 64;
/// Pause between two clean-ups of idle connections.
const PRUNE_PAUSE: Duration = Duration::from_secs(2);

/// What the event loop's thread starts with. It is taken once: a second start
/// would be a second life under the first one's incarnation.
struct Setup {
    settings: Settings,
    surroundings: Box<dyn FnOnce(Rc<Pool>) -> Surroundings + Send>,
    clock: Box<dyn FnOnce() -> Rc<dyn Clock> + Send>,
    peers: TcpListener,
    signals: mpsc::UnboundedReceiver<Told>,
    questions: mpsc::UnboundedReceiver<Question>,
    exited: oneshot::Sender<()>,
    metrics: Arc<Registry>,
    shared: Arc<Shared>,
}

/// What an instance is told while it runs.
#[derive(Debug, Clone, Copy)]
pub enum Told {
    /// Finish what is held, then end.
    Stop,
    /// The settings file has changed.
    Reload,
}

/// The sockets that an instance listens on.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub front: TcpListener,
    /// For the balancer's question whether it takes requests.
    pub ready: TcpListener,
    /// For its metrics.
    pub metrics: TcpListener,
    /// For its peers.
    pub peers: TcpListener,
}

impl Listeners {
    /// Listens on the addresses of the settings.
    ///
    /// # Errors
    /// The address that cannot be had.
    pub fn bind(settings: &Settings) -> miette::Result<Listeners> {
        Ok(Listeners {
            front: bind("callers", settings.front)?,
            ready: bind("readiness", settings.ready)?,
            metrics: bind("metrics", settings.metrics)?,
            peers: bind("peers", settings.peers)?,
        })
    }
}

/// An instance that has just started knows its peers after so long at the most,
/// if anybody does: one reading of the table, or some rounds of gossip.
const PEERS_WITHIN: Duration = Duration::from_millis(1500);

/// Runs a relay instance until a signal told it to stop and it has finished
/// what it held. `surroundings` is called on the event loop's thread.
///
/// # Errors
/// If an address cannot be bound or a signal cannot be taken.
pub async fn run(
    settings: Settings,
    surroundings: impl FnOnce(Rc<Pool>) -> Surroundings + Send + 'static,
) -> miette::Result<()> {
    if let Some(path) = &settings.policy {
        // A policy that is wrong should be heard of before anything starts.
        policy::load(path)?;
    }
    let listeners = Listeners::bind(&settings)?;
    let (told, signals) = mpsc::unbounded();
    watch(SignalKind::terminate(), Told::Stop, &told)?;
    watch(SignalKind::interrupt(), Told::Stop, &told)?;
    watch(SignalKind::hangup(), Told::Reload, &told)?;
    log_start(&settings);
    run_on(listeners, settings, signals, surroundings, SystemClock::shared).await
}

/// The same on sockets that listen already, told by a channel. `clock` is called on
/// the event loop's thread.
///
/// # Errors
/// If the server cannot be started.
pub async fn run_on(
    listeners: Listeners,
    settings: Settings,
    signals: mpsc::UnboundedReceiver<Told>,
    surroundings: impl FnOnce(Rc<Pool>) -> Surroundings + Send + 'static,
    clock: impl FnOnce() -> Rc<dyn Clock> + Send + 'static,
) -> miette::Result<()> {
    let Listeners { front, ready, metrics: metrics_listener, peers } = listeners;
    let (exited, on_exit) = oneshot::channel();
    let (asked, questions) = mpsc::unbounded();
    let metrics = Registry::new();
    let shared = Arc::new(Shared::default());
    let connections = settings.connections;
    let setup = Setup {
        settings,
        surroundings: Box::new(surroundings),
        clock: Box::new(clock),
        peers,
        signals,
        questions,
        exited,
        metrics: metrics.clone(),
        shared: shared.clone(),
    };
    let setup = Arc::new(Mutex::new(Some(setup)));
    let config = http_config();
    let server = ntex::server::build()
        .workers(1)
        .maxconn(connections)
        .disable_signals()
        .shutdown_timeout(Seconds(1))
        .listen("front", front, async move |_| {
            let setup = setup.lock().ok().and_then(|mut setup| setup.take());
            let driver = start(setup.expect("the event loop is started once"));
            let memory = Rc::new(BodyMemory::default());
            HttpService::h1(move |req: Request| front::answer(driver.clone(), memory.clone(), req))
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
            let (metrics, asked) = (metrics.clone(), asked.clone());
            HttpService::h1(move |req: Request| {
                operators::answer(metrics.clone(), asked.clone(), req)
            })
        })
        .into_diagnostic()?
        .config("front", config.clone())
        .config("ready", config.clone())
        .config("metrics", config)
        .run();

    on_exit.await.map_err(|_| miette!("the event loop ended before it was told to stop"))?;
    if tokio::time::timeout(SHUTDOWN, server.stop(false)).await.is_err() {
        tracing::warn!(event = "shutdown_cut", limit_ms = SHUTDOWN.as_millis() as u64);
    }
    tracing::info!(event = "stopped");
    Ok(())
}

fn readiness(shared: &Shared, req: &Request) -> ntex::http::StatusCode {
    use ntex::http::StatusCode;
    match (req.path(), shared.is_ready.load(Ordering::Relaxed)) {
        ("/ready", true) => StatusCode::OK,
        ("/ready", false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    }
}

/// Starts the event loop on the current thread.
fn start(setup: Setup) -> Rc<Driver> {
    let Setup { settings, surroundings, clock, peers, signals, questions, exited, metrics, shared } =
        setup;
    let clock = clock();
    let pool = Pool::new(clock.clone());
    let machine = Relay::new(
        relay::Settings {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            retry_budget: settings.bound,
            min_instances: settings.instances,
            millicores: settings.strength,
        },
        rand::random(),
    );
    let driver = Driver::new(Parts {
        machine,
        clock,
        surroundings: surroundings(pool.clone()),
        settings,
        pool,
        metrics: Metrics::into_registry(&metrics),
        shared,
    });
    take_policy(&driver);
    for table in TABLES {
        ntex::rt::spawn(follow::run(driver.clone(), table));
    }
    ntex::rt::spawn(driver.clone().run_timer());
    driver.feed(|machine, now| machine.hold_for_peers(now + PEERS_WITHIN));
    ntex::rt::spawn(repair::announce(driver.clone()));
    ntex::rt::spawn(repair::run(driver.clone()));
    ntex::rt::spawn(peers::gossip::run(driver.clone()));
    ntex::rt::spawn(peers::learn::run(driver.clone()));
    ntex::rt::spawn(peers::serve(driver.clone(), into_tokio(peers)));
    ntex::rt::spawn(prune(driver.clone()));
    ntex::rt::spawn(operators::serve(driver.clone(), questions));
    ntex::rt::spawn(take_signals(driver.clone(), signals, exited));
    driver
}

async fn take_signals(
    driver: Rc<Driver>,
    mut signals: mpsc::UnboundedReceiver<Told>,
    exited: oneshot::Sender<()>,
) {
    while let Some(told) = signals.next().await {
        match told {
            Told::Reload => {
                tracing::info!(event = "reload");
                take_policy(&driver);
            }
            Told::Stop => break,
        }
    }
    let open = driver.look(Relay::open_exchanges);
    tracing::info!(event = "stopping", open);
    driver.stop();
    finish(&driver).await;
    driver.feed(Relay::end_all_exchanges);
    tokio::time::sleep(FLUSH).await;
    // The receiver waits for as long as the process runs.
    exited.send(()).ok();
}

/// Reads the operators' policy. One that cannot be used leaves the one before
/// in force.
fn take_policy(driver: &Rc<Driver>) {
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

/// Waits until nothing is held any more, or until the grace is nearly over.
async fn finish(driver: &Driver) {
    let started = driver.now();
    let last = driver.settings.grace.saturating_sub(EXIT_MARGIN);
    loop {
        let waited = driver.now() - started;
        let held = driver.look(|machine| machine.open_exchanges() + machine.open_tickets());
        if waited >= last || (held == 0 && waited >= LINGER) {
            tracing::info!(event = "finished", held, waited_ms = waited.as_millis() as u64);
            break;
        }
        tokio::time::sleep(FINISH_PAUSE).await;
    }
}

async fn prune(driver: Rc<Driver>) {
    loop {
        tokio::time::sleep(PRUNE_PAUSE).await;
        driver.pool.prune();
        let counts = driver.pool.counts();
        driver.metrics.gauge("relay.connections_opened", counts.opened);
        driver.metrics.gauge("relay.connections_reused", counts.reused);
        driver.metrics.gauge("relay.policy_errors", driver.look(Relay::policy_failures));
        driver.metrics.gauge("relay.log_lines_dropped", (driver.surroundings.lines_dropped)());
    }
}

fn watch(kind: SignalKind, told: Told, to: &mpsc::UnboundedSender<Told>) -> miette::Result<()> {
    let signals = signal(kind).into_diagnostic().wrap_err("signals cannot be taken")?;
    ntex::rt::spawn(forward(signals, told, to.clone()));
    Ok(())
}

async fn forward(mut signals: Signal, told: Told, to: mpsc::UnboundedSender<Told>) {
    while signals.recv().await.is_some() {
        // The event loop takes them for as long as the process runs.
        to.unbounded_send(told).ok();
    }
}

fn bind(what: &str, addr: SocketAddr) -> miette::Result<TcpListener> {
    TcpListener::bind(addr).map_err(|error| {
        miette!(
            help = "stop what listens there, or give another address",
            "cannot listen for {what} on {addr}: {error}"
        )
    })
}

fn into_tokio(listener: TcpListener) -> tokio::net::TcpListener {
    listener.set_nonblocking(true).expect("a listening socket takes the flag");
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

fn http_config() -> SharedCfg {
    let config = HttpServiceConfig::new()
        .set_max_buf_size(MAX_HEAD)
        .set_keepalive(Seconds(IDLE))
        .set_client_timeout(READ_TIMEOUT)
        .set_payload_read_rate(READ_TIMEOUT, BODY_TIMEOUT, MIN_RATE);
    SharedCfg::new("peatdeck-relay").add(config).build()
}
