//! Project chores, run as `cargo xtask <chore>`.
//!
//! - [`capacity`]: recomputes the tables of `docs/CAPACITY.md`.

pub mod capacity;
