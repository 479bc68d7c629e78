//! Fixtures for tests.
//!
//! - [`platform`]: a log, a list and instances inside the test's process.
//! - [`processes`]: a whole system as processes that a test can kill, freeze or
//!   give faults; [`process`] is one of them, [`http`] sends requests to them.
//! - [`callers`]: callers whose responses are checked.
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
