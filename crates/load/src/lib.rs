//! Load and experiments against real processes.
//!
//! The tool asks one question in several ways: what share of requests is
//! answered whole within its deadline, and what work does that cost? It sends
//! requests at planned times whatever the answers are, compares every answer
//! with what it should be, and sets what callers were told beside what the
//! endpoints say they ran.
//!
//! Phases of a run, and the data between them:
//!
//! 1. [`workload`] and [`arrivals`] (or a recorded [`trace`]) give a plan:
//!    requests and their times.
//! 2. [`driver`] sends them through [`balancer`] and [`caller`], or past the
//!    entries ([`direct`]), and gives a [`sample`] of each. Meanwhile the
//!    faults of a [`schedule`] are brought about.
//! 3. [`work`] sets the samples beside the endpoints' records.
//! 4. [`report`] does the arithmetic, [`table`] and [`plot`] print it,
//!    [`paired`] compares two settings.
//!
//! [`preset`] and [`launch`] start whole systems, [`system`] does to them what
//! the schedule says, [`commands`] are what the tool offers.
//!
//! Traps: latency counts from the planned time, not from the send; a run in
//! which the tool's own delay is large says nothing about the system.

pub mod args;
pub mod arrivals;
pub mod balancer;
pub mod caller;
pub mod cli;
pub mod commands;
pub mod control;
pub mod direct;
pub mod driver;
pub mod error;
pub mod events;
pub mod experiment;
pub mod fairness;
pub mod files;
pub mod launch;
pub mod output;
pub mod paired;
pub mod plot;
pub mod preset;
pub mod process;
pub mod processes;
pub mod records;
pub mod report;
pub mod runtime;
pub mod sample;
pub mod schedule;
pub mod span;
pub mod system;
pub mod table;
pub mod tag;
pub mod trace;
pub mod verify;
pub mod work;
pub mod workload;
