//! Tests of the decisions, a module per feature.

mod check;
