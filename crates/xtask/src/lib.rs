//! Project chores, run as `cargo xtask <chore>`.
//!
//! - [`capacity`]: recomputes the tables of `docs/CAPACITY.md`.
//! - [`demo`]: a request through a whole system on this machine.

pub mod capacity;
pub mod demo;
