//! What a relay instance answers operators at its metrics address, JSON over HTTP.

use std::sync::Arc;

use peatdeck_macros::message;

/// The path at which it shows what is held back. Below it, a content's fingerprint
/// names what is to be released.
pub const QUARANTINE: &str = "/quarantine";

/// The path at which it shows which data centres are evacuated.
pub const EVACUATIONS: &str = "/evacuations";

/// A data centre whose endpoints get nothing, as an instance knows it.
#[message]
pub struct EvacuatedDataCentre {
    /// Its name.
    pub data_centre: Arc<str>,
    /// Endpoints there that would take new work.
    pub endpoints: usize,
}

/// The path at which it shows what endpoints say of themselves.
pub const TERMS: &str = "/terms";

/// What an endpoint says of itself, as an instance has heard it.
#[message]
pub struct EndpointTerms {
    /// Its name.
    pub endpoint: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Calls a second that it takes from all instances together, if it names a limit.
    pub limit: Option<f64>,
    /// For how much longer it wants nothing from this instance, in milliseconds.
    pub rest_ms: u64,
    /// Whether it said that it leaves.
    pub is_leaving: bool,
}

/// A content that is held back, since endpoints crashed under it.
#[message]
pub struct QuarantinedContent {
    /// Its fingerprint.
    pub content: Arc<str>,
    /// Endpoints that ended under it.
    pub crashes: u32,
    /// For how long this instance has held it back, in milliseconds.
    pub held_ms: u64,
    /// For how much longer it does if nobody sends it any more.
    pub left_ms: u64,
    /// Requests that this instance refused for it.
    pub refused: u64,
}
