//! Tests of the administration API, a module per feature.

#![allow(clippy::unwrap_used)]

mod drain;
mod evacuate;
mod publish;
mod restore;
mod settings;
mod show;
mod support;
mod token;
