//! Tests across crates, a module a feature.

#![allow(clippy::unwrap_used)]

mod claims;
mod pages;
mod path;
mod support;
