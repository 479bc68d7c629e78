//! Tests of the load tool: its computations, formats and plans. None depends on
//! the speed of the host.

#![allow(clippy::unwrap_used, clippy::unchecked_time_subtraction)]

mod arrivals;
mod ceiling;
mod events;
mod fairness;
mod paired;
mod plot;
mod preset;
mod process;
mod report;
mod schedule;
mod support;
mod trace;
mod work;
