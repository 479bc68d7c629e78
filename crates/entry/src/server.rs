//! Binds the addresses, starts the event loop and shuts it down.
//!
//! ntex runs its accept loop and its single worker on separate threads. The
//! worker's thread runs the event loop: everything but accepting connections
//! and handling signals runs there, so nothing needs a lock.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::{
    StreamExt,
    channel::{mpsc, oneshot},
};
use miette::{IntoDiagnostic, WrapErr, miette};
use ntex::{
    http::HttpServiceConfig,
    io::IoConfig,
    service::cfg::SharedCfg,
    time::Seconds,
    web::{self, App},
};
use peatdeck_client::{endpoint, http, list, log};
use peatdeck_core::{
    instance::{Instance, input::Input},
    trace::{Header, VERSION},
};
use peatdeck_util::{clock::SystemClock, metrics::Metrics};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{
    driver::{Clients, Driver},
    flush::FlushTracker,
    peers, platform_tasks, report, routes,
    settings::{Limits, Settings},
    timer,
    trace::Trace,
};

/// Time in which the last responses must be written during shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that ntex has to close its connections.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(2);
/// Minimum rate of a request body in bytes per second; a slower one counts as
/// stalled.
const MIN_BODY_RATE: u32 = 256;
/// Maximum time for a whole body, as a multiple of the idle timeout.
const MAX_BODY_TIMEOUTS: u16 = 4;

/// Input for starting the event loop. It is consumed by the first start: a
/// second start would run under the incarnation of the first.
struct Setup {
    settings: Settings,
    peers: TcpListener,
    stops: mpsc::UnboundedReceiver<()>,
    exited: oneshot::Sender<()>,
}

/// Runs an entry instance until it has received a stop signal and finished its
/// active requests.
///
/// # Errors
/// If an address cannot be bound, a signal handler cannot be installed, the
/// addresses cannot be written to standard output, or the event loop ends early.
pub async fn run(settings: Settings) -> miette::Result<()> {
    let listener = bind("--listen", settings.listen)?;
    let peers = bind("--peer-listen", settings.peer_listen)?;
    let stops = watch_signals()?;
    print_addresses(&listener, &peers).into_diagnostic()?;

    let limits = settings.limits.clone();
    let (exited, on_exit) = oneshot::channel();
    let setup = Setup { settings, peers, stops, exited };
    let setup = Arc::new(Mutex::new(Some(setup)));
    let server = web::server(async move || {
        let setup = setup.lock().ok().and_then(|mut setup| setup.take());
        let app = start(setup.expect("the event loop is started once")).await;
        App::new()
            .state(app)
            .configure(routes::configure)
            .default_service(web::to(routes::not_found))
    })
    .workers(1)
    .maxconn(limits.connections)
    .config(http_config(&limits))
    .shutdown_timeout(SHUTDOWN_TIMEOUT)
    .disable_signals()
    .listen(listener)
    .into_diagnostic()?
    .run();

    on_exit.await.map_err(|_| miette!("the event loop ended without a stop signal"))?;
    server.stop(true).await;
    Ok(())
}

/// Starts the event loop on the current thread.
async fn start(setup: Setup) -> routes::App {
    let Setup { settings, peers, stops, exited } = setup;
    let driver = create_driver(&settings).await;
    let flush = Rc::new(FlushTracker::default());
    ntex::rt::spawn(timer::run(driver.clone()));
    ntex::rt::spawn(platform_tasks::read_config(driver.clone()));
    ntex::rt::spawn(platform_tasks::read_claims(driver.clone()));
    ntex::rt::spawn(platform_tasks::read_list(driver.clone()));
    ntex::rt::spawn(peers::serve(driver.clone(), into_tokio(peers)));
    ntex::rt::spawn(feed_stops(driver.clone(), stops));
    ntex::rt::spawn(finish(driver.clone(), flush.clone(), exited));
    if let Some(addr) = settings.statsd {
        start_metrics(&driver, addr);
    }
    let identity = Rc::new(settings.identity);
    routes::App { driver, identity, flush, max_body: settings.limits.body }
}

async fn create_driver(settings: &Settings) -> Rc<Driver> {
    let http = http::client(settings.connect_timeout)
        .await
        .expect("building a client without TLS cannot fail");
    let clients = Clients {
        log: log::Client::new(http.clone(), settings.log.clone()),
        list: list::Client::new(http.clone(), settings.list.clone()),
        endpoints: endpoint::Client::new(http),
    };
    let seed = rand::random();
    let trace = start_trace(settings, seed);
    let machine = Instance::new(settings.identity.clone(), settings.instance.clone(), seed);
    Driver::new(machine, trace, Rc::new(SystemClock::new()), clients)
}

fn start_trace(settings: &Settings, seed: u64) -> Trace {
    let Some(options) = &settings.trace else { return Trace::default() };
    let header = Header {
        peatdeck_inputs: VERSION,
        content: options.content,
        identity: settings.identity.clone(),
        settings: settings.instance.clone(),
        seed,
    };
    Trace::start(options, &header)
}

/// Waits until the state machine has finished and the last responses are written.
async fn finish(driver: Rc<Driver>, flush: Rc<FlushTracker>, exited: oneshot::Sender<()>) {
    driver.exited().await;
    if !flush.wait(FLUSH_TIMEOUT).await {
        tracing::warn!("some responses could not be written before the timeout");
    }
    driver.close();
    tracing::info!("stopped");
    exited.send(()).ok();
}

async fn feed_stops(driver: Rc<Driver>, mut stops: mpsc::UnboundedReceiver<()>) {
    while stops.next().await.is_some() {
        tracing::info!("received a stop signal");
        driver.feed(Input::Stop);
    }
}

/// Handles SIGTERM and SIGINT and returns a channel that gets a message for
/// each. A signal that arrives while the event loop starts is not lost.
fn watch_signals() -> miette::Result<mpsc::UnboundedReceiver<()>> {
    let (tx, rx) = mpsc::unbounded();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let signals = signal(kind).into_diagnostic().wrap_err("cannot install a signal handler")?;
        ntex::rt::spawn(forward(signals, tx.clone()));
    }
    Ok(rx)
}

async fn forward(mut signals: Signal, stops: mpsc::UnboundedSender<()>) {
    while signals.recv().await.is_some() {
        stops.unbounded_send(()).ok();
    }
}

fn bind(flag: &str, addr: SocketAddr) -> miette::Result<TcpListener> {
    TcpListener::bind(addr).map_err(|error| {
        miette!(
            help = "stop what listens there, or give another address",
            "{flag}: cannot listen on {addr}: {error}"
        )
    })
}

fn into_tokio(listener: TcpListener) -> tokio::net::TcpListener {
    listener.set_nonblocking(true).expect("a listening socket can be made non-blocking");
    tokio::net::TcpListener::from_std(listener).expect("the event loop runs on this thread")
}

fn start_metrics(driver: &Rc<Driver>, addr: SocketAddr) {
    match Metrics::to(addr) {
        Ok(metrics) => {
            ntex::rt::spawn(report::send_metrics(driver.clone(), metrics));
        }
        Err(error) => {
            tracing::warn!(%addr, %error, "metrics are disabled: cannot open a UDP socket")
        }
    }
}

/// Prints the addresses that the instance listens on to standard output.
fn print_addresses(callers: &TcpListener, peers: &TcpListener) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "listening {}", callers.local_addr()?)?;
    writeln!(out, "peers {}", peers.local_addr()?)?;
    out.flush()
}

fn http_config(limits: &Limits) -> SharedCfg {
    let idle = u16::try_from(limits.idle.as_secs()).unwrap_or(u16::MAX);
    let config = HttpServiceConfig::new()
        .set_max_buf_size(limits.header)
        .set_keepalive(Seconds(idle))
        .set_client_timeout(Seconds(idle))
        .set_payload_read_rate(
            Seconds(idle),
            Seconds(idle.saturating_mul(MAX_BODY_TIMEOUTS)),
            MIN_BODY_RATE,
        );
    // Once this has passed, the library drops what a closing connection still has to write.
    let io = IoConfig::new().set_disconnect_timeout(Seconds(idle));
    SharedCfg::new("peatdeck-entry").add(config).add(io).build()
}
