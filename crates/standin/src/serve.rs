//! Binds the address of a stand-in and serves it.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::Arc,
};

use ntex::web::{self, App, HttpServer, types};

use crate::{cli::Role, endpoint::Endpoint, engine, list, log, service};

/// Largest request body accepted, in bytes.
const MAX_BODY: usize = 16 << 20;
/// How long a shutdown waits for open connections.
const STOP_GRACE: ntex::time::Seconds = ntex::time::Seconds(1);

/// A stand-in that could not start or run.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The address could not be bound.
    #[error("could not listen on {addr}: {source}; give another address with --listen")]
    Bind {
        /// Address from the command line.
        addr: SocketAddr,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The server failed.
    #[error("the server failed: {0}; start the stand-in again")]
    Server(#[from] io::Error),
}

/// Binds, prints `listening IP:PORT`, and serves until the process gets a signal.
///
/// # Errors
/// If the address cannot be bound, or if the server fails.
pub async fn run(role: Role) -> Result<(), ServeError> {
    let addr = role.listen();
    let listener = TcpListener::bind(addr).map_err(|source| ServeError::Bind { addr, source })?;
    announce(&listener)?;
    let setup = setup(role);
    // With one worker, all requests share the one state of the role.
    HttpServer::new(async move || App::new().state(json_config()).configure(setup.clone()))
        .workers(1)
        .listen(listener)?
        .shutdown_timeout(STOP_GRACE)
        .run()
        .await?;
    Ok(())
}

fn announce(listener: &TcpListener) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "listening {}", listener.local_addr()?)?;
    out.flush()
}

fn json_config() -> types::JsonConfig {
    types::JsonConfig::default().limit(MAX_BODY)
}

type Setup = Arc<dyn Fn(&mut web::ServiceConfig) + Send + Sync>;

fn setup(role: Role) -> impl Fn(&mut web::ServiceConfig) + Clone + Send + 'static {
    let setup = role_setup(role);
    move |cfg| setup(cfg)
}

fn role_setup(role: Role) -> Setup {
    match role {
        Role::Log { settings, .. } => {
            let log = log::Log::new(&settings);
            Arc::new(move |cfg| log::configure(cfg, log.clone()))
        }
        Role::List { settings, .. } => {
            let list = list::List::new(settings);
            Arc::new(move |cfg| list::configure(cfg, list.clone()))
        }
        Role::Engine { settings, .. } => {
            let endpoint = Endpoint::new(settings);
            Arc::new(move |cfg| engine::configure(cfg, endpoint.clone()))
        }
        Role::Service { settings, .. } => {
            let endpoint = Endpoint::new(settings);
            Arc::new(move |cfg| service::configure(cfg, endpoint.clone()))
        }
    }
}
