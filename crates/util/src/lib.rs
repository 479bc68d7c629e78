//! Infrastructure that peatdeck's binaries share.
//!
//! - [`clock`]: clocks behind a trait.
//! - [`cost`]: CPU time and memory of the process, for the examples.
//! - [`logging`]: structured logs, as text or JSON.
//! - [`metrics`]: counters, gauges and timings over UDP.
//! - [`process`]: exit on panics and on errors.
//! - [`secret`]: texts that must not reach logs.
//! - [`settings`]: parses and validates flags and environment variables.

pub mod clock;
pub mod cost;
pub mod logging;
pub mod metrics;
pub mod process;
pub mod secret;
pub mod settings;
