//! The HTTP server. On SIGTERM it completes the active requests and stops.

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

/// Time for active requests to complete after SIGTERM. It exceeds the longest
/// operation.
const STOP_TIMEOUT: Seconds = Seconds(30);
/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Seconds = Seconds(30);
/// Time for a client to send the headers of a request.
const HEADER_TIMEOUT: Seconds = Seconds(5);
/// Minimum rate at which a client must send headers, in bytes per second.
const MIN_RATE: u32 = 256;
/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 1024;

/// Starts serving on `listener`. The returned future completes when the server
/// has stopped.
///
/// # Errors
/// If the listener cannot be registered with the server.
pub fn start(listener: TcpListener, settings: Settings) -> std::io::Result<Server> {
    let factory = async move || {
        let ctx = Context::new(&settings)
            .await
            .expect("the HTTP client and the metrics socket can be created");
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
/// If the address cannot be bound, for instance because it is in use.
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(addr)
}
