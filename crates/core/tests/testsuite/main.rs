//! Tests of the decisions: a module per feature, and stateful fuzzing.

mod check;
mod claims;
mod config_log;
mod fuzz;
mod membership;
