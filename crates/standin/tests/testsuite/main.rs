//! Tests of the stand-ins, a module per feature.

#![allow(clippy::unwrap_used)]

mod answer;
mod engine;
mod list;
mod load_lag;
mod log;
mod service;
mod streams;
mod support;
