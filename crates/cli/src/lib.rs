//! The operator's command line.
//!
//! [`commands`] holds a file per command: its flags (`cli()`) beside what it
//! does (`exec()`). A command only words questions and answers; the work is in
//! [`ops`], which know nothing of flags. [`Environment`](shell::Environment) carries what a
//! command gets from its surroundings, so that tests can run one as the
//! process would.
//!
//! - [`app`]: the whole command line.
//! - [`error`]: what can go wrong, [`exit`]: the exit codes.
//! - [`shell`]: the surroundings, [`table`]: tables for people.

pub mod app;
pub mod commands;
pub mod error;
pub mod exit;
pub mod ops;
pub mod shell;
pub mod table;
