//! The administration API: publish, history, drain, status.
//!
//! Any number of these processes can run in parallel. They are stateless: the
//! platform's log orders the changes of operators, and every process reads the
//! same stream. A process can therefore be stopped and replaced at any time.
//!
//! Two constraints shape the code:
//!
//! - An acknowledged append does not prove that a publish was accepted, and a
//!   lost acknowledgement does not prove that it was not. [`ops`] therefore
//!   reads the record back and reports success only after the
//!   [`ConfigReader`](peatdeck_core::config_log::ConfigReader) has accepted it.
//! - An operator may repeat a publish whose response was lost. The id of the
//!   publish makes it take effect once.
//!
//! Modules:
//!
//! - [`settings`]: flags and environment variables.
//! - [`server`]: the HTTP server.
//! - [`routes`]: the handlers of the paths.
//! - [`auth`]: authorisation of operators.
//! - [`ops`]: the operations, one module each.
//! - [`reader`]: reads the configuration stream.
//! - [`history`]: the history of changes, from the same records.
//! - [`error`]: the errors that operators receive.

pub mod auth;
pub mod context;
pub mod error;
pub mod history;
pub mod ops;
pub mod reader;
pub mod routes;
pub mod server;
pub mod settings;
