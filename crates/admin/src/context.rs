//! What the operations work with, passed to each explicitly.

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

/// Time to make a connection to the platform or to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a policy's source compiles.
pub type Compile = fn(&str) -> Result<(), String>;

/// What the operations work with.
pub struct Context {
    /// The operators' token.
    pub token: Token,
    /// How long things may take.
    pub timeouts: Timeouts,
    /// Whether a policy's source compiles.
    pub compile: Compile,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The platform's log.
    pub log: log::Client,
    /// The platform's list.
    pub list: list::Client,
    /// A client for the instances' status.
    pub http: client::Client,
    /// What the configuration stream says.
    pub reader: Reader,
    /// Counters.
    pub metrics: Metrics,
}

impl std::fmt::Debug for Context {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context").finish_non_exhaustive()
    }
}

/// How long things may take.
#[data]
#[derive(Copy)]
pub struct Timeouts {
    /// One append.
    pub append: Duration,
    /// Reading a record back, appends included.
    pub confirm: Duration,
    /// Waiting for the instances to have a version in force.
    pub in_force: Duration,
    /// One instance's status.
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
    /// Connects nothing yet; the first operation does.
    ///
    /// # Errors
    /// If ntex cannot build its connector or no metrics socket can be had.
    pub async fn new(settings: &Settings) -> std::io::Result<Context> {
        let http = http::client(CONNECT_TIMEOUT).await.map_err(std::io::Error::other)?;
        let log = log::Client::new(http.clone(), settings.log.clone());
        let metrics = match settings.statsd {
            Some(addr) => Metrics::to(addr)?,
            None => Metrics::off(),
        };
        Ok(Context {
            token: Token::new(&settings.token),
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
