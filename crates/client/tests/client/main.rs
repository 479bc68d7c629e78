//! Clients against scripted servers.

#![allow(clippy::unwrap_used)]

mod endpoint;
mod lines;
mod log;
mod support;
