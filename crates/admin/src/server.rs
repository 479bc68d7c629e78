//! The HTTP server. SIGTERM ends it once the requests it holds are answered.

use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
};

use ntex::{
    SharedCfg, http,
    server::Server,
    time::Seconds,
    web::{self, App},
};

use crate::{context::Context, routes, settings::Settings};

/// Time for the requests in progress when the process is told to stop. Longer
/// than the longest operation.
const STOP_TIMEOUT: Seconds = Seconds(30);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Seconds = Seconds(30);
/// How long a client may take to send its headers.
const HEADER_TIMEOUT: Seconds = Seconds(5);
/// Bytes a second that a client must send headers or a body with.
const MIN_RATE: u32 = 256;
/// Connections held at once.
const MAX_CONNECTIONS: usize = 1024;

/// Starts to serve on `listener`. The result ends when the server has stopped.
///
/// # Errors
/// If the server cannot be started.
pub fn start(listener: TcpListener, settings: Settings) -> std::io::Result<Server> {
    let factory = async move || {
        let ctx = Context::new(&settings).await.expect("the metrics socket was tried at the start");
        App::new()
            .state(Rc::new(ctx))
            .configure(routes::configure)
            .default_service(web::route().to(routes::no_route))
    };
    let http = http::HttpServiceConfig::new()
        .set_keepalive(http::KeepAlive::Timeout(IDLE_TIMEOUT))
        .set_headers_read_rate(HEADER_TIMEOUT, HEADER_TIMEOUT, MIN_RATE);
    let server = web::server(factory)
        .workers(1)
        .maxconn(MAX_CONNECTIONS)
        .shutdown_timeout(STOP_TIMEOUT)
        .config(SharedCfg::new("peatdeck-admin").add(http))
        .listen(listener)?
        .run();
    Ok(server)
}

/// Binds the address to listen on.
///
/// # Errors
/// If the address cannot be had.
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(addr)
}
