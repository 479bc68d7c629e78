//! Fixtures for tests.
//!
//! - [`platform`]: a log, a list and instances that a test holds in its hand.
//! - [`processes`]: a whole system as processes, that a test kills, freezes
//!   and breaks; with [`process`], one of them, and [`http`], calls to them.
//! - [`callers`]: callers that check what they were told.
//! - [`fixture`]: documents and requests.
//! - [`system`]: one system for all asynchronous tests of a process.
//! - [`wait`]: bounded waits for an event.

pub mod callers;
pub mod error;
pub mod fixture;
pub mod http;
pub mod platform;
pub mod process;
pub mod processes;
pub mod system;
pub mod wait;
