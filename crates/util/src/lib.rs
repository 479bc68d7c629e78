//! What all of peatdeck's binaries share besides its decisions.
//!
//! - [`clock`]: time, passed in as an interface.
//! - [`cost`]: what a piece of code costs, for examples.
//! - [`logging`]: structured logs, as text or JSON.
//! - [`metrics`]: counters, gauges and timings over UDP.
//! - [`process`]: how a program ends when it cannot go on.
//! - [`settings`]: flags and environment variables, checked as a whole.

pub mod clock;
pub mod cost;
pub mod logging;
pub mod metrics;
pub mod process;
pub mod settings;
