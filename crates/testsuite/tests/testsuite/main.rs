//! Tests across crates, one module for each feature.

#![allow(clippy::unwrap_used)]

mod claims;
mod config;
mod drain;
mod invalid;
mod load;
mod outage;
mod pages;
mod path;
mod replay;
mod replies;
mod settings_page;
mod stop;
mod support;
