//! The relay's configuration: routes, services, teams.

use std::{collections::HashMap, sync::Arc, time::Duration};

use peatdeck_macros::{data, id};

use crate::{model::TeamName, relay::model::ServiceName};

/// One version of the configuration.
#[data]
pub struct Config {
    /// Its number; larger is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Teams by each of their keys. `None` if callers need no key.
    pub keys: Option<HashMap<Arc<str>, Team>>,
    /// Bounds on what a caller may send.
    pub limits: Limits,
}

/// A team, as a key leads to it.
#[data]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Urgency that goes before the route's, 0 first.
    pub priority: Option<u8>,
}

/// Bounds on what a caller may send.
#[data]
#[derive(Copy)]
pub struct Limits {
    /// Bytes of a body.
    pub max_body: usize,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// What a request to a route may do.
#[id]
#[derive(Copy)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream that another endpoint can go on with behind an event.
    Resumable,
}

impl RequestKind {
    /// Whether running it again does no harm.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream | RequestKind::Resumable)
    }
}

/// A route: which requests go to which service, and how.
#[data]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that it is for.
    pub host: Arc<str>,
    /// The start of the paths that it is for; ends with a slash.
    pub prefix: Arc<str>,
    /// Services that share its requests, by weight.
    pub targets: Vec<Target>,
    /// What its requests may do.
    pub kind: RequestKind,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is in good time.
    pub objective: Duration,
    /// Endpoints that one request may be sent to at the most.
    pub max_attempts: u32,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Whether no key is needed.
    pub is_public: bool,
    /// Work that is done before the call.
    pub stages: Vec<Stage>,
}

/// A service's share of a route.
#[data]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its weight.
    pub weight: u32,
}

/// Work that is done before a route's call, in pieces.
#[data]
pub struct Stage {
    /// The service that does it.
    pub service: ServiceName,
    /// The stages whose results it takes in, by position.
    pub after: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub bytes: u64,
}

/// What is known of a service's endpoints.
#[data]
pub struct Service {
    /// Connections that one endpoint accepts from all callers together.
    pub connections: u32,
    /// Its engines, if they generate.
    pub engine: Option<Engine>,
    /// How its endpoints make pieces, if they do.
    pub pieces: Option<Pieces>,
    /// Time between two calls, of all instances together, that an endpoint bears
    /// while it is cold; `None` if it bears as many as it does when warm.
    pub cold_interval: Option<Duration>,
}

/// What is known of a service's engines.
#[data]
#[derive(Copy)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory: u64,
    /// The longest pause within a stream that is in good time for all routes.
    pub max_gap: Option<Duration>,
    /// How one fetches what another one has read; `None` if they cannot.
    pub transfer: Option<Transfer>,
}

/// How engines fetch from each other what they have read.
#[data]
#[derive(Copy)]
pub struct Transfer {
    /// Bytes of one token.
    pub token_bytes: f64,
    /// Bytes that go from one engine to another in a millisecond.
    pub rate: f64,
}

impl Transfer {
    /// Milliseconds that so many tokens take; those of a day at the most.
    pub fn millis(&self, tokens: u64) -> f64 {
        let millis = tokens as f64 * self.token_bytes / self.rate;
        millis.min(MAX_TIME.as_secs_f64() * 1000.0)
    }
}

/// How an endpoint makes pieces.
#[data]
#[derive(Copy)]
pub struct Pieces {
    /// Calls in progress at the same time.
    pub slots: u32,
    /// Calls that may wait.
    pub queue: u32,
    /// Pieces of one call at the most.
    pub batch: u32,
    /// Time of a call.
    pub call_time: Duration,
    /// Approximate time of a piece, on top of the call's.
    pub piece_time: Duration,
    /// Room for results, in bytes.
    pub room: u64,
    /// How long a result lasts if it is not freed.
    pub lease: Duration,
}

/// Why a configuration cannot be used. Everybody reads the same one: an instance that
/// took it in would end, and again with each start.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// A stage waits for one that there is not, or for itself.
    #[error("stage {stage} of route {route} waits for what never comes; name earlier stages")]
    Stage {
        /// The route.
        route: Arc<str>,
        /// The stage's position.
        stage: usize,
    },
    /// A time is longer than [`MAX_TIME`].
    #[error("a time of {what} is longer than a day; give a shorter one")]
    Time {
        /// The route or service.
        what: Arc<str>,
    },
    /// A size is larger than [`MAX_SIZE`].
    #[error("a size of {what} is larger than a terabyte; give a smaller one")]
    Size {
        /// The route or service.
        what: Arc<str>,
    },
    /// A call for pieces has none.
    #[error("service {service} takes no pieces in a call; give one or more")]
    Batch {
        /// The service.
        service: ServiceName,
    },
}

/// No time of a configuration is longer: sums of a few of them stay far from what a
/// number of nanoseconds can say.
pub const MAX_TIME: Duration = Duration::from_secs(24 * 3600);

/// No size of a configuration is larger, in bytes, for the same reason.
pub const MAX_SIZE: u64 = 1 << 40;

impl Config {
    /// Whether it can be used.
    ///
    /// # Errors
    /// The first [`ConfigError`].
    pub fn check(&self) -> Result<(), ConfigError> {
        for route in &self.routes {
            route.check()?;
        }
        for (name, service) in &self.services {
            service.check(name)?;
        }
        check_time(&Arc::from("the limits"), &[self.limits.idle_timeout])
    }

    /// The route of a request: of the routes of its host the one with the
    /// longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let matching = self.routes.iter().filter(|route| route.matches(host, path));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// The team that a key belongs to.
    pub fn team(&self, key: Option<&str>) -> Option<&Team> {
        self.keys.as_ref()?.get(key?)
    }

    /// Whether callers need a key.
    pub fn needs_key(&self) -> bool {
        self.keys.is_some()
    }
}

impl Route {
    fn matches(&self, host: &str, path: &str) -> bool {
        self.host.eq_ignore_ascii_case(host) && path.starts_with(&*self.prefix)
    }

    /// The service for a request, by a number that is evenly spread over all
    /// of `u32`.
    pub fn target(&self, spread: u32) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = (u128::from(spread) * u128::from(total)) >> u32::BITS;
        for target in &self.targets {
            let weight = u128::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        self.targets.last().map(|target| &target.service)
    }
}

impl Route {
    fn check(&self) -> Result<(), ConfigError> {
        // Stages that wait for nothing are done first, then those that waited for them.
        let mut done: Vec<usize> = Vec::new();
        loop {
            let open = (0..self.stages.len()).filter(|stage| !done.contains(stage));
            let is_next =
                |stage: &usize| self.stages[*stage].after.iter().all(|it| done.contains(it));
            let (next, stuck): (Vec<_>, Vec<_>) = open.partition(is_next);
            match (next.is_empty(), stuck.first()) {
                (true, Some(stage)) => {
                    return Err(ConfigError::Stage { route: self.name.clone(), stage: *stage });
                }
                (true, None) => break,
                (false, _) => done.extend(next),
            }
        }
        let sizes: Vec<_> = self.stages.iter().map(|stage| stage.bytes).collect();
        check_size(&self.name, &sizes)?;
        check_time(&self.name, &[self.timeout, self.objective])
    }
}

impl Service {
    fn check(&self, name: &ServiceName) -> Result<(), ConfigError> {
        let pause = self.engine.and_then(|engine| engine.max_gap).unwrap_or_default();
        check_time(name, &[pause, self.cold_interval.unwrap_or_default()])?;
        let Some(pieces) = &self.pieces else { return Ok(()) };
        if pieces.batch == 0 {
            return Err(ConfigError::Batch { service: name.clone() });
        }
        check_size(name, &[pieces.room])?;
        check_time(name, &[pieces.call_time, pieces.piece_time, pieces.lease])
    }
}

fn check_size(what: &Arc<str>, sizes: &[u64]) -> Result<(), ConfigError> {
    match sizes.iter().all(|size| *size <= MAX_SIZE) {
        true => Ok(()),
        false => Err(ConfigError::Size { what: what.clone() }),
    }
}

fn check_time(what: &Arc<str>, times: &[Duration]) -> Result<(), ConfigError> {
    match times.iter().all(|time| *time <= MAX_TIME) {
        true => Ok(()),
        false => Err(ConfigError::Time { what: what.clone() }),
    }
}
