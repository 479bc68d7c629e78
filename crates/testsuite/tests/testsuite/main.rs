//! Tests across crates, a module a feature.

mod pages;
