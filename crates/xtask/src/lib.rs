//! Project chores, run as `cargo xtask <chore>`.
//!
//! - [`ablate`]: switches one mechanism off in a copy of the repository.
//! - [`capacity`]: recomputes the tables of `docs/CAPACITY.md`.
//! - [`demo`]: a request through a whole system on this machine.
//! - [`regress`]: plays folders of site files and prints what fell.
//! - [`soak`]: relay instances under faults, as processes.
//! - [`up`]: the same system, kept running to be tried by hand.
//! - [`walk`]: runs the README's commands and writes what they print into it.

pub mod ablate;
pub mod capacity;
pub mod demo;
pub mod regress;
pub mod soak;
pub mod up;
pub mod walk;
