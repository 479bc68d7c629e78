//! Clients for what the platform gives: the log, the list, the endpoints.
//!
//! Each client is a thin layer over ntex's HTTP client that turns one call
//! into one typed result. They decide nothing: retries, deadlines of requests
//! and routing belong to `peatdeck-core`.
//!
//! The trap in all of them is the lost answer: a request whose reply never
//! came may still have taken effect. Errors therefore say precisely whether a
//! byte was written (see [`http::Error::is_unsent`]); in doubt it was.
//!
//! - [`http`]: the shared HTTP client and its errors.
//! - [`lines`]: newline-delimited JSON, cut into lines.
//! - [`log`]: append to and read from the log's streams.
//! - [`list`]: the lagging list of instances and endpoints.
//! - [`endpoint`]: calls to engines and services.
//! - [`entry`]: the status of entry instances of ours.

pub mod endpoint;
pub mod entry;
pub mod http;
pub mod lines;
pub mod list;
pub mod log;
