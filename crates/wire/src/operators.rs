//! Interface of relay instances for operators at the metrics address, JSON over HTTP.

use std::sync::Arc;

use peatdeck_macros::message;

/// Path of the list of quarantined contents. `DELETE` on the path below it that ends
/// in a content's fingerprint releases that content.
pub const QUARANTINE: &str = "/quarantine";

/// Path of the list of evacuated data centres.
pub const EVACUATIONS: &str = "/evacuations";

/// An evacuated data centre, whose endpoints get no new work, as seen by an instance.
#[message]
pub struct EvacuatedDataCentre {
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Number of its endpoints that would otherwise accept new work.
    pub endpoints: usize,
}

/// Path of the list of terms that endpoints have announced.
pub const TERMS: &str = "/terms";

/// The terms that an endpoint has announced, as received by an instance.
#[message]
pub struct EndpointTerms {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Service of the endpoint.
    pub service: Arc<str>,
    /// Calls per second that the endpoint accepts from all instances together; `None`
    /// if it has announced no limit.
    pub limit: Option<f64>,
    /// Remaining time of the hold that the endpoint asked this instance for, in
    /// milliseconds.
    pub rest_ms: u64,
    /// Whether the endpoint has announced that it is leaving.
    pub is_leaving: bool,
}

/// A quarantined content: endpoints crashed while they processed it.
#[message]
pub struct QuarantinedContent {
    /// Fingerprint of the content.
    pub content: Arc<str>,
    /// Number of endpoints that crashed while they processed it.
    pub crashes: u32,
    /// Time since this instance quarantined the content, in milliseconds.
    pub held_ms: u64,
    /// Time until the quarantine ends if no more requests with the content arrive, in
    /// milliseconds.
    pub left_ms: u64,
    /// Number of requests that this instance refused because of it.
    pub refused: u64,
}

/// Path of the list of rollouts.
pub const ROLLOUTS: &str = "/rollouts";

/// The last rollout of a service, as seen by an instance.
#[message]
pub struct RolloutOverview {
    /// Service of the endpoints.
    pub service: Arc<str>,
    /// The version that was ordered.
    pub version: Arc<str>,
    /// `ordered` before the instance has a state, then `active`, `completed` or `rolled_back`.
    pub state: Arc<str>,
    /// `canary` or `shifting` while it is active, otherwise empty.
    pub phase: Arc<str>,
    /// Time since the order was first seen, in milliseconds.
    pub age_ms: u64,
    /// How long the rollout may take, in milliseconds.
    pub duration_ms: u64,
    /// The version in force besides the ordered one; `None` if no state is known.
    pub baseline: Option<Arc<str>>,
    /// The instance that wrote the state.
    pub by: Option<Arc<str>>,
    /// Why that instance decided so.
    pub reason: Option<Arc<str>>,
    /// Why this instance sends the ordered version nothing more, if it does not.
    pub halt: Option<Arc<str>>,
    /// Number of instances whose replies are counted in `routes`: all at the instance that
    /// decides, at the others only their own.
    pub instances: usize,
    /// The counts of replies by route.
    pub routes: Vec<RouteEvidence>,
}

/// Counts of replies to requests of one route during a rollout.
#[message]
pub struct RouteEvidence {
    /// The route, or the route and stage.
    pub route: Arc<str>,
    /// Replies of the version in force.
    pub stable: ReplyCounts,
    /// Replies of the ordered version.
    pub canary: ReplyCounts,
}

/// Counts of replies.
#[message]
#[derive(Copy, Default)]
pub struct ReplyCounts {
    /// Replies in time that are no failures.
    pub good: u64,
    /// Failures.
    pub failed: u64,
    /// Replies that were much slower than usual.
    pub slow: u64,
}
