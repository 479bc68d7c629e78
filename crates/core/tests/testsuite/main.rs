//! Tests of the decisions: focused ones by feature, and stateful fuzzing.

mod fuzz;
