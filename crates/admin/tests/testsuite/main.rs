//! Tests of the administration API, a module per feature.

mod drain;
mod publish;
mod settings;
mod show;
mod support;
mod token;
