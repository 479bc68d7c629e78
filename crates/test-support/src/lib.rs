//! Fixtures for tests.
//!
//! - [`platform`]: a log, a list and instances that a test holds in its hand.

pub mod platform;
