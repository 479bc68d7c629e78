//! The operator's command line.
//!
//! [`commands`] has one module per command, with its flags (`cli()`) and its
//! execution (`exec()`). A command parses arguments and formats results; the
//! work is done by [`ops`], which is independent of flags.
//! [`Environment`](shell::Environment) holds the inputs of a command other than
//! its flags, so that tests can run a command as the process does.
//!
//! - [`app`]: the whole command line.
//! - [`error`]: the errors.
//! - [`exit`]: the exit codes.
//! - [`shell`]: the environment and the output of a command.
//! - [`table`]: tables for terminals.

pub mod app;
pub mod commands;
pub mod error;
pub mod exit;
pub mod ops;
pub mod shell;
pub mod table;
