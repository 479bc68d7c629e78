//! Names and keys of what the relay works with.

use std::sync::Arc;

use peatdeck_macros::id;

use crate::model::{EndpointName, Incarnation};

/// A group of endpoints that serve the same routes or stages.
pub type ServiceName = Arc<str>;
/// The number that a placer assigns to a call that it placed.
pub type RunNumber = u64;
/// An endpoint's reference to a result that it stores, sent on as it is.
pub type Handle = Arc<str>;

slotmap::new_key_type! {
    /// One request of a caller, from its arrival to its answer.
    pub struct ExchangeKey;
    /// One call to an endpoint.
    pub struct CallKey;
    /// One incarnation of an endpoint.
    pub struct EndpointKey;
    /// Pieces that were handed over to a peer and have not been returned yet.
    pub struct HandoverKey;
}

/// Identifies one incarnation of an endpoint in messages between instances.
#[id]
pub struct EndpointId {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The incarnation.
    pub incarnation: Incarnation,
}
