//! Formats that cross a process boundary.
//!
//! - [`caller`]: requests of callers and their responses, JSON over HTTP.
//! - [`endpoint`]: calls to engines and services, JSON over HTTP.
//! - [`platform`]: the platform's log service and instance list, JSON over HTTP.
//! - [`admin`]: the administration API and the status of entry instances, JSON over
//!   HTTP.
//! - [`operators`]: the interface of relay instances for operators, JSON over HTTP.
//! - [`link`]: connections between instances.
//! - [`socket`]: socket options that detect dead connections.
//! - [`peer`]: gossip between instances, Cap'n Proto.
//! - [`relay`]: table copies and pieces between instances, Cap'n Proto.
//! - [`detour`]: calls to endpoints through a peer, Cap'n Proto.
//! - [`rollout`]: counts and verdicts of rollouts between instances, Cap'n Proto.
//! - [`streams`]: versions that began streams, between instances, Cap'n Proto.
//!
//! These types only define the format. `peatdeck-core` interprets the values and
//! validates them.

pub mod admin;
pub mod caller;
pub mod detour;
pub mod endpoint;
pub mod link;
pub mod operators;
#[allow(missing_docs, unsafe_code, clippy::all, clippy::unimplemented, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod peer_capnp;
pub mod peer;
pub mod platform;
pub mod relay;
#[allow(missing_docs, unsafe_code, clippy::all, clippy::unimplemented, clippy::unwrap_used)]
#[rustfmt::skip]
pub mod relay_capnp;
pub mod rollout;
pub mod socket;
pub mod streams;
