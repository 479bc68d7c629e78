//! Clients against servers that do what their script says.

mod endpoint;
mod lines;
mod log;
mod support;
