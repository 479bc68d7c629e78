//! Formats that cross a process boundary.
//!
//! - [`caller`]: what callers send and get, JSON over HTTP.
//! - [`endpoint`]: calls to engines and services, JSON over HTTP.
//! - [`platform`]: the log service and the list, JSON over HTTP.
//! - [`admin`]: the administration API and an entry's status, JSON over HTTP.
//! - [`operators`]: what a relay instance answers operators, JSON over HTTP.
//! - [`link`]: connections between instances.
//! - [`socket`]: when a connection counts as dead.
//! - [`peer`]: gossip between instances, Cap'n Proto.
//! - [`relay`]: shared tables and pieces between instances, Cap'n Proto.
//!
//! These types only state the format. What a value means is decided in
//! `peatdeck-core`; what is wrong with one is said by its `check`.

pub mod admin;
pub mod caller;
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
pub mod socket;
