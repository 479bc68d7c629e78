//! The dependencies of the operations, passed to each operation explicitly.

use std::{rc::Rc, time::Duration};

use ntex::client;
use peatdeck_client::{http, list, log};
use peatdeck_core::check;
use peatdeck_macros::data;
use peatdeck_util::{
    clock::{Clock, SystemClock},
    metrics::Metrics,
};

use crate::{auth::Token, reader::Reader, settings::Settings};

/// Timeout for connecting to the platform or to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Compiles the source of a policy, to check it.
///
/// The error is the compiler's message.
pub type Compile = fn(&str) -> Result<(), String>;

/// The dependencies of the operations.
pub struct Context {
    /// The operators' token.
    pub token: Token,
    /// Time limits of the operations.
    pub timeouts: Timeouts,
    /// Compiles the source of a policy, to check it.
    pub compile: Compile,
    /// The monotonic clock for the time limits.
    pub clock: Rc<dyn Clock>,
    /// Client of the platform's log.
    pub log: log::Client,
    /// Client of the platform's list.
    pub list: list::Client,
    /// HTTP client that requests the status of instances.
    pub http: client::Client,
    /// Reader of the configuration stream.
    pub reader: Reader,
    /// Metrics of this process.
    pub metrics: Metrics,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context").finish_non_exhaustive()
    }
}

/// Time limits of the operations.
#[data]
#[derive(Copy)]
pub struct Timeouts {
    /// For one append to the log.
    pub append: Duration,
    /// For appending a record and reading it back, repeated appends included.
    pub confirm: Duration,
    /// For waiting until the instances have a version in force.
    pub in_force: Duration,
    /// For requesting the status of one instance.
    pub status: Duration,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            append: Duration::from_secs(2),
            confirm: Duration::from_secs(6),
            in_force: Duration::from_secs(8),
            status: Duration::from_secs(1),
        }
    }
}

impl Context {
    /// Creates the context without connecting; the first operation connects.
    ///
    /// # Errors
    /// If ntex cannot build its connector or the metrics socket cannot be created.
    pub async fn new(settings: &Settings) -> std::io::Result<Context> {
        let http = http::client(CONNECT_TIMEOUT).await.map_err(std::io::Error::other)?;
        let log = log::Client::new(http.clone(), settings.log.clone());
        let metrics = match settings.statsd {
            Some(addr) => Metrics::to(addr)?,
            None => Metrics::off(),
        };
        Ok(Context {
            token: Token::new(settings.token.expose()),
            timeouts: settings.timeouts,
            compile: check::compile,
            clock: Rc::new(SystemClock::new()),
            list: list::Client::new(http.clone(), settings.list.clone()),
            reader: Reader::new(log.clone()),
            log,
            http,
            metrics,
        })
    }
}
