//! Clients of the platform's log, its list and its endpoints.
//!
//! Each client is a thin layer over ntex's HTTP client that turns one request
//! into one typed result. Retries, request deadlines and routing are the
//! responsibility of `peatdeck-core`.
//!
//! A request whose response is lost may still have taken effect. Errors
//! therefore state whether it is certain that no byte was written (see
//! [`http::Error::is_unsent`]).
//!
//! - [`http`]: the shared HTTP client and its errors.
//! - [`lines`]: splits newline-delimited JSON into lines.
//! - [`log`]: appends to and reads from the log's streams.
//! - [`list`]: reads the list of instances and endpoints.
//! - [`endpoint`]: calls engines and services.
//! - [`entry`]: reads the status of entry instances.

pub mod endpoint;
pub mod entry;
pub mod http;
pub mod lines;
pub mod list;
pub mod log;
