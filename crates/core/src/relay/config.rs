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
    pub body: usize,
    /// How long a connection may be idle.
    pub idle: Duration,
}

/// What a request to a route may do.
#[id]
#[derive(Copy)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    Once,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream that another endpoint can go on with behind an event.
    Resumable,
}

impl Kind {
    /// Whether running it again does no harm.
    pub fn may_repeat(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::Resumable)
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
    pub kind: Kind,
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
    pub pause: Option<Duration>,
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
    /// Milliseconds that so many tokens take.
    pub fn millis(&self, tokens: u64) -> f64 {
        tokens as f64 * self.token_bytes / self.rate
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

impl Config {
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
        let mut point = (u64::from(spread) * total) >> u32::BITS;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        self.targets.last().map(|target| &target.service)
    }
}
