//! Tests across crates, a module a feature.

#![allow(clippy::unwrap_used)]

mod pages;
mod settings_page;
