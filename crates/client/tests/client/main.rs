//! Clients against servers that do what their script says.

#![allow(clippy::unwrap_used)]

mod endpoint;
mod lines;
mod log;
mod support;
