//! Load tests and experiments against real processes.
//!
//! The tool measures the share of requests that are answered completely within
//! their deadline, and the endpoint time that this costs. It sends requests at
//! planned times regardless of the answers, compares every answer with the
//! expected one, and compares the outcomes that callers received with the
//! endpoints' records of the calls that they ran.
//!
//! Phases of a run, and the data between them:
//!
//! 1. [`workload`] and [`arrivals`] (or a recorded [`trace`]) produce a plan:
//!    requests and their times.
//! 2. [`driver`] sends them through [`balancer`] and [`caller`], or directly
//!    to the endpoints ([`direct`]), and produces a [`sample`] for each. At the
//!    same time the faults of a [`schedule`] are injected.
//! 3. [`work`] matches the samples with the endpoints' records.
//! 4. [`report`] computes the results, [`table`] and [`plot`] print them,
//!    [`paired`] compares two settings.
//!
//! [`preset`] and [`launch`] start whole systems, [`system`] injects faults
//! into them, [`commands`] are the commands of the tool.
//!
//! Note that latency counts from the planned time, not from the send, and that
//! a run in which the tool's own delay is large says nothing about the system.

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
