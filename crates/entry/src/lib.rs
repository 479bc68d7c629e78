//! An entry instance as a process: serves callers, runs their pipelines.
//!
//! One thread with one event loop owns everything: the decision machine of
//! `peatdeck-core`, the callers' connections, the calls to endpoints, the
//! readers of the platform's log and list, and the peers. Whatever happens
//! becomes an input of the machine through [`driver::Driver::feed`]; whatever
//! the machine wants done comes back as actions, which the driver carries out
//! in order. No other place takes a decision.
//!
//! - [`settings`]: flags and environment, checked as a whole.
//! - [`server`]: binds, starts the event loop, stops it whole.
//! - [`driver`]: the machine and what it holds.
//! - [`callers`]: callers that wait, by typed keys.
//! - [`calls`]: calls to endpoints that run.
//! - [`platform_tasks`]: readers of log and list, appends.
//! - [`timer`]: wakes the machine when it asked to be.
//! - [`peers`]: the other instances, over Cap'n Proto.
//! - [`intake`]: checks a request's form.
//! - [`outcome`]: an outcome as status, headers and body.
//! - [`events`]: an answer as a stream of server-sent events.
//! - [`flush`]: when every response has left the process.
//! - [`counts`]: the event loop's own counters.
//! - [`routes`]: the HTTP interface.
//! - [`burn`]: outcomes by minute, for the report on service-level burn.
//! - [`report`]: status and metrics.
//! - [`trace`]: records the machine's inputs, where that is asked for.

pub mod burn;
pub mod callers;
pub mod calls;
pub mod counts;
pub mod driver;
pub mod events;
pub mod flush;
pub mod intake;
pub mod outcome;
pub mod peers;
pub mod platform_tasks;
pub mod report;
pub mod routes;
pub mod server;
pub mod settings;
pub mod timer;
pub mod trace;
