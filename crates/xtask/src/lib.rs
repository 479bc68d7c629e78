//! Development tasks of this project, run as `cargo xtask <task>`.
//!
//! - [`ablate`]: disables one mechanism in a copy of the repository.
//! - [`capacity`]: recomputes the tables of `docs/CAPACITY.md`.
//! - [`demo`]: sends a request through a whole system on this host.
//! - [`regress`]: runs a simulator on directories of site files and prints regressions.
//! - [`soak`]: runs relay processes under faults.
//! - [`up`]: starts the demo's system and keeps it running for manual use.
//! - [`walk`]: runs the README's commands and updates their output in it.

pub mod ablate;
pub mod capacity;
pub mod demo;
pub mod regress;
pub mod soak;
pub mod up;
pub mod walk;
