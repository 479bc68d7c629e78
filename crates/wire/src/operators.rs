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
