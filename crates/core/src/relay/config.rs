//! The relay's configuration: routes, services, teams.

use std::{collections::HashMap, sync::Arc, time::Duration};

use peatdeck_macros::{data, id};

use crate::{
    model::TeamName,
    relay::{model::ServiceName, region::RegionName},
};

/// One version of the configuration.
#[data]
pub struct Config {
    /// Its number. A larger one is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Each team by each of its keys; `None` if callers need no key.
    pub keys: Option<HashMap<Arc<str>, Team>>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

/// The team that a key belongs to.
#[data]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Priority that overrides the route's, 0 first; `None` for the route's.
    pub priority: Option<u8>,
    /// The only regions where its requests may be served, cached and stored; `None` for all.
    pub allowed_regions: Option<Arc<[RegionName]>>,
}

/// Limits on callers' requests and connections.
#[data]
#[derive(Copy)]
pub struct Limits {
    /// The largest body, in bytes.
    pub max_body: usize,
    /// How long a caller's connection may be idle.
    pub idle_timeout: Duration,
}

/// How often the requests of a route may run, and how they are answered.
#[id]
#[derive(Copy)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream that another endpoint can resume after an event.
    Resumable,
}

impl RequestKind {
    /// Whether running a request again does no harm.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::Resumable)
    }

    /// Whether the answer is a stream that another endpoint can resume.
    pub fn is_resumable(self) -> bool {
        matches!(self, RequestKind::Resumable)
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
    /// The host of its requests.
    pub host: Arc<str>,
    /// The prefix of its requests' paths; ends with a slash.
    pub prefix: Arc<str>,
    /// The services that its requests are distributed to, by weight.
    pub targets: Vec<Target>,
    /// How often its requests may run, and how they are answered.
    pub kind: RequestKind,
    /// The longest time until a request is answered or refused.
    pub timeout: Duration,
    /// The target time for an answer.
    pub objective: Duration,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Priority, 0 first.
    pub priority: u8,
    /// Whether no key is needed.
    pub is_public: bool,
    /// The only regions where its requests may be served, cached and stored; `None` for all.
    pub allowed_regions: Option<Arc<[RegionName]>>,
    /// Stages that run before the call.
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

/// A stage: work in pieces that runs before a route's call.
#[data]
pub struct Stage {
    /// The service that runs its pieces.
    pub service: ServiceName,
    /// The positions of the stages whose results are its inputs.
    pub after: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub bytes: u64,
}

/// The properties of a service's endpoints.
#[data]
pub struct Service {
    /// Connections that one endpoint accepts from all instances together.
    pub connections: u32,
    /// Properties of its engines; `None` if its endpoints do not generate.
    pub engine: Option<Engine>,
    /// How its endpoints run pieces; `None` if they do not.
    pub pieces: Option<Pieces>,
    /// The least time between two calls, from all instances together, to an endpoint that
    /// is cold; `None` if a cold endpoint accepts as many calls as a warm one.
    pub cold_interval: Option<Duration>,
}

/// The properties of a service's engines.
#[data]
#[derive(Copy)]
pub struct Engine {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Memory for prompts and generated tokens, in tokens.
    pub memory: u64,
    /// The longest gap between two events of a stream that meets the objective of every
    /// route; `None` if none is configured.
    pub max_gap: Option<Duration>,
    /// How an engine fetches what another one has prefilled; `None` if engines cannot.
    pub transfer: Option<Transfer>,
}

/// The cost of fetching prefilled tokens from another engine.
#[data]
#[derive(Copy)]
pub struct Transfer {
    /// Bytes to transfer for one token.
    pub token_bytes: f64,
    /// Bytes per millisecond between two engines.
    pub rate: f64,
}

impl Transfer {
    /// The milliseconds that a transfer of `tokens` takes; at most those of [`MAX_TIME`].
    pub fn millis(&self, tokens: u64) -> f64 {
        let millis = tokens as f64 * self.token_bytes / self.rate;
        millis.min(MAX_TIME.as_secs_f64() * 1000.0)
    }
}

/// How an endpoint runs pieces.
#[data]
#[derive(Copy)]
pub struct Pieces {
    /// Calls that run concurrently.
    pub slots: u32,
    /// Calls that the endpoint queues besides.
    pub queue: u32,
    /// The most pieces in one call.
    pub batch: u32,
    /// The time that a call takes regardless of its pieces.
    pub call_time: Duration,
    /// The approximate time that each piece adds to its call.
    pub piece_time: Duration,
    /// Memory for results, in bytes.
    pub room: u64,
    /// How long the endpoint keeps a result that is not freed.
    pub lease: Duration,
}

/// Why a configuration cannot be used. All instances read the same configuration: if they
/// applied an invalid one, each of them would crash, and again after each restart.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// A stage depends on one that does not exist, or on itself, directly or not.
    #[error(
        "stage {stage} of route {route} depends on a stage that does not exist or on itself; \
             name earlier stages"
    )]
    Stage {
        /// The route.
        route: Arc<str>,
        /// The stage's position.
        stage: usize,
    },
    /// A time is longer than [`MAX_TIME`].
    #[error("a time of {what} is longer than a day; set a shorter one")]
    Time {
        /// The route or service.
        what: Arc<str>,
    },
    /// A size is larger than [`MAX_SIZE`].
    #[error("a size of {what} is larger than a terabyte; set a smaller one")]
    Size {
        /// The route or service.
        what: Arc<str>,
    },
    /// The largest number of pieces in a call is zero.
    #[error("service {service} allows no pieces in a call; allow one or more")]
    Batch {
        /// The service.
        service: ServiceName,
    },
}

/// The longest time in a configuration: sums of a few such times cannot overflow a number
/// of nanoseconds.
pub const MAX_TIME: Duration = Duration::from_secs(24 * 3600);

/// The largest size in a configuration, in bytes, also to prevent overflows.
pub const MAX_SIZE: u64 = 1 << 40;

impl Config {
    /// Checks that the configuration can be used.
    ///
    /// # Errors
    /// The first [`ConfigError`] found.
    pub fn check(&self) -> Result<(), ConfigError> {
        for route in &self.routes {
            route.check()?;
        }
        for (name, service) in &self.services {
            service.check(name)?;
        }
        check_time(&Arc::from("the limits"), &[self.limits.idle_timeout])
    }

    /// The route of a request: among the routes of its host, the one with the longest
    /// prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let matching = self.routes.iter().filter(|route| route.matches(host, path));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// The team that a key belongs to; `None` if the key is unknown or callers need none.
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

    /// The service for a request, chosen by weight. `spread` should be uniformly
    /// distributed over `u32`.
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
        // Orders the stages topologically: first those that depend on none, then those
        // that depend only on these, and so on.
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
        let max_gap = self.engine.and_then(|engine| engine.max_gap).unwrap_or_default();
        check_time(name, &[max_gap, self.cold_interval.unwrap_or_default()])?;
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
