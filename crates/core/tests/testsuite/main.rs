//! Tests of the core: a module per feature, and stateful fuzzing.

#![allow(clippy::unwrap_used, clippy::unchecked_time_subtraction)]

mod admission;
mod budget;
mod check;
mod claims;
mod config_log;
mod endpoint_states;
mod endpoints;
mod fuzz;
mod hedging;
mod instances;
mod lanes;
mod latency;
mod limits;
mod membership;
mod membership_regions;
mod policy;
mod queue;
mod queue_states;
mod relay;
mod routing;
mod single;
mod software;
mod subset;
mod teams;
mod timing;
mod trace;
