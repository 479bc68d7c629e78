//! The administration API: publish, history, drain, status.
//!
//! Any number of these processes run side by side. None keeps anything: the
//! platform's log orders what operators do, and every process folds the same
//! stream. A process may therefore be stopped and replaced at any time.
//!
//! Two traps shape the code:
//!
//! - An acknowledged append is no proof that a publish was accepted, and a
//!   lost acknowledgement is no proof that it was not. [`ops`] therefore reads
//!   the record back and lets the fold decide; "accepted" is never said before.
//! - An operator may send the same publish again after a lost answer. The
//!   publish's own id makes it count once.
//!
//! Map of the modules:
//!
//! - [`settings`]: flags and environment variables.
//! - [`server`]: the HTTP server, [`routes`]: what each path does.
//! - [`auth`]: the operators' token.
//! - [`ops`]: the operations, one module each.
//! - [`reader`]: the fold over the configuration stream, [`history`]: who did
//!   what, from the same records.
//! - [`error`]: everything that an operator can be told.

pub mod auth;
pub mod context;
pub mod error;
pub mod history;
pub mod ops;
pub mod reader;
pub mod routes;
pub mod server;
pub mod settings;
