//! One entry instance as a state machine: inputs in, actions out.
//!
//! The event loop round it owns the sockets. It feeds every [`Input`] with its
//! time to [`Instance::handle`] and carries out the [`Action`]s in order. It
//! takes no decision of its own.

pub mod action;
pub mod input;
