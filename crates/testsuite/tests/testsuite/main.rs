//! Tests across crates, a module a feature.

#![allow(clippy::unwrap_used)]

mod pages;
mod replay;
mod settings_page;
