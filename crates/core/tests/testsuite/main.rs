//! Tests of the decisions, a module per feature.

mod admission;
mod budget;
mod check;
mod endpoint_states;
mod endpoints;
mod latency;
mod limits;
mod policy;
mod queue;
mod queue_states;
mod routing;
mod timing;
